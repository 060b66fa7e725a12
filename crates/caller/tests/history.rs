//! Histories of concurrent callers that resend through other daemons while these are killed and
//! frozen, relays are lost, and backend servers die.
//!
//! Time is simulated and callers and faults are drawn from a seed. Histories of one seed are alike but
//! not equal, since times of issue come from the system's clock and hash maps are seeded anew. Each key
//! is checked as a register that is written at most once, by the execution, and that a "not run" seals.

mod bench;

use std::{sync::Arc, time::Duration};

use bench::{
    Bench, Call, Reply,
    engine::{Behavior, Fleet, booked, expected},
    process::State,
};
use hyssop_caller::{handler::Handler as _, home::Limits, permits::Decision, registry};
use hyssop_document::collections::Map;
use hyssop_policy::decision::{Reason, Refusal};
use parking_lot::Mutex;
use porcupine_rs::{Model, Operation, check_operations};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng, seq::IndexedRandom as _};
use tokio::time::{Instant, sleep, timeout};

/// The first histories. Seeds 1, 13 and 40 once found faults.
const SEEDS: u64 = 50;
const HOMES: u64 = 3;
const CALLERS: u64 = 12;
const REQUESTS: u64 = 10;
const SENDS: u32 = 5;
const FAULTS: u64 = 60;
const SERVERS: usize = 5;
const BEHAVIORS: [Behavior; 5] = [
    Behavior::Interrupt(2),
    Behavior::Timeout(4),
    Behavior::Overloaded,
    Behavior::Hang,
    Behavior::Diverge(3),
];

/// What was seen of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Seen {
    Executed,
    Answered,
    NotRun,
}

/// A key as a register.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Register {
    Empty,
    Written,
    Sealed,
}

#[derive(Debug, Clone)]
struct Key;

impl Model for Key {
    type State = Register;
    type Op = Seen;
    type Metadata = ();

    fn init() -> Register {
        Register::Empty
    }

    fn step(state: &Register, op: &Seen) -> (bool, Register) {
        match (state, op) {
            (Register::Empty, Seen::Executed) => (true, Register::Written),
            (Register::Written, Seen::Answered) => (true, Register::Written),
            (Register::Empty | Register::Sealed, Seen::NotRun) => (true, Register::Sealed),
            (state, _) => (false, *state),
        }
    }
}

/// One request as its caller saw it.
#[derive(Debug, Clone)]
struct Sent {
    body: String,
    from: Instant,
    to: Instant,
    seen: Seen,
}

struct World {
    homes: Mutex<Vec<Bench>>,
    wire: Arc<bench::FakeRelay>,
    fleet: Arc<Fleet>,
    started: Instant,
    sent: Mutex<Vec<Sent>>,
    wrong: Mutex<Vec<String>>,
    counts: Mutex<Map<&'static str, u64>>,
}

impl World {
    fn new() -> Arc<Self> {
        let mut fleet = Fleet::build(SERVERS);
        fleet.chunk_interval = Duration::from_millis(20);
        let world = Self {
            homes: Mutex::default(),
            wire: Arc::default(),
            fleet: Arc::new(fleet),
            started: Instant::now(),
            sent: Mutex::default(),
            wrong: Mutex::default(),
            counts: Mutex::default(),
        };
        for number in 1..=HOMES {
            world.start(number, 0);
        }
        Arc::new(world)
    }

    /// Starts the daemon of a host, in the place of the one that runs there.
    fn start(&self, host: u64, run: u64) {
        let suspects = match self.homes.lock().first() {
            Some(home) => Arc::clone(&home.quarantine),
            None => Arc::default(),
        };
        let number = host + 100 * run;
        let limits = Limits { abandon_grace: Duration::from_millis(300), ..Limits::default() };
        let fleet = Arc::clone(&self.fleet);
        let home = Bench::with(number, fleet, suspects, Arc::clone(&self.wire), |builder| {
            // The registry is so small that it gets full now and then.
            let keys = registry::Limits {
                max_keys: 25,
                retention: Duration::from_secs(2),
                ..registry::Limits::default()
            };
            builder.limits(limits).registry_limits(keys).clock(Arc::new(bench::Simulated))
        });
        let address = ([127, 0, 0, 1], host as u16).into();
        self.wire.homes.lock().insert(address, (home.home.clone(), home.process.clone()));
        let mut homes = self.homes.lock();
        for other in homes.iter() {
            home.directory.peers.lock().insert(other.directory.own, other.address);
            other.directory.peers.lock().insert(home.directory.own, address);
        }
        let home = Bench { address, ..home };
        match homes.iter().position(|old| old.address == address) {
            Some(place) => homes[place] = home,
            None => homes.push(home),
        }
    }

    fn count(&self, what: &'static str) {
        *self.counts.lock().entry(what).or_insert(0) += 1;
    }
}

/// Sends a request. A caller that gives up closes its connection, or the request stays on its way
/// for a time, which may be longer than keys are remembered.
async fn send(
    world: &World,
    home: usize,
    call: Call,
    patience: Duration,
    delay: Duration,
) -> Option<Reply> {
    let (home, process) = {
        let homes = world.homes.lock();
        (homes[home].home.clone(), homes[home].process.clone())
    };
    let task = tokio::spawn(async move {
        sleep(delay).await;
        process.wait_running().await;
        let (head, body) = call.parts();
        let reply = Reply::read(home.serve(head, body).await).await;
        // A reply that was written before the daemon froze or died may not get out.
        process.wait_running().await;
        reply
    });
    let abort = task.abort_handle();
    let reply = timeout(patience, task).await;
    if reply.is_err() && delay.is_zero() {
        abort.abort();
    }
    reply.ok().and_then(Result::ok)
}

/// The time that a request is on its way, mostly none.
fn delay(random: &mut StdRng) -> Duration {
    let most = [0, 0, 0, 50, 500, 4000].choose(random).copied().unwrap_or(0);
    Duration::from_millis(random.random_range(0..=most))
}

/// A caller's requests, one after the other, each sent as often as its rules allow.
async fn caller(world: Arc<World>, number: u64, mut random: StdRng) {
    for request in 0..REQUESTS {
        sleep(Duration::from_millis(random.random_range(0..100))).await;
        if random.random_bool(0.3) {
            draft(&world, &format!("draft {number} {request}"), &mut random).await;
        } else {
            booking(&world, &format!("booking {number} {request}"), &mut random).await;
        }
    }
}

async fn booking(world: &World, name: &str, random: &mut StdRng) {
    let mut generation = 0;
    let mut key = None;
    world.count("bookings");
    for _ in 0..SENDS {
        let home = random.random_range(0..HOMES as usize);
        let body = format!("{name} {generation}.");
        let own = key.get_or_insert_with(|| {
            let home = world.homes.lock()[home].directory.own;
            let now = bench::now_ms() + world.started.elapsed().as_millis() as u64;
            format!("{home}.{now}.{}", body.replace([' ', '.'], "-"))
        });
        let call = Call::booking(&body).key(own.clone());
        let from = Instant::now();
        let patience = Duration::from_millis(random.random_range(10..400));
        let reply = send(world, home, call, patience, delay(random)).await;
        let Some(reply) = reply else {
            world.count("timed out");
            continue;
        };
        let seen = match reply.outcome.as_str() {
            "answered" if reply.body == booked(&body) => Seen::Answered,
            "refused" => Seen::NotRun,
            "unknown" | "failed" => {
                world.count("unknown");
                continue;
            }
            _ => return world.wrong.lock().push(format!("{body}: {reply:?}")),
        };
        world.sent.lock().push(Sent { body, from, to: Instant::now(), seen });
        match seen {
            Seen::NotRun => {
                world.count("not run");
                generation += 1;
                key = None;
            }
            _ => return world.count("answered"),
        }
    }
}

async fn draft(world: &World, name: &str, random: &mut StdRng) {
    let mut call = Call::draft(name);
    if random.random_bool(0.5) {
        call = call.stream();
    }
    let home = random.random_range(0..HOMES as usize);
    let own = world.homes.lock()[home].directory.own;
    let now = bench::now_ms() + world.started.elapsed().as_millis() as u64;
    let call = call.key(format!("{own}.{now}.{}", name.replace(' ', "-")));
    for _ in 0..SENDS {
        let home = random.random_range(0..HOMES as usize);
        let patience = Duration::from_millis(random.random_range(100..1500));
        let from = Instant::now();
        let reply = send(world, home, call.clone(), patience, delay(random)).await;
        if reply.as_ref().is_some_and(|reply| reply.outcome == "refused") {
            let executions = world.fleet.executions.lock();
            if executions.iter().any(|run| run.body == call.body && run.at < from) {
                world.wrong.lock().push(format!("{name}: not run after it ran: {reply:?}"));
            }
        }
        let Some(reply) = reply.filter(|reply| reply.outcome == "answered") else { continue };
        let streamed = call.body.contains("\"stream\":true");
        if streamed && !reply.body.ends_with("data: [DONE]\n\n") {
            // The stream ended with an error that says so.
            if !reply.body.contains("event: error\n") {
                world.wrong.lock().push(format!("{name}: cut off: {reply:?}"));
            }
            continue;
        }
        let text = reply.text();
        if text != expected(&call.body) && text != bench::engine::diverging(&call.body, 3) {
            world.wrong.lock().push(format!("{name}: {reply:?}"));
        }
        return world.count("drafted");
    }
}

/// Faults, one after the other.
async fn faults(world: Arc<World>, mut random: StdRng) {
    for run in 1..=FAULTS {
        sleep(Duration::from_millis(random.random_range(5..60))).await;
        let host = random.random_range(0..HOMES as usize);
        let server = random.random_range(0..SERVERS);
        let process = world.homes.lock()[host].process.clone();
        match random.random_range(0..10) {
            0 => {
                process.set(State::Exited);
                world.start(host as u64 + 1, run);
            }
            1 | 2 if process.get() == State::Running => {
                process.set(State::Suspended);
                let pause = Duration::from_millis(random.random_range(50..900));
                tokio::spawn(async move {
                    sleep(pause).await;
                    if process.get() == State::Suspended {
                        process.set(State::Running);
                    }
                });
            }
            3 => {
                let drop_responses = &world.wire.drop_responses;
                drop_responses.fetch_xor(true, std::sync::atomic::Ordering::SeqCst);
            }
            4 => world.fleet.crash(server),
            5 => {
                let refuse = &world.fleet.refuse_connections;
                refuse.fetch_xor(true, std::sync::atomic::Ordering::SeqCst);
            }
            6 => {
                let refusal = Refusal { reason: Reason::QueueFull, retry_after_ms: 100 };
                let grants = Arc::clone(&world.homes.lock()[host].permits);
                grants.scripted.lock().push(Decision::Refused(refusal));
            }
            _ => {
                let act = *BEHAVIORS.choose(&mut random).expect("there are acts");
                world.fleet.servers[server].behaviors.lock().push_back(act);
            }
        }
    }
    world.wire.drop_responses.store(false, std::sync::atomic::Ordering::SeqCst);
    world.fleet.refuse_connections.store(false, std::sync::atomic::Ordering::SeqCst);
}

/// Checks every key against the executions of the services.
fn check(world: &World, seed: u64) {
    assert_eq!(*world.wrong.lock(), Vec::<String>::new(), "seed {seed}");
    let micros = |at: Instant| at.duration_since(world.started).as_micros() as i64;
    let mut keys: Map<String, Vec<Operation<Key>>> = Map::default();
    let mut add = |body: &str, from: Instant, to: Instant, op: Seen| {
        let operation = Operation {
            client_id: None,
            call_time: micros(from),
            return_time: micros(to) + 1,
            op,
            metadata: None,
        };
        keys.entry(body.to_owned()).or_default().push(operation);
    };
    for run in world.fleet.executions.lock().iter() {
        if run.body.starts_with("booking") {
            add(&run.body, run.at, run.at, Seen::Executed);
            world.count("executed");
        }
    }
    for sent in world.sent.lock().iter() {
        add(&sent.body, sent.from, sent.to, sent.seen);
    }
    for (body, operations) in keys {
        assert!(check_operations(&operations), "seed {seed}: {body}: {operations:?}");
    }
}

async fn history(seed: u64) -> Map<&'static str, u64> {
    let mut random = StdRng::seed_from_u64(seed);
    let world = World::new();
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..CALLERS {
        tasks.spawn(caller(Arc::clone(&world), number, StdRng::seed_from_u64(random.random())));
    }
    tasks.spawn(faults(Arc::clone(&world), StdRng::seed_from_u64(random.random())));
    tasks.join_all().await;
    // What is still on its way arrives late.
    sleep(Duration::from_secs(5)).await;
    check(&world, seed);
    world.counts.lock().clone()
}

/// The number of histories: `HISTORY_SEEDS` of the environment, or the default.
fn seeds() -> u64 {
    std::env::var("HISTORY_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS)
}

#[test]
#[allow(clippy::print_stdout)]
fn no_key_runs_twice_and_no_sealed_key_runs() {
    let mut total: Map<&'static str, u64> = Map::default();
    for seed in 0..seeds() {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        for (what, count) in runtime.block_on(history(seed)) {
            *total.entry(what).or_insert(0) += count;
        }
    }
    let mut total: Vec<_> = total.into_iter().collect();
    total.sort_unstable();
    let seen: Vec<_> = total.iter().map(|(what, _)| *what).collect();
    let all = ["answered", "bookings", "drafted", "executed", "not run", "timed out", "unknown"];
    println!("seeds={} outcomes={total:?}", seeds());
    assert_eq!(seen, all);
}
