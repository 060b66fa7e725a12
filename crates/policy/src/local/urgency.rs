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
/// The weight of a new request in the usual number of tokens of its kind.
const TOKENS_GAIN: f64 = 0.1;

/// Identifies requests of one urgency that use the same engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Key {
    urgency: (Tier, Tier),
    decode_heavy: bool,
}

/// Requests of one urgency that use the same engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Kind {
    /// Whether the requests use the engines that are reserved for decode-heavy requests.
    pub decode_heavy: bool,
    /// The shortest target of a first event.
    pub target: Duration,
    /// The usual number of prompt tokens that no other request has.
    pub prefill_tokens: f64,
    last_seen: Instant,
}

impl Kind {
    fn is_recent(&self, now: Instant) -> bool {
        now.duration_since(self.last_seen) <= KIND_TTL
    }
}

/// The kinds of requests that a daemon has received for one pool.
#[derive(Debug, Default)]
pub struct Kinds {
    kinds: Map<Key, Kind>,
}

impl Kinds {
    /// Records a request.
    pub fn record(&mut self, demand: &Demand, now: Instant) {
        let decode_heavy = reservation::is_decode_heavy(demand);
        let tokens = f64::from(demand.unshared_tokens());
        let key = Key { urgency: demand.urgency(), decode_heavy };
        let initial =
            Kind { decode_heavy, target: demand.target, prefill_tokens: tokens, last_seen: now };
        let kind = self.kinds.entry(key).or_insert(initial);
        kind.target = kind.target.min(demand.target);
        kind.prefill_tokens += TOKENS_GAIN * (tokens - kind.prefill_tokens);
        kind.last_seen = now;
    }

    /// Whether requests that are less urgent than this one have been received recently.
    pub fn has_less_urgent(&self, demand: &Demand, now: Instant) -> bool {
        let mut less_urgent = self.kinds.iter().filter(|(key, _)| key.urgency > demand.urgency());
        less_urgent.any(|(_, kind)| kind.is_recent(now))
    }

    /// The kinds that are more urgent than a request and have been received recently.
    pub fn more_urgent(&self, demand: &Demand, now: Instant) -> Vec<Kind> {
        let more_urgent = self.kinds.iter().filter(|(key, _)| key.urgency < demand.urgency());
        more_urgent.map(|(_, kind)| *kind).filter(|kind| kind.is_recent(now)).collect()
    }
}
