//! What homes tell schedulers: events of permits in batches, and what they hold.

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

/// The time between two looks at what is to be reported.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// The number of looks after which every group is reported.
const ROUNDS_A_REPORT: u64 = 10;
/// The number of reports after something was lost. The second one that lacks a permit ends it.
const REPORTS_A_DOUBT: u32 = 3;
/// The time after which a report that failed is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// The longest wait for the answer to a report or a batch.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Sends events of permits in batches until the node ends.
pub(super) async fn flush(shared: Arc<Shared>) {
    loop {
        shared.flush.notified().await;
        time::sleep(shared.timing.batch_interval).await;
        let batches = std::mem::take(&mut *shared.outbox.lock());
        for batch in batches.into_values() {
            deliver(&shared, batch);
        }
    }
}

/// Sends a batch to the standing scheduler, and releases also to those that granted.
fn deliver(shared: &Arc<Shared>, batch: Batch) {
    let standing = shared.standings.load().get(&Key::group(&batch.group)).cloned();
    let standing = standing.map(|standing| standing.scheduler);
    let mut grantors: Map<Incarnation, Vec<Event>> = Map::default();
    for event in &batch.events {
        if let Event::Release(release) = event
            && standing.as_ref().is_none_or(|s| s.incarnation != release.id.scheduler)
        {
            grantors.entry(release.id.scheduler).or_default().push(*event);
        }
    }
    for (incarnation, events) in grantors {
        if let Some(process) = shared.process(incarnation) {
            post(shared, process, Batch { group: batch.group.clone(), events });
        }
    }
    if let Some(process) = standing {
        post(shared, process, batch);
    }
}

fn post(shared: &Arc<Shared>, process: Process, batch: Batch) {
    if process == shared.me() {
        shared.group(&batch.group).send(Command::Events(batch));
        return;
    }
    let shared = Arc::clone(shared);
    let group = batch.group.clone();
    tokio::spawn(async move {
        let call = async {
            let link = shared.link(&process.host).await.ok()?;
            link.client.events(tarpc::context::current(), batch).await.ok()
        };
        // A batch that is lost is made up for by reports.
        if !matches!(time::timeout(CALL_TIMEOUT, call).await, Ok(Some(()))) {
            log::debug!("events not delivered scheduler={process}");
            shared.doubt(&group);
        }
    });
}

/// Reports what the node holds: with each new vote, when something was lost, and at intervals.
pub(super) async fn report(shared: Arc<Shared>) {
    let mut moves = shared.moves.subscribe();
    let mut told: Map<Group, Told> = Map::default();
    let mut round = 0;
    let mut all = false;
    loop {
        let dues = due(&shared, &told, std::mem::take(&mut all));
        let sent = future::join_all(dues.into_iter().map(|due| send(&shared, due))).await;
        let failed = sent.iter().any(Option::is_none);
        told.extend(sent.into_iter().flatten());
        let wait = if failed { RETRY_INTERVAL } else { ROUND_INTERVAL };
        match time::timeout(wait, moves.changed()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return,
            Err(_) if failed => {}
            Err(_) => {
                round += 1;
                all = round % ROUNDS_A_REPORT == 0;
            }
        }
    }
}

/// The vote for which a scheduler has taken a report.
#[derive(Debug, PartialEq, Eq)]
struct Told {
    scheduler: Process,
    epoch: u32,
    voted: bool,
}

struct Due {
    group: Group,
    standing: Lease,
    /// Whether the scheduler knows nothing of this home's permits yet.
    full: bool,
}

/// The groups to report now: those whose vote moved, those that lost something, or all of them.
fn due(shared: &Shared, told: &Map<Group, Told>, all: bool) -> Vec<Due> {
    let current = shared.store.load();
    let Some(document) = &current.document else { return Vec::new() };
    let standings = shared.standings.load();
    let votes = shared.view.load().may_vote;
    let mut doubts = shared.doubts.lock();
    let groups = group::all(document.catalog.document()).into_iter();
    groups
        .filter_map(|(group, _)| {
            let standing = standings.get(&Key::group(&group))?.clone();
            let known = told.get(&group).is_some_and(|told| {
                let same = told.scheduler == standing.scheduler && told.epoch == standing.epoch;
                same && (told.voted || !votes)
            });
            let doubt = take_doubt(&mut doubts, &group);
            (all || doubt || !known).then_some(Due { group, standing, full: !known })
        })
        .collect()
}

/// Whether a group is to be reported because something was lost, once less from now on.
fn take_doubt(doubts: &mut Map<Group, u32>, group: &Group) -> bool {
    let Some(left) = doubts.get_mut(group) else { return false };
    *left -= 1;
    if *left == 0 {
        doubts.remove(group);
    }
    true
}

/// Sends a report. Returns for which vote it was taken in.
async fn send(shared: &Arc<Shared>, due: Due) -> Option<(Group, Told)> {
    let Due { group, standing, full } = due;
    let Lease { scheduler, epoch, .. } = standing;
    let vote = Vote { key: Key::group(&group), epoch };
    let snapshot = {
        let mut held = shared.held.lock();
        held.expire(shared.now());
        held.snapshot(&group, shared.now())
    };
    let report = Report {
        home: shared.me(),
        scheduler: scheduler.incarnation,
        group: group.clone(),
        vote,
        last_request_number: snapshot.last_request_number,
        waiting: snapshot.waiting,
        permits: snapshot.running.iter().map(|one| one.id).collect(),
        full: full.then_some(FullState {
            running: snapshot.running,
            observed_limits: snapshot.observed_limits,
        }),
    };
    let receipt = match scheduler == shared.me() {
        true => shared.group(&group).report(report).await?,
        false => call(shared, &scheduler.host, report).await?,
    };
    let expected = receipt.vote_recorded || !shared.view.load().may_vote;
    let taken = receipt.reached_scheduler && receipt.all_counted && expected;
    taken.then_some((group, Told { scheduler, epoch, voted: receipt.vote_recorded }))
}

async fn call(shared: &Shared, host: &name::Host, report: Report) -> Option<Receipt> {
    let call = async {
        let link = shared.link(host).await.ok()?;
        link.client.report(tarpc::context::current(), report).await.ok()
    };
    time::timeout(CALL_TIMEOUT, call).await.ok().flatten()
}

impl Shared {
    /// Has a group reported soon, since an answer, a release or a cancellation may be lost.
    pub(super) fn doubt(&self, group: &Group) {
        self.doubts.lock().insert(group.clone(), REPORTS_A_DOUBT);
    }
}
