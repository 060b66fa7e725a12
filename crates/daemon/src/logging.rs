//! The log: JSON, one line an event, on standard output.

use hyssop_logging::Buffer;
use log::LevelFilter;
use tracing::level_filters::LevelFilter as Most;

/// Starts logging. A second call in one process changes nothing.
///
/// A line has the time in UTC, the level, and a text of facts with fields.
pub fn start(level: LevelFilter) -> Buffer {
    hyssop_logging::start(match level {
        LevelFilter::Off => Most::OFF,
        LevelFilter::Error => Most::ERROR,
        LevelFilter::Warn => Most::WARN,
        LevelFilter::Info => Most::INFO,
        LevelFilter::Debug => Most::DEBUG,
        LevelFilter::Trace => Most::TRACE,
    })
}
