//! Daemons among themselves: membership, votes, shares, permits, spread of revisions.
//!
//! [`node::Node`] is what a daemon holds. Heartbeats go over UDP ([`wire`]); everything else goes
//! over TCP ([`rpc`]). [`vote`] and [`member`] are state machines without I/O, joined in [`core`].

pub mod codec;
pub mod core;
pub mod current;
pub mod group;
pub mod held;
pub mod hosts;
pub mod identity;
pub mod inquiry;
pub mod link;
pub mod member;
pub mod message;
pub mod node;
pub mod notice;
pub mod order;
pub mod rank;
pub mod rpc;
pub mod standing;
pub mod status;
pub mod timing;
pub mod traffic;
pub mod view;
pub mod vote;
pub mod wire;

pub use group::Loads;
pub use identity::{Identity, Process};
pub use inquiry::Inquiry;
pub use message::{Ask, Verdict};
pub use node::Node;
