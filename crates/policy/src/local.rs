//! Decisions that a daemon takes alone, on a view that daemons share.
//!
//! Used where no scheduler grants permits: the daemon that holds a caller's connection places the
//! request itself. What it sent is known exactly, what others sent is as old as their last beat.
//! All of it is plain data: events go in with their time, decisions come out.

pub mod affinity;
pub mod cold;
pub mod decider;
pub mod demand;
pub mod model;
pub mod others;
pub mod repeats;
pub mod split;
pub mod standing;
pub mod window;
