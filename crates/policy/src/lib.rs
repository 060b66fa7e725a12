//! Decisions under load: queue, limits, estimates, choice of backend server. No I/O.
//!
//! [`scheduler::Scheduler`] decides for one group of backend servers. It is a plain value: events go
//! in with the time at which they happened, and [`scheduler::Scheduler::poll`] gives decisions back.

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
