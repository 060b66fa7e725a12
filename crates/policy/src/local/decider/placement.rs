//! Chooses the backend server for a request.

use std::time::{Duration, Instant};

use super::{
    Decider, Decision, MAX_RETRY_AFTER, MIN_RETRY_AFTER, Placement, Reason,
    candidate::{Candidate, mean_pending_tokens},
    cost::{Context, Cost, SMALL_FLEET_MEMBERS, cost},
    lateness::{Limits, Overload, saturation},
    overdue_after,
    partition::Partition,
    prefix::{cache_choices, first_choice},
};
use crate::local::{affinity, demand::Demand, server::State as ServerState};

/// The maximum random extension of a retry time, as a fraction: callers must not return together.
const RETRY_JITTER_RATIO: f64 = 0.5;

impl Decider {
    /// Chooses a backend server for a request, or refuses the request. A send must be reported with
    /// [`Self::record_sent`].
    pub fn place_request(&mut self, demand: &Demand, now: Instant) -> Decision {
        let mut selection = self.select(demand, now);
        let partition = match demand.prompt_tokens {
            0 => {
                selection.candidates.retain(|candidate| candidate.of_build);
                Partition::default()
            }
            _ => {
                self.kinds.entry(demand.pool.clone()).or_default().record(demand, now);
                self.apply_reservation(&mut selection.candidates, demand, now)
            }
        };
        if selection.candidates.is_empty() {
            let (reason, until) = selection.refusal();
            let retry_after = match until {
                Some(until) => {
                    let left = until.saturating_duration_since(now);
                    let left = left.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
                    left.mul_f64(self.retry_jitter())
                }
                None => MIN_RETRY_AFTER * 2,
            };
            return Decision::Refuse { reason, retry_after, predicted: None };
        }
        let mut placement = match self.cheapest(&selection.candidates, partition, demand, now) {
            Ok(placement) => placement,
            Err(Overload { excess, predicted }) => {
                let retry_after = self.return_time(demand, excess, now);
                let predicted = Some(predicted);
                self.hedges.record_refusal(&demand.pool, now);
                return Decision::Refuse { reason: Reason::Overload, retry_after, predicted };
            }
        };
        if let Some(refusal) = self.refusal(demand, &placement, now) {
            return refusal;
        }
        if demand.is_repeat && !self.may_repeat(&demand.pool, now) {
            let predicted = Some(placement.predicted);
            return Decision::Refuse {
                reason: Reason::Repeats,
                retry_after: MIN_RETRY_AFTER,
                predicted,
            };
        }
        placement.cache_source =
            self.cache_source(&placement.server, &selection.candidates, demand, now);
        Decision::Send(placement)
    }

    /// A factor from 1 to 1 + [`RETRY_JITTER_RATIO`] that differs in each call.
    pub(super) fn retry_jitter(&mut self) -> f64 {
        1.0 + RETRY_JITTER_RATIO * self.draw()
    }

    /// A number from 0 to 1 that differs in each call.
    pub(super) fn draw(&mut self) -> f64 {
        self.refusals += 1;
        let drawn = affinity::weight(self.settings.own_hash, self.refusals) >> 11;
        drawn as f64 / (1_u64 << 53) as f64
    }

    /// The candidate with the least cost among those that serve the request and more urgent ones in
    /// time.
    fn cheapest(
        &mut self,
        candidates: &[Candidate],
        partition: Partition,
        demand: &Demand,
        now: Instant,
    ) -> Result<Placement, Overload> {
        let limits = Limits::new(self.kinds.get(&demand.pool), partition, demand, now);
        let first_choice = first_choice(candidates, demand);
        let model = self.model(demand);
        let measured = candidates.iter().filter_map(|candidate| self.servers.get(&candidate.name));
        let measured = measured.filter(|state| state.is_measured()).map(ServerState::slowness);
        let least_slowness = measured.fold(1.0, f64::min);
        let context = Context {
            demand,
            zone: &self.settings.zone,
            prefill_wait: model.prefill_time(mean_pending_tokens(candidates)),
            model,
            least_slowness,
            staleness: (self.members.len() as f64 / SMALL_FLEET_MEMBERS).max(1.0),
            now,
        };
        let mut best: Option<(Duration, Placement)> = None;
        let mut overload = Overload { excess: Duration::MAX, predicted: Duration::MAX };
        let choices = cache_choices(candidates, demand);
        let is_choice = |hash| choices.as_ref().is_none_or(|choices| choices.contains(&hash));
        let candidates = candidates.iter().filter(|candidate| is_choice(candidate.hash));
        for Candidate { name, hash, load, reserved, .. } in candidates {
            let Some(state) = self.servers.get(name) else { continue };
            let is_first_choice = first_choice == Some(*hash);
            let Cost { cost, predicted, uncached_tokens } =
                cost(state, *load, is_first_choice, &context);
            let backlog = state.backlog(*load);
            let excess = limits.excess(predicted, &model, &backlog, *reserved);
            let cache_tokens = state.server.cache_tokens;
            let excess = match self.settings.shared_speeds {
                true => excess.max(saturation(&backlog, *load, cache_tokens, &model, demand)),
                false => excess,
            };
            if !excess.is_zero() {
                overload.excess = overload.excess.min(excess);
                overload.predicted = overload.predicted.min(predicted);
                continue;
            }
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                let placement = Placement {
                    server: name.clone(),
                    predicted,
                    overdue_after: overdue_after(predicted, demand),
                    uncached_tokens,
                    cache_source: None,
                    load: *load,
                    reserved_engines: partition.reserved,
                };
                best = Some((cost, placement));
            }
        }
        best.map(|(_, placement)| placement).ok_or(overload)
    }
}
