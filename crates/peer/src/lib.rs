//! Protocol between daemons: membership, votes, shares, permits, distribution of revisions.
//!
//! A daemon runs one [`node::Node`]. Heartbeats go over UDP ([`wire`]); all other messages go over
//! TCP ([`rpc`]). [`vote`] and [`member`] are state machines without I/O, combined in [`core`].

pub mod codec;
pub mod core;
pub mod current;
pub mod group;
pub mod hosts;
pub mod identity;
pub mod lease;
pub mod link;
pub mod member;
pub mod message;
pub mod node;
pub mod notice;
pub mod order;
pub mod permits;
pub mod query;
pub mod rank;
pub mod rpc;
pub mod status;
pub mod timing;
pub mod traffic;
pub mod view;
pub mod vote;
pub mod wire;

pub use group::LoadSource;
pub use identity::{Identity, Process};
pub use message::{PermitReply, PermitRequest};
pub use node::Node;
pub use query::QueryHandler;
