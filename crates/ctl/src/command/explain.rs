//! The events of one request, from the logs of the daemons.

use std::{
    fs::File,
    io::{BufRead as _, BufReader, Write},
    path::{Path, PathBuf},
};

use serde_json::{Map, Value};

use super::write_json;
use crate::{error::Error, exit::Exit};

/// Events that may explain decisions on any request.
const DAEMON_EVENTS: [&str; 12] = [
    "start",
    "leaving",
    "stop",
    "reload",
    "suspended",
    "source_lost",
    "source_back",
    "history_gone",
    "environment",
    "records_from_peer",
    "zone_out",
    "zone_back",
];
/// Events that may explain decisions on requests at the backend server that they name.
const SERVER_EVENTS: [&str; 4] = ["server", "server_gone", "server_lapsed", "blamed"];
/// The time before the first line of a request from which context events are shown, in seconds.
const CONTEXT_BEFORE_S: f64 = 10.0;
/// The time after the last line of a request until which context events are shown, in seconds.
const CONTEXT_AFTER_S: f64 = 0.5;
/// The limit of context events that are shown.
const MAX_CONTEXT_EVENTS: usize = 40;

/// A line of a daemon's log.
#[derive(Debug, Clone)]
struct Line {
    source: String,
    timestamp: String,
    seconds: f64,
    fields: Map<String, Value>,
}

impl Line {
    /// Parses a line. The source is the last word before the JSON object, such as a host name, or
    /// else the name of the file.
    fn parse(text: &str, file: &Path) -> Option<Self> {
        let start = text.find('{')?;
        let fields: Map<String, Value> = serde_json::from_str(text[start..].trim_end()).ok()?;
        let timestamp = fields.get("timestamp")?.as_str()?.to_owned();
        let prefix = text[..start].split_whitespace().next_back();
        let file = file.file_stem().map(|stem| stem.to_string_lossy().into_owned());
        let source = prefix.map(str::to_owned).or(file).unwrap_or_default();
        Some(Self { source, seconds: seconds(&timestamp)?, timestamp, fields })
    }

    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    fn event(&self) -> &str {
        self.text("event").unwrap_or_default()
    }

    fn write(&self, is_of_request: bool, out: &mut dyn Write) -> Result<(), Error> {
        let mark = if is_of_request { '*' } else { ' ' };
        write!(out, "{mark} {} {} {}", self.timestamp, self.source, self.event())?;
        for (name, value) in &self.fields {
            match (name.as_str(), value) {
                ("timestamp" | "level" | "event" | "id", _) => {}
                (_, Value::String(text)) if text.contains(' ') => write!(out, " {name}={text:?}")?,
                (_, Value::String(text)) => write!(out, " {name}={text}")?,
                (_, value) => write!(out, " {name}={value}")?,
            }
        }
        writeln!(out)?;
        Ok(())
    }
}

/// The time of an RFC 3339 timestamp in seconds, counted from the last day of the month before.
fn seconds(timestamp: &str) -> Option<f64> {
    let (date, time) = timestamp.split_once('T')?;
    let day: f64 = date.rsplit('-').next()?.parse().ok()?;
    let mut parts = time.trim_end_matches('Z').split(':');
    let mut next = || parts.next()?.parse::<f64>().ok();
    Some(((day * 24.0 + next()?) * 60.0 + next()?) * 60.0 + next()?)
}

/// Prints the events of a request and the context events around them, in order of time.
pub(super) fn explain(
    id: &str,
    files: &[PathBuf],
    json: bool,
    out: &mut dyn Write,
) -> Result<Exit, Error> {
    let mut lines = Vec::new();
    for file in files {
        read(file, id, &mut lines)?;
    }
    let mut timeline: Vec<(bool, Line)> = select(id, &lines);
    timeline.sort_by(|(_, one), (_, other)| one.timestamp.cmp(&other.timestamp));
    if timeline.is_empty() {
        writeln!(out, "{id}: not in these logs")?;
        return Ok(Exit::Refused);
    }
    if json {
        let lines: Vec<&Map<String, Value>> =
            timeline.iter().map(|(_, line)| &line.fields).collect();
        write_json(&lines, out)?;
    } else {
        for (is_of_request, line) in &timeline {
            line.write(*is_of_request, out)?;
        }
    }
    Ok(Exit::Success)
}

/// Adds the lines of a file that belong to the request or may be context.
fn read(path: &Path, id: &str, lines: &mut Vec<Line>) -> Result<(), Error> {
    let file_error = |error| Error::File { path: path.to_owned(), error };
    let mut reader = BufReader::new(File::open(path).map_err(file_error)?);
    let mut bytes = Vec::new();
    while reader.read_until(b'\n', &mut bytes).map_err(file_error)? > 0 {
        if let Some(line) = Line::parse(&String::from_utf8_lossy(&bytes), path) {
            let event = line.event();
            let is_context = DAEMON_EVENTS.contains(&event) || SERVER_EVENTS.contains(&event);
            if is_context || line.text("id") == Some(id) {
                lines.push(line);
            }
        }
        bytes.clear();
    }
    Ok(())
}

/// The lines of the request, marked with `true`, and the context lines around them.
fn select(id: &str, lines: &[Line]) -> Vec<(bool, Line)> {
    let is_of_request = |line: &Line| line.text("id") == Some(id);
    let of_request: Vec<Line> = lines.iter().filter(|line| is_of_request(line)).cloned().collect();
    let seconds = || of_request.iter().map(|line| line.seconds);
    let (Some(first), Some(last)) = (seconds().reduce(f64::min), seconds().reduce(f64::max)) else {
        return Vec::new();
    };
    let servers: Vec<&str> = of_request.iter().filter_map(|line| line.text("server")).collect();
    let sources: Vec<&str> = of_request.iter().map(|line| line.source.as_str()).collect();
    let is_context = |line: &Line| {
        let of_server = SERVER_EVENTS.contains(&line.event())
            && line.text("server").is_some_and(|server| servers.contains(&server));
        !is_of_request(line)
            && sources.contains(&line.source.as_str())
            && (first - CONTEXT_BEFORE_S..=last + CONTEXT_AFTER_S).contains(&line.seconds)
            && (of_server || DAEMON_EVENTS.contains(&line.event()))
    };
    let mut context: Vec<Line> = lines.iter().filter(|line| is_context(line)).cloned().collect();
    // The latest events explain the most.
    context.sort_by(|one, other| other.timestamp.cmp(&one.timestamp));
    context.truncate(MAX_CONTEXT_EVENTS);
    let of_request = of_request.into_iter().map(|line| (true, line));
    of_request.chain(context.into_iter().map(|line| (false, line))).collect()
}
