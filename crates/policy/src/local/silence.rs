//! Backend servers that fall silent while requests wait for them.
//!
//! For hosts that lose power or are cut off: their connections stay open and nothing fails. A server
//! that is only slow still accepts connections, so an attempt to connect tells the two apart. Other
//! signs of trouble come later, or are ignored if many servers show them at once.
//!
//! A busy server is silent for as long as it was predicted to be, so an attempt is due only after
//! the moment at which the server should have sent something.

use std::time::{Duration, Instant};

use super::server::State as ServerState;

/// How long after the moment at which it should have sent something a backend server is examined. A
/// silent server gets no more requests 250 ms after that moment, and examinations begin with the
/// heartbeats, which are 100 ms apart.
const SILENCE_LIMIT: Duration = Duration::from_millis(150);
/// The silence after which a backend server is examined again, as a fraction of how late it is. A
/// server that is reachable and late would else be examined with each heartbeat.
const REEXAMINATION_RATIO: f64 = 0.5;

/// The multiple of the longest recent time to a first event up to which a prediction counts. Many
/// measurements at once can leave predictions several times too long.
const MAX_WAIT_RATIO: u32 = 2;

/// When this daemon last heard of a backend server, on any connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Contact {
    /// How long the server has sent nothing and accepted no connection.
    pub silent_for: Duration,
    /// How long the server has sent nothing.
    pub sent_nothing_for: Duration,
    /// The longest recent time between two parts of one response.
    pub usual_gap: Duration,
}

/// The examination of a backend server by an attempt to connect to it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Examination {
    /// Nothing suggests that it can't be reached.
    #[default]
    None,
    /// An attempt is under way.
    Running,
    /// The last attempt failed.
    Failed,
}

/// Whether an attempt to connect to a backend server is due.
pub(super) fn is_due(state: &ServerState, contact: &Contact, now: Instant) -> bool {
    match state.examination {
        Examination::None => contact.silent_for >= SILENCE_LIMIT && is_silent(state, contact, now),
        Examination::Running => false,
        Examination::Failed => state.avoid_until.is_none_or(|at| at <= now),
    }
}

/// Whether a backend server should have sent something, and has been silent for long since.
fn is_silent(state: &ServerState, contact: &Contact, now: Instant) -> bool {
    let late_by = lateness(state, contact, now);
    late_by >= SILENCE_LIMIT && contact.silent_for >= late_by.mul_f64(REEXAMINATION_RATIO)
}

/// How long ago the backend server should have sent something: the first event of a request that
/// waits, or the next part of a response that has begun.
fn lateness(state: &ServerState, contact: &Contact, now: Instant) -> Duration {
    let longest = state.longest_wait.map_or(Duration::MAX, |wait| wait * MAX_WAIT_RATIO);
    let late_by = state.requests.values().map(|request| {
        if request.has_begun() {
            return contact.sent_nothing_for.saturating_sub(contact.usual_gap);
        }
        let predicted = request.baseline.mul_f64(state.slowness());
        now.saturating_duration_since(request.sent + predicted.min(longest))
    });
    late_by.max().unwrap_or_default()
}
