//! The story of one request, from the logs of the daemons.

use std::{
    fs::File,
    io::{BufRead as _, BufReader, Write},
    path::{Path, PathBuf},
};

use serde_json::{Map, Value};

use super::write_json;
use crate::{error::Error, exit::Exit};

/// Events that explain decisions on requests, whatever the request.
const OF_DAEMON: [&str; 12] = [
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
/// Events that explain decisions on requests at the backend server that they name.
const OF_SERVER: [&str; 4] = ["server", "server_gone", "server_lapsed", "blamed"];
/// How long before a request's first line other events are shown, in seconds.
const BEFORE_S: f64 = 10.0;
/// How long after its last line, in seconds.
const AFTER_S: f64 = 0.5;
/// The largest number of other events that are shown.
const MAX_CONTEXT: usize = 40;

/// A line of a daemon's log.
#[derive(Debug, Clone)]
struct Line {
    source: String,
    at: String,
    second: f64,
    fields: Map<String, Value>,
}

impl Line {
    /// Reads a line. What stands before the object, such as the name of a host, tells its source.
    fn parse(text: &str, file: &Path) -> Option<Self> {
        let begin = text.find('{')?;
        let fields: Map<String, Value> = serde_json::from_str(text[begin..].trim_end()).ok()?;
        let at = fields.get("timestamp")?.as_str()?.to_owned();
        let named = text[..begin].split_whitespace().next_back();
        let file = file.file_stem().map(|stem| stem.to_string_lossy().into_owned());
        let source = named.map(str::to_owned).or(file).unwrap_or_default();
        Some(Self { source, second: second(&at)?, at, fields })
    }

    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    fn event(&self) -> &str {
        self.text("event").unwrap_or_default()
    }

    fn write(&self, of_request: bool, out: &mut dyn Write) -> Result<(), Error> {
        let mark = if of_request { '*' } else { ' ' };
        write!(out, "{mark} {} {} {}", self.at, self.source, self.event())?;
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

/// Seconds since the day before, from the time of an RFC 3339 text.
fn second(at: &str) -> Option<f64> {
    let (date, time) = at.split_once('T')?;
    let day: f64 = date.rsplit('-').next()?.parse().ok()?;
    let mut parts = time.trim_end_matches('Z').split(':');
    let mut next = || parts.next()?.parse::<f64>().ok();
    Some(((day * 24.0 + next()?) * 60.0 + next()?) * 60.0 + next()?)
}

/// Prints what the logs say of a request, with what the daemons learned around it.
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
    let mut story: Vec<(bool, Line)> = select(id, &lines);
    story.sort_by(|(_, one), (_, other)| one.at.cmp(&other.at));
    if story.is_empty() {
        writeln!(out, "{id}: not in these logs")?;
        return Ok(Exit::Refused);
    }
    if json {
        let lines: Vec<&Map<String, Value>> = story.iter().map(|(_, line)| &line.fields).collect();
        write_json(&lines, out)?;
    } else {
        for (of_request, line) in &story {
            line.write(*of_request, out)?;
        }
    }
    Ok(Exit::Success)
}

/// Adds the lines that may be of use.
fn read(path: &Path, id: &str, lines: &mut Vec<Line>) -> Result<(), Error> {
    let wrong = |error| Error::File { path: path.to_owned(), error };
    let mut reader = BufReader::new(File::open(path).map_err(wrong)?);
    let mut bytes = Vec::new();
    while reader.read_until(b'\n', &mut bytes).map_err(wrong)? > 0 {
        if let Some(line) = Line::parse(&String::from_utf8_lossy(&bytes), path) {
            let event = line.event();
            let context = OF_DAEMON.contains(&event) || OF_SERVER.contains(&event);
            if context || line.text("id") == Some(id) {
                lines.push(line);
            }
        }
        bytes.clear();
    }
    Ok(())
}

/// The lines of the request, and those that explain them. The first tells which they are.
fn select(id: &str, lines: &[Line]) -> Vec<(bool, Line)> {
    let own = |line: &Line| line.text("id") == Some(id);
    let of_request: Vec<Line> = lines.iter().filter(|line| own(line)).cloned().collect();
    let seconds = || of_request.iter().map(|line| line.second);
    let (Some(first), Some(last)) = (seconds().reduce(f64::min), seconds().reduce(f64::max)) else {
        return Vec::new();
    };
    let servers: Vec<&str> = of_request.iter().filter_map(|line| line.text("server")).collect();
    let sources: Vec<&str> = of_request.iter().map(|line| line.source.as_str()).collect();
    let explains = |line: &Line| {
        let of_server = OF_SERVER.contains(&line.event())
            && line.text("server").is_some_and(|server| servers.contains(&server));
        !own(line)
            && sources.contains(&line.source.as_str())
            && (first - BEFORE_S..=last + AFTER_S).contains(&line.second)
            && (of_server || OF_DAEMON.contains(&line.event()))
    };
    let mut context: Vec<Line> = lines.iter().filter(|line| explains(line)).cloned().collect();
    // The events nearest to the request say most.
    context.sort_by(|one, other| other.at.cmp(&one.at));
    context.truncate(MAX_CONTEXT);
    let of_request = of_request.into_iter().map(|line| (true, line));
    of_request.chain(context.into_iter().map(|line| (false, line))).collect()
}
