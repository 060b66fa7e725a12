//! Monotonic clocks and a timer service with subscriptions.
//!
//! All lease and expiry decisions of a daemon use one [`Clock`]. The [`Service`] ticks in one task
//! and publishes its ticks to subscribers. It also detects pauses, in which the process was
//! suspended: after a tick that is much later than its predecessor, all state read before may be
//! out of date.

mod clock;
mod service;

pub use clock::{Clock, ManualClock, SystemClock};
pub use service::{Builder, Service, Tick, Ticks};
