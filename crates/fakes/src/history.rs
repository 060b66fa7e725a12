//! History of the callers' requests, as JSON lines, and its check against the execution records.

use std::{
    fs::File,
    io::{self, BufWriter, Write},
    net::SocketAddr,
    path::Path,
};

use compact_str::CompactString;
use hyssop_document::{
    collections::{Map, Set},
    digest::Digest,
    name,
    number::Tokens,
};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::record::{End, Execution, Record};

/// How one attempt of a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The caller got a response. [`Ended::correct`] is set if it is the expected one.
    #[display("answered")]
    Answered,
    /// The request was refused and did not run.
    #[display("refused")]
    Refused,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
    /// The request ran and failed, or can never run.
    #[display("failed")]
    Failed,
    /// The caller got no outcome: the connection failed or the attempt timed out.
    #[display("lost")]
    Lost,
}

/// The start of a caller's attempt of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sent {
    /// The number of the request, unique in the history.
    pub request: u64,
    /// The number of the attempt, from 0.
    pub attempt: u32,
    /// The request class.
    pub class: name::Class,
    /// The workspace of the caller.
    pub workspace: name::Workspace,
    /// The idempotency key.
    pub key: Option<CompactString>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The digest of the prompt, or of the body for a plain service. It identifies the request in
    /// execution records, so no two requests share it.
    pub content: Digest,
    /// The caller address of the daemon.
    pub to: SocketAddr,
    /// The start time, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// The end of a caller's attempt of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// The number of the request.
    pub request: u64,
    /// The number of the attempt, from 0.
    pub attempt: u32,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Whether the response is exactly the expected one.
    #[serde(rename = "whole")]
    pub correct: bool,
    /// The reason or the error, as reported to the caller.
    pub reason: CompactString,
    /// The number of tokens of the response.
    pub tokens: Tokens,
    /// The time from sending to the first token, in milliseconds.
    pub first_token_ms: Option<u64>,
    /// The time from sending to the end, in milliseconds.
    pub elapsed_ms: u64,
    /// The end time, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// An event of a history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// An attempt was sent.
    Sent(Sent),
    /// An attempt ended.
    Ended(Ended),
}

/// Collects the events of many callers.
#[derive(Debug, Default)]
pub struct History {
    events: Mutex<Vec<Event>>,
}

impl History {
    /// Adds an event.
    pub fn add(&self, event: Event) {
        self.events.lock().push(event);
    }

    /// All events so far.
    pub fn events(&self) -> Vec<Event> {
        self.events.lock().clone()
    }

    /// Writes the events as JSON lines.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut file = BufWriter::new(File::create(path)?);
        for event in self.events.lock().iter() {
            serde_json::to_writer(&mut file, event)?;
            file.write_all(b"\n")?;
        }
        file.flush()
    }
}

/// A violated guarantee found in a history.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub enum Violation {
    /// An attempt has no end, or more than one.
    #[display("request {request}: {ends} ends of try {attempt}")]
    EndCount {
        /// The request.
        request: u64,
        /// The attempt.
        attempt: u32,
        /// The number of ends of the attempt.
        ends: usize,
    },
    /// A response is not the expected one.
    #[display("request {request}: a wrong answer in try {attempt}: {reason}")]
    WrongAnswer {
        /// The request.
        request: u64,
        /// The attempt.
        attempt: u32,
        /// How the response differs.
        reason: CompactString,
    },
    /// A request was refused as not run, but a backend server ran it.
    #[display("request {request}: try {attempt} was refused as not run, and {backend} ran it")]
    RanAfterRefusal {
        /// The request.
        request: u64,
        /// The attempt.
        attempt: u32,
        /// The backend server.
        backend: CompactString,
    },
    /// A request that must run at most once ran more than once.
    #[display("request {request}: is not idempotent and ran {runs} times")]
    Repeated {
        /// The request.
        request: u64,
        /// The number of its executions.
        runs: usize,
    },
    /// A request got a response, but no backend server completed it.
    #[display("request {request}: answered, and no backend server ran it to its end")]
    NeverRan {
        /// The request.
        request: u64,
    },
}

impl Violation {
    /// The number of the request.
    pub fn request(&self) -> u64 {
        match self {
            Self::EndCount { request, .. }
            | Self::WrongAnswer { request, .. }
            | Self::RanAfterRefusal { request, .. }
            | Self::Repeated { request, .. }
            | Self::NeverRan { request } => *request,
        }
    }
}

/// All events and executions of one request in the order of time, one line each.
pub fn describe(events: &[Event], records: &[Record], request: u64) -> String {
    let mut lines: Vec<(u64, String)> = Vec::new();
    for trace in traces(events, records).iter().filter(|trace| trace.request == request) {
        for (sent, ends) in &trace.attempts {
            let key = sent.key.as_deref().unwrap_or("none");
            lines.push((sent.at_ms, format!("try {} to {} key={key}", sent.attempt, sent.to)));
            for end in ends {
                let line = format!("end of try {}: {} {}", end.attempt, end.outcome, end.reason);
                lines.push((end.at_ms, line));
            }
        }
        for execution in &trace.executions {
            let Execution { backend, request_id, end, tokens, .. } = execution;
            lines.push((execution.arrived_ms, format!("{backend} got attempt {request_id}")));
            let ended_ms = execution.ended_ms.unwrap_or(u64::MAX);
            lines.push((ended_ms, format!("{backend} ended it: {end:?} tokens={tokens}")));
        }
    }
    lines.sort();
    let first_ms = lines.first().map_or(0, |(at, _)| *at);
    lines.iter().map(|(at, line)| format!("  {:>6} ms {line}\n", at - first_ms)).collect()
}

/// One request with its attempts and executions.
#[derive(Debug)]
struct Trace<'a> {
    request: u64,
    attempts: Vec<(&'a Sent, Vec<&'a Ended>)>,
    executions: Vec<&'a Execution>,
}

/// Checks a history against the execution records of the backend servers.
pub fn check(events: &[Event], records: &[Record]) -> Vec<Violation> {
    traces(events, records).iter().flat_map(Trace::check).collect()
}

fn traces<'a>(events: &'a [Event], records: &'a [Record]) -> Vec<Trace<'a>> {
    let mut by_content: Map<Digest, Vec<&Execution>> = Map::default();
    for execution in records.iter().flat_map(|record| &record.executions) {
        by_content.entry(execution.content).or_default().push(execution);
    }
    let mut by_request: Map<u64, Trace<'_>> = Map::default();
    for event in events {
        match event {
            Event::Sent(sent) => {
                let trace = by_request.entry(sent.request).or_insert_with(|| Trace {
                    request: sent.request,
                    attempts: Vec::new(),
                    executions: by_content.get(&sent.content).cloned().unwrap_or_default(),
                });
                trace.attempts.push((sent, Vec::new()));
            }
            Event::Ended(ended) => {
                let trace = by_request.get_mut(&ended.request);
                let attempts = trace.into_iter().flat_map(|trace| &mut trace.attempts);
                attempts
                    .filter(|(sent, _)| sent.attempt == ended.attempt)
                    .for_each(|(_, ends)| ends.push(ended));
            }
        }
    }
    let mut traces: Vec<_> = by_request.into_values().collect();
    traces.sort_by_key(|trace| trace.request);
    traces
}

impl Trace<'_> {
    fn check(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for (sent, ends) in &self.attempts {
            let (request, attempt) = (self.request, sent.attempt);
            if ends.len() != 1 {
                violations.push(Violation::EndCount { request, attempt, ends: ends.len() });
            }
            for end in ends.iter().filter(|end| end.outcome == Outcome::Answered && !end.correct) {
                let reason = end.reason.clone();
                violations.push(Violation::WrongAnswer { request, attempt, reason });
            }
        }
        violations.extend(self.check_refusals());
        violations.extend(self.check_runs());
        violations
    }

    /// A refused attempt must not have run: no execution of its key may exist.
    fn check_refusals(&self) -> Option<Violation> {
        let mut after_ms = 0;
        for (position, (sent, ends)) in self.attempts.iter().enumerate() {
            let Some(refused) = ends.iter().find(|end| end.outcome == Outcome::Refused) else {
                continue;
            };
            if self.is_ambiguous(position) {
                return None;
            }
            // A retry after a refusal has a new key, so later executions belong to the retry.
            let before_ms =
                self.attempts.get(position + 1).map_or(u64::MAX, |(next, _)| next.at_ms);
            let ran = |execution: &&&Execution| {
                let at = execution.arrived_ms;
                at > after_ms && at < before_ms
            };
            if let Some(execution) = self.executions.iter().find(ran) {
                let (request, attempt) = (self.request, sent.attempt);
                let backend = execution.backend.clone();
                return Some(Violation::RanAfterRefusal { request, attempt, backend });
            }
            after_ms = refused.at_ms;
        }
        None
    }

    /// Whether an earlier attempt with another key may still run, so that an execution cannot be
    /// attributed to the attempt at `position`.
    fn is_ambiguous(&self, position: usize) -> bool {
        let key = &self.attempts[position].0.key;
        let may_run = |ends: &[&Ended]| ends.iter().any(|end| end.outcome != Outcome::Refused);
        self.attempts[..position].iter().any(|(sent, ends)| sent.key != *key && may_run(ends))
    }

    fn check_runs(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        let request = self.request;
        let runs = self.executions.len();
        let idempotent = self.attempts.iter().all(|(sent, _)| sent.idempotent);
        if !idempotent && runs > 1 {
            violations.push(Violation::Repeated { request, runs });
        }
        let complete = self.executions.iter().any(|execution| execution.end == End::Completed);
        if self.answered() && !complete {
            violations.push(Violation::NeverRan { request });
        }
        violations
    }

    fn answered(&self) -> bool {
        let mut ends = self.attempts.iter().flat_map(|(_, ends)| ends);
        ends.any(|end| end.outcome == Outcome::Answered)
    }
}

/// Token counts over a whole history.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenUsage {
    /// The tokens generated by backend servers.
    pub generated: u64,
    /// The generated tokens that reached no caller in a response.
    pub wasted: u64,
    /// The wasted tokens that were lost in a crash of their backend server.
    pub crashed: u64,
}

/// The generated and the wasted tokens of each class.
///
/// Of the completed executions of a request with a response, the longest counts as used.
pub fn token_usage(events: &[Event], records: &[Record]) -> Map<name::Class, TokenUsage> {
    let mut usages: Map<name::Class, TokenUsage> = Map::default();
    for trace in traces(events, records) {
        let Some((sent, _)) = trace.attempts.first() else { continue };
        let generated: u64 = trace.executions.iter().map(|execution| execution.tokens).sum();
        let complete = trace.executions.iter().filter(|execution| execution.end == End::Completed);
        let used = if trace.answered() { complete.map(|e| e.tokens).max().unwrap_or(0) } else { 0 };
        let usage = usages.entry(sent.class.clone()).or_default();
        usage.generated += generated;
        usage.wasted += generated - used;
        let crashed = trace.executions.iter().filter(|execution| execution.end == End::Crashed);
        usage.crashed += crashed.map(|execution| execution.tokens).sum::<u64>();
    }
    usages
}

/// The numbers of the requests that got a response.
pub fn answered_requests(events: &[Event]) -> Set<u64> {
    let answered = |event: &Event| match event {
        Event::Ended(ended) if ended.outcome == Outcome::Answered => Some(ended.request),
        _ => None,
    };
    events.iter().filter_map(answered).collect()
}
