//! What daemons tell each other about the speed of backend servers.

mod local;

use std::{
    net::{IpAddr, Ipv4Addr},
    time::{Duration, Instant},
};

use hyssop_policy::local::{
    decider::{Decider, End, Placement},
    latency::Model,
    server::{Load, Server},
    speed::{Report, incarnation_tag},
};
use local::*;

const HEARTBEAT: Duration = Duration::from_millis(200);
const GAP: Duration = Duration::from_millis(30);
const SLOW: usize = 0;

fn address(daemon: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, daemon as u8))
}

fn milliseconds(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Daemons that exchange heartbeats, without a network.
struct Fleet {
    deciders: Vec<Decider>,
    engines: Vec<Server>,
    now: Instant,
    streams: usize,
}

impl Fleet {
    fn new(daemons: usize, engines: u32) -> Self {
        let engines: Vec<Server> = (0..engines).map(engine).collect();
        let decider = || {
            let mut decider = sharing_decider("a");
            decider.set_servers(engines.clone());
            decider
        };
        let deciders = (0..daemons).map(|_| decider()).collect();
        Self { deciders, engines, now: Instant::now(), streams: 0 }
    }

    /// Each daemon reads a stream of an engine; each engine takes `slowness` times the usual time.
    fn run_streams(&mut self, slowness: impl Fn(usize) -> f64) {
        for (index, decider) in self.deciders.iter_mut().enumerate() {
            self.streams += 1;
            let engine = self.streams % self.engines.len();
            let now = self.now + milliseconds(index as u64);
            let demand = prefill_heavy(self.streams as u64, now);
            let placement = Placement {
                server: self.engines[engine].name.clone(),
                predicted: milliseconds(200)
                    .mul_f64(decider.slowness(&self.engines[engine].name).factor),
                overdue_after: Duration::from_secs(2),
                uncached_tokens: 9_200,
                cache_source: None,
                load: Load::default(),
                reserved_engines: 0,
            };
            let send_id = decider.record_sent(&placement, &demand, now);
            let mut at = now + milliseconds(200).mul_f64(slowness(engine));
            decider.record_first_event(&placement.server, send_id, at);
            for _ in 0..8 {
                decider.record_event(&placement.server, send_id, at);
                at += GAP.mul_f64(slowness(engine));
            }
            decider.record_end(&placement.server, send_id, End::Complete, at);
        }
    }

    /// Sends a heartbeat of each daemon to all others. `alter` changes what the first one reports.
    fn exchange(&mut self, alter: impl Fn(&mut Report)) {
        self.now += HEARTBEAT;
        for from in 0..self.deciders.len() {
            let mut speeds = self.deciders[from].speed_reports(self.now);
            let models = self.deciders[from].model_reports(self.now);
            if from == 0 {
                speeds.iter_mut().for_each(|(_, report)| alter(report));
            }
            for to in (0..self.deciders.len()).filter(|&to| to != from) {
                self.deciders[to].record_speeds_of_peer(address(from), &speeds, &models, self.now);
            }
        }
        self.deciders.iter_mut().for_each(|decider| decider.expire_peers(self.now));
    }

    fn run(&mut self, duration: Duration, slowness: impl Fn(usize) -> f64) {
        let end = self.now + duration;
        while self.now < end {
            self.run_streams(&slowness);
            self.exchange(|_| {});
        }
    }

    /// The slowness of an engine, as the last daemon knows it.
    fn slowness(&self, engine: usize) -> f64 {
        let decider = self.deciders.last().expect("a daemon");
        decider.slowness(&self.engines[engine].name).factor
    }
}

fn usual(_: usize) -> f64 {
    1.0
}

fn one_is(factor: f64) -> impl Fn(usize) -> f64 {
    move |engine| if engine == SLOW { factor } else { 1.0 }
}

/// Without reports, a daemon sends to slow engines until it has measured each of them.
#[test]
fn a_daemon_knows_the_speeds_a_second_after_its_start() {
    let mut fleet = Fleet::new(9, 4);
    fleet.run(Duration::from_secs(5), one_is(2.2));
    let mut started = sharing_decider("a");
    started.set_servers(fleet.engines.clone());
    fleet.deciders.push(started);
    let end = fleet.now + Duration::from_secs(1);
    while fleet.now < end {
        let started = fleet.deciders.pop().expect("the started daemon");
        fleet.run_streams(one_is(2.2));
        fleet.deciders.push(started);
        fleet.exchange(|_| {});
    }
    let slow = fleet.slowness(SLOW) / fleet.slowness(1);
    assert!((2.2 / 1.25..=2.2 * 1.25).contains(&slow), "{slow}");
}

/// A slow estimate sends a fleet to an engine that has become slow, or leaves a recovered one idle.
#[test]
fn a_change_of_speed_is_tracked_within_two_seconds() {
    let mut fleet = Fleet::new(9, 4);
    fleet.run(Duration::from_secs(5), usual);
    fleet.run(Duration::from_secs(2), one_is(4.0));
    let slow = fleet.slowness(SLOW) / fleet.slowness(1);
    assert!((3.2..=5.0).contains(&slow), "slower: {slow}");
    fleet.run(Duration::from_secs(2), usual);
    let recovered = fleet.slowness(SLOW) / fleet.slowness(1);
    assert!((0.8..=1.25).contains(&recovered), "recovered: {recovered}");
}

/// If daemons followed every slow moment, all of them would leave an engine at once.
#[test]
fn a_slowdown_of_600_ms_is_noise() {
    let mut fleet = Fleet::new(9, 4);
    fleet.run(Duration::from_secs(5), usual);
    fleet.run(milliseconds(600), one_is(2.5));
    let mut slowest = fleet.slowness(SLOW);
    for _ in 0..10 {
        fleet.run(HEARTBEAT, usual);
        slowest = slowest.max(fleet.slowness(SLOW));
    }
    assert!(slowest <= 1.25, "{slowest}");
}

/// A faulty daemon must not decide where the others send their requests.
#[test]
fn one_daemon_of_nine_moves_no_estimate_by_more_than_a_quarter() {
    for factor in [10.0, 0.1] {
        let estimates = [1.0, factor].map(|factor| {
            let mut fleet = Fleet::new(9, 4);
            for _ in 0..50 {
                fleet.run_streams(one_is(2.2));
                fleet.exchange(|report| {
                    report.slowness = report.slowness.map(|slowness| slowness * factor);
                });
            }
            [0, 1, 2, 3].map(|engine| fleet.slowness(engine))
        });
        for (honest, moved) in estimates[0].into_iter().zip(estimates[1]) {
            assert!((0.75..=1.25).contains(&(moved / honest)), "{factor}: {honest}, {moved}");
        }
    }
}

/// Reports of equal engines must not change placement.
#[test]
fn equal_engines_stay_equal_while_some_are_busy() {
    let mut fleet = Fleet::new(9, 4);
    fleet.run(Duration::from_secs(5), one_is(1.2));
    for engine in 0..4 {
        let slowness = fleet.slowness(engine);
        assert!((slowness - 1.0).abs() < f64::EPSILON, "{slowness}");
    }
}

/// What is learned about a process says nothing about the next one, and reports don't last.
#[test]
fn estimates_end_with_the_incarnation_and_expire() {
    let mut fleet = Fleet::new(9, 4);
    fleet.run(Duration::from_secs(5), one_is(2.2));
    assert!(fleet.slowness(SLOW) > 1.7, "{}", fleet.slowness(SLOW));
    let reports = fleet.deciders[1].speed_reports(fleet.now);
    let mut restarted = fleet.engines.clone();
    restarted[SLOW].incarnation += 1;
    let decider = fleet.deciders.last_mut().expect("a daemon");
    decider.set_servers(restarted);
    for peer in 1..8 {
        decider.record_speeds_of_peer(address(peer), &reports, &[], fleet.now);
    }
    let slowness = fleet.slowness(SLOW);
    assert!((slowness - 1.0).abs() < f64::EPSILON, "a new incarnation: {slowness}");
    let other = fleet.deciders.first_mut().expect("a daemon");
    other.expire_peers(fleet.now + Duration::from_secs(31));
    let measurements = other.slowness(&fleet.engines[1].name).measurements;
    assert!(measurements <= 10, "own measurements are left: {measurements}");
}

/// A faulty peer could otherwise make an engine infinitely slow or a prediction not a number.
#[test]
fn invalid_values_are_dropped() {
    let now = Instant::now();
    let mut decider = sharing_decider("a");
    decider.set_servers(vec![engine(0)]);
    let incarnation = incarnation_tag(1);
    for value in [0.0, -2.0, f64::INFINITY, f64::NAN] {
        let report = Report { incarnation, slowness: [value; 2], age: Duration::ZERO };
        assert_eq!(Model::from_parameters([value, 0.01, 0.4, 4.0]), None);
        for peer in 0..9 {
            decider.record_speeds_of_peer(address(peer), &[(engine(0).hash, report)], &[], now);
        }
    }
    let slowness = decider.slowness(&engine(0).name);
    assert_eq!((slowness.factor, slowness.measurements), (1.0, 0));
}
