//! Which requests a daemon that is about to stop still takes.
//!
//! For rolling restarts under long streams: a request that would be cut at the end of the grace time
//! is refused, so that its caller turns to another host at once, and short ones are still served.

use std::{collections::VecDeque, time::Duration};

use compact_str::CompactString;
use hyssop_document::collections::Map;

/// The number of recent responses of a route that are taken into account.
const MAX_DURATIONS: usize = 256;
/// The number of responses below which a route's durations are not known.
const MIN_DURATIONS: usize = 32;
/// The maximum number of routes. Beyond it all are forgotten.
const MAX_ROUTES: usize = 1_024;
/// How much longer than the longest recent response of its route a response may take.
const DURATION_MARGIN_RATIO: f64 = 1.25;

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

    /// The maximum time that a response of a route is expected to take, if enough are recorded.
    pub fn expected(&self, route: &str) -> Option<Duration> {
        let durations = self.by_route.get(route)?;
        let longest = durations.iter().max()?;
        (durations.len() >= MIN_DURATIONS).then(|| longest.mul_f64(DURATION_MARGIN_RATIO))
    }

    /// Whether a request that ends by its deadline, `request_left` from now, is finished when the
    /// daemon stops, `daemon_left` from now.
    pub fn can_finish(&self, route: &str, request_left: Duration, daemon_left: Duration) -> bool {
        let expected = self.expected(route).unwrap_or(Duration::MAX);
        expected.min(request_left) <= daemon_left
    }
}
