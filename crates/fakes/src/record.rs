//! Execution records of the fakes, against which histories are checked.

use std::time::{SystemTime, UNIX_EPOCH};

use compact_str::CompactString;
use hyssop_document::digest::Digest;
use serde::{Deserialize, Serialize};

/// How an execution ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// The execution has not ended.
    Running,
    /// The complete response was generated.
    Completed,
    /// The client closed the connection before the end.
    Cancelled,
    /// The backend server crashed.
    Crashed,
}

/// One execution of a request at a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// The name of the backend server.
    pub backend: CompactString,
    /// The value of the `X-Request-Id` header.
    pub request_id: CompactString,
    /// The digest of the prompt, or of the body for a plain service.
    pub content: Digest,
    /// The request priority, 0 for a plain service.
    pub priority: u64,
    /// The arrival time, in milliseconds since the Unix epoch.
    pub arrived_ms: u64,
    /// The time when it left the waiting queue, in milliseconds since the Unix epoch.
    pub started_ms: Option<u64>,
    /// The end time, in milliseconds since the Unix epoch.
    pub ended_ms: Option<u64>,
    /// The number of generated tokens.
    pub tokens: u64,
    /// How the execution ended.
    pub end: End,
}

/// All executions of a backend server, over all its incarnations.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The executions in the order of their arrival.
    pub executions: Vec<Execution>,
    /// The number of crashes of any cause.
    pub crashes: u64,
    /// The number of crashes of a cold engine that got more requests than its limit.
    pub overloads: u64,
    /// The number of crashes caused by poison prompts.
    pub poisonings: u64,
    /// The number of requests rejected with status 503.
    pub refused: u64,
    /// The maximum number of requests in flight while cold.
    pub cold_peak: u64,
}

/// The current time, in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is after 1970");
    since.as_millis() as u64
}
