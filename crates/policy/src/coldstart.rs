//! The concurrency limit of a backend server: reduced by a cold start, raised by completions.

use std::time::Instant;

use serde::{Deserialize, Serialize};

/// Why a backend server is treated as cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
pub enum Cause {
    /// The scheduler has no earlier record of the backend server.
    #[display("first_seen")]
    FirstSeen,
    /// The process of the backend server restarted.
    #[display("incarnation")]
    Incarnation,
    /// A connection to the backend server failed.
    #[display("connection")]
    Connection,
    /// The backend server reports that it is cold.
    #[display("reported")]
    Reported,
    /// The time to the first token has drifted from the backend server's own baseline.
    #[display("first_token")]
    FirstToken,
}

/// Identifies one cold start. A completion counts only in the cold start in which its permit was
/// granted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Epoch(u64);

/// A request that ran to completion on a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Completion {
    /// The cold start in which the permit was granted.
    pub epoch: Epoch,
    /// Whether the backend server met all targets of the class.
    pub on_time: bool,
    /// Whether at least half of the scheduler's slots at the backend server were in use at the
    /// grant. A completion at a lower load does not show that the backend server sustains the
    /// limit.
    pub loaded: bool,
}

/// The limit that an earlier scheduler had reached for a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hint {
    /// The incarnation of the backend server that the limit was reached with.
    pub incarnation: u64,
    /// The concurrency limit, in requests.
    pub limit: u32,
    /// When the limit was in use.
    pub at: Instant,
}

/// The concurrency limit of one backend server.
///
/// The limit never grows by time alone. After as many on-time completions under load as the limit
/// allows requests, it grows by half, up to the warm limit.
#[derive(Debug, Clone)]
pub struct Tracker {
    cold_limit: u32,
    warm_limit: u32,
    limit: u32,
    on_time_completions: u32,
    epoch: Epoch,
    incarnation: Option<u64>,
    reported_cold: bool,
    cause: Cause,
    hint: Option<Hint>,
    /// Whether the limit reflects completions or refusals that this tracker has recorded.
    limit_tested: bool,
}

impl Tracker {
    /// Creates the tracker of a backend server without earlier records.
    pub fn new(cold_limit: u32, warm_limit: u32) -> Self {
        let cold_limit = cold_limit.max(1).min(warm_limit);
        Self {
            cold_limit,
            warm_limit,
            limit: cold_limit,
            on_time_completions: 0,
            epoch: Epoch::default(),
            incarnation: None,
            reported_cold: false,
            cause: Cause::FirstSeen,
            hint: None,
            limit_tested: false,
        }
    }

    /// Applies the limits of the document.
    ///
    /// A lower warm limit or a higher cold limit applies at once. A higher warm limit is reached by
    /// completions, because the backend server has only proved to sustain the old one.
    pub fn set_limits(&mut self, cold_limit: u32, warm_limit: u32) {
        self.cold_limit = cold_limit.max(1).min(warm_limit);
        self.warm_limit = warm_limit;
        let cold_limit = self.cold_limit;
        self.limit = self.limit.clamp(cold_limit, warm_limit);
        if self.reported_cold {
            self.limit = cold_limit;
        }
    }

    /// The number of requests that the backend server may run, over all schedulers.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Whether the limit is below the warm limit.
    pub fn is_cold(&self) -> bool {
        self.limit < self.warm_limit
    }

    /// The cause of the latest cold start.
    pub fn cause(&self) -> Cause {
        self.cause
    }

    /// The current cold start.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Records the reported incarnation and state. Returns the cause if a cold start begins.
    pub fn record_report(&mut self, incarnation: u64, cold: bool) -> Option<Cause> {
        let previous = self.incarnation.replace(incarnation);
        let was_cold = std::mem::replace(&mut self.reported_cold, cold);
        if previous.is_some_and(|previous| previous != incarnation) {
            return Some(self.turn_cold(Cause::Incarnation));
        }
        if cold && !was_cold {
            return Some(self.turn_cold(Cause::Reported));
        }
        self.apply_hint();
        None
    }

    /// Records that a connection used on a permit of `epoch` failed. Failures of earlier cold
    /// starts are ignored because they are already accounted for.
    pub fn record_failure(&mut self, epoch: Epoch) -> Option<Cause> {
        (epoch == self.epoch).then(|| self.turn_cold(Cause::Connection))
    }

    /// Records that the time to the first token has drifted from its baseline.
    pub fn record_drift(&mut self) -> Option<Cause> {
        (!self.is_cold()).then(|| self.turn_cold(Cause::FirstToken))
    }

    /// Lowers the limit by a quarter after the backend server refused a request because of
    /// overload.
    pub fn record_refusal(&mut self, epoch: Epoch) {
        if epoch == self.epoch {
            self.on_time_completions = 0;
            self.limit_tested = true;
            self.limit = (self.limit * 3 / 4).max(self.cold_limit);
        }
    }

    /// Counts a completion towards the next increase of the limit.
    pub fn record_completion(&mut self, completion: Completion) {
        if completion.epoch != self.epoch || self.reported_cold || !self.is_cold() {
            return;
        }
        if !completion.on_time {
            self.on_time_completions = 0;
            return;
        }
        if !completion.loaded {
            return;
        }
        self.on_time_completions += 1;
        if self.on_time_completions >= self.limit {
            self.on_time_completions = 0;
            self.limit_tested = true;
            self.limit = (self.limit + self.limit.div_ceil(2)).min(self.warm_limit);
        }
    }

    /// Records the limit that an earlier scheduler had reached. The most recent limit is used.
    ///
    /// A hint applies only after a report of the same incarnation that is not cold, and only until
    /// the backend server turns cold or the tracker changes the limit by its own records.
    pub fn record_hint(&mut self, hint: Hint) {
        if self.hint.is_none_or(|latest| latest.at < hint.at) {
            self.hint = Some(hint);
        }
        self.apply_hint();
    }

    fn apply_hint(&mut self) {
        let hint_allowed =
            self.cause == Cause::FirstSeen && !self.limit_tested && !self.reported_cold;
        let hint =
            self.hint.filter(|hint| hint_allowed && self.incarnation == Some(hint.incarnation));
        if let Some(hint) = hint {
            self.limit = hint.limit.clamp(self.cold_limit, self.warm_limit);
        }
    }

    fn turn_cold(&mut self, cause: Cause) -> Cause {
        self.epoch.0 += 1;
        self.limit = self.cold_limit;
        self.on_time_completions = 0;
        self.cause = cause;
        cause
    }
}
