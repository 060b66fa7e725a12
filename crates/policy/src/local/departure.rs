//! Which requests a daemon that is about to stop still takes.
//!
//! For rolling restarts under long streams: a request that would be cut at the end of the grace time
//! is refused, so that its caller turns to another host at once, and short ones are still served.
//! Callers that could not know of the departure are refused only if a cut is likely, since a refusal
//! costs them a try, and other hosts that they know of may be leaving too. That risk is taken only for
//! requests that may run again: a cut costs the others their response. Once callers can know, nothing is
//! guessed: how long a response takes is bounded by its deadline only.

use std::{collections::VecDeque, time::Duration};

use compact_str::CompactString;
use hyssop_document::collections::Map;

/// The number of recent responses of a route that are taken into account.
const MAX_DURATIONS: usize = 256;
/// The number of responses below which a route's durations are not known.
const MIN_DURATIONS: usize = 16;
/// The maximum number of routes. Beyond it all are forgotten.
const MAX_ROUTES: usize = 1_024;
/// The fraction of the recent responses of a route within whose durations another one is likely to
/// end.
const LIKELY_QUANTILE: f64 = 0.9;
/// The part of the recent durations by which another response may take longer.
const MARGIN_RATIO: f64 = 0.25;
/// The minimum of that margin, as delays of the host don't depend on how long a response usually
/// takes. A host that has used its CPU quota stalls until the next period of 100 ms (the default of
/// the Linux scheduler), which is most of it for a host with a tenth of a core.
const MIN_MARGIN: Duration = Duration::from_millis(100);

/// How far the stop of a daemon has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Stage {
    /// Callers may still use a response of the directory that lists the daemon.
    #[display("announcing")]
    Announcing,
    /// All responses of the directory that list the daemon have expired.
    #[display("announced")]
    Announced,
    /// Responses are cut, and the process ends.
    #[display("ending")]
    Ending,
}

/// How long the recent responses of each route took.
#[derive(Debug, Default)]
pub struct Durations {
    by_route: Map<CompactString, VecDeque<Duration>>,
}

impl Durations {
    /// Records the time from the arrival of a request to the end of its complete response.
    pub fn record(&mut self, route: &str, duration: Duration) {
        if !self.by_route.contains_key(route) {
            if self.by_route.len() >= MAX_ROUTES {
                self.by_route.clear();
            }
            self.by_route.insert(CompactString::new(route), VecDeque::new());
        }
        let Some(durations) = self.by_route.get_mut(route) else { return };
        if durations.len() >= MAX_DURATIONS {
            durations.pop_front();
        }
        durations.push_back(duration);
    }

    /// The time within which another response of a route is likely to end, if enough are recorded.
    pub fn likely(&self, route: &str) -> Option<Duration> {
        let mut durations: Vec<Duration> = self.known(route)?.iter().copied().collect();
        let rank = (durations.len() as f64 * LIKELY_QUANTILE) as usize;
        let (_, &mut likely, _) = durations.select_nth_unstable(rank);
        Some(with_margin(likely))
    }

    /// The time beyond which no response of a route is expected to take, if enough are recorded.
    pub fn longest(&self, route: &str) -> Option<Duration> {
        self.known(route)?.iter().max().copied().map(with_margin)
    }

    fn known(&self, route: &str) -> Option<&VecDeque<Duration>> {
        self.by_route.get(route).filter(|durations| durations.len() >= MIN_DURATIONS)
    }

    /// Whether a daemon that cuts responses `daemon_left` from now takes a request that ends by its deadline,
    /// `request_left` from now. `allows_rerun` means that the request may run again if it is cut.
    pub fn takes(
        &self,
        route: &str,
        stage: Stage,
        allows_rerun: bool,
        request_left: Duration,
        daemon_left: Duration,
    ) -> bool {
        let expected = match stage {
            Stage::Announcing if allows_rerun => self.likely(route),
            Stage::Announcing => self.longest(route),
            Stage::Announced => None,
            Stage::Ending => return false,
        };
        expected.unwrap_or(Duration::MAX).min(request_left) <= daemon_left
    }
}

fn with_margin(duration: Duration) -> Duration {
    duration + duration.mul_f64(MARGIN_RATIO).max(MIN_MARGIN)
}
