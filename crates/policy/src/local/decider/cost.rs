//! The cost of placing a request at a backend server, and the predicted time to its first event.

use std::time::{Duration, Instant};

use hyssop_document::name::Zone;

use crate::local::{
    demand::Demand,
    latency::{self, Model},
    server::{Load, State as ServerState},
};

/// Added to the cost of a backend server in another zone, because traffic between zones is charged.
const CROSS_ZONE_PENALTY: Duration = Duration::from_millis(4);
/// Added to the cost of a plain service for each recent send, so that equal servers take turns.
const RECENT_SEND_PENALTY: Duration = Duration::from_millis(1);
/// The cost of a repeated prefill, for a shared segment that is cached elsewhere, as a multiple of
/// its duration.
const REPEATED_PREFILL_WEIGHT: f64 = 3.0;
/// How much [`REPEATED_PREFILL_WEIGHT`] grows for each second that prompts wait for prefill. When
/// all engines are behind, a repeated prefill only adds work, and the queue that it avoids grows at
/// every engine.
const REPEATED_PREFILL_WEIGHT_PER_S: f64 = 30.0;
/// The part of [`REPEATED_PREFILL_WEIGHT_PER_S`] that applies to a segment which is fetched from
/// another engine's cache instead. A fetch costs little by itself, but prefixes that move often are
/// no longer cached where daemons expect them.
const FETCH_RATIO: f64 = 0.5;
/// The number of members above which [`REPEATED_PREFILL_WEIGHT_PER_S`] is scaled up with their
/// number. The more daemons place requests, the less each has observed of the others' requests, and
/// a queue that looks shorter often is not.
pub(super) const SMALL_FLEET_MEMBERS: f64 = 9.0;
/// Running requests per slot up to which daemons fill the queue of a plain service. The rest of the
/// queue absorbs requests that they have not observed yet.
const MAX_QUEUE_FILL: f64 = 2.5;

/// The inputs of the cost that are the same for all candidates of one request.
pub(super) struct Context<'a> {
    pub(super) demand: &'a Demand,
    /// The daemon's zone.
    pub(super) zone: &'a Zone,
    /// The mean time that prompts wait for prefill.
    pub(super) prefill_wait: Duration,
    pub(super) model: Model,
    /// The least slowness of a measured candidate. A plain service that has not been measured is
    /// expected to be as fast, so that it is tried at all where requests are few.
    pub(super) least_slowness: f64,
    /// How incomplete the observed load of other daemons is: 1 in a small fleet, else more.
    pub(super) staleness: f64,
    pub(super) now: Instant,
}

/// What placing a request at a candidate costs.
pub(super) struct Cost {
    pub(super) cost: Duration,
    /// The predicted time to the first event.
    pub(super) predicted: Duration,
    /// The prompt tokens to prefill.
    pub(super) uncached_tokens: u32,
}

/// The cost of a candidate. `is_first_choice` means that all daemons expect the shared prefix there.
pub(super) fn cost(
    state: &ServerState,
    load: Load,
    is_first_choice: bool,
    context: &Context<'_>,
) -> Cost {
    let &Context { demand, zone, prefill_wait, model, staleness, now, .. } = context;
    let zone_penalty = if state.server.zone == *zone { Duration::ZERO } else { CROSS_ZONE_PENALTY };
    let Some(cache_tokens) = state.server.cache_tokens else {
        return service_cost(state, load, zone_penalty, context);
    };
    let cached_here = state.uncached_tokens(demand, is_first_choice, now);
    let (uncached, fetched) = match state.server.fetch_tokens_per_ms {
        Some(_) => {
            let uncached = state.uncached_tokens(demand, true, now);
            (uncached, cached_here.saturating_sub(uncached))
        }
        None => (cached_here, 0),
    };
    let fetch_time = latency::transfer_time(
        f64::from(fetched),
        state.server.fetch_tokens_per_ms.unwrap_or(f64::INFINITY),
    );
    let predicted =
        fetch_time + model.time_to_first_event(&state.backlog(load), f64::from(uncached));
    // A repeated prefill delays all requests of that engine, not only this one.
    let repeated = uncached.saturating_sub(demand.unshared_tokens());
    let wait_weight = REPEATED_PREFILL_WEIGHT_PER_S * staleness * prefill_wait.as_secs_f64();
    let repeated_prefill =
        model.prefill_time(f64::from(repeated)).mul_f64(REPEATED_PREFILL_WEIGHT + wait_weight)
            + model
                .prefill_time(f64::from(fetched))
                .mul_f64(REPEATED_PREFILL_WEIGHT + FETCH_RATIO * wait_weight);
    let held = u64::from(load.held_tokens) + u64::from(demand.held_tokens());
    // A request that does not fit into memory preempts another one or waits for it.
    let memory_wait =
        if held > cache_tokens { model.prefill_time(held as f64) } else { Duration::ZERO };
    Cost {
        cost: predicted + repeated_prefill + zone_penalty + memory_wait,
        predicted: predicted + memory_wait,
        uncached_tokens: uncached,
    }
}

/// The same figures as [`cost`] for a plain service, which runs one request in each slot and queues
/// the rest.
fn service_cost(
    state: &ServerState,
    load: Load,
    zone_penalty: Duration,
    context: &Context<'_>,
) -> Cost {
    let slots = f64::from(state.server.slots.max(1));
    let fill = f64::from(load.running) / slots;
    let slowness = if state.is_measured() { state.slowness() } else { context.least_slowness };
    let predicted = context.model.service_time(fill, slowness);
    let overflow = if fill > MAX_QUEUE_FILL { Duration::from_secs(1) } else { Duration::ZERO };
    let send_penalty = RECENT_SEND_PENALTY * load.recent_sends;
    Cost {
        cost: predicted + zone_penalty + send_penalty + overflow,
        predicted: predicted + overflow,
        uncached_tokens: 0,
    }
}
