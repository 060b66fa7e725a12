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
    core::Standing,
    group::Command,
    identity::Process,
    message::{Batch, Event, Report},
    rank::Key,
    vote::Vote,
};

/// The time between two reports of a vote that has not moved.
const REPORT_INTERVAL: Duration = Duration::from_millis(1000);
/// The time after which a report that failed is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The longest wait for the answer to a report or a batch.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Sends events of permits in batches until the node ends.
pub(super) async fn flush(shared: Arc<Shared>) {
    loop {
        shared.flush.notified().await;
        time::sleep(shared.timing.batch).await;
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
    tokio::spawn(async move {
        let call = async {
            let link = shared.link(&process.host).await.ok()?;
            link.client.events(tarpc::context::current(), batch).await.ok()
        };
        // A batch that is lost is made up for by the next report.
        if !matches!(time::timeout(CALL_TIMEOUT, call).await, Ok(Some(()))) {
            log::debug!("events not delivered scheduler={process}");
        }
    });
}

/// Reports what the node holds with each new vote, and at intervals.
pub(super) async fn report(shared: Arc<Shared>) {
    let mut moves = shared.moves.subscribe();
    let mut done: Map<Group, (Process, u32)> = Map::default();
    let mut full = false;
    loop {
        let reports = due(&shared, &done, full);
        full = false;
        let sent = future::join_all(reports.into_iter().map(|due| send(&shared, due))).await;
        let failed = sent.iter().any(Option::is_none);
        done.extend(sent.into_iter().flatten());
        let wait = if failed { RETRY_INTERVAL } else { REPORT_INTERVAL };
        match time::timeout(wait, moves.changed()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return,
            Err(_) => full = !failed,
        }
    }
}

struct Due {
    group: Group,
    standing: Standing,
}

/// The groups to report now: those whose vote moved, or all of them.
fn due(shared: &Shared, done: &Map<Group, (Process, u32)>, full: bool) -> Vec<Due> {
    let current = shared.store.load();
    let Some(document) = &current.document else { return Vec::new() };
    let standings = shared.standings.load();
    let groups = group::all(document.catalog.document()).into_iter();
    groups
        .filter_map(|(group, _)| {
            let standing = standings.get(&Key::group(&group))?.clone();
            let told = done.get(&group);
            let told = told.is_some_and(|(process, epoch)| {
                *process == standing.scheduler && *epoch == standing.epoch
            });
            (full || !told).then_some(Due { group, standing })
        })
        .collect()
}

/// Sends a report. Returns for which vote it was taken in.
async fn send(shared: &Arc<Shared>, due: Due) -> Option<(Group, (Process, u32))> {
    let Due { group, standing } = due;
    let Standing { scheduler, epoch, .. } = standing;
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
        last_number: snapshot.last_number,
        waiting: snapshot.waiting,
        running: snapshot.running,
    };
    let taken = match scheduler == shared.me() {
        true => {
            shared.group(&group).send(Command::Report(Box::new(report)));
            true
        }
        false => call(shared, &scheduler.host, report).await,
    };
    taken.then_some((group, (scheduler, epoch)))
}

async fn call(shared: &Shared, host: &name::Host, report: Report) -> bool {
    let call = async {
        let link = shared.link(host).await.ok()?;
        link.client.report(tarpc::context::current(), report).await.ok()
    };
    time::timeout(CALL_TIMEOUT, call).await.ok().flatten().unwrap_or(false)
}
