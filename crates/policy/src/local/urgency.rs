//! Keeps engines open for more urgent requests.
//!
//! For bursts of several kinds of requests. A kind with a tight target is the first that no engine
//! can serve in time, however urgent it is. A less urgent request therefore begins only at an
//! engine that could still serve the more urgent kinds in time, so that it is refused before them.
//! Each daemon applies this to the kinds that it has received itself.

use std::time::{Duration, Instant};

use hyssop_document::{collections::Map, number::Tier};

use super::{demand::Demand, reservation};

/// How long a kind of request counts after its last request.
const KIND_TTL: Duration = Duration::from_secs(5);
/// The weight of a new request in the usual figures of its kind.
const KIND_GAIN: f64 = 0.1;

/// The tier of the workspace, then that of the route.
type Urgency = (Tier, Tier);

/// Requests of one urgency.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Kind {
    /// The shortest target of a first event.
    pub target: Duration,
    /// The usual number of prompt tokens that no other request has.
    pub prefill_tokens: f64,
    /// The fraction of the requests that are decode-heavy.
    decode_heavy_ratio: f64,
    last_seen: Instant,
}

impl Kind {
    /// Whether most of the requests use the engines that are reserved for decode-heavy ones.
    pub fn is_decode_heavy(&self) -> bool {
        self.decode_heavy_ratio > 0.5
    }

    fn is_recent(&self, now: Instant) -> bool {
        now.duration_since(self.last_seen) <= KIND_TTL
    }
}

/// The kinds of requests that a daemon has received for one pool.
#[derive(Debug, Default)]
pub struct Kinds {
    kinds: Map<Urgency, Kind>,
}

impl Kinds {
    /// Records a request.
    pub fn record(&mut self, demand: &Demand, now: Instant) {
        let decode_heavy = f64::from(u8::from(reservation::is_decode_heavy(demand)));
        let tokens = f64::from(demand.unshared_tokens());
        let kind = self.kinds.entry(demand.urgency()).or_insert(Kind {
            target: demand.target,
            prefill_tokens: tokens,
            decode_heavy_ratio: decode_heavy,
            last_seen: now,
        });
        kind.target = kind.target.min(demand.target);
        kind.prefill_tokens += KIND_GAIN * (tokens - kind.prefill_tokens);
        kind.decode_heavy_ratio += KIND_GAIN * (decode_heavy - kind.decode_heavy_ratio);
        kind.last_seen = now;
    }

    /// Whether requests that are less urgent than this one have been received recently.
    pub fn has_less_urgent(&self, demand: &Demand, now: Instant) -> bool {
        let mut less_urgent = self.kinds.iter().filter(|(urgency, _)| **urgency > demand.urgency());
        less_urgent.any(|(_, kind)| kind.is_recent(now))
    }

    /// The kinds of more urgent routes that have been received recently. Requests of one route have
    /// the same target: engines admit those of urgent workspaces first, so they need no room kept.
    pub fn more_urgent(&self, demand: &Demand, now: Instant) -> Vec<Kind> {
        let (tier, route_tier) = demand.urgency();
        let more_urgent = self.kinds.iter().filter(|((kind_tier, kind_route_tier), _)| {
            *kind_tier <= tier && *kind_route_tier < route_tier
        });
        more_urgent.map(|(_, kind)| *kind).filter(|kind| kind.is_recent(now)).collect()
    }
}
