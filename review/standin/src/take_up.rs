//! Streams that clients take up again after all processes were killed at the same moment.
//!
//! All engines have one software version. Each client goes on at another host until its deadline.

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

/// The machines of the site, in its zones.
const HOSTS: [(&str, u8); 3] = [("tx-central-a", 3), ("tx-central-b", 2), ("tx-central-c", 2)];
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// How long the processes are away.
const DOWN: Duration = Duration::from_millis(800);
const DEADLINE: Duration = Duration::from_millis(12_000);
/// A stream lasts 36 x 250 ms, within its deadline.
const EVENTS: u64 = 36;
const PAUSE: Duration = Duration::from_millis(250);
const STREAMS: usize = 24;
/// The least time between two tries of a client.
const CLIENT_PAUSE: Duration = Duration::from_millis(1_000);
const MAX_TRIES: u32 = 8;
const HOST: &str = "ficu95.example";
const KEY: &str = "key-kept";

fn configuration() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-summary\",\"host\":\"{HOST}\",\"pathPrefix\":\"/lohu930/\",\
         \"kind\":\"stream\",\"timeoutMs\":12000,\"targetLatencyMs\":2000,\"priority\":1,\"service\":\
         \"pool\",\"maxAttempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"maxGapMs\":600}}],\
         \"services\":[{{\"name\":\"pool\",\"healthPath\":\"/healthz\",\"maxConns\":360,\"coldStartS\":0.0,\
         \"coldPerS\":0.0,\"engine\":{{\"slots\":64,\"kvCapacity\":574433,\"kvTokenBytes\":96256,\
         \"linkMbps\":88000.0}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":200000,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"huka270\",\
         \"apiKeys\":[\"{KEY}\"]}}]}}"
    )
}

/// A try of a client: which events it brought, and how it ended.
struct Try {
    began: Instant,
    status: u16,
    /// The last event that came, or 0.
    last_event: u64,
    complete: bool,
    retry_after: Duration,
}

/// Sends a request for a stream, and reads its events until it ends, breaks off, or `cut` has come.
fn try_once(
    address: SocketAddr,
    id: &str,
    resumes: Option<(&str, u64)>,
    left: Duration,
    cut: Option<Instant>,
) -> Try {
    let began = Instant::now();
    let mut result =
        Try { began, status: 0, last_event: 0, complete: false, retry_after: Duration::ZERO };
    let (left_ms, last) = (left.as_millis().to_string(), resumes.map(|(_, last)| last.to_string()));
    let mut headers = vec![
        ("host", HOST),
        ("request-id", id),
        ("deadline-ms", &left_ms),
        ("x-api-key", KEY),
        ("model", "m"),
        ("token-count", "400,200"),
        ("prompt-prefix", "a1:100,b2:100,c3:200"),
    ];
    if let (Some((first, _)), Some(last)) = (resumes, &last) {
        headers.extend([("resumes", first), ("last-event-id", last)]);
    }
    let patience = Duration::from_millis(2_400);
    let begun = http::begin(address, "POST", "/lohu930/x", &headers, b"{}", patience);
    let Ok(mut connection) = begun else { return result };
    let Ok((status, headers)) = connection.read_answer_head() else { return result };
    result.status = status;
    let after = headers.get("retry-after").and_then(|text| text.parse().ok());
    result.retry_after = Duration::from_secs_f64(after.unwrap_or(0.0));
    if status != 200 {
        return result;
    }
    let mut text = String::new();
    loop {
        if cut.is_some_and(|cut| Instant::now() >= cut) {
            return result;
        }
        match connection.read_chunk() {
            Ok(Some(chunk)) => {
                text.push_str(&String::from_utf8_lossy(&chunk));
                let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
                result.last_event = ids.filter_map(|id| id.parse().ok()).max().unwrap_or(0);
            }
            Ok(None) => {
                result.complete = true;
                return result;
            }
            Err(_) => return result,
        }
    }
}

/// What became of the streams.
#[derive(Default)]
struct Count {
    /// Taken up again at machines in touch.
    taken_up: u32,
    /// Of these, those that went on.
    went_on: u32,
    /// Begun at machines in touch, and asked for.
    begun: u32,
    asked: u32,
}

pub fn run(stage: &mut Stage) -> Outcome {
    watchdog(Duration::from_secs(115));
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let store = Store::start(stage.fleet.store);
    store.put("op/config", &configuration());
    let engines: Vec<Engine> = (0..6)
        .map(|number| {
            let (zone, _) = HOSTS[number % HOSTS.len()];
            let address = (stage.ip(101 + number as u8), 8729).into();
            let id = format!("i-0a{number}");
            Engine::start(&id, "pool", zone, address, Work::Stream(EVENTS, PAUSE), &runs)
        })
        .collect();
    for engine in &engines {
        store.put(&engine.key(), &engine.entry("ready"));
    }
    stage.note(format_args!("{} engines serve, all of version v1", engines.len()));
    let mut daemons = Vec::new();
    for (number, (zone, hosts)) in HOSTS.iter().enumerate() {
        for host in 1..=*hosts {
            let ip = stage.ip(10 * (number as u8 + 1) + host);
            daemons.push(Daemon::new(&format!("front-{zone}-{host}"), zone, ip));
        }
    }
    stage.fleet.seeds = [0, 3, 5].map(|number: usize| daemons[number].ip).into();
    for daemon in &mut daemons {
        daemon.start(&stage.fleet, true);
    }
    if !daemons.iter().all(|daemon| daemon.wait_ready(Duration::from_secs(20))) {
        return Outcome::CouldNotRun;
    }
    stage.note(format_args!("{} daemons are ready", daemons.len()));
    // Long enough for whatever a daemon has to learn after its start.
    thread::sleep(Duration::from_secs(25));

    let addresses: Vec<SocketAddr> = daemons.iter().map(Daemon::front).collect();
    let names: Vec<String> = daemons.iter().map(|daemon| daemon.name.clone()).collect();
    let killed_at = Instant::now() + Duration::from_millis(2_000);
    let back_at = killed_at + DOWN;
    let in_touch_at = back_at + STABLE_WINDOW + Duration::from_millis(200);
    let count = Mutex::new(Count::default());
    let (trouble, stage_ref) = (stage.trouble, &*stage);
    thread::scope(|scope| {
        for number in 0..STREAMS {
            let (addresses, names, count) = (&addresses, &names, &count);
            scope.spawn(move || {
                stage_ref.sleep_until(
                    killed_at - Duration::from_millis(1_900)
                        + Duration::from_millis(40) * number as u32,
                );
                let began = Instant::now();
                let deadline = began + DEADLINE;
                let first_id = format!("s{number}-1");
                let at = number % addresses.len();
                // Without the disruption, the clients' own connections break at the same moment.
                let cut = (!trouble).then_some(killed_at);
                let first = try_once(addresses[at], &first_id, None, DEADLINE, cut);
                stage_ref.note_at(
                    began,
                    format_args!(
                        "{first_id} to {}: {}, events to {}, broken off after {} ms",
                        names[at],
                        first.status,
                        first.last_event,
                        began.elapsed().as_millis()
                    ),
                );
                let (mut last_event, mut in_touch, mut went_on) = (first.last_event, false, false);
                let mut complete = first.complete;
                let mut next = Instant::now() + Duration::from_millis(300);
                for number_of_try in 2..=MAX_TRIES {
                    stage_ref.sleep_until(next);
                    let left = deadline.saturating_duration_since(Instant::now());
                    if complete || left < Duration::from_millis(300) {
                        break;
                    }
                    let at = (number + number_of_try as usize) % addresses.len();
                    let id = format!("s{number}-{number_of_try}");
                    let result =
                        try_once(addresses[at], &id, Some((&first_id, last_event)), left, None);
                    stage_ref.note_at(result.began, format_args!(
                        "{id} to {} resumes {first_id} after event {last_event}: {}, events to {}, \
                         complete: {}", names[at], result.status, result.last_event, result.complete
                    ));
                    let counts = result.began >= in_touch_at || !trouble;
                    in_touch |= counts;
                    went_on |= counts && result.last_event > last_event;
                    last_event = last_event.max(result.last_event);
                    complete = result.complete;
                    next = Instant::now() + result.retry_after.min(left / 3).max(CLIENT_PAUSE);
                }
                let mut count = count.lock().expect("no panic");
                // A stream that went on before the machines are in touch doesn't count.
                count.taken_up += u32::from(in_touch);
                count.went_on += u32::from(went_on);
            });
        }
        for number in 0..STREAMS {
            let (addresses, names, count) = (&addresses, &names, &count);
            scope.spawn(move || {
                stage_ref.sleep_until(in_touch_at + Duration::from_millis(100) * number as u32);
                let (at, id) = (number % addresses.len(), format!("n{number}"));
                let result = try_once(addresses[at], &id, None, DEADLINE, None);
                stage_ref.note_at(
                    result.began,
                    format_args!(
                        "{id} to {}, a new stream: {}, events to {}, complete: {}",
                        names[at], result.status, result.last_event, result.complete
                    ),
                );
                let mut count = count.lock().expect("no panic");
                count.asked += 1;
                count.begun += u32::from(result.last_event > 0);
            });
        }
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
        } else {
            stage_ref.note_at(killed_at, "the clients' connections break");
        }
    });
    let Count { taken_up, went_on, begun, asked } = count.into_inner().expect("no panic");
    stage.note(format_args!(
        "of {taken_up} streams that were taken up again at machines in touch {went_on} went on; of \
         {asked} new streams {begun} began"
    ));
    if taken_up < 12 || asked < 12 {
        return Outcome::CouldNotRun;
    }
    let (went_on, begun) =
        (f64::from(went_on) / f64::from(taken_up), f64::from(begun) / f64::from(asked));
    if went_on < begun / 2.0 { Outcome::Broken } else { Outcome::Held }
}
