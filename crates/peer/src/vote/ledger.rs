//! The voter's side: what this daemon has promised to whom.

use std::time::{Duration, Instant};

use hyssop_document::{collections::Map, name, number::Incarnation};

use super::{Sequence, Vote};
use crate::{identity::Process, rank::Key};

/// The promises of one daemon.
#[derive(Debug)]
pub struct Ledger {
    lease_duration: Duration,
    promises: Map<Key, Promise>,
}

#[derive(Debug)]
struct Promise {
    scheduler: Process,
    epoch: u32,
    /// Until then the daemon takes permits from this scheduler alone.
    expires_at: Instant,
    /// The first own heartbeat that no longer carries the vote, once it is being withdrawn.
    withdrawn_from: Option<Sequence>,
    /// Whether the promise binds no more: released by the scheduler, or its process has ended.
    void: bool,
}

impl Promise {
    fn is_binding(&self, now: Instant) -> bool {
        !self.void && now < self.expires_at
    }

    fn is_for(&self, scheduler: &Process) -> bool {
        self.scheduler == *scheduler && !self.void && self.withdrawn_from.is_none()
    }
}

impl Ledger {
    /// An empty ledger.
    ///
    /// The process must not send votes before the votes of its predecessor on the same host have
    /// expired or are known to be forgotten; see [`crate::member::Table::entitled`].
    pub fn new(lease: Duration) -> Self {
        Self { lease_duration: lease, promises: Map::default() }
    }

    /// Extends the promises to `scheduler`, of which a heartbeat newer than all others came in.
    pub fn renew(&mut self, scheduler: &Process, now: Instant) {
        for promise in self.promises.values_mut().filter(|p| p.is_for(scheduler)) {
            promise.expires_at = promise.expires_at.max(now + self.lease_duration);
        }
    }

    /// Notes that `scheduler` has processed the own heartbeat `sequence`.
    ///
    /// A vote that this heartbeat no longer carried is counted nowhere from now on.
    pub fn record_ack(&mut self, scheduler: &Process, sequence: Sequence) {
        for promise in self.promises.values_mut().filter(|p| p.scheduler == *scheduler) {
            if promise.withdrawn_from.is_some_and(|first| first <= sequence) {
                promise.void = true;
            }
        }
    }

    /// Notes that every process on `host` before `incarnation` has ended.
    pub fn process_ended(&mut self, host: &name::Host, incarnation: Incarnation) {
        for promise in self.promises.values_mut() {
            let scheduler = &promise.scheduler;
            if scheduler.host == *host && scheduler.incarnation < incarnation {
                promise.void = true;
            }
        }
    }

    /// Tries to bring the vote for `key` to `wanted`, whose heartbeat must have been heard.
    ///
    /// `next` is the number of the next own heartbeat. Returns whether anything changed that the
    /// next heartbeat should tell.
    pub fn move_vote(
        &mut self,
        key: Key,
        wanted: Option<&Process>,
        next: Sequence,
        now: Instant,
    ) -> bool {
        let Some(promise) = self.promises.get_mut(&key) else {
            return wanted.is_some_and(|scheduler| self.make_promise(key, scheduler, 0, now));
        };
        if wanted.is_some_and(|scheduler| promise.is_for(scheduler)) {
            return false;
        }
        if promise.is_binding(now) {
            let first = promise.withdrawn_from.is_none();
            promise.withdrawn_from.get_or_insert(next);
            return first;
        }
        let epoch = promise.epoch;
        match wanted {
            Some(scheduler) => self.make_promise(key, scheduler, epoch, now),
            None => {
                promise.void = true;
                false
            }
        }
    }

    fn make_promise(&mut self, key: Key, scheduler: &Process, epoch: u32, now: Instant) -> bool {
        let promise = Promise {
            scheduler: scheduler.clone(),
            epoch: epoch + 1,
            expires_at: now + self.lease_duration,
            withdrawn_from: None,
            void: false,
        };
        self.promises.insert(key, promise);
        true
    }

    /// The votes to send to `scheduler`: those that are neither withdrawn nor void.
    pub fn votes(&self, scheduler: &Process) -> Vec<Vote> {
        let votes = self.promises.iter().filter(|(_, promise)| promise.is_for(scheduler));
        votes.map(|(&key, promise)| Vote { key, epoch: promise.epoch }).collect()
    }

    /// The scheduler from which permits for `key` may be taken, and the end of the promise.
    pub fn scheduler(&self, key: Key, now: Instant) -> Option<(&Process, Instant)> {
        let promise = self.promises.get(&key)?;
        let usable = promise.is_binding(now) && promise.withdrawn_from.is_none();
        usable.then_some((&promise.scheduler, promise.expires_at))
    }

    /// Each group's scheduler with the epoch of the vote, as far as the vote stands.
    pub fn leases(&self, now: Instant) -> impl Iterator<Item = (Key, &Process, u32, Instant)> {
        self.promises
            .iter()
            .filter(move |(_, p)| p.is_binding(now) && p.withdrawn_from.is_none())
            .map(|(&key, p)| (key, &p.scheduler, p.epoch, p.expires_at))
    }
}
