//! Where the shared prefix of a prompt is cached.
//!
//! For loads with many prompts for few shared prefixes. All daemons expect a prefix at the same few
//! engines, by rendezvous hashing, and engines fetch its KV cache from each other.

use std::time::Instant;

use hyssop_document::name::Backend;

use super::{Decider, candidate::Candidate};
use crate::local::{affinity, demand::Demand, reservation};

/// The maximum number of engines that may cache one shared prefix.
const MAX_CACHE_CHOICES: usize = 4;

impl Decider {
    /// The engine from which `server` fetches the shared prefix of a request.
    pub(super) fn cache_source(
        &self,
        server: &Backend,
        candidates: &[Candidate],
        demand: &Demand,
        now: Instant,
    ) -> Option<Backend> {
        let server = &self.servers.get(server)?.server;
        server.fetch_tokens_per_ms?;
        let first_choice = first_choice(candidates, demand);
        let [home, second_home] = self.homes(demand, now);
        // The first choice itself may lack the prefix: its home is reserved for other requests or
        // avoided now, or another engine stood in while this one was out of service.
        let sources = [first_choice, home, second_home];
        let source = sources.into_iter().flatten().find(|&hash| hash != server.hash)?;
        self.by_hash.get(&source).cloned()
    }

    /// The hashes of the two engines where the shared prefix is cached first, among all that can be
    /// reached, whether they may get this request or not.
    fn homes(&self, demand: &Demand, now: Instant) -> [Option<u32>; 2] {
        let Some(prefix) = demand.shared_prefix() else { return [None, None] };
        let mut homes = [None, None];
        for state in self.servers.values() {
            let server = &state.server;
            let leaving = self.notices.is_leaving(&server.name, server.incarnation);
            if server.pool != demand.pool || leaving || state.may_be_down(now) {
                continue;
            }
            let hash = server.hash;
            let share = self.speeds.get(&hash).copied().unwrap_or_default().share();
            let home = Some((affinity::score(hash, prefix.id, share), hash));
            if home > homes[0] {
                homes = [home, homes[0]];
            } else if home > homes[1] {
                homes[1] = home;
            }
        }
        homes.map(|home| home.map(|(_, hash)| hash))
    }
}

/// The hash of the backend server at which all daemons expect the shared prefix to be cached.
pub(super) fn first_choice(candidates: &[Candidate], demand: &Demand) -> Option<u32> {
    let prefix = demand.shared_prefix()?.id;
    let score = |candidate: &&Candidate| candidate.score(prefix);
    let first = candidates.iter().max_by(|a, b| score(a).total_cmp(&score(b)));
    first.map(|candidate| candidate.hash)
}

/// The hashes of the candidates that may cache the shared prefix of a prefill-heavy request.
///
/// For bursts that exceed what engines can prefill: if a prefix could move to any engine, daemons
/// with different views would have it prefilled at many of them.
pub(super) fn cache_choices(candidates: &[Candidate], demand: &Demand) -> Option<Vec<u32>> {
    let prefix = demand.shared_prefix()?;
    if demand.has_begun() || reservation::is_decode_heavy(demand) {
        return None;
    }
    let scored = candidates.iter().map(|candidate| (candidate.score(prefix.id), candidate.hash));
    let mut scored: Vec<(f64, u32)> = scored.collect();
    scored.sort_by(|(a, _), (b, _)| b.total_cmp(a));
    scored.truncate(MAX_CACHE_CHOICES);
    Some(scored.into_iter().map(|(_, hash)| hash).collect())
}
