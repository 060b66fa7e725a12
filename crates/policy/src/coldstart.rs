//! The limit of a backend server, lowered in cold start and grown again by completions.

use std::time::Instant;

use serde::{Deserialize, Serialize};

/// The reason why a backend server counts as cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
pub enum Cause {
    /// The scheduler has not seen it before.
    #[display("first_seen")]
    FirstSeen,
    /// Its process started again.
    #[display("incarnation")]
    Incarnation,
    /// A connection to it failed.
    #[display("connection")]
    Connection,
    /// It says so.
    #[display("reported")]
    Reported,
    /// The time to its first token has left its own history.
    #[display("first_token")]
    FirstToken,
}

/// One cold start. A completion counts only for the cold start that its permit was granted in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Epoch(u64);

/// A request that ran to its end on a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Completion {
    /// The cold start that the permit was granted in.
    pub epoch: Epoch,
    /// Whether all targets were met.
    pub on_time: bool,
    /// Whether at least half of the limit was in use at the grant. Otherwise the completion does not
    /// show that the backend server bears the limit.
    pub loaded: bool,
}

/// The limit that an earlier scheduler had reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hint {
    /// The incarnation of the backend server.
    pub incarnation: u64,
    /// The limit.
    pub limit: u32,
    /// The time at which it held.
    pub at: Instant,
}

/// The limit of one backend server.
///
/// The limit never grows by time. After as many on-time completions under load as the limit is high,
/// it grows by half, until it is the warm limit.
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
    /// Whether this tracker itself has seen what the backend server bears.
    limit_tested: bool,
}

impl Tracker {
    /// Makes the tracker of a backend server that was not seen before.
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

    /// Takes over the limits of the document.
    ///
    /// A lower warm limit holds at once. A higher one is reached by completions, because the backend
    /// server has only shown that it bears the old one. A higher cold limit holds at once.
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

    /// The reason of the latest cold start.
    pub fn cause(&self) -> Cause {
        self.cause
    }

    /// The present cold start.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Takes in the incarnation and the state that the backend server reports. Returns the cause if
    /// a cold start begins.
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

    /// Takes note that a connection failed which was used on a permit of `epoch`. Failures of
    /// earlier cold starts are known already.
    pub fn record_failure(&mut self, epoch: Epoch) -> Option<Cause> {
        (epoch == self.epoch).then(|| self.turn_cold(Cause::Connection))
    }

    /// Takes note that the time to the first token has left its history.
    pub fn record_drift(&mut self) -> Option<Cause> {
        (!self.is_cold()).then(|| self.turn_cold(Cause::FirstToken))
    }

    /// Lowers the limit by a quarter after the backend server refused a request because of overload.
    pub fn record_refusal(&mut self, epoch: Epoch) {
        if epoch == self.epoch {
            self.on_time_completions = 0;
            self.limit_tested = true;
            self.limit = (self.limit * 3 / 4).max(self.cold_limit);
        }
    }

    /// Takes in a completion.
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

    /// Takes over the limit that an earlier scheduler had reached. The latest one counts.
    ///
    /// It counts only after a report of the same incarnation that does not say cold, and only until
    /// the backend server turns cold or this tracker has changed the limit by what it saw itself.
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
