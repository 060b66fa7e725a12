//! Daemons that share records converge to what the source says, however often it is restored from
//! older copies, however late the messages of peers are, and whichever values are so large that they
//! are fetched by themselves.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use hyssop_document::{
    build::Build,
    name::{Backend, Pool as PoolName, Zone},
};
use hyssop_gateway::{
    cache::{Cache, Origin},
    environment::{Environment, Limits, Pool},
    record::{Changes, Decoder, Era, Error, Key, Position, Record, Revision, Server, State, Value},
    restore::REWRITE_TIME,
};
use hyssop_view::sync::{MAX_INLINE_BYTES, RecordProvider as _};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

const DAEMONS: usize = 4;
const SERVERS: usize = 5;
const STEPS: usize = 150;

/// Decodes `env` with a version, `server/NAME` with a state and an incarnation, and `zone/NAME`.
struct TextDecoder;

impl Decoder for TextDecoder {
    fn parse_key(&self, key: &str) -> Option<Key> {
        match key.split_once('/') {
            None => (key == "env").then_some(Key::Environment),
            Some(("server", name)) => Some(Key::Server(Backend::new(name))),
            Some(("zone", name)) => Some(Key::ZoneOut(Zone::new(name))),
            Some(_) => None,
        }
    }

    fn decode(&self, key: &Key, value: &[u8]) -> Result<Value, Error> {
        let text = std::str::from_utf8(value).map_err(|error| Error(format_compact!("{error}")))?;
        let text = text.lines().next().unwrap_or_default();
        Ok(match key {
            Key::ZoneOut(zone) => Value::ZoneOut(zone.clone()),
            Key::Environment => {
                Value::Environment(Box::new(environment(text.parse().expect("a version"))))
            }
            Key::Server(name) => {
                let (state, incarnation) = text.split_once(' ').expect("two words");
                Value::Server(Server {
                    name: name.clone(),
                    pool: PoolName::new("pool"),
                    address: ([127, 0, 0, 1], 1).into(),
                    zone: Zone::new(if name.as_str() < "s2" { "a" } else { "b" }),
                    build: Build::default(),
                    slots: 1,
                    state: if state == "ready" { State::Ready } else { State::Draining },
                    cold_for: Duration::ZERO,
                    started_ms: incarnation.parse().ok(),
                })
            }
        })
    }
}

fn environment(version: u64) -> Environment {
    let limits = Limits {
        max_head_bytes: 1,
        max_body_bytes: 1,
        head_timeout: Duration::ZERO,
        idle_timeout: Duration::ZERO,
    };
    let pool =
        Pool { name: PoolName::new("pool"), max_connections: 1, cold_rate: 0.0, engine: None };
    Environment::new(version, limits, Vec::new(), vec![pool], None)
}

type Items = BTreeMap<CompactString, (Option<CompactString>, u64)>;

#[derive(Clone)]
struct Source {
    era: u64,
    revision: u64,
    items: Items,
}

impl Source {
    fn put(&mut self, key: &str, value: Option<CompactString>) {
        self.revision += 1;
        self.items.insert(key.into(), (value, self.revision));
    }

    /// Appends a long line to a value, so that it is not sent together with others.
    fn enlarge(&mut self, key: &str) {
        if let Some((Some(value), _)) = self.items.get_mut(key) {
            *value = format_compact!("{value}\n{}", " ".repeat(MAX_INLINE_BYTES));
        }
    }

    fn position(&self) -> Position {
        Position { era: Era(self.era), revision: Revision(self.revision) }
    }

    fn records(&self, after: u64) -> impl Iterator<Item = Record> {
        self.items.iter().filter(move |(_, (_, revision))| *revision > after).map(
            |(key, (value, revision))| Record {
                key: key.clone(),
                position: Position { era: Era(self.era), revision: Revision(*revision) },
                value: value.as_ref().map(|text| Bytes::copy_from_slice(text.as_bytes())),
            },
        )
    }

    fn restore(&mut self, copy: &Self) {
        *self = Self { era: self.era + 1, ..copy.clone() };
    }
}

/// What operators and backend servers want, which they write again after a restore.
struct Truth {
    version: u64,
    /// For each backend server its incarnation and state, or `None` if it is gone.
    servers: Vec<Option<(u64, &'static str)>>,
    zone_out: bool,
    incarnations: u64,
}

impl Truth {
    fn write_server(&self, source: &mut Source, index: usize) {
        let value = self.servers[index]
            .map(|(incarnation, state)| format_compact!("{state} {incarnation}"));
        source.put(&format!("server/s{index}"), value);
    }

    fn write_zone(&self, source: &mut Source) {
        source.put("zone/b", self.zone_out.then(|| "{}".into()));
    }

    fn write_version(&self, source: &mut Source) {
        source.put("env", Some(format_compact!("{}", self.version)));
    }

    /// Backend servers that are ready and whose zone is in service.
    fn in_service(&self) -> Vec<String> {
        let ready = |index: &usize| self.servers[*index].is_some_and(|(_, state)| state == "ready");
        let in_zone = |index: &usize| !(self.zone_out && *index >= 2);
        (0..SERVERS).filter(ready).filter(in_zone).map(|index| format!("s{index}")).collect()
    }
}

struct Daemon {
    cache: Cache,
    /// The position that the daemon has read itself.
    position: Option<Position>,
    /// For each backend server the last incarnation of which the daemon knows that it leaves.
    left: Vec<Option<u64>>,
    /// When the daemon noticed a restore last.
    restored_at: Option<Instant>,
}

impl Daemon {
    fn applied(&self) -> Position {
        self.cache.snapshot().applied
    }

    fn version(&self) -> u64 {
        self.cache.snapshot().environment.as_ref().map_or(0, |environment| environment.version)
    }

    fn in_service(&self) -> Vec<String> {
        let snapshot = self.cache.snapshot();
        let mut names: Vec<String> = snapshot.servers.keys().map(ToString::to_string).collect();
        names.sort_unstable();
        names
    }

    /// Reads or watches the source, as `source::run` does.
    fn follow(&mut self, source: &Source, now: Instant) {
        self.cache.on_source_response(now);
        match self.position {
            Some(position)
                if position.era == source.position().era
                    && position.revision.0 <= source.revision =>
            {
                let changes = source.records(position.revision.0).collect();
                self.cache.apply(changes, Origin::Watch, now);
            }
            _ => {
                let items = source.records(0).filter(|record| record.value.is_some());
                self.cache.replace_all(items.collect(), source.position(), now);
            }
        }
        self.position = Some(source.position());
    }

    /// Asks a peer for a large record that the daemon awaits.
    fn request_awaited(&self, peer: &Self) -> Option<Record> {
        let (key, _, own) = self.cache.awaited()?;
        peer.cache.record_after(&key, own)
    }

    /// Records which backend servers the daemon knows to leave. Returns those that it uses although
    /// it knew that they leave, and whose records may still be those of the copy.
    fn check_departures(&mut self, now: Instant) -> Vec<usize> {
        let snapshot = self.cache.snapshot();
        let mut used = Vec::new();
        for (index, left) in self.left.iter_mut().enumerate() {
            let key = format!("server/s{index}");
            let record = self.cache.record_after(&key, Position::default());
            let value = record.and_then(|record| record.value).unwrap_or_default();
            let text = std::str::from_utf8(&value).expect("values are text");
            let text = text.lines().next().unwrap_or_default();
            let is_rewritten = self.restored_at.is_none_or(|at| now >= at + REWRITE_TIME);
            match text.split_once(' ') {
                Some(("draining", incarnation)) => *left = incarnation.parse().ok(),
                // It did not write again that it leaves.
                Some(("ready", incarnation))
                    if is_rewritten && *left == incarnation.parse().ok() =>
                {
                    *left = None;
                }
                _ => {}
            }
            let server = snapshot.servers.get(&Backend::new(&format!("s{index}")));
            if left.is_some() && server.is_some_and(|s| s.started_ms == *left) && !is_rewritten {
                used.push(index);
            }
        }
        used
    }
}

fn play(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut now = start;
    let mut source = Source { era: 1, revision: 10, items: Items::new() };
    let mut truth = Truth {
        version: 1,
        servers: (0..SERVERS).map(|index| Some((index as u64, "ready"))).collect(),
        zone_out: false,
        incarnations: 100,
    };
    truth.write_version(&mut source);
    (0..SERVERS).for_each(|index| truth.write_server(&mut source, index));
    let new_daemon = || Daemon {
        cache: Cache::new(Box::new(TextDecoder)),
        position: None,
        left: vec![None; SERVERS],
        restored_at: None,
    };
    let mut daemons: Vec<Daemon> = (0..DAEMONS).map(|_| new_daemon()).collect();
    let mut copy = source.clone();
    let mut in_flight: Vec<(usize, Changes)> = Vec::new();
    let mut large_in_flight: Vec<(usize, Record)> = Vec::new();
    for _ in 0..STEPS {
        now += Duration::from_millis(random.random_range(0..400));
        let daemon = random.random_range(0..DAEMONS);
        let before: Vec<(Position, u64)> =
            daemons.iter().map(|daemon| (daemon.applied(), daemon.version())).collect();
        let mut restarted = None;
        match random.random_range(0..20) {
            16 | 17 => {
                let peer = random.random_range(0..DAEMONS);
                let record = daemons[daemon].request_awaited(&daemons[peer]);
                large_in_flight.extend(record.map(|record| (daemon, record)));
            }
            18 | 19 if !large_in_flight.is_empty() => {
                let index = random.random_range(0..large_in_flight.len());
                let (to, record) = large_in_flight.swap_remove(index);
                daemons[to].cache.apply_awaited(record, now);
            }
            0..5 => daemons[daemon].follow(&source, now),
            5..8 => {
                // Records of a peer, which may arrive late.
                let after = daemons[daemon].applied();
                let peer = random.random_range(0..DAEMONS);
                if let Some(changes) = daemons[peer].cache.changes_after(after) {
                    in_flight.push((daemon, changes));
                }
            }
            8 | 9 if !in_flight.is_empty() => {
                let index = random.random_range(0..in_flight.len());
                let (to, changes) = in_flight.swap_remove(index);
                daemons[to].cache.apply_changes(changes, now);
            }
            10 => {
                truth.version += 1;
                truth.write_version(&mut source);
                if random.random_ratio(1, 2) {
                    source.enlarge("env");
                }
            }
            11 | 12 => {
                let index = random.random_range(0..SERVERS);
                truth.incarnations += 1;
                truth.servers[index] = match truth.servers[index] {
                    Some((incarnation, "ready")) => Some((incarnation, "draining")),
                    Some(_) => None,
                    None => Some((truth.incarnations, "ready")),
                };
                truth.write_server(&mut source, index);
                if random.random_ratio(1, 4) {
                    source.enlarge(&format!("server/s{index}"));
                }
            }
            13 => {
                truth.zone_out = !truth.zone_out;
                truth.write_zone(&mut source);
            }
            14 => copy = source.clone(),
            15 if random.random_ratio(1, 3) => {
                source.restore(&copy);
                copy = source.clone();
            }
            _ if random.random_ratio(1, 10) => {
                daemons[daemon] = new_daemon();
                in_flight.retain(|(to, _)| *to != daemon);
                large_in_flight.retain(|(to, _)| *to != daemon);
                restarted = Some(daemon);
            }
            _ => {}
        }
        for (index, daemon) in daemons.iter_mut().enumerate() {
            daemon.cache.expire(now);
            if restarted == Some(index) {
                continue;
            }
            let (applied, version) = before[index];
            if applied.era < daemon.applied().era {
                daemon.restored_at = Some(now);
            }
            let used = daemon.check_departures(now);
            assert_eq!(used, Vec::<usize>::new(), "seed {seed}: daemon {index} uses what left");
            assert!(daemon.applied() >= applied, "seed {seed}: the position of {index} goes back");
            assert!(daemon.version() >= version, "seed {seed}: the version of {index} goes back");
        }
    }
    // All write again what a restore may have lost, and the daemons hear of it.
    truth.write_version(&mut source);
    truth.write_zone(&mut source);
    (0..SERVERS).for_each(|index| truth.write_server(&mut source, index));
    source.enlarge("env");
    source.enlarge("server/s0");
    for (index, daemon) in daemons.iter_mut().enumerate().take(2) {
        daemon.follow(&source, now + Duration::from_millis(index as u64));
    }
    for (to, changes) in in_flight {
        daemons[to].cache.apply_changes(changes, now);
    }
    for (to, record) in large_in_flight {
        daemons[to].cache.apply_awaited(record, now);
    }
    for index in 2..DAEMONS {
        let changes = daemons[0].cache.changes_after(daemons[index].applied());
        daemons[index].cache.on_source_response(now);
        daemons[index].cache.apply_changes(changes.expect("the peer is current"), now);
        // The environment and one backend server are large.
        for _ in 0..2 {
            if let Some(record) = daemons[index].request_awaited(&daemons[0]) {
                daemons[index].cache.apply_awaited(record, now);
            }
        }
        assert_eq!(daemons[index].cache.awaited(), None, "seed {seed}, daemon {index}");
    }
    now += REWRITE_TIME + Duration::from_secs(1);
    for (index, daemon) in daemons.iter().enumerate() {
        daemon.cache.expire(now);
        assert_eq!(daemon.version(), truth.version, "seed {seed}, daemon {index}");
        assert_eq!(daemon.in_service(), truth.in_service(), "seed {seed}, daemon {index}");
    }
}

#[test]
fn daemons_converge_over_restores_and_late_messages() {
    for seed in 0..1_000 {
        play(seed);
    }
}
