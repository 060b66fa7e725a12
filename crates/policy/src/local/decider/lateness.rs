//! Whether an engine can serve a request, and more urgent ones after it, in time.
//!
//! For loads beyond what engines can serve: a request that would be late delays those after it.

use std::time::{Duration, Instant};

use super::partition::Partition;
use crate::local::{
    demand::Demand,
    latency::{Backlog, Model},
    reservation,
    server::Load,
    urgency::{Kind, Kinds},
};

/// The fraction of the time left before the deadline after which a first event is of no use.
const USABLE_TIME_RATIO: f64 = 0.85;
/// The multiple of its target within which a first event must be predicted. Under overload a late
/// request delays the requests after it too, while a refused request can be served when the load is
/// lower.
const MAX_TARGET_RATIO: f64 = 1.4;
/// The same multiple while less urgent requests arrive too. These are refused first, and engines
/// admit the more urgent ones before them.
const MAX_URGENT_TARGET_RATIO: f64 = 2.8;
/// The multiple of the targets of more urgent requests within which an engine must still serve these
/// after a less urgent one. Smaller, as their queues grow between two heartbeats.
const MORE_URGENT_TARGET_RATIO: f64 = 0.7;
/// The fraction of an engine's KV cache that running requests may hold while their prompts share
/// prefixes. The rest holds the prefixes and the prompts that were prefilled since their last use.
const MAX_HELD_RATIO: f64 = 0.5;

/// The maximum time to the first event for which a request is sent: before the caller gives up and,
/// for a model engine, not long after the target.
fn latest_first_event(demand: &Demand, has_less_urgent: bool, now: Instant) -> Duration {
    let ratio = if has_less_urgent { MAX_URGENT_TARGET_RATIO } else { MAX_TARGET_RATIO };
    let usable = demand.deadline.saturating_duration_since(now).mul_f64(USABLE_TIME_RATIO);
    match demand.prompt_tokens {
        0 => usable,
        _ if demand.has_begun() => usable,
        _ => usable.min(demand.target.mul_f64(ratio)),
    }
}

/// The times within which engines must be able to serve a request, and more urgent ones after it.
pub(super) struct Limits {
    /// The maximum predicted time to the first event of the request.
    first_event: Duration,
    /// The more urgent kinds of requests that still have to be served in time.
    more_urgent: Vec<Kind>,
    partition: Partition,
}

impl Limits {
    /// The limits of a request. One that has begun is not refused for the sake of others.
    pub(super) fn new(
        kinds: Option<&Kinds>,
        partition: Partition,
        demand: &Demand,
        now: Instant,
    ) -> Self {
        let more_urgent = match kinds {
            Some(kinds) if !demand.has_begun() => kinds.more_urgent(demand, now),
            _ => Vec::new(),
        };
        let has_less_urgent = kinds.is_some_and(|kinds| kinds.has_less_urgent(demand, now));
        let first_event = latest_first_event(demand, has_less_urgent, now);
        Self { first_event, more_urgent, partition }
    }

    /// By how much the first event of the request, or of a more urgent one after it, would be too
    /// late at an engine. Zero if all are in time.
    pub(super) fn excess(
        &self,
        predicted: Duration,
        model: &Model,
        backlog: &Backlog,
        engine_is_reserved: bool,
    ) -> Duration {
        let users = self
            .more_urgent
            .iter()
            .filter(|kind| self.partition.allows(kind.is_decode_heavy(), engine_is_reserved));
        let excesses = users.map(|kind| {
            let spills_over = kind.is_decode_heavy() != engine_is_reserved;
            let ratio = if spills_over { MAX_TARGET_RATIO } else { MORE_URGENT_TARGET_RATIO };
            let first_event = model.time_to_first_event(backlog, kind.prefill_tokens);
            first_event.saturating_sub(kind.target.mul_f64(ratio))
        });
        excesses.fold(predicted.saturating_sub(self.first_event), Duration::max)
    }
}

/// By how much an engine is too busy for a prompt, whenever the first event would come: its running
/// requests hold too much memory, or the prompts that wait break the gap limit. Zero if it is not.
///
/// For bursts of long prompts. Only prefill-heavy requests that can still be refused are limited.
pub(super) fn saturation(
    backlog: &Backlog,
    load: Load,
    cache_tokens: Option<u64>,
    model: &Model,
    demand: &Demand,
) -> Duration {
    if demand.has_begun() || reservation::is_decode_heavy(demand) {
        return Duration::ZERO;
    }
    memory_excess(load, cache_tokens, model, demand).max(gap_excess(backlog, model, demand))
}

/// By how much running requests exceed the part of the KV cache that they may hold, as the time to
/// prefill these tokens. With more, they evict the shared prefixes that daemons expect at the engine,
/// whose prompts it would then prefill whole.
fn memory_excess(
    load: Load,
    cache_tokens: Option<u64>,
    model: &Model,
    demand: &Demand,
) -> Duration {
    match cache_tokens {
        Some(cache_tokens) if demand.unshared_tokens() < demand.prompt_tokens => {
            let limit = cache_tokens as f64 * MAX_HELD_RATIO;
            model.prefill_time((f64::from(load.held_tokens) - limit).max(0.0))
        }
        _ => Duration::ZERO,
    }
}

/// By how much the prefill of the waiting prompts exceeds the gap limit. Chunks of it come between the
/// decoding steps, and up to all of it between two events of a response in the same batch. The
/// request's own prompt doesn't count: long ones would be refused first.
fn gap_excess(backlog: &Backlog, model: &Model, demand: &Demand) -> Duration {
    let prefill = model.prefill_time(backlog.pending_tokens).mul_f64(backlog.slowness);
    demand.max_event_gap.map_or(Duration::ZERO, |limit| prefill.saturating_sub(limit))
}

/// No candidate serves a request and the more urgent ones in time.
pub(super) struct Overload {
    /// By how much the best candidate misses a bound.
    pub(super) excess: Duration,
    /// The shortest predicted time to the first event.
    pub(super) predicted: Duration,
}
