//! Scheduling decisions under load: queueing, concurrency limits, estimates and the choice of a
//! backend server. No I/O.
//!
//! [`scheduler::Scheduler`] decides for one group of backend servers. It is a plain value: events
//! are passed in with their times, and [`scheduler::Scheduler::poll`] returns the decisions.

pub mod budget;
pub mod choice;
pub mod coldstart;
pub mod decision;
pub mod entry;
pub mod estimate;
pub mod floor;
pub mod load;
pub mod local;
pub mod permit;
pub mod queue;
pub mod scheduler;
pub mod share;
pub mod status;
pub mod straggler;
