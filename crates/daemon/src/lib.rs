//! The daemon: settings, assembly of all parts, the path of a request.

pub mod histogram;
pub mod logging;
pub mod metrics;
pub mod settings;
