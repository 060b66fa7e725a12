//! All processes are killed at the same moment while the engines of a service are in need.
//!
//! Each engine names a limit that leaves room for the requests that come.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome, Stage,
    daemon::Daemon,
    engine::{Engine, Runs, Work},
    http,
    store::Store,
    watchdog,
};

const ZONES: [&str; 3] = ["palermo", "catania", "messina"];
/// The requests a second that each of the engines takes from all machines together.
const LIMIT: u32 = 30;
const ENGINES: usize = 3;
/// The requests a second of all clients: less than half of what the limits allow.
const RATE: u32 = 40;
const BEFORE: Duration = Duration::from_secs(8);
/// The site's longest `down_s` of a final fault is 1.5 s.
const DOWN: Duration = Duration::from_millis(800);
const RECOVER: Duration = Duration::from_secs(12);
/// How long requests are judged after that. The traffic of the site's days goes on about so long.
const JUDGED: Duration = Duration::from_secs(4);
const DEADLINE_MS: &str = "600";
const HOST: &str = "ficu95.example";
const KEY: &str = "key-kept";

fn configuration() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-stock\",\"host\":\"{HOST}\",\"pathPrefix\":\"/pule252/\",\
         \"kind\":\"idempotent\",\"timeoutMs\":600,\"targetLatencyMs\":100,\"priority\":2,\"service\":\
         \"app\",\"maxAttempts\":2,\"public\":false,\"sticky\":false,\"resumable\":false}}],\"services\":\
         [{{\"name\":\"app\",\"healthPath\":\"/healthz\",\"maxConns\":96,\"coldStartS\":0.0,\"coldPerS\":\
         0.0}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":200000,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"huka270\",\"apiKeys\":[\"{KEY}\"]}}]}}"
    )
}

/// A request and whether it was served in the end. A client whose request is refused comes back once
/// (the site's `client's retries`), when it was told to, at another machine.
struct Asked {
    sent: Instant,
    served: bool,
}

fn ask(stage: &Stage, addresses: &[SocketAddr], names: &[String], number: usize) -> Asked {
    let sent = Instant::now();
    let deadline = sent + Duration::from_millis(600);
    let mut served = false;
    for number_of_try in 1..=2 {
        let at = (number + number_of_try - 1) % addresses.len();
        let id = format!("q{number}-{number_of_try}");
        let headers = [
            ("host", HOST),
            ("request-id", &*id),
            ("deadline-ms", DEADLINE_MS),
            ("x-api-key", KEY),
        ];
        let began = Instant::now();
        let left = deadline.saturating_duration_since(began);
        let result = http::exchange(addresses[at], "GET", "/pule252/x", &headers, b"", left);
        let (status, retry_after) = match &result {
            Ok(answer) => {
                let after = answer.headers.get("retry-after").and_then(|text| text.parse().ok());
                let reason = String::from_utf8_lossy(&answer.body).into_owned();
                (format!("{} {reason}", answer.status), after.unwrap_or(0.0))
            }
            Err(error) => (format!("no answer ({error})"), 0.0),
        };
        stage.note_at(began, format_args!("{id} to {}: {status}", names[at]));
        served = result.is_ok_and(|answer| answer.status == 200);
        let left = deadline.saturating_duration_since(Instant::now());
        if served || left < Duration::from_millis(50) {
            break;
        }
        thread::sleep(Duration::from_secs_f64(retry_after).min(left / 3));
    }
    Asked { sent, served }
}

/// The share of the requests that were sent in a span and served.
fn share(asked: &[Asked], from: Instant, to: Instant) -> (usize, f64) {
    let all: Vec<&Asked> =
        asked.iter().filter(|asked| asked.sent >= from && asked.sent < to).collect();
    let served = all.iter().filter(|asked| asked.served).count();
    (all.len(), served as f64 / all.len().max(1) as f64)
}

pub fn run(stage: &mut Stage) -> Outcome {
    watchdog(Duration::from_secs(115));
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let store = Store::start(stage.fleet.store);
    store.put("op/config", &configuration());
    let engines: Vec<Engine> = (0..ENGINES)
        .map(|number| {
            let address = (stage.ip(101 + number as u8), 8729).into();
            let work = Work::LimitedAnswer(Duration::from_millis(15), LIMIT);
            Engine::start(&format!("i-0a{number}"), "app", ZONES[number], address, work, &runs)
        })
        .collect();
    for engine in &engines {
        store.put(&engine.key(), &engine.entry("ready"));
    }
    stage.note(format_args!("{ENGINES} engines serve; each names Server-Limit: {LIMIT}"));
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
    stage.note(format_args!("{} daemons are ready", daemons.len()));
    thread::sleep(Duration::from_secs(4));

    let addresses: Vec<SocketAddr> = daemons.iter().map(Daemon::front).collect();
    let names: Vec<String> = daemons.iter().map(|daemon| daemon.name.clone()).collect();
    let began = Instant::now();
    let killed_at = began + BEFORE;
    let back_at = killed_at + DOWN;
    let end = back_at + RECOVER + JUDGED;
    let asked = Mutex::new(Vec::new());
    let (trouble, stage_ref) = (stage.trouble, &*stage);
    thread::scope(|scope| {
        let (asked, addresses, names) = (&asked, &addresses, &names);
        scope.spawn(move || {
            for number in 0.. {
                let at = began + Duration::from_secs(1) * number as u32 / RATE;
                if at >= end {
                    break;
                }
                stage_ref.sleep_until(at);
                scope.spawn(move || {
                    let result = ask(stage_ref, addresses, names, number);
                    asked.lock().expect("no panic").push(result);
                });
            }
        });
        stage_ref.sleep_until(killed_at);
        if trouble {
            for daemon in &mut daemons {
                daemon.kill();
            }
            stage_ref.note_at(killed_at, "all processes of the system are killed");
            stage_ref.sleep_until(back_at);
            for daemon in &mut daemons {
                daemon.start(&stage_ref.fleet, false);
            }
            stage_ref.note_at(back_at, "all processes of the system start again");
        }
    });
    let asked = asked.into_inner().expect("no panic");
    let (count_before, before) = share(&asked, began, killed_at);
    let (count, after) = share(&asked, back_at + RECOVER, end);
    stage.note(format_args!(
        "before: {:.0}% of {count_before} requests served; later than {} s after the start: {:.0}% of \
         {count}",
        before * 100.0,
        RECOVER.as_secs(),
        after * 100.0
    ));
    if before < 0.25 || count < 20 {
        Outcome::CouldNotRun
    } else if after < 0.25 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
