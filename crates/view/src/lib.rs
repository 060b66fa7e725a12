//! What daemons tell each other without agreement: members, loads, blame and records.
//!
//! Small datagrams carry a [`beat::Beat`]. Records that a daemon lacks are fetched over TCP from a
//! peer with a newer revision. All of it is soft state: it ages, and a lost datagram costs a period.

pub mod beat;
pub mod member;
pub mod node;
pub mod record;
pub mod sync;
