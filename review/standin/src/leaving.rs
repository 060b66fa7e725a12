//! An engine leaves without reporting that it drains, just after the hosts that watch the store were
//! lost.

use std::{
    io,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome, Stage,
    daemon::Daemon,
    engine::{Engine, Runs, Work},
    http::{self, Connection},
    store::Store,
    watchdog,
};

const ZONES: [&str; 3] = ["palermo", "catania", "messina"];
const DRAIN: Duration = Duration::from_millis(2_000);
/// An engine that leaves goes on for `drainMs` "and a little longer".
const LITTLE_LONGER: Duration = Duration::from_millis(700);
/// How long the lost machines are without power: that of the site's `herd_kill`.
const DOWN: Duration = Duration::from_millis(2_000);
const WORK: Duration = Duration::from_millis(15);
/// The bookings a second of all clients.
const RATE: u32 = 60;
const BEFORE: Duration = Duration::from_secs(4);
/// Whether a host takes the store for lost depends on which heartbeat of the lost ones came last. So
/// the same happens some times, with another engine each time.
const ROUNDS: usize = 4;
const ROUND: Duration = Duration::from_secs(15);
const HOST: &str = "ficu95.example";
const KEY: &str = "key-kept";

fn configuration() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-order\",\"host\":\"{HOST}\",\"pathPrefix\":\"/deka382/\",\
         \"kind\":\"non_idempotent\",\"timeoutMs\":600,\"targetLatencyMs\":100,\"priority\":2,\"service\":\
         \"app\",\"maxAttempts\":1,\"public\":false,\"sticky\":false,\"resumable\":false}}],\"services\":\
         [{{\"name\":\"app\",\"healthPath\":\"/healthz\",\"maxConns\":96,\"coldStartS\":0.0,\"coldPerS\":\
         0.0}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":200000,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"huka270\",\"apiKeys\":[\"{KEY}\"]}}]}}"
    )
}

/// The engine that leaves. It enters when each request reaches it.
struct Leaver {
    id: String,
    address: SocketAddr,
    ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    reached: Mutex<Vec<(Instant, String)>>,
    completed: Mutex<Vec<String>>,
    removed_at: Mutex<Option<Instant>>,
}

impl Leaver {
    fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    fn run(self: &Arc<Self>) {
        let listener = TcpListener::bind(self.address).expect("the engine's address is free");
        listener.set_nonblocking(true).expect("a listener can be polled");
        while !self.ended.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    if let Ok(copy) = stream.try_clone() {
                        self.connections.lock().expect("no panic").push(copy);
                    }
                    let engine = Arc::clone(self);
                    thread::spawn(move || engine.serve(stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
        for connection in self.connections.lock().expect("no panic").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) -> Option<io::Result<()>> {
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read_request() {
            let id = request.header("request-id").to_owned();
            if request.header("expect-instance") != self.id {
                connection.answer(421, &[("request-id", &id), ("not-run", "1")], b"").ok()?;
                continue;
            }
            self.reached.lock().expect("no panic").push((Instant::now(), id.clone()));
            thread::sleep(WORK);
            if self.ended.load(Ordering::SeqCst) {
                return None;
            }
            let stamp = format!("{}.{id}", self.id);
            let headers =
                [("request-id", &*id), ("server-stamp", &*stamp), ("keep-alive", "timeout=5")];
            connection.answer(200, &headers, b"booked").ok()?;
            self.completed.lock().expect("no panic").push(id);
        }
        None
    }
}

pub fn run(stage: &mut Stage) -> Outcome {
    watchdog(Duration::from_secs(115));
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let store = Store::start(stage.fleet.store);
    store.put("op/config", &configuration());
    for (number, zone) in ZONES.iter().enumerate() {
        let address = (stage.ip(101 + number as u8), 8729).into();
        let id = format!("i-0a{number}");
        let engine = Engine::start(&id, "app", zone, address, Work::Answer(WORK), &runs);
        store.put(&engine.key(), &engine.entry("ready"));
    }
    let leavers: Vec<Arc<Leaver>> = (0..ROUNDS)
        .map(|round| {
            let leaver = Arc::new(Leaver {
                id: format!("i-0b{round}"),
                address: (stage.ip(110 + round as u8), 8729).into(),
                ended: AtomicBool::new(false),
                connections: Mutex::default(),
                reached: Mutex::default(),
                completed: Mutex::default(),
                removed_at: Mutex::default(),
            });
            let server = Arc::clone(&leaver);
            thread::spawn(move || server.run());
            let entry = format!(
                "{{\"service\":\"app\",\"address\":\"{}\",\"zone\":\"palermo\",\"version\":\"v1\",\
                 \"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1,\"born\":1700000000000}}",
                leaver.address
            );
            store.put(&leaver.key(), &entry);
            leaver
        })
        .collect();

    let mut daemons = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        for host in [1, 2] {
            let ip = stage.ip((10 * (number + 1) + host) as u8);
            daemons.push(Daemon::new(&format!("front-{zone}-{host}"), zone, ip));
        }
    }
    stage.fleet.seeds = daemons.iter().step_by(2).map(|daemon| daemon.ip).collect();
    for daemon in &mut daemons {
        daemon.start(&stage.fleet, true);
    }
    if !daemons.iter().all(|daemon| daemon.wait_ready(Duration::from_secs(20))) {
        return Outcome::CouldNotRun;
    }
    stage.note(format_args!("{} daemons are ready, {} engines serve", daemons.len(), 3 + ROUNDS));
    thread::sleep(Duration::from_secs(4));

    // The clients use the second machine of each zone all the time, so that no request is at a machine
    // that is lost.
    let used: Vec<(SocketAddr, String)> = daemons
        .iter()
        .skip(1)
        .step_by(2)
        .map(|daemon| (daemon.front(), daemon.name.clone()))
        .collect();
    let began = Instant::now();
    let end = began + BEFORE + ROUND * ROUNDS as u32;
    let broken = Mutex::new(Vec::new());
    let (trouble, stage_ref) = (stage.trouble, &*stage);
    thread::scope(|scope| {
        let (used, broken) = (&used, &broken);
        scope.spawn(move || {
            for number in 0.. {
                let at = began + Duration::from_secs(1) * number / RATE;
                if at >= end {
                    return;
                }
                stage_ref.sleep_until(at);
                scope.spawn(move || {
                    let (to, name) = &used[number as usize % used.len()];
                    let id = format!("b{number}");
                    let headers = [
                        ("host", HOST),
                        ("request-id", &*id),
                        ("deadline-ms", "600"),
                        ("x-api-key", KEY),
                    ];
                    let sent = Instant::now();
                    let patience = Duration::from_millis(1_000);
                    let result =
                        http::exchange(*to, "POST", "/deka382/x", &headers, b"{}", patience);
                    let status = match &result {
                        Ok(answer) => answer.status.to_string(),
                        Err(error) => format!("no answer ({error})"),
                    };
                    if status != "200" {
                        broken.lock().expect("no panic").push(id.clone());
                    }
                    stage_ref.note_at(sent, format_args!("{id}, a booking, to {name}: {status}"));
                });
            }
        });
        for (round, leaver) in leavers.iter().enumerate() {
            let lost_at = began + BEFORE + ROUND * round as u32;
            stage_ref.sleep_until(lost_at);
            if trouble {
                for daemon in daemons.iter_mut().step_by(2) {
                    daemon.kill();
                }
                stage_ref.note_at(lost_at, "the first machine of each zone is lost");
            }
            stage_ref.sleep_until(lost_at + Duration::from_millis(100));
            store.delete(&leaver.key());
            let removed = Instant::now();
            *leaver.removed_at.lock().expect("no panic") = Some(removed);
            stage_ref.note_at(removed, format_args!("the entry of {} is removed", leaver.id));
            stage_ref.sleep_until(lost_at + DOWN);
            if trouble {
                for daemon in daemons.iter_mut().step_by(2) {
                    daemon.start(&stage_ref.fleet, false);
                }
                stage_ref.note("the lost machines start again");
            }
            stage_ref.sleep_until(removed + DRAIN + LITTLE_LONGER);
            leaver.ended.store(true, Ordering::SeqCst);
            stage_ref.note(format_args!("{} ends", leaver.id));
        }
    });
    let broken = broken.into_inner().expect("no panic");
    let (mut all, mut late, mut cut) = (0, 0, 0);
    for leaver in &leavers {
        let removed = leaver.removed_at.lock().expect("no panic").expect("all have left");
        let completed = leaver.completed.lock().expect("no panic").clone();
        for (at, id) in &*leaver.reached.lock().expect("no panic") {
            let is_late = *at > removed + DRAIN;
            all += 1;
            late += u32::from(is_late);
            cut += u32::from(broken.contains(id) && !completed.contains(id));
            let mark = if is_late { ", too late" } else { "" };
            stage.note_at(*at, format_args!("{id} reaches {}{mark}", leaver.id));
        }
    }
    stage.note(format_args!(
        "{all} requests reached engines that left, {late} of them later than {} ms after the removal; \
         {cut} were cut by the engine's end",
        DRAIN.as_millis()
    ));
    if all == 0 {
        Outcome::CouldNotRun
    } else if late > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
