//! Records of what a stand-in executed, against which histories are checked.

use std::time::{SystemTime, UNIX_EPOCH};

use compact_str::CompactString;
use hyssop_document::digest::Digest;
use serde::{Deserialize, Serialize};

/// How an execution ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// It has not ended.
    Running,
    /// The whole answer was generated.
    Completed,
    /// The client closed the connection before the end.
    Cancelled,
    /// The backend server crashed.
    Crashed,
}

/// One execution of one request at a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// The backend server.
    pub backend: CompactString,
    /// The `X-Request-Id` header.
    pub request_id: CompactString,
    /// The digest of the prompt, or of the body at a plain service.
    pub content: Digest,
    /// The priority, 0 at a plain service.
    pub priority: u64,
    /// When it arrived, in milliseconds since 1970.
    pub arrived_ms: u64,
    /// When it left the waiting queue, in milliseconds since 1970.
    pub started_ms: Option<u64>,
    /// When it ended, in milliseconds since 1970.
    pub ended_ms: Option<u64>,
    /// The tokens generated.
    pub tokens: u64,
    /// How it ended.
    pub end: End,
}

/// Everything that a backend server executed, over all its incarnations.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The executions in the order of arrival.
    pub executions: Vec<Execution>,
    /// The number of crashes, asked for or caused by load.
    pub crashes: u64,
    /// The number of crashes because a cold backend server got more than its limit.
    pub overloads: u64,
    /// The number of crashes caused by a request.
    pub poisonings: u64,
    /// The number of requests refused with 503.
    pub refused: u64,
    /// The largest number of requests held at once while cold.
    pub cold_peak: u64,
}

/// Now, in milliseconds since 1970.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is after 1970");
    since.as_millis() as u64
}
