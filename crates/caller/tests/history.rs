//! Histories of concurrent callers that repeat requests through other daemons while daemons are
//! killed and suspended, relays are lost, and backend servers crash.
//!
//! Time is simulated, and a seed determines callers and faults. Two histories of one seed differ
//! slightly, because keys get their times of issue from the system clock and hash maps have random
//! seeds. Each key is checked as a register: an execution writes it at most once, and a `not_run`
//! outcome seals it against later writes.

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

/// The default number of histories. Seeds 1, 13 and 40 guard against faults that they once found.
const DEFAULT_SEED_COUNT: u64 = 50;
const HOMES: u64 = 3;
const CALLERS: u64 = 12;
const REQUESTS_PER_CALLER: u64 = 10;
const MAX_SENDS: u32 = 5;
const FAULTS: u64 = 60;
const SERVERS: usize = 5;
const BEHAVIORS: [Behavior; 5] = [
    Behavior::Interrupt(2),
    Behavior::Timeout(4),
    Behavior::Overloaded,
    Behavior::Hang,
    Behavior::Diverge(3),
];

/// An observed operation on a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    Executed,
    Answered,
    NotRun,
}

/// The state of a key, modeled as a register.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Register {
    Empty,
    Written,
    Sealed,
}

#[derive(Debug, Clone)]
struct KeyModel;

impl Model for KeyModel {
    type State = Register;
    type Op = Event;
    type Metadata = ();

    fn init() -> Register {
        Register::Empty
    }

    fn step(state: &Register, op: &Event) -> (bool, Register) {
        match (state, op) {
            (Register::Empty, Event::Executed) => (true, Register::Written),
            (Register::Written, Event::Answered) => (true, Register::Written),
            (Register::Empty | Register::Sealed, Event::NotRun) => (true, Register::Sealed),
            (state, _) => (false, *state),
        }
    }
}

/// One request and its result as the caller observed them.
#[derive(Debug, Clone)]
struct Observation {
    body: String,
    sent_at: Instant,
    received_at: Instant,
    event: Event,
}

struct Simulation {
    homes: Mutex<Vec<Bench>>,
    wire: Arc<bench::FakeRelay>,
    fleet: Arc<Fleet>,
    started: Instant,
    observations: Mutex<Vec<Observation>>,
    violations: Mutex<Vec<String>>,
    counts: Mutex<Map<&'static str, u64>>,
}

impl Simulation {
    fn new() -> Arc<Self> {
        let mut fleet = Fleet::build(SERVERS);
        fleet.chunk_interval = Duration::from_millis(20);
        let simulation = Self {
            homes: Mutex::default(),
            wire: Arc::default(),
            fleet: Arc::new(fleet),
            started: Instant::now(),
            observations: Mutex::default(),
            violations: Mutex::default(),
            counts: Mutex::default(),
        };
        for number in 1..=HOMES {
            simulation.start_daemon(number, 0);
        }
        Arc::new(simulation)
    }

    /// Starts the daemon of a host. A daemon that already runs on the host is replaced.
    fn start_daemon(&self, host: u64, restart: u64) {
        let suspects = match self.homes.lock().first() {
            Some(home) => Arc::clone(&home.quarantine),
            None => Arc::default(),
        };
        let number = host + 100 * restart;
        let limits = Limits { abandon_grace: Duration::from_millis(300), ..Limits::default() };
        let fleet = Arc::clone(&self.fleet);
        let home = Bench::with(number, fleet, suspects, Arc::clone(&self.wire), |builder| {
            // The registry is small, so that it is full at times.
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
            Some(position) => homes[position] = home,
            None => homes.push(home),
        }
    }

    fn count(&self, event: &'static str) {
        *self.counts.lock().entry(event).or_insert(0) += 1;
    }
}

/// Sends a request. If the caller stops waiting, a request without a delay is aborted, as when its
/// connection closes. A delayed request still arrives, possibly after its key has expired.
async fn send(
    simulation: &Simulation,
    home: usize,
    call: Call,
    reply_timeout: Duration,
    delay: Duration,
) -> Option<Reply> {
    let (home, process) = {
        let homes = simulation.homes.lock();
        (homes[home].home.clone(), homes[home].process.clone())
    };
    let task = tokio::spawn(async move {
        sleep(delay).await;
        process.wait_running().await;
        let (head, body) = call.parts();
        let reply = Reply::read(home.serve(head, body).await).await;
        // A reply that was written before the daemon was suspended or killed may be lost.
        process.wait_running().await;
        reply
    });
    let abort = task.abort_handle();
    let reply = timeout(reply_timeout, task).await;
    if reply.is_err() && delay.is_zero() {
        abort.abort();
    }
    reply.ok().and_then(Result::ok)
}

/// The network delay of a request, mostly zero.
fn delay(random: &mut StdRng) -> Duration {
    let max_ms = [0, 0, 0, 50, 500, 4000].choose(random).copied().unwrap_or(0);
    Duration::from_millis(random.random_range(0..=max_ms))
}

/// Sends a caller's requests sequentially. Each is repeated as the rules for its key allow.
async fn caller(simulation: Arc<Simulation>, number: u64, mut random: StdRng) {
    for request in 0..REQUESTS_PER_CALLER {
        sleep(Duration::from_millis(random.random_range(0..100))).await;
        if random.random_bool(0.3) {
            draft(&simulation, &format!("draft {number} {request}"), &mut random).await;
        } else {
            booking(&simulation, &format!("booking {number} {request}"), &mut random).await;
        }
    }
}

async fn booking(simulation: &Simulation, name: &str, random: &mut StdRng) {
    let mut generation = 0;
    let mut key = None;
    simulation.count("bookings");
    for _ in 0..MAX_SENDS {
        let home = random.random_range(0..HOMES as usize);
        let body = format!("{name} {generation}.");
        let own = key.get_or_insert_with(|| {
            let home = simulation.homes.lock()[home].directory.own;
            let now = bench::now_ms() + simulation.started.elapsed().as_millis() as u64;
            format!("{home}.{now}.{}", body.replace([' ', '.'], "-"))
        });
        let call = Call::booking(&body).key(own.clone());
        let sent_at = Instant::now();
        let reply_timeout = Duration::from_millis(random.random_range(10..400));
        let reply = send(simulation, home, call, reply_timeout, delay(random)).await;
        let Some(reply) = reply else {
            simulation.count("timed out");
            continue;
        };
        let event = match reply.outcome.as_str() {
            "answered" if reply.body == booked(&body) => Event::Answered,
            "refused" => Event::NotRun,
            "unknown" | "failed" => {
                simulation.count("unknown");
                continue;
            }
            _ => return simulation.violations.lock().push(format!("{body}: {reply:?}")),
        };
        simulation.observations.lock().push(Observation {
            body,
            sent_at,
            received_at: Instant::now(),
            event,
        });
        match event {
            Event::NotRun => {
                simulation.count("not run");
                generation += 1;
                key = None;
            }
            _ => return simulation.count("answered"),
        }
    }
}

async fn draft(simulation: &Simulation, name: &str, random: &mut StdRng) {
    let mut call = Call::draft(name);
    if random.random_bool(0.5) {
        call = call.stream();
    }
    let home = random.random_range(0..HOMES as usize);
    let own = simulation.homes.lock()[home].directory.own;
    let now = bench::now_ms() + simulation.started.elapsed().as_millis() as u64;
    let call = call.key(format!("{own}.{now}.{}", name.replace(' ', "-")));
    for _ in 0..MAX_SENDS {
        let home = random.random_range(0..HOMES as usize);
        let reply_timeout = Duration::from_millis(random.random_range(100..1500));
        let sent_at = Instant::now();
        let reply = send(simulation, home, call.clone(), reply_timeout, delay(random)).await;
        if reply.as_ref().is_some_and(|reply| reply.outcome == "refused") {
            let executions = simulation.fleet.executions.lock();
            if executions.iter().any(|run| run.body == call.body && run.at < sent_at) {
                simulation
                    .violations
                    .lock()
                    .push(format!("{name}: not run although it ran: {reply:?}"));
            }
        }
        let Some(reply) = reply.filter(|reply| reply.outcome == "answered") else { continue };
        let streamed = call.body.contains("\"stream\":true");
        if streamed && !reply.body.ends_with("data: [DONE]\n\n") {
            // An incomplete stream must end with an error event.
            if !reply.body.contains("event: error\n") {
                simulation
                    .violations
                    .lock()
                    .push(format!("{name}: truncated without an error: {reply:?}"));
            }
            continue;
        }
        let text = reply.text();
        if text != expected(&call.body) && text != bench::engine::diverging(&call.body, 3) {
            simulation.violations.lock().push(format!("{name}: {reply:?}"));
        }
        return simulation.count("drafted");
    }
}

/// Injects faults sequentially.
async fn inject_faults(simulation: Arc<Simulation>, mut random: StdRng) {
    for restart in 1..=FAULTS {
        sleep(Duration::from_millis(random.random_range(5..60))).await;
        let host = random.random_range(0..HOMES as usize);
        let server = random.random_range(0..SERVERS);
        let process = simulation.homes.lock()[host].process.clone();
        match random.random_range(0..10) {
            0 => {
                process.set(State::Exited);
                simulation.start_daemon(host as u64 + 1, restart);
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
                let drop_responses = &simulation.wire.drop_responses;
                drop_responses.fetch_xor(true, std::sync::atomic::Ordering::SeqCst);
            }
            4 => simulation.fleet.crash(server),
            5 => {
                let refuse = &simulation.fleet.refuse_connections;
                refuse.fetch_xor(true, std::sync::atomic::Ordering::SeqCst);
            }
            6 => {
                let refusal = Refusal { reason: Reason::QueueFull, retry_after_ms: 100 };
                let grants = Arc::clone(&simulation.homes.lock()[host].permits);
                grants.scripted.lock().push(Decision::Refused(refusal));
            }
            _ => {
                let act = *BEHAVIORS.choose(&mut random).expect("there are acts");
                simulation.fleet.servers[server].behaviors.lock().push_back(act);
            }
        }
    }
    simulation.wire.drop_responses.store(false, std::sync::atomic::Ordering::SeqCst);
    simulation.fleet.refuse_connections.store(false, std::sync::atomic::Ordering::SeqCst);
}

/// Checks the observations of every key against the executions at the services.
fn check(simulation: &Simulation, seed: u64) {
    assert_eq!(*simulation.violations.lock(), Vec::<String>::new(), "seed {seed}");
    let micros = |at: Instant| at.duration_since(simulation.started).as_micros() as i64;
    let mut keys: Map<String, Vec<Operation<KeyModel>>> = Map::default();
    let mut add = |body: &str, called_at: Instant, returned_at: Instant, op: Event| {
        let operation = Operation {
            client_id: None,
            call_time: micros(called_at),
            return_time: micros(returned_at) + 1,
            op,
            metadata: None,
        };
        keys.entry(body.to_owned()).or_default().push(operation);
    };
    for run in simulation.fleet.executions.lock().iter() {
        if run.body.starts_with("booking") {
            add(&run.body, run.at, run.at, Event::Executed);
            simulation.count("executed");
        }
    }
    for observation in simulation.observations.lock().iter() {
        add(&observation.body, observation.sent_at, observation.received_at, observation.event);
    }
    for (body, operations) in keys {
        assert!(check_operations(&operations), "seed {seed}: {body}: {operations:?}");
    }
}

async fn history(seed: u64) -> Map<&'static str, u64> {
    let mut random = StdRng::seed_from_u64(seed);
    let simulation = Simulation::new();
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..CALLERS {
        tasks.spawn(caller(
            Arc::clone(&simulation),
            number,
            StdRng::seed_from_u64(random.random()),
        ));
    }
    tasks.spawn(inject_faults(Arc::clone(&simulation), StdRng::seed_from_u64(random.random())));
    tasks.join_all().await;
    // Delayed requests arrive after their callers have stopped waiting.
    sleep(Duration::from_secs(5)).await;
    check(&simulation, seed);
    simulation.counts.lock().clone()
}

/// The number of histories: the environment variable `HISTORY_SEEDS`, or [`DEFAULT_SEED_COUNT`].
fn seed_count() -> u64 {
    std::env::var("HISTORY_SEEDS")
        .ok()
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(DEFAULT_SEED_COUNT)
}

#[test]
#[allow(clippy::print_stdout)]
fn a_key_runs_at_most_once_and_never_after_not_run() {
    let mut total: Map<&'static str, u64> = Map::default();
    for seed in 0..seed_count() {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        for (event, count) in runtime.block_on(history(seed)) {
            *total.entry(event).or_insert(0) += count;
        }
    }
    let mut total: Vec<_> = total.into_iter().collect();
    total.sort_unstable();
    let observed: Vec<_> = total.iter().map(|(event, _)| *event).collect();
    let all = ["answered", "bookings", "drafted", "executed", "not run", "timed out", "unknown"];
    println!("seeds={} outcomes={total:?}", seed_count());
    assert_eq!(observed, all);
}
