//! State that daemons share without consensus: members, loads, blame and published records.
//!
//! Each daemon sends a [`heartbeat::Heartbeat`] in small datagrams. It fetches records that it
//! lacks over TCP from a peer that has applied a later position. All of this is soft state: entries expire,
//! and a lost datagram delays an update by one interval.

pub mod gossip;
pub mod heartbeat;
pub mod member;
pub mod origin;
pub mod record;
pub mod sync;
pub mod watch;
