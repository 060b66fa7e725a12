//! Placement decisions that a daemon makes alone, on load data that daemons share.
//!
//! Used where no scheduler grants permits: the daemon that holds a caller's connection places the
//! request itself. It has exact counts of its own requests; the load of other daemons is as old as
//! their last heartbeat. No I/O: events are passed in with their time, decisions are returned.

pub mod admission;
pub mod affinity;
mod brittle;
pub mod cold;
pub mod decider;
pub mod demand;
pub mod departure;
pub mod hedge;
pub mod holders;
pub mod latency;
pub mod limit;
pub mod notice;
pub mod peer_loads;
pub mod reach;
pub mod repeats;
pub mod reservation;
pub mod server;
pub mod silence;
pub mod speed;
pub mod urgency;
pub mod window;
