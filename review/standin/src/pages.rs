//! A host that starts while the store is slow, and the operator's next configuration.
//!
//! The store holds a configuration of many routes, so a full read takes two pages. While the host
//! that starts reads them, the operator writes a new configuration, and then an engine registers.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome, Stage,
    daemon::{Daemon, SIGTERM},
    engine::{Engine, Runs, Work},
    http::{self, Answer},
    store::{ANSWER, Store},
    watchdog,
};

const ZONES: [&str; 3] = ["palermo", "catania", "messina"];
/// The site's largest dose of `platform_slow`: 60 times as long, for 4.5 s.
const SLOWDOWN: u32 = 60;
const SLOW_FOR: Duration = Duration::from_millis(4_500);
const CONFIG: Duration = Duration::from_millis(2_000);
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
const SKEW_MAX: Duration = Duration::from_millis(5_000);
/// How long requests are sent and judged.
const JUDGED: Duration = Duration::from_secs(15);
const HOST: &str = "ficu95.example";
const KEPT_KEY: &str = "key-kept";
const REVOKED_KEY: &str = "key-revoked";

fn route(name: &str, service: &str) -> String {
    format!(
        "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\"kind\":\"idempotent\",\
         \"timeoutMs\":1500,\"targetLatencyMs\":300,\"priority\":1,\"service\":\"{service}\",\
         \"maxAttempts\":2,\"public\":false,\"sticky\":false,\"resumable\":false}}"
    )
}

/// Version 1 has the route `/gone/` and the key that version 2 takes away, and `/moved/` goes to the
/// service `app-old`. Both have many more routes, as after some `big_config`.
fn configuration(version: u64) -> String {
    let first = version == 1;
    let mut routes = vec![route("moved", if first { "app-old" } else { "app-new" })];
    if first {
        routes.push(route("gone", "app-old"));
    }
    routes.extend((0..3_300).map(|number| route(&format!("more{number:04}"), "app-old")));
    let revoked = if first { format!(",\"{REVOKED_KEY}\"") } else { String::new() };
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConns\":96,\"coldStartS\":0.0,\
             \"coldPerS\":0.0}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{},{}],\"limits\":{{\"maxHeaderBytes\":\
         16384,\"maxBodyBytes\":200000,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":\
         [{{\"name\":\"huka270\",\"apiKeys\":[\"{KEPT_KEY}\"{revoked}]}}]}}",
        routes.join(","),
        service("app-old"),
        service("app-new"),
    )
}

fn send(daemon: &Daemon, path: &str, key: &str, id: &str) -> std::io::Result<Answer> {
    let headers = [("host", HOST), ("request-id", id), ("deadline-ms", "1500"), ("x-api-key", key)];
    http::exchange(daemon.front(), "POST", path, &headers, b"{}", Duration::from_millis(2_500))
}

pub fn run(stage: &mut Stage) -> Outcome {
    watchdog(Duration::from_secs(115));
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let store = Store::start(stage.fleet.store);
    let work = Work::Answer(Duration::from_millis(15));
    let mut last = 100;
    let mut engine = |id: &str, service: &str, zone: &str| {
        last += 1;
        Engine::start(id, service, zone, (stage.ip(last), 8729).into(), work, &runs)
    };
    let engines = [
        engine("i-0a1", "app-old", "palermo"),
        engine("i-0a2", "app-old", "catania"),
        engine("i-0b1", "app-new", "palermo"),
        engine("i-0b2", "app-new", "messina"),
    ];
    let newcomer = engine("i-0a3", "app-old", "messina");
    let first = configuration(1);
    stage.note(format_args!("the operator writes version 1, {} bytes", first.len()));
    store.put("op/config", &first);
    for engine in &engines {
        store.put(&engine.key(), &engine.entry("ready"));
    }

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
    for daemon in &daemons {
        if !daemon.wait_ready(Duration::from_secs(20)) {
            stage.note(format_args!("{} is not ready", daemon.name));
            return Outcome::CouldNotRun;
        }
    }
    stage.note("six daemons are ready");
    thread::sleep(Duration::from_secs(4));

    // Planned work: the host is stopped and started again.
    let restarted = 1;
    stage.note(format_args!("{} gets SIGTERM", daemons[restarted].name));
    daemons[restarted].signal(SIGTERM);
    let by_itself = daemons[restarted].wait_end(Duration::from_secs(8));
    stage.note(format_args!("{} has ended, by itself: {by_itself}", daemons[restarted].name));
    let slow_until = Instant::now() + SLOW_FOR;
    if stage.trouble {
        store.slow_down(SLOWDOWN);
        stage.note(format_args!("the store takes {SLOWDOWN} times as long"));
    }
    thread::sleep(Duration::from_millis(500));
    store.watch_first_page();
    daemons[restarted].start(&stage.fleet, false);
    stage.note(format_args!("{} starts", daemons[restarted].name));
    let first_page_at = loop {
        match store.first_page_at() {
            Some(at) => break at,
            None if Instant::now() > slow_until => {
                stage.note("the daemon that starts reads nothing");
                return Outcome::CouldNotRun;
            }
            None => thread::sleep(Duration::from_millis(2)),
        }
    };
    stage.note_at(first_page_at, "the first page of a full read is answered");
    stage.sleep_until(first_page_at + Duration::from_millis(60));
    let revision = store.put("op/config", &configuration(2));
    let acked = Instant::now() + ANSWER * SLOWDOWN;
    stage.note(format_args!("the operator writes version 2, revision {revision}"));
    stage.sleep_until(first_page_at + Duration::from_millis(110));
    let revision = store.put(&newcomer.key(), &newcomer.entry("ready"));
    stage.note(format_args!("the engine {} registers, revision {revision}", newcomer.id));
    stage.sleep_until(slow_until);
    store.slow_down(1);
    stage.note("the store is as fast as usual");
    if !daemons[restarted].wait_ready(Duration::from_secs(10)) {
        return Outcome::CouldNotRun;
    }

    // In touch again, with the bound of the configuration and the outer one behind.
    let judged_from = Instant::now().max(acked) + STABLE_WINDOW + CONFIG + SKEW_MAX;
    stage.sleep_until(judged_from);
    stage.note(format_args!(
        "requests from here on, {:.1} s after version 2 was acknowledged",
        acked.elapsed().as_secs_f64()
    ));
    let (mut stale, mut sent, mut unanswered) = (0, 0, 0);
    while judged_from.elapsed() < JUDGED {
        for (number, daemon) in daemons.iter().enumerate() {
            for (path, key) in
                [("/moved/x", KEPT_KEY), ("/moved/x", REVOKED_KEY), ("/gone/x", KEPT_KEY)]
            {
                sent += 1;
                let id = format!("q{number}-{sent}");
                let result = send(daemon, path, key, &id);
                let run = runs.lock().expect("no panic").iter().find(|run| run.id == id).cloned();
                let ran = run.as_ref().map_or("nowhere".into(), |run| {
                    format!("at {} of {} for {}", run.engine, run.service, run.tenant)
                });
                let status = match &result {
                    Ok(answer) => answer.status.to_string(),
                    Err(error) => {
                        unanswered += 1;
                        format!("no answer ({error})")
                    }
                };
                // Allowed by version 1 only: the old service, the key taken away, the dropped route.
                let old = run.is_some_and(|run| {
                    path == "/gone/x" || key == REVOKED_KEY || run.service == "app-old"
                });
                stale += u32::from(old);
                let mark = if old { ", as only version 1 allows" } else { "" };
                stage.note(format_args!(
                    "{id} {path} with {key} to {}: {status}, ran {ran}{mark}",
                    daemon.name
                ));
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    stage.note(format_args!(
        "{sent} requests, {unanswered} without an answer, {stale} handled as only version 1 allows"
    ));
    if unanswered > sent / 10 {
        Outcome::CouldNotRun
    } else if stale > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
