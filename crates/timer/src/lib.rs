//! The clock and the timer service that parts subscribe to.
//!
//! All lease and expiry decisions of the daemon read one [`Clock`]. The [`Service`] ticks in one
//! task, hands its ticks to the parts that subscribed, and notices when the process itself was
//! stopped: a tick that comes much later than its predecessor means that everything read before may
//! be out of date.

mod clock;
mod service;

pub use clock::{Clock, Manual, System};
pub use service::{Builder, Service, Tick, Ticks};
