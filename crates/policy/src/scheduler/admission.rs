//! Which requests may wait, and which are refused.

use std::time::{Duration, Instant};

use hyssop_document::number::{Tier, Tokens};
use rand::RngExt as _;

use crate::{
    decision::{Decision, Reason, Refusal},
    entry::{Entry, Ticket},
    queue::{Item, line},
};

use super::Scheduler;

/// The shortest time after which a refused request may come back.
const SHORTEST_RETRY_MS: u64 = 100;

/// The longest time after which a refused request may come back.
const LONGEST_RETRY_MS: u64 = 60_000;

/// The part by which the time to come back is stretched at random, so that refused requests do not
/// come back together.
const RETRY_JITTER: f64 = 0.5;

/// The time after which a request may come back that no backend server could run.
const NO_BACKEND_RETRY_MS: u64 = 1000;

/// The time for which requests wait while the scheduler has no slot at all.
pub(super) const WITHOUT_SLOTS: Duration = Duration::from_secs(5);

/// The number of waiting requests that one poll judges again.
const REVIEWED_PER_POLL: usize = 16;

/// A request is refused only if the estimated wait is this multiple of what its deadline allows,
/// because all that it is worked out from are averages.
const WAIT_MARGIN: f64 = 1.25;

/// The quantile of the length of answers by which a deadline is judged.
const JUDGED_QUANTILE: f64 = 0.5;

/// The same for a request that has missed its target. It is higher, so that a slot is seldom spent on
/// an answer that comes too late.
const DEFERRED_QUANTILE: f64 = 0.95;

impl Scheduler {
    pub(super) fn admit(&mut self, entry: Entry, now: Instant) {
        let ticket = entry.ticket;
        let class = self.class_keys.get(&entry.class).copied();
        let class = class.filter(|key| self.classes[key.0].declared);
        let known = self.workspaces.get(&entry.workspace).is_some_and(|w| w.declared);
        let Some(class) = class.filter(|_| known) else {
            self.refuse(ticket, Reason::UnknownName, NO_BACKEND_RETRY_MS);
            return;
        };
        let item = self.item(&entry, class, now);
        if let Err((reason, retry_after_ms)) = self.judge(&entry, &item, now) {
            self.count_refusal(class);
            self.refuse(ticket, reason, retry_after_ms);
            return;
        }
        self.entries.insert(ticket, entry);
        self.queue.push(item);
        self.shed(now);
    }

    /// Refuses the requests that no longer fit into the queue.
    pub(super) fn shed(&mut self, now: Instant) {
        while let Some(ticket) = self.queue.overflow() {
            let class = self.queue.get(ticket).expect("the overflow waits").class;
            let tier = self.queue.line(class).tier();
            self.budget.shed(tier, now);
            self.refuse_waiting(ticket, Reason::QueueFull, now);
        }
    }

    /// Refuses all requests whose class or workspace the document in force does not have.
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

    /// Refuses requests that cannot be in time any more.
    pub(super) fn refuse_hopeless(&mut self, now: Instant) {
        while let Some(ticket) = self.queue.expired(now) {
            self.refuse_waiting(ticket, Reason::Deadline, now);
        }
        self.refuse_without_slots(now);
        self.review(now);
    }

    pub(super) fn refuse_waiting(&mut self, ticket: Ticket, reason: Reason, now: Instant) {
        let Some(item) = self.queue.remove(ticket) else { return };
        self.entries.remove(&ticket);
        self.count_refusal(item.class);
        if item.deferred && reason == Reason::Deadline {
            self.classes[item.class.0].press(now);
        }
        let retry_after_ms = match reason {
            Reason::Deadline => self.excess_ms(&item, now),
            Reason::QueueFull => self.drain_ms(self.queue.line(item.class).tier()),
            _ => NO_BACKEND_RETRY_MS,
        };
        self.refuse(ticket, reason, retry_after_ms);
    }

    fn judge(&mut self, entry: &Entry, item: &Item, now: Instant) -> Result<(), (Reason, u64)> {
        if !self.is_placeable(entry) {
            return Err((Reason::NoBackend, NO_BACKEND_RETRY_MS));
        }
        if item.latest_start <= now || self.is_hopeless(item, now) {
            return Err((Reason::Deadline, self.excess_ms(item, now)));
        }
        let pressed = self.classes[item.class.0].is_pressed(now);
        let slack = item.target_start.saturating_duration_since(now);
        let wait = self.wait(item, now);
        if pressed && wait > slack {
            return Err((Reason::Deadline, (wait - slack).as_millis() as u64));
        }
        let tier = self.queue.line(item.class).tier();
        let retry = !entry.exclude.is_empty();
        if retry && !self.budget.retry(tier, now) {
            return Err((Reason::RetryBudget, self.drain_ms(tier)));
        }
        Ok(())
    }

    fn item(&self, entry: &Entry, class: line::Key, now: Instant) -> Item {
        let workspace = self.workspaces[&entry.workspace];
        let estimates = &self.classes[class.0];
        let deadline = now + Duration::from_millis(entry.remaining_ms);
        let start = |quantile| {
            let service_ms = estimates.service_ms(entry, quantile, self.inter_token_ms);
            deadline.checked_sub(Duration::from_millis(service_ms)).unwrap_or(now)
        };
        Item {
            ticket: entry.ticket,
            class,
            workspace: workspace.key,
            share: workspace.share,
            arrived: now,
            deadline,
            latest_start: start(JUDGED_QUANTILE),
            deferred_start: start(DEFERRED_QUANTILE),
            target_start: now + estimates.target_slack(),
            deferred: false,
            cost: entry.prompt_tokens.0 + estimates.output(Tokens(0), entry.max_output),
            work_ms: estimates.work_ms(entry, self.inter_token_ms),
            sequence: u64::MAX,
        }
    }

    /// The estimated time until `item` is granted, zero while nothing is known.
    ///
    /// The way that is shorter counts: by the tiers with all slots, or by the class's floor.
    fn wait(&self, item: &Item, now: Instant) -> Duration {
        let slots = self.judged_slots(now);
        if slots == 0 {
            return Duration::ZERO;
        }
        let by_tier = self.queue.work_before(item) as f64 / f64::from(slots);
        let class = &self.classes[item.class.0];
        let in_class = self.queue.line(item.class).fair_work_before(item) as f64;
        let hold = Duration::from_millis(item.work_ms);
        let rest = class.floor.rest(class.running, slots, hold, now);
        let by_floor = rest.as_secs_f64() * 1000.0 + in_class / class.floor_slots(slots);
        Duration::from_secs_f64(by_tier.min(by_floor) / 1000.0)
    }

    fn is_hopeless(&self, item: &Item, now: Instant) -> bool {
        let allowed = item.latest_start.saturating_duration_since(now);
        self.wait(item, now) > allowed.mul_f64(WAIT_MARGIN)
    }

    /// The time by which the estimated wait is too long, in milliseconds.
    fn excess_ms(&self, item: &Item, now: Instant) -> u64 {
        let allowed = item.latest_start.saturating_duration_since(now);
        self.wait(item, now).saturating_sub(allowed).as_millis() as u64
    }

    /// The time until half of the queue down to `tier` is done, in milliseconds.
    fn drain_ms(&self, tier: Tier) -> u64 {
        let lines = self.queue.lines().filter(|(_, line)| line.tier() <= tier);
        let work_ms: u64 = lines.map(|(_, line)| line.work_ms()).sum();
        work_ms / u64::from(self.slots().max(1)) / 2
    }

    fn refuse_without_slots(&mut self, now: Instant) {
        if self.quiet_until.is_some() || self.slots() > 0 || self.queue.is_empty() {
            self.without_slots_since = None;
            return;
        }
        let since = *self.without_slots_since.get_or_insert(now);
        if now.saturating_duration_since(since) < WITHOUT_SLOTS {
            return;
        }
        let waiting: Vec<_> = self.queue.items().map(|item| item.ticket).collect();
        for ticket in waiting {
            self.refuse_waiting(ticket, Reason::NoBackend, now);
        }
    }

    /// Judges some of the waiting requests again, a few in each poll, all of them in turn.
    fn review(&mut self, now: Instant) {
        let batch: Vec<_> = self.queue.after(self.reviewed, REVIEWED_PER_POLL).cloned().collect();
        self.reviewed = batch.last().map_or(0, |item| item.sequence);
        for item in batch {
            if self.is_hopeless(&item, now) {
                self.refuse_waiting(item.ticket, Reason::Deadline, now);
            }
        }
    }

    fn count_refusal(&mut self, class: line::Key) {
        self.classes[class.0].refused += 1;
    }

    fn refuse(&mut self, ticket: Ticket, reason: Reason, retry_after_ms: u64) {
        let jitter = 1.0 + RETRY_JITTER * self.random.random::<f64>();
        let least = retry_after_ms.clamp(SHORTEST_RETRY_MS, LONGEST_RETRY_MS);
        let retry_after_ms = (least as f64 * jitter) as u64;
        let refusal = Refusal { reason, retry_after_ms };
        self.decisions.push(Decision::Refuse { ticket, refusal });
    }
}
