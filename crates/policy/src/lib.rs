//! Decisions under load: queue, limits, estimates, choice of backend server. No I/O.
