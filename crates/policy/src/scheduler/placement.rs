//! Grants permits: selects the next request and its backend server.

use std::time::{Duration, Instant};

use crate::{
    choice::{Candidate, Request},
    decision::{Decision, Reason},
    entry::{Entry, Ticket},
    permit::{self, Permit},
};

use hyssop_document::number::Tokens;
use rand::RngExt as _;

use super::{Scheduler, grants::Grant};

/// The number of requests that one poll may skip because no free backend server may run them.
const MAX_SKIPPED_REQUESTS: usize = 32;

/// A cached prefix counts only up to this multiple of the group's average number of running
/// requests.
const PREFIX_LOAD_FACTOR: f64 = 1.25;

/// The assumed time to the first token while there are no measurements.
const DEFAULT_FIRST_TOKEN_MS: f64 = 100.0;

/// The assumed time between tokens while there are no measurements.
const DEFAULT_INTER_TOKEN_MS: f64 = 20.0;

impl Scheduler {
    /// Grants permits while a backend server with room may run a waiting request.
    pub(super) fn grant_all(&mut self, now: Instant) {
        let slots = self.slots();
        let mut skipped = Vec::new();
        while skipped.len() < MAX_SKIPPED_REQUESTS && self.has_room(now) {
            let classes = &self.classes;
            let next = self.queue.next(|key| classes[key.0].floor_level(slots, now));
            let Some(ticket) = next else { break };
            match self.choose_backend(ticket, now) {
                Some(position) => self.grant(ticket, position, now),
                None => skipped.extend(self.queue.remove(ticket)),
            }
        }
        for item in skipped {
            self.queue.restore(item);
        }
    }

    fn has_room(&self, now: Instant) -> bool {
        self.backends.iter().any(|backend| backend.has_room(self.share, now))
    }

    /// The position of the backend server for the request, if one with room may run it.
    fn choose_backend(&mut self, ticket: Ticket, now: Instant) -> Option<usize> {
        let entry = &self.entries[&ticket];
        let class = self.queue.get(ticket).expect("the ticket is queued").class;
        let mut candidates = self.candidates(entry, now);
        let request = Request {
            output_tokens: self.classes[class.0].expected_output_tokens(Tokens(0), entry.max_output)
                as f64,
            prompt_tokens: entry.prompt_tokens.0,
        };
        if !candidates.is_empty() {
            // Strategies choose the first of equal candidates. A random start distributes requests
            // among them.
            let start = self.random.random_range(0..candidates.len());
            candidates.rotate_left(start);
        }
        let chosen = self.strategy.choose(&request, &candidates)?;
        Some(candidates[chosen].backend)
    }

    fn candidates(&self, entry: &Entry, now: Instant) -> Vec<Candidate> {
        let cached_at = entry.prefix.and_then(|prefix| self.prefixes.get(prefix));
        let running: u32 = self.backends.iter().map(|backend| backend.running).sum();
        let average_running = f64::from(running + 1) / self.backends.len().max(1) as f64;
        let max_running = (average_running * PREFIX_LOAD_FACTOR).ceil() as u32;
        let first_token_ms = self.first_token_ms.unwrap_or(DEFAULT_FIRST_TOKEN_MS);
        let inter_token_ms = self.inter_token_ms.unwrap_or(DEFAULT_INTER_TOKEN_MS);
        self.backends
            .iter()
            .enumerate()
            .filter(|(_, backend)| {
                backend.has_room(self.share, now)
                    && !entry.exclude.contains(&backend.model.name)
                    && !(entry.suspect && backend.running_suspects > 0)
            })
            .map(|(position, backend)| Candidate {
                backend: position,
                running: backend.occupancy(now),
                limit: backend.limit(),
                warm_limit: self.pool.as_ref().map_or(1, |pool| pool.warm_limit),
                first_token_ms: backend.speed.first_token_ms.reliable().unwrap_or(first_token_ms),
                inter_token_ms: backend.speed.inter_token_ms.reliable().unwrap_or(inter_token_ms),
                kv_used: backend.kv_used(now),
                same_zone: backend.model.zone == entry.zone,
                prefix_cached: cached_at == Some(&backend.model.name)
                    && backend.running < max_running,
            })
            .collect()
    }

    fn grant(&mut self, ticket: Ticket, position: usize, now: Instant) {
        let item = self.queue.dequeue(ticket).expect("the ticket is queued");
        let entry = self.entries.remove(&ticket).expect("a waiting ticket has an entry");
        let class = &mut self.classes[item.class.0];
        class.running += 1;
        class.granted += 1;
        let latest_end_ms = self.latest_end_ms(item.class);
        let backend = &mut self.backends[position];
        let id = permit::Id { scheduler: self.incarnation, number: self.next_permit_number };
        self.next_permit_number += 1;
        let permit = Permit {
            id,
            group: self.group.clone(),
            backend: backend.model.name.clone(),
            address: backend.model.address,
            backend_incarnation: backend.incarnation(),
            limit: backend.tracker.limit(),
            granted_at_ms: now.saturating_duration_since(self.started).as_millis() as u64,
            use_timeout_ms: permit::USE_TIMEOUT.as_millis() as u64,
            latest_end_ms,
        };
        let grant = Grant {
            backend: backend.model.name.clone(),
            class: Some(item.class),
            workspace: Some(item.workspace),
            share: item.share,
            home: entry.home,
            home_incarnation: entry.home_incarnation,
            granted_at: now,
            latest_end: now + Duration::from_millis(latest_end_ms),
            epoch: Some(backend.tracker.epoch()),
            loaded: 2 * (backend.running + 1) >= backend.slots(self.share),
            waited_in_time: (!item.deferred).then(|| now.saturating_duration_since(item.arrived)),
            suspect: entry.suspect,
            prompt_tokens: entry.prompt_tokens,
            cost_tokens: item.cost_tokens,
            last_progress: None,
        };
        backend.grant(&grant);
        if let Some(prefix) = entry.prefix {
            self.prefixes.insert(prefix, backend.model.name.clone());
        }
        self.grants.insert(id, grant);
        self.decisions.push(Decision::Grant { ticket, permit });
    }

    /// Whether any backend server in service may run the request, now or later.
    pub(super) fn is_placeable(&self, entry: &Entry) -> bool {
        self.backends
            .iter()
            .any(|backend| backend.in_service && !entry.exclude.contains(&backend.model.name))
    }

    /// Refuses all requests that no backend server in service may run.
    pub(super) fn refuse_unplaceable(&mut self, now: Instant) {
        let unplaceable: Vec<_> = self
            .entries
            .values()
            .filter(|entry| !self.is_placeable(entry))
            .map(|entry| entry.ticket)
            .collect();
        for ticket in unplaceable {
            self.refuse_waiting(ticket, Reason::NoBackend, now);
        }
    }
}
