//! Formats responses of daemons as text.

pub(crate) mod check;
pub(crate) mod diff;
pub(crate) mod histograms;
pub(crate) mod order;
pub(crate) mod quarantine;
pub(crate) mod status;

use std::{
    fmt::Display,
    io::{self, Write},
    time::Duration,
};

use hyssop_document::name;

/// Items separated by commas, or `none`.
fn list<T: Display>(items: impl IntoIterator<Item = T>) -> String {
    let texts: Vec<_> = items.into_iter().map(|item| item.to_string()).collect();
    if texts.is_empty() { "none".to_owned() } else { texts.join(", ") }
}

fn yes_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}

/// A duration in its two largest units, for example `1h5m`.
fn duration(ms: u64) -> String {
    let seconds = Duration::from_millis(ms).as_secs();
    let (days, hours, minutes) = (seconds / 86_400, seconds / 3600 % 24, seconds / 60 % 60);
    match (days, hours, minutes) {
        (0, 0, 0) if ms < 1000 => format!("{ms}ms"),
        (0, 0, 0) => format!("{seconds}s"),
        (0, 0, _) => format!("{minutes}m{}s", seconds % 60),
        (0, _, _) => format!("{hours}h{minutes}m"),
        _ => format!("{days}d{hours}h"),
    }
}

/// Writes the hosts that the response does not cover, if any.
fn write_not_reached(not_reached: &[name::Host], out: &mut dyn Write) -> io::Result<()> {
    if not_reached.is_empty() {
        return Ok(());
    }
    writeln!(out, "partial: not reached: {}", list(not_reached))
}
