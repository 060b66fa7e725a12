//! The time to build and serialize responses to operators, by the size of the fleet.
//!
//! The input is fixed. The counter shows the size of the response.

use std::net::SocketAddr;

use divan::{Bencher, counter::BytesCount};
use hyssop_document::{
    digest::Digest,
    group::Group,
    name,
    number::{Incarnation, Revision},
    order,
};
use hyssop_operator::{
    histogram::{self, Histogram, Report, Row},
    status::{Backend, Fleet, Host, Published, Queue, Scheduler, State},
};

const GROUP_BACKENDS: usize = 64;
const CLASSES: usize = 4;
const REQUESTS_PER_ROW: u64 = 200;
const MAX_ROWS: usize = 200;

fn main() {
    divan::main();
}

fn host_name(number: usize) -> name::Host {
    name::Host::new(&format!("host-{number:04}"))
}

fn backend(number: usize) -> Backend {
    Backend {
        backend: name::Backend::new(&format!("engine-{number:05}")),
        zone: name::Zone::new("south-1"),
        state: State::Warm,
        limit: 16,
        share: 16,
        running: 9,
        reported: Some(9),
    }
}

fn scheduler(index: usize) -> Scheduler {
    let first = index * GROUP_BACKENDS;
    let class = |number| name::Class::new(&format!("class-{number}"));
    Scheduler {
        group: Group { pool: name::Pool::new("drafting"), index: index as u32 },
        votes: 9,
        listed: 9,
        queues: (0..CLASSES).map(|number| Queue { class: class(number), waiting: 3 }).collect(),
        backends: (first..first + GROUP_BACKENDS).map(backend).collect(),
    }
}

fn host(number: usize, groups: usize, hosts: usize) -> Host {
    let published = Published { revision: Revision(7), digest: Digest::of(b"document") };
    Host {
        host: host_name(number),
        zone: name::Zone::new("south-1"),
        incarnation: Incarnation(number as u64),
        caller_address: SocketAddr::from(([10, 0, 0, 1], 8080)),
        uptime_ms: 1_000_000,
        ready: true,
        leaving: false,
        document: Some(published),
        orders: published,
        platform: true,
        rejected: None,
        conflict: None,
        traffic: Default::default(),
        running: 12,
        schedulers: (0..groups).filter(|index| index % hosts == number).map(scheduler).collect(),
    }
}

#[divan::bench(args = [(9, 24), (9, 640), (90, 640), (1100, 12_000)])]
fn status(bencher: Bencher<'_, '_>, (hosts, backends): (usize, usize)) {
    let groups = backends.div_ceil(GROUP_BACKENDS);
    let reached: Vec<_> = (0..hosts).map(|number| host(number, groups, hosts)).collect();
    let serialize = |reached| {
        let fleet = Fleet::from_hosts(host_name(0), order::State::default(), reached, Vec::new());
        serde_json::to_vec(&fleet).expect("a status is serializable")
    };
    let length = serialize(reached.clone()).len();
    let bencher = bencher.counter(BytesCount::new(length));
    bencher.with_inputs(|| reached.clone()).bench_local_values(serialize);
}

fn row(workspace: usize, class: usize) -> Row {
    let workspace = name::Workspace::new(&format!("workspace-{workspace:05}"));
    let mut row = Row::new(name::Class::new(&format!("class-{class}")), Some(workspace));
    row.answered = REQUESTS_PER_ROW;
    for time in 0..REQUESTS_PER_ROW {
        row.first_token.record_ms(100 + time * time % 700);
        row.complete.record_ms(1000 + time * time % 7000);
    }
    row
}

#[divan::bench(args = [(9, 10), (9, 100), (9, 1000)])]
fn histograms(bencher: Bencher<'_, '_>, (hosts, workspaces): (usize, usize)) {
    let rows: Vec<_> = (0..workspaces)
        .flat_map(|workspace| (0..CLASSES).map(move |class| row(workspace, class)))
        .collect();
    let reached: Vec<_> = (0..hosts).map(|number| (host_name(number), rows.clone())).collect();
    let serialize = |reached| {
        let mut report = Report::from_hosts(host_name(0), reached, Vec::new());
        report.rows = histogram::limit_rows(report.rows, MAX_ROWS);
        serde_json::to_vec(&report).expect("a report is serializable")
    };
    let length = serialize(reached.clone()).len();
    let bencher = bencher.counter(BytesCount::new(length));
    bencher.with_inputs(|| reached.clone()).bench_local_values(serialize);
}

#[divan::bench]
fn record_one_time(bencher: Bencher<'_, '_>) {
    let mut histogram = Histogram::default();
    let mut time_ms = 0;
    bencher.bench_local(|| {
        time_ms = (time_ms + 7919) % 120_000;
        histogram.record_ms(time_ms);
    });
}
