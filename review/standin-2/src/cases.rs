//! The cases.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::{atomic::Ordering, Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{Load, Outcome, Request, HOST_NAME},
    engine::{Arrival, Engine, Settings},
    fleet::{wait_ready, Folder, Host, Network, Place},
    store::Store,
};

pub type Verdict = Result<bool, String>;

/// The bounds of the deployment, as on the users' sheets of the small ones.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
const COLD_PER_S: f64 = 16.0;
const COLD_OVER: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
const COLD_START: Duration = Duration::from_millis(3_000);

const ZONE: &str = "south-a";
const OTHER_ZONE: &str = "south-b";
const SERVICE: &str = "drafts";

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What is written to the record.
pub struct Report {
    start: Instant,
    summary: String,
    details: String,
}

impl Report {
    pub fn new(case: &str, trouble: bool) -> Self {
        let summary = format!("case: {case}, disruption: {}\n", if trouble { "on" } else { "off" });
        Self { start: Instant::now(), summary, details: String::new() }
    }

    pub fn line(&mut self, text: &str) {
        self.summary += text;
        self.summary += "\n";
    }

    fn at(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn summary(&self) -> &str {
        &self.summary
    }

    pub fn text(&self) -> String {
        format!("{}\n{}", self.summary, self.details)
    }

    /// Adds all attempts, arrivals and events in the order of their times.
    fn add_history(
        &mut self,
        outcomes: &[Outcome],
        engines: &[Engine],
        notes: &[(Instant, String)],
    ) {
        let mut lines: Vec<(Instant, String)> = notes.to_vec();
        for outcome in outcomes {
            let Outcome { class, id, host, sent, status, began, ended, complete, text, .. } =
                outcome;
            let after = |at: Instant| at.saturating_duration_since(*sent).as_millis();
            let began = began.map_or("-".to_owned(), |at| format!("{} ms", after(at)));
            lines.push((
                *sent,
                format!(
                    "client: {id} ({class}) sent to host {host}: status {status}, first event {began}, \
                     end {} ms, complete {complete} {text}",
                    after(*ended)
                ),
            ));
        }
        for engine in engines {
            for arrival in engine.arrivals.lock().unwrap().iter() {
                let Arrival { at, request, server, is_cold, crashed } = arrival;
                let cold = if *is_cold { ", cold" } else { "" };
                let crashed = if *crashed { ", crashes it" } else { "" };
                lines.push((*at, format!("server {server}: runs {request}{cold}{crashed}")));
            }
            lines.extend(engine.notes.lock().unwrap().iter().cloned());
        }
        lines.sort_by_key(|(at, _)| *at);
        for (at, line) in lines {
            self.details += &format!("{:8.3} {line}\n", self.at(at));
        }
    }
}

/// The store, hosts and backend servers of a case.
struct World {
    _folder: Folder,
    network: Network,
    store: Store,
    hosts: Vec<Host>,
    engines: Vec<Engine>,
    load: Load,
    notes: Arc<Mutex<Vec<(Instant, String)>>>,
}

/// The keys of the tenants.
const KEYS: [&str; 4] = ["key-of-desk", "key-of-kiosk", "key-of-depot", "key-of-galley"];

fn tenants() -> String {
    let tenant = |key: &&str| {
        let name = key.trim_start_matches("key-of-");
        format!("{{\"name\":\"{name}\",\"apiKeys\":[\"{key}\"],\"priority\":0}}")
    };
    let tenants: Vec<String> = KEYS.iter().map(tenant).collect();
    format!("[{}]", tenants.join(","))
}

/// A version of the configuration with a route to a plain service, whose servers are cold after a start.
fn plain_configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"status\",\"host\":\"{HOST_NAME}\",\"pathPrefix\":\"/status/\",\
         \"kind\":\"idempotent\",\"timeoutMs\":1500,\"targetLatencyMs\":100,\"priority\":1,\"service\":\"{SERVICE}\",\
         \"maxAttempts\":2,\"public\":false,\"sticky\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/healthz\",\"maxConns\":310,\"protocol\":\"h1\",\
         \"tls\":false,\"coldStartS\":{cold_start:.1},\"coldPerS\":{COLD_PER_S:.1}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":{}}}",
        tenants(),
        cold_start = COLD_START.as_secs_f64()
    )
}

/// A version of the configuration with one route to the service of model engines.
fn model_configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"letter\",\"host\":\"{HOST_NAME}\",\"pathPrefix\":\"/letter/\",\
         \"kind\":\"stream\",\"timeoutMs\":4000,\"targetLatencyMs\":400,\"priority\":1,\"service\":\"{SERVICE}\",\
         \"maxAttempts\":1,\"public\":false,\"sticky\":true,\"resumable\":false,\"maxGapMs\":300}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/healthz\",\"maxConns\":310,\"protocol\":\"h1\",\
         \"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0,\"engine\":{{\"slots\":48,\
         \"kvCapacity\":457270,\"kvTokenBytes\":96256,\"linkMbps\":1100000.0,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":{}}}",
        tenants()
    )
}

impl World {
    fn new(configuration: &str) -> Result<Self, String> {
        let folder = Folder::new().map_err(|fault| fault.to_string())?;
        let mut network = Network::new();
        let store = Store::start(network.host());
        store.put("op/config", configuration);
        Ok(Self {
            _folder: folder,
            network,
            store,
            hosts: Vec::new(),
            engines: Vec::new(),
            load: Load::default(),
            notes: Arc::default(),
        })
    }

    fn add_engine(&mut self, name: &str, settings: Settings, during_traffic: bool) {
        let address = SocketAddr::new(self.network.host(), 8601);
        let store = self.store.clone();
        self.engines.push(Engine::start(name, address, settings, store, during_traffic));
    }

    /// Adds `count` hosts that start for the first time, without starting them. With `stale` seeds their
    /// settings name hosts that are gone.
    fn add_hosts(&mut self, count: usize, stale: bool) -> Result<(), String> {
        let ips: Vec<IpAddr> = (0..count).map(|_| self.network.host()).collect();
        let gone: Vec<IpAddr> = (0..3).map(|_| self.network.host()).collect();
        let seeds: Vec<IpAddr> = if stale { gone } else { ips.iter().copied().take(3).collect() };
        for (index, ip) in ips.into_iter().enumerate() {
            let host = Host::new(&format!("front-{ZONE}-{}", index + 1), ip, &self._folder.0);
            let place =
                Place { zone: ZONE, seeds: &seeds, first_start: true, store: self.store.address };
            host.write_settings(&place).map_err(|fault| fault.to_string())?;
            self.hosts.push(host);
        }
        Ok(())
    }

    fn start_hosts(&mut self) -> Result<(), String> {
        for host in &mut self.hosts {
            host.start().map_err(|fault| format!("{} doesn't start: {fault}", host.name))?;
        }
        match wait_ready(&self.hosts, ms(10_000)) {
            true => Ok(()),
            false => Err("the hosts are not ready".to_owned()),
        }
    }

    fn note(&self, text: &str) {
        self.notes.lock().unwrap().push((Instant::now(), text.to_owned()));
    }

    fn address(&self, host: usize) -> (usize, SocketAddr) {
        let host = host % self.hosts.len();
        (host, self.hosts[host].caller_address())
    }

    /// Starts clients that send `per_s` requests a second together, spread over all hosts.
    fn clients(
        &self,
        per_s: u64,
        make: impl Fn(u64, u64) -> Request + Send + Sync + 'static,
    ) -> Vec<thread::JoinHandle<()>> {
        const INTERVAL: Duration = ms(1_000);
        let make = Arc::new(make);
        (0..per_s)
            .map(|client| {
                let make = Arc::clone(&make);
                let offset = INTERVAL.mul_f64(client as f64 / per_s as f64);
                self.load.client(self.address(client as usize), offset, INTERVAL, move |count| {
                    make(client, count)
                })
            })
            .collect()
    }

    fn outcomes(&self) -> Vec<Outcome> {
        self.load.outcomes.lock().unwrap().clone()
    }

    fn arrivals(&self) -> Vec<Arrival> {
        let all = self.engines.iter().flat_map(|engine| engine.arrivals.lock().unwrap().clone());
        let mut all: Vec<Arrival> = all.collect();
        all.sort_by_key(|arrival| arrival.at);
        all
    }

    fn finish(&mut self, report: &mut Report) {
        let (outcomes, notes) = (self.outcomes(), self.notes.lock().unwrap().clone());
        report.add_history(&outcomes, &self.engines, &notes);
        if let Ok(folder) = std::env::var("KEEP_LOGS") {
            for host in &self.hosts {
                std::fs::write(format!("{folder}/{}.log", host.name), host.log()).ok();
            }
        }
        for host in &mut self.hosts {
            if host.has_ended() {
                report.line(&format!("host {} ended by itself", host.name));
            }
            host.end();
        }
    }
}

/// A request to the plain service.
fn status(client: u64, count: u64) -> Request {
    Request {
        class: "status",
        key: KEYS[client as usize % KEYS.len()],
        path: format!("/status/{client}-{count}"),
        parts: String::new(),
        body: String::new(),
        deadline: ms(1_500),
    }
}

/// A request to the model engines. What identifies it are the caller and the text. Each caller has a first
/// part of its own.
fn letter(class: &'static str, caller: usize, own: u64, text: String) -> Request {
    Request {
        class,
        key: KEYS[caller],
        path: "/letter/a".to_owned(),
        parts: format!("{:x}:198,{own:x}:430", 0x5c1e_0000 + caller),
        body: text,
        deadline: ms(4_000),
    }
}

/// A request that no other one is like.
fn unique(class: &'static str, caller: usize, client: u64, count: u64) -> Request {
    let own = 0x1000_0000 + client * 0x10_000 + count;
    letter(class, caller, own, format!("letter {client} {count}"))
}

/// A question that is often asked in the same words.
fn question(class: &'static str, caller: usize, number: u64) -> Request {
    letter(class, caller, 0x77_0000 + number, format!("frequent question {number}"))
}

/// The servers of the plain service.
fn plain_settings(zone: &'static str) -> Settings {
    Settings {
        service: SERVICE,
        zone,
        slots: 12,
        queue: 24,
        cold_start: COLD_START,
        events: 0,
        gap: ms(15),
        down: ms(1_000),
        keeps_id: false,
        poison: None,
        dark: false,
    }
}

/// The model engines. Their streams last for 1.6 s.
fn model_settings(poison: Option<&'static str>) -> Settings {
    Settings {
        slots: 48,
        queue: 100,
        cold_start: Duration::ZERO,
        events: 16,
        gap: ms(100),
        down: ms(2_000),
        poison,
        ..plain_settings(ZONE)
    }
}

/// The most requests that a cold backend server got in one second. Counted are requests that the client
/// sent and that arrived inside that second.
fn cold_arrivals(world: &World, report: &mut Report) -> usize {
    let outcomes = world.outcomes();
    let sent: BTreeMap<&str, Instant> =
        outcomes.iter().map(|outcome| (outcome.id.as_str(), outcome.sent)).collect();
    let mut by_server: BTreeMap<String, Vec<(Instant, Instant)>> = BTreeMap::new();
    for arrival in world.arrivals().into_iter().filter(|arrival| arrival.is_cold) {
        let Some(&sent) = sent.get(arrival.request.as_str()) else { continue };
        by_server.entry(arrival.server).or_default().push((sent, arrival.at));
    }
    let mut most = 0;
    for (server, pairs) in by_server {
        let count = |from: Instant| {
            let inside = pairs.iter().filter(|(sent, at)| *sent >= from && *at < from + ms(1_000));
            inside.count()
        };
        let (from, count) = pairs
            .iter()
            .map(|&(from, _)| (from, count(from)))
            .max_by_key(|&(_, count)| count)
            .expect("a server is listed with its first arrival");
        report.line(&format!(
            "cold server {server}: {} requests while it was cold, {count} of them in the second from {:.3} s",
            pairs.len(),
            report.at(from)
        ));
        most = most.max(count);
    }
    most
}

fn check_cold(world: &World, report: &mut Report) -> bool {
    let bound = COLD_PER_S * COLD_OVER + COLD_SLACK;
    let most = cold_arrivals(world, report);
    report.line(&format!("most requests to a cold server in one second: {most}, allowed: {bound}"));
    most as f64 > bound
}

/// Checks that nearly all requests that were sent before the disruption were served.
fn check_calm(world: &World, until: Instant) -> Result<(), String> {
    let outcomes = world.outcomes();
    let early: Vec<_> = outcomes.iter().filter(|outcome| outcome.ended < until).collect();
    let served = early.iter().filter(|outcome| outcome.status == 200).count();
    match early.len() >= 20 && served * 10 >= early.len() * 9 {
        true => Ok(()),
        false => Err(format!(
            "only {served} of {} requests were served before the disruption",
            early.len()
        )),
    }
}

fn summarize(world: &World, report: &mut Report) {
    let mut counts: BTreeMap<(&str, u16), usize> = BTreeMap::new();
    for outcome in world.outcomes() {
        *counts.entry((outcome.class, outcome.status)).or_default() += 1;
    }
    for ((class, status), count) in counts {
        report.line(&format!("{class}: {count} attempts with status {status}"));
    }
}

pub fn run(case: &str, trouble: bool, report: &mut Report) -> Verdict {
    match case {
        "reborn" => reborn(trouble, report),
        "order-withdrawn" => order_withdrawn(trouble, report),
        "stale-seeds" => stale_seeds(trouble, report),
        "canned" => canned(trouble, report),
        "poison" => poison(trouble, report),
        "dark" => dark(trouble, report),
        _ => Err(format!("there is no case {case}")),
    }
}

/// A backend server that is cut off from the store crashes and starts again, cold, with its id.
fn reborn(trouble: bool, report: &mut Report) -> Verdict {
    let mut world = World::new(&plain_configuration())?;
    for index in 1..=5 {
        let settings = Settings { keeps_id: true, down: ms(500), ..plain_settings(ZONE) };
        world.add_engine(&format!("e{index}"), settings, false);
    }
    world.add_hosts(3, false)?;
    world.start_hosts()?;
    thread::sleep(ms(2_000));
    let clients = world.clients(200, status);
    thread::sleep(ms(8_000));
    check_calm(&world, Instant::now())?;
    let engine = world.engines[0].clone();
    if trouble {
        world.note("e1 is cut off from the store, crashes and starts again");
        engine.is_cut.store(true, Ordering::SeqCst);
        thread::sleep(ms(200));
        engine.crash();
    }
    thread::sleep(ms(4_800));
    if trouble {
        engine.is_cut.store(false, Ordering::SeqCst);
        world.note("e1 reaches the store again");
    }
    thread::sleep(ms(5_000));
    world.load.clone().stop(clients);
    summarize(&world, report);
    let broken = check_cold(&world, report);
    world.finish(report);
    Ok(broken)
}

/// An order to take a zone out, in which a backend server has just started, is withdrawn at once.
fn order_withdrawn(trouble: bool, report: &mut Report) -> Verdict {
    let mut world = World::new(&plain_configuration())?;
    for (index, zone) in [ZONE, ZONE, OTHER_ZONE].into_iter().enumerate() {
        world.add_engine(&format!("e{}", index + 1), plain_settings(zone), false);
    }
    world.add_hosts(3, false)?;
    world.start_hosts()?;
    thread::sleep(ms(2_000));
    let clients = world.clients(160, status);
    thread::sleep(ms(6_000));
    check_calm(&world, Instant::now())?;
    world.note("e4 is added, cold");
    world.add_engine("e4", plain_settings(OTHER_ZONE), true);
    thread::sleep(ms(600));
    if trouble {
        world.note("the operator takes the zone out");
        world.store.put(&format!("op/evacuate/{OTHER_ZONE}"), "{}");
        thread::sleep(ms(150));
        world.note("the operator takes the zone back");
        world.store.delete(&format!("op/evacuate/{OTHER_ZONE}"));
    }
    thread::sleep(ms(4_000));
    world.load.clone().stop(clients);
    summarize(&world, report);
    let broken = check_cold(&world, report);
    world.finish(report);
    Ok(broken)
}

/// The limit that the backend server in need names, in requests a second.
const LIMIT: u64 = 10;

/// The seeds in the settings of the hosts are stale, and a backend server names a limit.
fn stale_seeds(trouble: bool, report: &mut Report) -> Verdict {
    const WINDOW: Duration = ms(4_000);
    let mut world = World::new(&plain_configuration())?;
    for index in 1..=4 {
        world.add_engine(&format!("e{index}"), plain_settings(ZONE), false);
    }
    world.add_hosts(3, trouble)?;
    world.start_hosts()?;
    thread::sleep(ms(2_000));
    let clients = world.clients(160, status);
    thread::sleep(ms(6_000));
    check_calm(&world, Instant::now())?;
    world.note(&format!("e1 names a limit of {LIMIT} requests a second"));
    let named = Instant::now();
    world.engines[0].limit.store(LIMIT, Ordering::SeqCst);
    thread::sleep(ms(15_000));
    world.load.clone().stop(clients);
    summarize(&world, report);
    let outcomes = world.outcomes();
    let hosts: BTreeMap<&str, usize> =
        outcomes.iter().map(|outcome| (outcome.id.as_str(), outcome.host)).collect();
    // When each host first passed on an answer with the limit.
    let mut passed_on: BTreeMap<usize, Instant> = BTreeMap::new();
    for outcome in outcomes.iter().filter(|outcome| outcome.names_limit) {
        let at = passed_on.entry(outcome.host).or_insert(outcome.ended);
        *at = outcome.ended.min(*at);
    }
    let counts = |arrival: &Arrival| {
        let host = hosts.get(arrival.request.as_str())?;
        let knows = arrival.at >= *passed_on.get(host)? + ms(500);
        (knows && arrival.at >= named + STABLE_WINDOW).then_some(arrival.at)
    };
    let arrivals = world.engines[0].arrivals.lock().unwrap().clone();
    let counted: Vec<Instant> = arrivals.iter().filter_map(counts).collect();
    let count =
        |from: Instant| counted.iter().filter(|&&at| at >= from && at < from + WINDOW).count();
    let most = counted.iter().map(|&from| count(from)).max().unwrap_or(0);
    let allowed = 1.5 * LIMIT as f64 * WINDOW.as_secs_f64() + 5.0;
    report.line(&format!(
        "hosts that passed on the limit: {}; most requests in 4 s from them: {most}, allowed: {allowed}",
        passed_on.len()
    ));
    world.finish(report);
    Ok(most as f64 > allowed)
}

/// The id of a part of a prompt that crashes backend servers.
const POISON_PART: &str = "deadbeef";
/// The text of a request that crashes backend servers.
const POISON_TEXT: &str = "crashes-the-server";
/// The time from one request that crashes servers to the next one.
const POISON_INTERVAL: Duration = ms(1_500);

/// Sends `count` requests, one after the other, to all hosts in turn.
fn send_in_turn(
    world: &World,
    count: u64,
    make: impl Fn(u64) -> Request + Send + 'static,
) -> thread::JoinHandle<()> {
    let load = world.load.clone();
    let addresses: Vec<_> = (0..world.hosts.len()).map(|host| world.address(host)).collect();
    thread::spawn(move || {
        for number in 0..count {
            let at = Instant::now();
            let host = addresses[number as usize % addresses.len()];
            load.send(host, &mut None, &make(number));
            thread::sleep(POISON_INTERVAL.saturating_sub(at.elapsed()));
        }
    })
}

/// The times of crashes.
fn crashes(world: &World) -> Vec<Instant> {
    world.arrivals().iter().filter(|arrival| arrival.crashed).map(|arrival| arrival.at).collect()
}

/// One part of a prompt crashes backend servers. The caller that sends it otherwise asks one question again
/// and again: a quarter of all requests.
fn canned(trouble: bool, report: &mut Report) -> Verdict {
    const KIOSK: usize = 1;
    let mut world = World::new(&model_configuration())?;
    for index in 1..=6 {
        world.add_engine(
            &format!("e{index}"),
            model_settings(trouble.then_some(POISON_PART)),
            false,
        );
    }
    world.add_hosts(3, false)?;
    world.start_hosts()?;
    thread::sleep(ms(2_000));
    let began = Instant::now();
    let mut clients = world.clients(60, |client, count| match client / 3 % 4 {
        0 if client == 0 => unique("kiosk", KIOSK, client, count),
        0 => question("kiosk", KIOSK, 1),
        _ => unique("others", 2 + client as usize % 2, client, count),
    });
    thread::sleep(ms(12_000));
    let poisoned = Instant::now();
    check_calm(&world, poisoned)?;
    clients.push(send_in_turn(&world, 30, |number| {
        let own = 0x9900_0000 + number;
        let request = letter("poison", KIOSK, own, format!("poison {number}"));
        let first = request.parts.split(',').next().unwrap_or_default().to_owned();
        Request { parts: format!("{first},{POISON_PART}:100,{own:x}:330"), ..request }
    }));
    thread::sleep(ms(45_000));
    world.load.clone().stop(clients);
    summarize(&world, report);
    let crashes = crashes(&world);
    report.line(&format!("crashes: {}", crashes.len()));
    let outcomes = world.outcomes();
    let last_poison = outcomes
        .iter()
        .filter(|outcome| outcome.class == "poison")
        .map(|outcome| outcome.sent)
        .max();
    let deciding = crashes.get(4).or(crashes.last()).copied().unwrap_or(poisoned);
    let begun = |class: &str, from: Instant, until: Instant| {
        let sound = outcomes.iter().filter(|outcome| outcome.class == class);
        let sound: Vec<_> =
            sound.filter(|outcome| outcome.sent >= from && outcome.sent < until).collect();
        let begun = sound.iter().filter(|outcome| outcome.status == 200 && outcome.began.is_some());
        (begun.count(), sound.len())
    };
    let (from, until) = (deciding + 2 * STABLE_WINDOW, last_poison.unwrap_or(poisoned));
    for class in ["kiosk", "others"] {
        let (before, before_all) = begun(class, began + ms(1_000), poisoned);
        let (after, after_all) = begun(class, from, until);
        report.line(&format!(
            "{class}: sound requests that began at the first attempt: {before} of {before_all} before the first \
             crash, {after} of {after_all} from {:.3} s to {:.3} s",
            report.at(from),
            report.at(until)
        ));
    }
    let (before, before_all) = begun("kiosk", began + ms(1_000), poisoned);
    let (after, after_all) = begun("kiosk", from, until);
    world.finish(report);
    if before_all < 20 || after_all < 20 {
        return Err("too few requests".to_owned());
    }
    Ok((after as f64 / after_all as f64) < 0.5 * before as f64 / before_all as f64)
}

/// A request crashes each backend server that runs it, and comes again. The other callers choose from eight
/// prepared questions.
fn poison(trouble: bool, report: &mut Report) -> Verdict {
    const RETRIES: u64 = 40;
    const QUESTIONS: u64 = 8;
    let mut world = World::new(&model_configuration())?;
    for index in 1..=6 {
        let settings = model_settings(trouble.then_some(POISON_TEXT));
        world.add_engine(
            &format!("e{index}"),
            Settings { events: 8, gap: ms(90), ..settings },
            false,
        );
    }
    world.add_hosts(3, false)?;
    world.start_hosts()?;
    thread::sleep(ms(2_000));
    let mut clients = world.clients(96, |client, count| {
        let number = (client / 3 + count) % QUESTIONS;
        question("prepared", number as usize % KEYS.len(), number)
    });
    thread::sleep(ms(6_000));
    check_calm(&world, Instant::now())?;
    clients.push(send_in_turn(&world, RETRIES, |_| {
        letter("poison", 0, 0x9900_0000, POISON_TEXT.to_owned())
    }));
    thread::sleep(ms(62_000));
    world.load.clone().stop(clients);
    summarize(&world, report);
    let late = late_retries(&world, report);
    world.finish(report);
    Ok(late > 3)
}

/// A request crashes each backend server that runs it, with its host, and comes again.
fn dark(trouble: bool, report: &mut Report) -> Verdict {
    const RETRIES: u64 = 30;
    let mut world = World::new(&model_configuration())?;
    for index in 1..=6 {
        let settings = model_settings(trouble.then_some(POISON_TEXT));
        let settings = Settings { events: 8, gap: ms(90), dark: true, down: ms(2_500), ..settings };
        world.add_engine(&format!("e{index}"), settings, false);
    }
    world.add_hosts(3, false)?;
    world.start_hosts()?;
    thread::sleep(ms(2_000));
    let mut clients =
        world.clients(60, |client, count| unique("others", client as usize % 4, client, count));
    thread::sleep(ms(6_000));
    check_calm(&world, Instant::now())?;
    clients.push(send_in_turn(&world, RETRIES, |_| {
        letter("poison", 0, 0x9900_0000, POISON_TEXT.to_owned())
    }));
    thread::sleep(ms(62_000));
    world.load.clone().stop(clients);
    summarize(&world, report);
    let late = late_retries(&world, report);
    world.finish(report);
    Ok(late > 3)
}

/// The number of requests that reached a server so long after the third crash that they count.
fn late_retries(world: &World, report: &mut Report) -> usize {
    let crashes = crashes(world);
    report.line(&format!("crashes: {}", crashes.len()));
    let late = crashes
        .get(2)
        .map_or(0, |&third| crashes.iter().filter(|&&at| at > third + STABLE_WINDOW).count());
    report.line(&format!(
        "retries that reached a server later than {} ms after the third crash: {late}, allowed: 3",
        STABLE_WINDOW.as_millis()
    ));
    late
}
