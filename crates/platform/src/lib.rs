//! The platform's configuration service: reads, watches, back-off.
