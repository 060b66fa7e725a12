//! The clock and the timer service that parts subscribe to.
