//! The log: one JSON line per event on standard output.

use hyssop_logging::Buffer;
use log::LevelFilter;
use tracing::level_filters::LevelFilter as TracingLevel;

/// Starts logging. A second call in one process has no effect.
///
/// A line has the time in UTC, the level, a message and fields.
pub fn start(level: LevelFilter) -> Buffer {
    hyssop_logging::start(match level {
        LevelFilter::Off => TracingLevel::OFF,
        LevelFilter::Error => TracingLevel::ERROR,
        LevelFilter::Warn => TracingLevel::WARN,
        LevelFilter::Info => TracingLevel::INFO,
        LevelFilter::Debug => TracingLevel::DEBUG,
        LevelFilter::Trace => TracingLevel::TRACE,
    })
}
