//! Permits, as a request's home takes and uses them.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use hyssop_document::{group::Group, number::Tokens};
use hyssop_policy::{
    decision::{Reason, Refusal},
    permit::{self, Permit, Release},
};
use tokio::{sync::watch::Receiver, time};

use super::{Node, Shared};
use crate::{
    identity::Process,
    lease::StalePermit,
    message::{Event, PermitReply, PermitRequest, Submission},
    rank::Key,
};

/// The longest wait for a scheduler to be elected.
const SCHEDULER_WAIT: Duration = Duration::from_secs(3);
/// The pause before a scheduler is asked again after a failed call.
const ASK_AGAIN: Duration = Duration::from_millis(20);
/// The time that a scheduler has to answer after the deadline of the request.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// The time after which a refused request may come back when no scheduler can be asked.
const RETRY_AFTER_MS: u64 = 500;

/// Closes a request's number when the wait for its permit ends.
struct Open<'a> {
    shared: &'a Shared,
    group: &'a Group,
    number: u64,
    /// Whether the scheduler has answered. If not, a grant may be on its way.
    answered: bool,
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.shared.held.lock().close_request(self.group, self.number);
        if !self.answered {
            self.shared.doubt(self.group);
        }
    }
}

impl Node {
    /// Asks for a permit and waits for the verdict, over changes of the scheduler.
    ///
    /// Dropping the future takes the request out of the queue.
    pub async fn permit(&self, ask: PermitRequest) -> PermitReply {
        let shared = &self.shared;
        let number = shared.held.lock().open_request(&ask.group);
        let mut open = Open { shared, group: &ask.group, number, answered: false };
        let verdict = shared.wait_for_verdict(&ask, number).await;
        open.answered = true;
        if let PermitReply::Granted(permit) = &verdict {
            shared.held.lock().hold(number, permit, &ask, shared.now());
        }
        drop(open);
        verdict
    }

    /// Checks immediately before the first byte goes out that a permit may still be used.
    ///
    /// # Errors
    ///
    /// Says why the request must not be sent. The permit is still to be released.
    pub fn confirm(&self, permit: &Permit) -> Result<(), StalePermit> {
        self.shared.confirm(permit)
    }

    /// Notes the tokens that have arrived on a permit.
    pub fn progress(&self, id: permit::Id, tokens: Tokens) {
        let group = self.shared.held.lock().progress(id, tokens);
        if let Some(group) = group {
            self.shared.queue_event(&group, Event::Progress(id, tokens));
        }
    }

    /// Ends the use of a permit.
    pub fn release(&self, release: Release) {
        let group = self.shared.held.lock().release(release.id);
        if let Some(group) = group {
            self.shared.queue_event(&group, Event::Release(release));
        }
    }

    /// The number of permits in use.
    pub fn running(&self) -> usize {
        self.shared.held.lock().len()
    }
}

impl Shared {
    async fn wait_for_verdict(self: &Arc<Self>, ask: &PermitRequest, number: u64) -> PermitReply {
        let key = Key::group(&ask.group);
        let deadline = self.now() + Duration::from_millis(ask.remaining_ms);
        let mut moves = self.moves.subscribe();
        loop {
            let remaining = deadline.saturating_duration_since(self.now());
            if remaining.is_zero() {
                let reason = Reason::Deadline;
                return PermitReply::Refused(Refusal { reason, retry_after_ms: RETRY_AFTER_MS });
            }
            moves.borrow_and_update();
            let Some(scheduler) = self.scheduler(key) else {
                let wait = SCHEDULER_WAIT.min(remaining);
                if time::timeout(wait, moves.changed()).await.is_err() {
                    return PermitReply::NoScheduler { retry_after_ms: RETRY_AFTER_MS };
                }
                continue;
            };
            let request = self.request(ask, number, &scheduler, remaining);
            tokio::select! {
                verdict = self.ask(&scheduler, request, remaining) => match verdict {
                    Some(verdict) => return verdict,
                    None => {
                        self.doubt(&ask.group);
                        time::sleep(ASK_AGAIN).await;
                    }
                },
                () = self.scheduler_moved(key, &scheduler, &mut moves) => self.doubt(&ask.group),
            }
        }
    }

    /// The scheduler from which permits for a group may be taken now.
    fn scheduler(&self, key: Key) -> Option<Process> {
        let standings = self.standings.load();
        let standing = standings.get(&key).filter(|standing| self.now() < standing.expires_at)?;
        Some(standing.scheduler.clone())
    }

    /// Waits until permits for a group may no longer be taken from `scheduler`.
    async fn scheduler_moved(&self, key: Key, scheduler: &Process, moves: &mut Receiver<u64>) {
        while self.scheduler(key).is_some_and(|standing| standing == *scheduler) {
            if moves.changed().await.is_err() {
                return;
            }
        }
    }

    fn request(
        &self,
        ask: &PermitRequest,
        number: u64,
        scheduler: &Process,
        remaining: Duration,
    ) -> Submission {
        let remaining_ms = remaining.as_millis() as u64;
        Submission {
            number,
            home: self.me(),
            zone: self.identity.zone.clone(),
            scheduler: scheduler.incarnation,
            request: PermitRequest { remaining_ms, ..ask.clone() },
        }
    }

    /// Asks one scheduler. `None` if it cannot be asked, or its answer was lost.
    async fn ask(
        self: &Arc<Self>,
        scheduler: &Process,
        submission: Submission,
        remaining: Duration,
    ) -> Option<PermitReply> {
        if *scheduler == self.me() {
            return self.group(&submission.request.group).ask(submission).await;
        }
        let link = self.link(&scheduler.host).await.ok()?;
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + remaining + ANSWER_MARGIN;
        link.client.request_permit(context, submission).await.ok().flatten()
    }

    fn confirm(&self, permit: &Permit) -> Result<(), StalePermit> {
        let paused = self.timer.paused_within(Duration::ZERO)
            || self.timer.pauses() != self.refreshed_pauses.load(Ordering::Acquire);
        if paused {
            return Err(StalePermit::Paused);
        }
        let standings = self.standings.load();
        let standing = standings.get(&Key::group(&permit.group)).ok_or(StalePermit::VoteEnded)?;
        standing.check_permit(permit, self.now())?;
        self.in_service(permit)
    }

    fn in_service(&self, permit: &Permit) -> Result<(), StalePermit> {
        let current = self.store.load();
        let document = current.document.as_ref().ok_or(StalePermit::Removed)?;
        let backends = &document.catalog.document().backends;
        let backend = backends
            .iter()
            .find(|b| b.name == permit.backend && b.address == permit.address)
            .ok_or(StalePermit::Removed)?;
        match current.orders.zones_out.contains(&backend.zone) {
            true => Err(StalePermit::ZoneOut),
            false => Ok(()),
        }
    }
}
