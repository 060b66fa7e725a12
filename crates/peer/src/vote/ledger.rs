//! The voter's side: the votes that this daemon has cast.

use std::time::{Duration, Instant};

use hyssop_document::{collections::Map, name, number::Incarnation};

use super::{Sequence, Vote};
use crate::{identity::Process, rank::Key};

/// The votes cast by one daemon, each with the promise to use no other scheduler's permits.
#[derive(Debug)]
pub struct Ledger {
    lease_duration: Duration,
    promises: Map<Key, Promise>,
}

#[derive(Debug)]
struct Promise {
    scheduler: Process,
    epoch: u32,
    /// The end of the lease. Until then the daemon uses permits of no other scheduler.
    expires_at: Instant,
    /// The first heartbeat of this daemon that no longer carries the vote, if it is being
    /// withdrawn.
    withdrawn_from: Option<Sequence>,
    /// Whether the promise has ended early: the scheduler acknowledged the withdrawal, or its
    /// process has ended.
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
    /// Creates an empty ledger.
    ///
    /// A process must not send votes while votes of the former process on the same host may still
    /// count; see [`crate::member::Table::may_vote`].
    pub fn new(lease_duration: Duration) -> Self {
        Self { lease_duration, promises: Map::default() }
    }

    /// Renews all promises to `scheduler` after a new heartbeat from it.
    pub fn renew(&mut self, scheduler: &Process, now: Instant) {
        for promise in self.promises.values_mut().filter(|p| p.is_for(scheduler)) {
            promise.expires_at = promise.expires_at.max(now + self.lease_duration);
        }
    }

    /// Records that `scheduler` has acknowledged the heartbeat `sequence` of this daemon.
    ///
    /// It no longer counts a vote that was withdrawn with that heartbeat or an earlier one.
    pub fn record_ack(&mut self, scheduler: &Process, sequence: Sequence) {
        for promise in self.promises.values_mut().filter(|p| p.scheduler == *scheduler) {
            if promise.withdrawn_from.is_some_and(|first| first <= sequence) {
                promise.void = true;
            }
        }
    }

    /// Records that every process on `host` before `incarnation` has ended.
    pub fn process_ended(&mut self, host: &name::Host, incarnation: Incarnation) {
        for promise in self.promises.values_mut() {
            let scheduler = &promise.scheduler;
            if scheduler.host == *host && scheduler.incarnation < incarnation {
                promise.void = true;
            }
        }
    }

    /// Moves the vote for `key` to `preferred`, from which a heartbeat must have been received.
    ///
    /// While a promise to another scheduler is binding, its vote is withdrawn first, beginning with
    /// heartbeat `next`. Returns whether the set of votes changed, so that heartbeats should be
    /// sent at once.
    pub fn move_vote(
        &mut self,
        key: Key,
        preferred: Option<&Process>,
        next: Sequence,
        now: Instant,
    ) -> bool {
        let Some(promise) = self.promises.get_mut(&key) else {
            return preferred.is_some_and(|scheduler| self.make_promise(key, scheduler, 0, now));
        };
        if preferred.is_some_and(|scheduler| promise.is_for(scheduler)) {
            return false;
        }
        if promise.is_binding(now) {
            let first = promise.withdrawn_from.is_none();
            promise.withdrawn_from.get_or_insert(next);
            return first;
        }
        let epoch = promise.epoch;
        match preferred {
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

    /// The scheduler whose permits for `key` may be used, and the end of the lease.
    pub fn scheduler(&self, key: Key, now: Instant) -> Option<(&Process, Instant)> {
        let promise = self.promises.get(&key)?;
        let usable = promise.is_binding(now) && promise.withdrawn_from.is_none();
        usable.then_some((&promise.scheduler, promise.expires_at))
    }

    /// The votes that are neither withdrawn nor expired: key, scheduler, epoch and end of the
    /// lease.
    pub fn leases(&self, now: Instant) -> impl Iterator<Item = (Key, &Process, u32, Instant)> {
        self.promises
            .iter()
            .filter(move |(_, p)| p.is_binding(now) && p.withdrawn_from.is_none())
            .map(|(&key, p)| (key, &p.scheduler, p.epoch, p.expires_at))
    }
}
