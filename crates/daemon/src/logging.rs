//! The log: one line an event, on standard error.

use log::LevelFilter;
use simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode};

/// Starts logging. A second call in one process changes nothing.
///
/// A line has the time in UTC, the level, the module, and a text of facts with fields.
pub fn start(level: LevelFilter) {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Error)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("hyssop")
        .build();
    let _started = TermLogger::init(level, config, TerminalMode::Stderr, ColorChoice::Never);
}
