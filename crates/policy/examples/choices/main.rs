//! Compares strategies to choose a backend server on seeded request traces.
//!
//! One scheduler decides for 20 simulated servers. Only the strategy and the queue are measured:
//! there is no network and no daemon. Run it with
//! `cargo run --release -p hyssop-policy --example choices`.

#![allow(clippy::print_stdout)]

mod server;
mod trace;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use hyssop_document::{
    digest::Digest,
    group::Group,
    model, name,
    number::{Incarnation, Percent, Revision, Tier, Tokens},
    order,
};
use hyssop_policy::{
    choice::{ExpectedFinish, Interleaved, LeastLoaded, Strategy},
    decision::Decision,
    entry::{Entry, Ticket},
    load::Load,
    permit::{self, End, Release},
    scheduler::Scheduler,
    share::Share,
};
use server::Server;
use trace::{CLASSES, Request};

const SERVER_COUNT: usize = 20;
const STEP_MS: f64 = 5.0;
const TRACE_SECONDS: f64 = 90.0;
/// Requests before this time are not counted, so that all strategies start warm and with estimates.
const WARM_UP_MS: f64 = 20_000.0;
const STEPS_PER_REPORT: u64 = 50;
const SEEDS: [u64; 3] = [1, 2, 3];

struct Scenario {
    name: &'static str,
    rate: fn(usize, f64) -> f64,
    /// The slowdown factor of the first server from second 30 on.
    straggler: f64,
    kv_tokens: f64,
}

const SCENARIOS: [Scenario; 5] = [
    Scenario { name: "steady", rate: |_, _| 1.0, straggler: 1.0, kv_tokens: 20_000.0 },
    Scenario {
        name: "burst",
        rate: |class, at| if class == 1 && (30.0..60.0).contains(&at) { 10.0 } else { 1.0 },
        straggler: 1.0,
        kv_tokens: 20_000.0,
    },
    Scenario { name: "straggler", rate: |_, _| 1.0, straggler: 6.0, kv_tokens: 20_000.0 },
    Scenario { name: "full", rate: |_, _| 2.2, straggler: 1.0, kv_tokens: 20_000.0 },
    Scenario { name: "small-kv", rate: |_, _| 2.2, straggler: 1.0, kv_tokens: 8_000.0 },
];

type NamedStrategy = (&'static str, fn() -> Box<dyn Strategy>);

const STRATEGIES: [NamedStrategy; 3] = [
    ("least-loaded", || Box::new(LeastLoaded)),
    ("expected-finish", || Box::new(ExpectedFinish)),
    ("interleaved", || Box::new(Interleaved::default())),
];

#[derive(Debug, Clone, Default)]
struct Tally {
    sent: u64,
    attained: u64,
    refused: u64,
    missed: u64,
    elapsed_ms: Vec<f64>,
    good_tokens: f64,
    wasted_tokens: f64,
}

fn document() -> model::Document {
    let classes = CLASSES.iter().map(|class| model::Class {
        name: name::Class::new(class.name),
        tier: Tier(class.tier),
        first_token_ms: class.first_token_ms,
        complete_ms: class.deadline_ms,
        max_running_ms: class.deadline_ms,
        idempotent: true,
        floor_percent: Percent(if class.tier == 1 { 0 } else { 5 }),
    });
    let workspaces = (0..10).map(|index| model::Workspace {
        name: name::Workspace::new(&format!("w{index}")),
        share: 1,
        key_sha256: Digest::of(&[index]),
    });
    let zones = ["z0", "z1", "z2", "z3"];
    let backends = (0..SERVER_COUNT).map(|index| model::Backend {
        name: name::Backend::new(&format!("b{index:02}")),
        address: ([127, 0, 0, 1], 4000 + index as u16).into(),
        zone: name::Zone::new(zones[index % 4]),
        pool: name::Pool::new("draft"),
    });
    model::Document {
        environment: name::Environment::new("trace"),
        revision: Revision(1),
        group_size: 64,
        classes: classes.collect(),
        workspaces: workspaces.collect(),
        zones: zones.map(|zone| model::Zone { name: name::Zone::new(zone) }).to_vec(),
        pools: vec![model::Pool {
            name: name::Pool::new("draft"),
            kind: model::Kind::Model,
            latest_end_ms: 120_000,
            cold_limit: 4,
            warm_limit: 8,
            queue_limit: 1000,
        }],
        backends: backends.collect(),
    }
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    trace: &'a [Request],
    scheduler: Scheduler,
    servers: Vec<Server>,
    start: Instant,
    now_ms: f64,
    permits: BTreeMap<usize, permit::Id>,
    tallies: [Tally; 3],
    warm_up: Tally,
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, trace: &'a [Request], strategy: Box<dyn Strategy>) -> Self {
        let start = Instant::now();
        let group = Group { pool: name::Pool::new("draft"), index: 0 };
        let mut scheduler = Scheduler::builder(group, Incarnation(1))
            .seed(1)
            .share(Share::FULL)
            .strategy(strategy)
            .build(start);
        scheduler.configure(&document(), &order::State::default(), start);
        let server = |index| Server::new([20.0, 30.0][index % 2], scenario.kv_tokens);
        Self {
            scenario,
            trace,
            scheduler,
            servers: (0..SERVER_COUNT).map(server).collect(),
            start,
            now_ms: 0.0,
            permits: BTreeMap::new(),
            tallies: Default::default(),
            warm_up: Tally::default(),
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_secs_f64(self.now_ms / 1000.0)
    }

    fn run(mut self) -> [Tally; 3] {
        let mut next = 0;
        let mut step = 0;
        while next < self.trace.len() || !self.permits.is_empty() {
            self.now_ms += STEP_MS;
            step += 1;
            if self.now_ms >= 30_000.0 {
                self.servers[0].slowdown = self.scenario.straggler;
            }
            while next < self.trace.len() && self.trace[next].at_ms <= self.now_ms {
                self.enqueue(next);
                next += 1;
            }
            (0..SERVER_COUNT).for_each(|index| self.step(index));
            if step % STEPS_PER_REPORT == 0 {
                self.report();
            }
            self.poll();
        }
        self.tallies
    }

    fn tally(&mut self, request: usize) -> &mut Tally {
        let request = &self.trace[request];
        if request.at_ms < WARM_UP_MS {
            return &mut self.warm_up;
        }
        &mut self.tallies[request.class]
    }

    fn enqueue(&mut self, index: usize) {
        let request = &self.trace[index];
        self.tally(index).sent += 1;
        let class = &CLASSES[request.class];
        let entry = Entry {
            ticket: Ticket(index as u64),
            home: name::Host::new("h1"),
            home_incarnation: Incarnation(1),
            zone: name::Zone::new(["z0", "z1", "z2", "z3"][index % 4]),
            class: name::Class::new(class.name),
            workspace: name::Workspace::new(&format!("w{}", request.workspace)),
            remaining_ms: class.deadline_ms,
            prompt_tokens: Tokens(request.prompt as u64),
            max_output: None,
            prefix: Some(request.prefix),
            suspect: false,
            exclude: Vec::new(),
        };
        let now = self.now();
        self.scheduler.enqueue(entry, now);
    }

    fn poll(&mut self) {
        let now = self.now();
        for decision in self.scheduler.poll(now) {
            match decision {
                Decision::Grant { ticket, permit } => {
                    let index = ticket.0 as usize;
                    let server: usize = permit.backend.as_str()[1..].parse().expect("a number");
                    let request = &self.trace[index];
                    let (prompt, output) = (request.prompt, request.output);
                    self.servers[server].start(index, prompt, output, request.prefix);
                    self.permits.insert(index, permit.id);
                }
                Decision::Refuse { ticket, .. } => self.tally(ticket.0 as usize).refused += 1,
            }
        }
    }

    fn step(&mut self, server: usize) {
        for run in self.servers[server].step(STEP_MS) {
            self.end(&run, End::Completed);
        }
        let due = |run: &mut server::Run| {
            let request = &self.trace[run.request];
            let deadline_ms = CLASSES[request.class].deadline_ms as f64;
            self.now_ms >= request.at_ms + deadline_ms
        };
        let late: Vec<_> = self.servers[server].runs.extract_if(.., due).collect();
        for run in late {
            self.end(&run, End::TimedOut);
        }
    }

    fn end(&mut self, run: &server::Run, end: End) {
        let request = &self.trace[run.request];
        let class = &CLASSES[request.class];
        let waited_ms = self.now_ms - request.at_ms - run.elapsed_ms;
        let first_ms = run.first_token_ms.map(|first| first + waited_ms);
        let late = first_ms.is_none_or(|first| first > class.first_token_ms as f64);
        let elapsed_ms = self.now_ms - request.at_ms;
        let release = Release {
            id: self.permits.remove(&run.request).expect("a running request has a permit"),
            end,
            first_token_ms: run.first_token_ms.map(|first| first as u64),
            elapsed_ms: run.elapsed_ms as u64,
            output_tokens: Tokens(run.generated as u64),
            late: late || end != End::Completed,
        };
        let now = self.now();
        self.scheduler.release(&release, now);
        let tally = self.tally(run.request);
        if end == End::Completed {
            tally.attained += u64::from(!late);
            tally.good_tokens += run.generated;
            tally.elapsed_ms.push(elapsed_ms);
        } else {
            tally.missed += 1;
            tally.wasted_tokens += run.generated;
        }
    }

    fn report(&mut self) {
        for index in 0..SERVER_COUNT {
            let server = &self.servers[index];
            let load = Load {
                incarnation: 1,
                running: server.runs.len() as u32,
                waiting: 0,
                kv_used: server.kv_used().min(1.0) as f32,
                cold: false,
                tokens_per_s: None,
            };
            let now = self.now();
            self.scheduler.record_load(&name::Backend::new(&format!("b{index:02}")), load, now);
            for run in &self.servers[index].runs {
                let tokens = Tokens(run.generated as u64);
                self.scheduler.record_progress(self.permits[&run.request], tokens, now);
            }
        }
    }
}

fn add(sum: &mut Tally, one: Tally) {
    sum.sent += one.sent;
    sum.attained += one.attained;
    sum.refused += one.refused;
    sum.missed += one.missed;
    sum.elapsed_ms.extend(one.elapsed_ms);
    sum.good_tokens += one.good_tokens;
    sum.wasted_tokens += one.wasted_tokens;
}

fn print(scenario: &str, variant: &str, class: &str, tally: &mut Tally) {
    tally.elapsed_ms.sort_by(f64::total_cmp);
    let count = tally.elapsed_ms.len();
    let quantile = |q: f64| {
        let position = (count.saturating_sub(1) as f64 * q) as usize;
        tally.elapsed_ms.get(position).copied().unwrap_or(0.0)
    };
    let attained = 100.0 * tally.attained as f64 / tally.sent.max(1) as f64;
    let generated = (tally.good_tokens + tally.wasted_tokens).max(1.0);
    println!(
        "{scenario:<10} {variant:<16} {class:<6} {:>6} {attained:>7.2}% {:>7} {:>6} {:>7.0} {:>7.0} {:>8.0} {:>6.2}%",
        tally.sent,
        tally.refused,
        tally.missed,
        quantile(0.5),
        quantile(0.99),
        tally.good_tokens / SEEDS.len() as f64 / (TRACE_SECONDS - WARM_UP_MS / 1000.0),
        100.0 * tally.wasted_tokens / generated,
    );
}

fn main() {
    println!(
        "{:<10} {:<16} {:<6} {:>6} {:>8} {:>7} {:>6} {:>7} {:>7} {:>8} {:>7}",
        "scenario",
        "variant",
        "class",
        "sent",
        "attained",
        "refused",
        "missed",
        "p50_ms",
        "p99_ms",
        "tokens/s",
        "wasted"
    );
    for scenario in &SCENARIOS {
        for (name, strategy) in STRATEGIES {
            let mut sums: [Tally; 3] = Default::default();
            for seed in SEEDS {
                let trace = trace::generate(seed, TRACE_SECONDS, scenario.rate);
                let tallies = Simulation::new(scenario, &trace, strategy()).run();
                sums.iter_mut().zip(tallies).for_each(|(sum, one)| add(sum, one));
            }
            for (class, tally) in CLASSES.iter().zip(&mut sums) {
                print(scenario.name, name, class.name, tally);
            }
        }
    }
}
