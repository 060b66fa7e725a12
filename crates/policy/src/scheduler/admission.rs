//! Admission control: which requests may wait, and which are refused.

use std::time::{Duration, Instant};

use hyssop_document::number::{Tier, Tokens};
use rand::RngExt as _;

use crate::{
    decision::{Decision, Reason, Refusal},
    entry::{Entry, Ticket},
    queue::{Item, class_queue},
};

use super::Scheduler;

/// The minimum time after which a refused request may be retried.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// The maximum time after which a refused request may be retried, before jitter.
const MAX_RETRY_AFTER_MS: u64 = 60_000;

/// The maximum fraction by which jitter extends the retry time, so that refused requests do not
/// return together.
const RETRY_JITTER_RATIO: f64 = 0.5;

/// The retry time of refusals that are not caused by load.
const DEFAULT_RETRY_AFTER_MS: u64 = 1000;

/// Waiting requests are refused after the scheduler has had no slot for this time.
pub(super) const NO_SLOTS_TIMEOUT: Duration = Duration::from_secs(5);

/// The number of waiting requests that one poll checks again.
const RECHECKS_PER_POLL: usize = 16;

/// The multiple of the queue's limit up to which a scheduler that takes over keeps requests. It bounds
/// what the requests of a few seconds may occupy.
const TAKEOVER_QUEUE_FACTOR: usize = 2;

/// A request is refused only if its estimated wait exceeds the time to its latest start by this
/// factor, because the estimates are averages.
const WAIT_MARGIN_FACTOR: f64 = 1.25;

/// The quantile of the service time that is used to check a deadline.
const DEADLINE_QUANTILE: f64 = 0.5;

/// The quantile for requests that have missed their target. It is higher, so that a slot is seldom
/// spent on a response that comes too late.
const DEFERRED_QUANTILE: f64 = 0.95;

impl Scheduler {
    pub(super) fn admit(&mut self, entry: Entry, now: Instant) {
        let ticket = entry.ticket;
        let class = self.class_keys.get(&entry.class).copied();
        let class = class.filter(|key| self.classes[key.0].declared);
        let workspace_declared = self.workspaces.get(&entry.workspace).is_some_and(|w| w.declared);
        let Some(class) = class.filter(|_| workspace_declared) else {
            self.refuse(ticket, Reason::UnknownName, DEFAULT_RETRY_AFTER_MS);
            return;
        };
        let item = self.item(&entry, class, now);
        if let Err((reason, retry_after_ms)) = self.check_admission(&entry, &item, now) {
            self.count_refusal(class);
            self.refuse(ticket, reason, retry_after_ms);
            return;
        }
        self.entries.insert(ticket, entry);
        self.queue.push(item);
        self.shed(now);
    }

    /// Refuses the requests that exceed the limit of the queue.
    pub(super) fn shed(&mut self, now: Instant) {
        while let Some(ticket) = self.queue.next_to_shed() {
            let class = self.queue.get(ticket).expect("the entry to shed is queued").class;
            let tier = self.queue.class_queue(class).tier();
            if self.awaits_lower(tier, now) {
                return;
            }
            self.budget.record_shed(tier, now);
            self.refuse_waiting(ticket, Reason::QueueFull, now);
        }
    }

    /// Whether requests of lower tiers may still arrive that are to be shed before those of `tier`.
    ///
    /// Homes submit their waiting requests again one after the other when the scheduler changes. A
    /// scheduler that takes over keeps the requests of higher tiers until it holds those of all homes.
    fn awaits_lower(&self, tier: Tier, now: Instant) -> bool {
        let limit = self.pool.as_ref().map_or(0, |pool| pool.queue_limit);
        let unreserved: usize = self.queue.class_queues().map(|(_, q)| q.unreserved()).sum();
        let mut declared = self.classes.iter().filter(|class| class.declared);
        self.is_taking_over(now)
            && unreserved <= limit * TAKEOVER_QUEUE_FACTOR
            && declared.any(|class| class.model.tier > tier)
    }

    /// Refuses all requests whose class or workspace the document in force does not declare.
    pub(super) fn refuse_undeclared(&mut self, now: Instant) {
        let undeclared: Vec<_> = self
            .entries
            .values()
            .filter(|entry| {
                let class = self.class_keys[&entry.class];
                !self.classes[class.0].declared || !self.workspaces[&entry.workspace].declared
            })
            .map(|entry| entry.ticket)
            .collect();
        for ticket in undeclared {
            self.refuse_waiting(ticket, Reason::UnknownName, now);
        }
        self.refuse_unplaceable(now);
    }

    /// Refuses requests that can no longer meet their deadlines.
    pub(super) fn refuse_late(&mut self, now: Instant) {
        while let Some(ticket) = self.queue.expired(now) {
            self.refuse_waiting(ticket, Reason::Deadline, now);
        }
        self.refuse_without_slots(now);
        self.recheck(now);
    }

    pub(super) fn refuse_waiting(&mut self, ticket: Ticket, reason: Reason, now: Instant) {
        let Some(item) = self.queue.remove(ticket) else { return };
        self.entries.remove(&ticket);
        self.count_refusal(item.class);
        if item.deferred && reason == Reason::Deadline {
            self.classes[item.class.0].mark_overloaded(now);
        }
        let retry_after_ms = match reason {
            Reason::Deadline => self.excess_wait_ms(&item, now),
            Reason::QueueFull => self.half_drain_ms(self.queue.class_queue(item.class).tier()),
            _ => DEFAULT_RETRY_AFTER_MS,
        };
        self.refuse(ticket, reason, retry_after_ms);
    }

    fn check_admission(
        &mut self,
        entry: &Entry,
        item: &Item,
        now: Instant,
    ) -> Result<(), (Reason, u64)> {
        if !self.is_placeable(entry) {
            return Err((Reason::NoBackend, DEFAULT_RETRY_AFTER_MS));
        }
        if item.latest_start <= now || self.misses_deadline(item, now) {
            return Err((Reason::Deadline, self.excess_wait_ms(item, now)));
        }
        let overloaded = self.classes[item.class.0].is_overloaded(now);
        let slack = item.target_start.saturating_duration_since(now);
        let wait = self.expected_wait(item, now);
        if overloaded && wait > slack {
            return Err((Reason::Deadline, (wait - slack).as_millis() as u64));
        }
        let tier = self.queue.class_queue(item.class).tier();
        let retry = !entry.exclude.is_empty();
        if retry && !self.budget.try_spend(tier, now) {
            return Err((Reason::RetryBudget, self.half_drain_ms(tier)));
        }
        Ok(())
    }

    fn item(&self, entry: &Entry, class: class_queue::Key, now: Instant) -> Item {
        let workspace = self.workspaces[&entry.workspace];
        let estimates = &self.classes[class.0];
        let deadline = now + Duration::from_millis(entry.remaining_ms);
        let start = |quantile| {
            let service_ms = estimates.service_ms_quantile(entry, quantile, self.inter_token_ms);
            deadline.checked_sub(Duration::from_millis(service_ms)).unwrap_or(now)
        };
        Item {
            ticket: entry.ticket,
            class,
            workspace: workspace.key,
            share: workspace.share,
            arrived: now,
            deadline,
            latest_start: start(DEADLINE_QUANTILE),
            deferred_latest_start: start(DEFERRED_QUANTILE),
            target_start: now + estimates.target_slack(),
            deferred: false,
            cost_tokens: entry.prompt_tokens.0
                + estimates.expected_output_tokens(Tokens(0), entry.max_output),
            work_ms: estimates.work_ms(entry, self.inter_token_ms),
            sequence: u64::MAX,
        }
    }

    /// The estimated time until `item` is granted, zero without estimates.
    ///
    /// This is the shorter of two waits: for the work of its own and higher tiers in all slots, and
    /// for the work of its class in the slots of the class's floor.
    fn expected_wait(&self, item: &Item, now: Instant) -> Duration {
        let slots = self.admission_slots(now);
        if slots == 0 {
            return Duration::ZERO;
        }
        let by_tier_ms = self.queue.work_ms_before(item) as f64 / f64::from(slots);
        let class = &self.classes[item.class.0];
        let in_class_ms = self.queue.class_queue(item.class).fair_work_ms_before(item) as f64;
        let hold = Duration::from_millis(item.work_ms);
        let cooldown = class.floor.cooldown(class.running, slots, hold, now);
        let by_floor_ms = cooldown.as_secs_f64() * 1000.0 + in_class_ms / class.floor_slots(slots);
        Duration::from_secs_f64(by_tier_ms.min(by_floor_ms) / 1000.0)
    }

    fn misses_deadline(&self, item: &Item, now: Instant) -> bool {
        let allowed = item.latest_start.saturating_duration_since(now);
        self.expected_wait(item, now) > allowed.mul_f64(WAIT_MARGIN_FACTOR)
    }

    /// The time by which the estimated wait exceeds the time to the latest start, in milliseconds.
    fn excess_wait_ms(&self, item: &Item, now: Instant) -> u64 {
        let allowed = item.latest_start.saturating_duration_since(now);
        self.expected_wait(item, now).saturating_sub(allowed).as_millis() as u64
    }

    /// The time until half of the queued work of `tier` and higher tiers is done, in milliseconds.
    fn half_drain_ms(&self, tier: Tier) -> u64 {
        let class_queues = self.queue.class_queues().filter(|(_, queue)| queue.tier() <= tier);
        let work_ms: u64 = class_queues.map(|(_, queue)| queue.work_ms()).sum();
        work_ms / u64::from(self.slots().max(1)) / 2
    }

    fn refuse_without_slots(&mut self, now: Instant) {
        if self.paused_until.is_some() || self.slots() > 0 || self.queue.is_empty() {
            self.without_slots_since = None;
            return;
        }
        let since = *self.without_slots_since.get_or_insert(now);
        if now.saturating_duration_since(since) < NO_SLOTS_TIMEOUT {
            return;
        }
        let waiting: Vec<_> = self.queue.items().map(|item| item.ticket).collect();
        for ticket in waiting {
            self.refuse_waiting(ticket, Reason::NoBackend, now);
        }
    }

    /// Checks a few waiting requests again, in turn over successive polls.
    fn recheck(&mut self, now: Instant) {
        let batch: Vec<_> =
            self.queue.entries_after(self.last_rechecked, RECHECKS_PER_POLL).cloned().collect();
        self.last_rechecked = batch.last().map_or(0, |item| item.sequence);
        for item in batch {
            if self.misses_deadline(&item, now) {
                self.refuse_waiting(item.ticket, Reason::Deadline, now);
            }
        }
    }

    fn count_refusal(&mut self, class: class_queue::Key) {
        self.classes[class.0].refused += 1;
    }

    fn refuse(&mut self, ticket: Ticket, reason: Reason, retry_after_ms: u64) {
        let jitter = 1.0 + RETRY_JITTER_RATIO * self.random.random::<f64>();
        let clamped_ms = retry_after_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
        let retry_after_ms = (clamped_ms as f64 * jitter) as u64;
        let refusal = Refusal { reason, retry_after_ms };
        self.decisions.push(Decision::Refuse { ticket, refusal });
    }
}
