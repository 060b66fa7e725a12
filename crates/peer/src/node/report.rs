//! Sends permit events and reports of requests and permits to the schedulers.
//!
//! Reports make up for lost events and replies, and let a new scheduler count the permits that
//! earlier ones granted.

use std::{sync::Arc, time::Duration};

use futures::future;
use hyssop_document::{
    collections::Map,
    group::{self, Group},
    name,
    number::Incarnation,
};
use tokio::time;

use super::Shared;
use crate::{
    group::Command,
    identity::Process,
    lease::Lease,
    message::{Batch, Event, FullState, Receipt, Report},
    rank::Key,
    vote::Vote,
};

/// The interval between two checks for reports that are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The number of checks after which every group is reported.
const CHECKS_PER_FULL_ROUND: u64 = 10;
/// The number of reports sent after a message may have been lost. The scheduler releases a permit
/// when a second report in a row lacks it.
const REPORTS_AFTER_LOSS: u32 = 3;
/// The delay before a failed report is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// The time limit for the response to a report or a batch of events.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Sends permit events in batches until the node ends.
pub(super) async fn send_events(shared: Arc<Shared>) {
    loop {
        shared.flush_trigger.notified().await;
        time::sleep(shared.timing.batch_interval).await;
        // Counts as a call, so that events are never absent from both the outbox and the calls.
        let sending = shared.event_calls.token();
        let batches = std::mem::take(&mut *shared.outbox.lock());
        for batch in batches.into_values() {
            send_batch(&shared, batch);
        }
        drop(sending);
    }
}

/// Sends a batch to the current scheduler. Sends releases also to the schedulers that granted the
/// permits.
fn send_batch(shared: &Arc<Shared>, batch: Batch) {
    let lease = shared.leases.load().get(&Key::group(&batch.group)).cloned();
    let scheduler = lease.map(|lease| lease.scheduler);
    let mut grantors: Map<Incarnation, Vec<Event>> = Map::default();
    for event in &batch.events {
        if let Event::Release(release) = event
            && scheduler.as_ref().is_none_or(|s| s.incarnation != release.id.scheduler)
        {
            grantors.entry(release.id.scheduler).or_default().push(*event);
        }
    }
    for (incarnation, events) in grantors {
        if let Some(process) = shared.live_process(incarnation) {
            send_batch_to(shared, process, Batch { group: batch.group.clone(), events });
        }
    }
    if let Some(process) = scheduler {
        send_batch_to(shared, process, batch);
    }
}

fn send_batch_to(shared: &Arc<Shared>, process: Process, batch: Batch) {
    if process == shared.own_process() {
        shared.group(&batch.group).send(Command::Events(batch));
        return;
    }
    let calls = shared.event_calls.clone();
    let shared = Arc::clone(shared);
    let group = batch.group.clone();
    calls.spawn(async move {
        let call = async {
            let link = shared.link(&process.host).await.ok()?;
            link.client.events(tarpc::context::current(), batch).await.ok()
        };
        // A lost batch is not sent again; reports make up for it.
        if !matches!(time::timeout(CALL_TIMEOUT, call).await, Ok(Some(()))) {
            log::debug!("events not delivered scheduler={process}");
            shared.request_reports(&group);
        }
    });
}

/// Reports requests and permits: after each change of a vote, after a possible loss of a message,
/// and at intervals. Returns when the node ends.
pub(super) async fn send_reports(shared: Arc<Shared>) {
    let mut lease_changes = shared.lease_changes.subscribe();
    let mut acknowledged: Map<Group, AcknowledgedVote> = Map::default();
    let mut checks = 0;
    let mut all = false;
    loop {
        let reports = due_reports(&shared, &acknowledged, std::mem::take(&mut all));
        let sent = future::join_all(reports.into_iter().map(|due| send_report(&shared, due))).await;
        let failed = sent.iter().any(Option::is_none);
        acknowledged.extend(sent.into_iter().flatten());
        let wait = if failed { RETRY_DELAY } else { CHECK_INTERVAL };
        match time::timeout(wait, lease_changes.changed()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return,
            Err(_) if failed => {}
            Err(_) => {
                checks += 1;
                all = checks % CHECKS_PER_FULL_ROUND == 0;
            }
        }
    }
}

/// The vote with the last report that its scheduler has accepted.
#[derive(Debug, PartialEq, Eq)]
struct AcknowledgedVote {
    scheduler: Process,
    epoch: u32,
    /// Whether the scheduler has recorded the vote.
    recorded: bool,
}

struct DueReport {
    group: Group,
    lease: Lease,
    /// Whether to include the state that only a new scheduler needs.
    full: bool,
}

/// The reports that are due: of groups whose vote changed, of groups for which a message may have
/// been lost, or of all groups.
fn due_reports(
    shared: &Shared,
    acknowledged: &Map<Group, AcknowledgedVote>,
    all: bool,
) -> Vec<DueReport> {
    let current = shared.store.load();
    let Some(document) = &current.document else { return Vec::new() };
    let leases = shared.leases.load();
    let may_vote = shared.view.load().may_vote;
    let mut pending = shared.pending_reports.lock();
    let groups = group::all(document.catalog.document()).into_iter();
    groups
        .filter_map(|(group, _)| {
            let lease = leases.get(&Key::group(&group))?.clone();
            let is_acknowledged = acknowledged.get(&group).is_some_and(|vote| {
                let same = vote.scheduler == lease.scheduler && vote.epoch == lease.epoch;
                same && (vote.recorded || !may_vote)
            });
            let requested = take_pending(&mut pending, &group);
            (all || requested || !is_acknowledged).then_some(DueReport {
                group,
                lease,
                full: !is_acknowledged,
            })
        })
        .collect()
}

/// Whether reports of a group are pending. Counts one of them as sent.
fn take_pending(pending: &mut Map<Group, u32>, group: &Group) -> bool {
    let Some(left) = pending.get_mut(group) else { return false };
    *left -= 1;
    if *left == 0 {
        pending.remove(group);
    }
    true
}

/// Sends a report. Returns the vote of the report if the scheduler accepted it.
async fn send_report(shared: &Arc<Shared>, due: DueReport) -> Option<(Group, AcknowledgedVote)> {
    let DueReport { group, lease, full } = due;
    let Lease { scheduler, epoch, .. } = lease;
    let vote = Vote { key: Key::group(&group), epoch };
    let snapshot = {
        let mut permits = shared.permits.lock();
        permits.expire(shared.now());
        permits.snapshot(&group, shared.now())
    };
    let report = Report {
        home: shared.own_process(),
        scheduler: scheduler.incarnation,
        group: group.clone(),
        vote,
        last_request_number: snapshot.last_request_number,
        waiting: snapshot.waiting,
        permits: snapshot.running.iter().map(|running| running.id).collect(),
        full: full.then_some(FullState {
            running: snapshot.running,
            observed_limits: snapshot.observed_limits,
        }),
    };
    let receipt = match scheduler == shared.own_process() {
        true => shared.group(&group).report(report).await?,
        false => call_report(shared, &scheduler.host, report).await?,
    };
    let vote_complete = receipt.vote_recorded || !shared.view.load().may_vote;
    let accepted = receipt.reached_scheduler && receipt.all_counted && vote_complete;
    accepted
        .then_some((group, AcknowledgedVote { scheduler, epoch, recorded: receipt.vote_recorded }))
}

async fn call_report(shared: &Shared, host: &name::Host, report: Report) -> Option<Receipt> {
    let call = async {
        let link = shared.link(host).await.ok()?;
        link.client.report(tarpc::context::current(), report).await.ok()
    };
    time::timeout(CALL_TIMEOUT, call).await.ok().flatten()
}

impl Shared {
    /// Requests reports of a group because a reply, a release or a cancellation may have been lost.
    pub(super) fn request_reports(&self, group: &Group) {
        self.pending_reports.lock().insert(group.clone(), REPORTS_AFTER_LOSS);
    }
}
