//! The cost of a request at a scheduler: enqueue, grant, report and release.

use std::time::{Duration, Instant};

use hyssop_document::{
    digest::Digest,
    group::Group,
    model, name,
    number::{Incarnation, Percent, Revision, Tier, Tokens},
    order,
};
use hyssop_policy::{
    decision::Decision,
    entry::{Entry, Ticket},
    permit::{self, End, Release},
    scheduler::Scheduler,
    share::Share,
};

const BACKEND_COUNTS: [usize; 3] = [4, 20, 64];
const WAITING_COUNTS: [u64; 3] = [10, 1_000, 10_000];
const BACKEND_LIMIT: u32 = 8;

fn main() {
    divan::main();
}

fn document(backends: usize) -> model::Document {
    let class = |tier| model::Class {
        name: name::Class::new(&format!("c{tier}")),
        tier: Tier(tier),
        first_token_ms: 3_600_000,
        complete_ms: 3_600_000,
        max_running_ms: 3_600_000,
        idempotent: true,
        floor_percent: Percent(2),
    };
    let workspace = |index: u32| model::Workspace {
        name: name::Workspace::new(&format!("w{index}")),
        share: 1 + index % 3,
        key_sha256: Digest::of(&index.to_be_bytes()),
    };
    let backend = |index| model::Backend {
        name: name::Backend::new(&format!("b{index}")),
        address: ([127, 0, 0, 1], 4000).into(),
        zone: name::Zone::new("z1"),
        pool: name::Pool::new("draft"),
    };
    model::Document {
        environment: name::Environment::new("bench"),
        revision: Revision(1),
        group_size: 64,
        classes: (1..=8).map(class).collect(),
        workspaces: (0..100).map(workspace).collect(),
        zones: vec![model::Zone { name: name::Zone::new("z1") }],
        pools: vec![model::Pool {
            name: name::Pool::new("draft"),
            kind: model::Kind::Model,
            latest_end_ms: 3_600_000,
            cold_limit: BACKEND_LIMIT,
            warm_limit: BACKEND_LIMIT,
            queue_limit: 1_000_000,
        }],
        backends: (0..backends).map(backend).collect(),
    }
}

struct Bench {
    scheduler: Scheduler,
    now: Instant,
    ticket: u64,
    running: Vec<permit::Id>,
}

impl Bench {
    /// Creates a scheduler with all slots in use and `waiting` queued requests.
    fn new(backends: usize, waiting: u64) -> Self {
        let now = Instant::now();
        let group = Group { pool: name::Pool::new("draft"), index: 0 };
        let builder = Scheduler::builder(group, Incarnation(1)).share(Share::FULL);
        let mut scheduler = builder.build(now);
        scheduler.configure(&document(backends), &order::State::default(), now);
        let mut bench = Self { scheduler, now, ticket: 0, running: Vec::new() };
        let slots = backends as u64 * u64::from(BACKEND_LIMIT);
        (0..slots + waiting).for_each(|_| bench.enqueue());
        bench.poll();
        bench
    }

    fn enqueue(&mut self) {
        let entry = Entry {
            ticket: Ticket(self.ticket),
            home: name::Host::new("h1"),
            home_incarnation: Incarnation(1),
            zone: name::Zone::new("z1"),
            class: name::Class::new(&format!("c{}", 1 + self.ticket % 8)),
            workspace: name::Workspace::new(&format!("w{}", self.ticket * 7 % 100)),
            remaining_ms: 3_000_000 + self.ticket % 1000,
            prompt_tokens: Tokens(100),
            max_output: Some(Tokens(100)),
            prefix: Some(self.ticket % 50),
            suspect: false,
            exclude: Vec::new(),
        };
        self.ticket += 1;
        self.scheduler.enqueue(entry, self.now);
    }

    fn poll(&mut self) {
        for decision in self.scheduler.poll(self.now) {
            if let Decision::Grant { permit, .. } = decision {
                self.running.push(permit.id);
            }
        }
    }

    /// Releases one request, enqueues another and grants the next.
    fn turn(&mut self) {
        self.now += Duration::from_millis(1);
        let index = (self.ticket * 31) as usize % self.running.len();
        let release = Release {
            id: self.running.swap_remove(index),
            end: End::Completed,
            first_token_ms: Some(100),
            elapsed_ms: 1000,
            output_tokens: Tokens(100),
            late: false,
        };
        self.scheduler.release(&release, self.now);
        self.enqueue();
        self.poll();
    }
}

/// Varies the number of backend servers, with 1,000 queued requests.
#[divan::bench(args = BACKEND_COUNTS)]
fn turn_by_backends(bencher: divan::Bencher<'_, '_>, backends: usize) {
    let mut bench = Bench::new(backends, 1000);
    bencher.bench_local(|| bench.turn());
}

/// Varies the number of queued requests, with 20 backend servers.
#[divan::bench(args = WAITING_COUNTS)]
fn turn_by_waiting(bencher: divan::Bencher<'_, '_>, waiting: u64) {
    let mut bench = Bench::new(20, waiting);
    bencher.bench_local(|| bench.turn());
}
