//! Divides the engines of a pool between decode-heavy and other requests.
//!
//! For streams whose events are delayed by the prefill of long prompts in the same batch.

use std::time::Instant;

use super::{
    Decider,
    candidate::{Candidate, mean_pending_tokens},
};
use crate::local::{demand::Demand, reservation};

/// How engines are divided between decode-heavy and other requests.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Partition {
    /// The number of engines reserved for decode-heavy requests.
    pub(super) reserved: usize,
    /// Whether a reserved engine has room.
    pub(super) reserved_has_room: bool,
    /// Whether one of the other engines has room.
    pub(super) unreserved_has_room: bool,
}

impl Partition {
    /// Whether requests of a kind may use an engine. They spill over if theirs have no room.
    pub(super) fn allows(&self, decode_heavy: bool, engine_is_reserved: bool) -> bool {
        let has_room = if decode_heavy { self.reserved_has_room } else { self.unreserved_has_room };
        decode_heavy == engine_is_reserved || !has_room
    }
}

impl Decider {
    /// Keeps only the engines whose build may get the request, and of these only the engines for
    /// requests of this kind, if one of them has room.
    pub(super) fn apply_reservation(
        &mut self,
        engines: &mut Vec<Candidate>,
        demand: &Demand,
        now: Instant,
    ) -> Partition {
        let decode_heavy = engines.iter().map(|engine| engine.load.decode_heavy);
        let decode_heavy = decode_heavy.fold(0, u32::saturating_add);
        let slots = engines.last().map_or(1, |engine| engine.slots);
        let prefill_wait = self.model(demand).prefill_time(mean_pending_tokens(engines));
        let reservation = self.reservations.entry(demand.pool.clone()).or_default();
        let reserved = reservation.update(decode_heavy, slots, engines.len(), prefill_wait, now);
        engines.sort_by_cached_key(|engine| reservation::rank(engine.hash));
        engines[..reserved].iter_mut().for_each(|engine| engine.reserved = true);
        let partition = Partition {
            reserved,
            reserved_has_room: engines[..reserved].iter().any(Candidate::has_room),
            unreserved_has_room: engines[reserved..].iter().any(Candidate::has_room),
        };
        engines.retain(|engine| engine.of_build);
        let decode_heavy = reservation::is_decode_heavy(demand);
        if engines.iter().any(|engine| engine.reserved == decode_heavy && engine.has_room()) {
            engines.retain(|engine| engine.reserved == decode_heavy);
        }
        partition
    }
}
