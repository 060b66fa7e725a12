//! Decisions under load: queue, limits, estimates, choice of backend server. No I/O.
//!
//! [`scheduler::Scheduler`] decides for one group of backend servers. It is a plain value: events go
//! in with the time at which they happened, and [`scheduler::Scheduler::poll`] gives decisions back.

pub mod decision;
pub mod entry;
pub mod load;
pub mod permit;
pub mod scheduler;
pub mod share;
pub mod status;
