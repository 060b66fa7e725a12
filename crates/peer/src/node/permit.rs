//! Requests permits for this daemon's callers and checks them before use.

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

/// The time limit for the election of a scheduler.
const ELECTION_TIMEOUT: Duration = Duration::from_secs(3);
/// The delay before a failed call to a scheduler is retried, and before another check whether the node
/// has resynchronized.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// The time after the deadline of a request for which the scheduler's reply is still awaited.
const REPLY_MARGIN: Duration = Duration::from_millis(200);
/// The delay advised to callers when no scheduler is available or the deadline has passed.
const RETRY_AFTER_MS: u64 = 500;

/// A request that waits for a permit. Dropping it ends the wait.
struct OpenRequest<'a> {
    shared: &'a Shared,
    group: &'a Group,
    number: u64,
    /// Whether a reply was received. If not, a granted permit may still arrive.
    replied: bool,
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.shared.permits.lock().close_request(self.group, self.number);
        if !self.replied {
            self.shared.request_reports(self.group);
        }
    }
}

impl Node {
    /// Requests a permit and waits for the reply. The request is submitted again when the scheduler
    /// changes.
    ///
    /// Dropping the future removes the request from the queue.
    pub async fn request_permit(&self, request: PermitRequest) -> PermitReply {
        let shared = &self.shared;
        let number = shared.permits.lock().open_request(&request.group);
        let mut open = OpenRequest { shared, group: &request.group, number, replied: false };
        let reply = shared.wait_for_reply(&request, number).await;
        open.replied = true;
        if let PermitReply::Granted(permit) = &reply {
            shared.permits.lock().hold(number, permit, &request, shared.now());
        }
        drop(open);
        reply
    }

    /// Checks that a permit may still be used. Must be called immediately before the first byte of
    /// the request is sent.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request must not be sent. The permit must still be released.
    pub fn check_permit(&self, permit: &Permit) -> Result<(), StalePermit> {
        self.shared.check_permit(permit)
    }

    /// Records the total number of output tokens received with a permit.
    pub fn record_progress(&self, id: permit::Id, tokens: Tokens) {
        let group = self.shared.permits.lock().record_progress(id, tokens);
        if let Some(group) = group {
            self.shared.queue_event(&group, Event::Progress(id, tokens));
        }
    }

    /// Releases a permit. Has no effect if the permit is not in use.
    pub fn release(&self, release: Release) {
        let group = self.shared.permits.lock().release(release.id);
        if let Some(group) = group {
            self.shared.queue_event(&group, Event::Release(release));
        }
    }

    /// Whether the releases and the progress of all permits so far were sent to their schedulers, or
    /// could not be delivered.
    pub fn events_sent(&self) -> bool {
        self.shared.outbox.lock().is_empty() && self.shared.event_calls.is_empty()
    }

    /// The number of permits in use.
    pub fn permits_in_use(&self) -> usize {
        self.shared.permits.lock().len()
    }
}

impl Shared {
    async fn wait_for_reply(self: &Arc<Self>, request: &PermitRequest, number: u64) -> PermitReply {
        let key = Key::group(&request.group);
        let deadline = self.now() + Duration::from_millis(request.remaining_ms);
        let mut lease_changes = self.lease_changes.subscribe();
        loop {
            let remaining = deadline.saturating_duration_since(self.now());
            if remaining.is_zero() {
                let reason = Reason::Deadline;
                return PermitReply::Refused(Refusal { reason, retry_after_ms: RETRY_AFTER_MS });
            }
            // A permit must not be used before the node has resynchronized, and it may expire meanwhile.
            if self.is_paused() {
                time::sleep(RETRY_DELAY.min(remaining)).await;
                continue;
            }
            lease_changes.borrow_and_update();
            let Some(scheduler) = self.scheduler(key) else {
                let wait = ELECTION_TIMEOUT.min(remaining);
                if time::timeout(wait, lease_changes.changed()).await.is_err() {
                    return PermitReply::NoScheduler { retry_after_ms: RETRY_AFTER_MS };
                }
                continue;
            };
            let submission = self.submission(request, number, &scheduler, remaining);
            tokio::select! {
                reply = self.submit(&scheduler, submission, remaining) => match reply {
                    Some(reply) => return reply,
                    None => {
                        self.request_reports(&request.group);
                        time::sleep(RETRY_DELAY).await;
                    }
                },
                () = self.scheduler_changed(key, &scheduler, &mut lease_changes) => {
                    self.request_reports(&request.group);
                }
            }
        }
    }

    /// The scheduler whose permits for a group may be used now.
    fn scheduler(&self, key: Key) -> Option<Process> {
        let leases = self.leases.load();
        let lease = leases.get(&key).filter(|lease| self.now() < lease.expires_at)?;
        Some(lease.scheduler.clone())
    }

    /// Waits until permits of `scheduler` for a group may no longer be used.
    async fn scheduler_changed(
        &self,
        key: Key,
        scheduler: &Process,
        lease_changes: &mut Receiver<u64>,
    ) {
        while self.scheduler(key).is_some_and(|current| current == *scheduler) {
            if lease_changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn submission(
        &self,
        request: &PermitRequest,
        number: u64,
        scheduler: &Process,
        remaining: Duration,
    ) -> Submission {
        let remaining_ms = remaining.as_millis() as u64;
        Submission {
            number,
            home: self.own_process(),
            zone: self.identity.zone.clone(),
            scheduler: scheduler.incarnation,
            request: PermitRequest { remaining_ms, ..request.clone() },
        }
    }

    /// Submits a request to one scheduler. Returns `None` if the scheduler cannot be reached or its
    /// reply was lost.
    async fn submit(
        self: &Arc<Self>,
        scheduler: &Process,
        submission: Submission,
        remaining: Duration,
    ) -> Option<PermitReply> {
        if *scheduler == self.own_process() {
            return self.group(&submission.request.group).submit(submission).await;
        }
        let link = self.link(&scheduler.host).await.ok()?;
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + remaining + REPLY_MARGIN;
        link.client.request_permit(context, submission).await.ok().flatten()
    }

    /// Whether the process was suspended and has not resynchronized with its peers since.
    fn is_paused(&self) -> bool {
        self.timer.paused_within(Duration::ZERO)
            || self.timer.pauses() != self.resynced_pauses.load(Ordering::Acquire)
    }

    fn check_permit(&self, permit: &Permit) -> Result<(), StalePermit> {
        if self.is_paused() {
            return Err(StalePermit::Paused);
        }
        let leases = self.leases.load();
        let lease = leases.get(&Key::group(&permit.group)).ok_or(StalePermit::VoteEnded)?;
        lease.check_permit(permit, self.now())?;
        self.check_service(permit)
    }

    fn check_service(&self, permit: &Permit) -> Result<(), StalePermit> {
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
