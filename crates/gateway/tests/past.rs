//! Daemons that start know which builds pools had before only if the source shows all changes.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use bytes::Bytes;
use compact_str::CompactString;
use hyssop_document::{
    build::Build,
    name::{Backend, Pool, Zone},
};
use hyssop_gateway::{
    cache::Cache,
    environment::{Environment, Limits},
    record::{Decoder, Era, Error, Key, Position, Record, Revision, Server, State, Value},
    source::Batch,
};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

/// What callers have left, and the age that their streams can have: a second more.
const LEFT: Duration = Duration::from_secs(9);
const AGE: Duration = Duration::from_secs(10);
const SERVERS: [&str; 3] = ["s1", "s2", "s3"];
const BUILDS: [&str; 2] = ["v1", "v2"];

/// Decodes `env`, and `sN` with the build that it has.
struct BuildDecoder;

impl Decoder for BuildDecoder {
    fn parse_key(&self, key: &str) -> Option<Key> {
        match key {
            "env" => Some(Key::Environment),
            "note" => None,
            server => Some(Key::Server(Backend::new(server))),
        }
    }

    fn decode(&self, key: &Key, value: &[u8]) -> Result<Value, Error> {
        let Key::Server(name) = key else {
            let time = Duration::ZERO;
            let limits = Limits {
                max_head_bytes: 1,
                max_body_bytes: 1,
                head_timeout: time,
                idle_timeout: time,
            };
            let environment = Environment::new(1, limits, Vec::new(), Vec::new(), None);
            return Ok(Value::Environment(Box::new(environment)));
        };
        Ok(Value::Server(Server {
            name: name.clone(),
            pool: Pool::new("pool"),
            address: ([127, 0, 0, 1], 1).into(),
            zone: Zone::new("a"),
            build: Build::new(std::str::from_utf8(value).expect("text")),
            slots: 1,
            state: State::Ready,
            cold_for: Duration::ZERO,
            started_ms: None,
        }))
    }
}

#[derive(Debug, Clone)]
struct Change {
    key: &'static str,
    value: Option<&'static str>,
    revision: u64,
    created: u64,
}

/// A source, with all changes that it ever had.
#[derive(Debug, Clone, Default)]
struct Source {
    era: u64,
    revision: u64,
    changes: Vec<Change>,
    /// Changes up to this revision are not in its history.
    compacted: u64,
    returns_all: bool,
}

impl Source {
    fn new(returns_all: bool) -> Self {
        Self { revision: 7, returns_all, ..Self::default() }
    }

    fn items(&self) -> BTreeMap<&'static str, Change> {
        let items = self.changes.iter().map(|change| (change.key, change.clone())).collect();
        let mut items: BTreeMap<&str, Change> = items;
        items.retain(|_, change| change.value.is_some());
        items
    }

    fn change(&mut self, key: &'static str, value: Option<&'static str>) {
        let before = self.items().remove(key);
        if before.is_none() && value.is_none() {
            return;
        }
        self.revision += 1;
        let revision = self.revision;
        let created = before.map_or(revision, |before| before.created);
        self.changes.push(Change { key, value, revision, created });
    }

    fn batch(&self, changes: impl Iterator<Item = Change>) -> Batch {
        let at = |revision| Position { era: Era(self.era), revision: Revision(revision) };
        let (records, created) = changes
            .map(|Change { key, value, revision, created }| {
                let value = value.map(|value| Bytes::from_static(value.as_bytes()));
                let created = if value.is_some() { created } else { 0 };
                let record = Record { key: CompactString::new(key), position: at(revision), value };
                (record, Revision(created))
            })
            .unzip();
        Batch { records, created, is_snapshot: true, position: at(self.revision) }
    }

    fn watch(&self, after: Position) -> Option<Batch> {
        let is_later = |change: &&Change| change.revision > after.revision.0;
        let later: Vec<Change> = self.changes.iter().filter(is_later).cloned().collect();
        let is_last = |change: &Change| {
            !later.iter().any(|other| other.key == change.key && other.revision > change.revision)
        };
        let shown = later.iter().filter(|change| self.returns_all || is_last(change)).cloned();
        (after.revision.0 >= self.compacted).then(|| self.batch(shown))
    }

    /// The builds of which servers can have begun streams: those that were there since the first
    /// environment.
    fn builds(&self) -> Vec<&'static str> {
        let began = self.changes.iter().position(|change| change.key == "env");
        let began = began.unwrap_or(0);
        let is_server = |change: &&Change| change.key.starts_with('s');
        let before = Self { changes: self.changes[..began].to_vec(), ..Self::default() };
        let before = before.items().into_values().filter(|change| is_server(&change));
        let since = self.changes[began..].iter().filter(is_server).cloned();
        let mut builds: Vec<&str> = before.chain(since).filter_map(|change| change.value).collect();
        builds.sort_unstable();
        builds.dedup();
        builds
    }
}

fn only_build(cache: &Cache, now: Instant) -> Result<Build, Option<Duration>> {
    cache.only_build(&[(Pool::new("pool"), 1)], Some(LEFT), now)
}

/// A daemon that starts: it reads the source in two pages, and the history. The source changes before
/// the second page and the history. Returns whether the daemon read the history.
fn start(
    source: &mut Source,
    mut meanwhile: impl FnMut(&mut Source),
    now: Instant,
) -> (Cache, bool) {
    let cache = Cache::new(Box::new(BuildDecoder));
    let is_first_page = |change: &Change| change.key < "s2";
    let mut read = source.batch(source.items().into_values().filter(is_first_page));
    meanwhile(source);
    let page = source.batch(source.items().into_values().filter(|change| !is_first_page(change)));
    read.records.extend(page.records);
    read.created.extend(page.created);
    read.is_snapshot = read.position == page.position;
    cache.replace_all(read.records.clone(), read.position, now);
    let past = cache.past(&read);
    meanwhile(source);
    let Some(past) = past else { return (cache, false) };
    if past.is_whole() {
        cache.extend_knowledge(past, None, now);
        return (cache, false);
    }
    let history = past.history_start().and_then(|after| source.watch(after));
    if let Some(history) = &history {
        cache.extend_knowledge(past, Some(history), now);
    }
    (cache, true)
}

fn change_at_random(source: &mut Source, rng: &mut StdRng, builds: usize) {
    let server = SERVERS[rng.random_range(0..SERVERS.len())];
    match rng.random_range(0..12) {
        0..6 => source.change(server, Some(BUILDS[rng.random_range(0..builds)])),
        6..9 => source.change(server, None),
        9 => source.change("env", Some("")),
        _ => source.change("note", if rng.random() { Some("") } else { None }),
    }
}

/// A source with a random past of one build or two.
fn random_source(rng: &mut StdRng) -> Source {
    let mut source = Source::new(rng.random());
    let builds = rng.random_range(1..=2);
    for _ in 0..rng.random_range(0..4) {
        let server = SERVERS[rng.random_range(0..SERVERS.len())];
        source.change(server, Some(BUILDS[rng.random_range(0..builds)]));
    }
    if rng.random() {
        source.change(SERVERS[0], None);
    }
    source.change("env", Some(""));
    for _ in 0..rng.random_range(0..8) {
        change_at_random(&mut source, rng, builds);
    }
    if rng.random_range(0..3) == 0 {
        source.compacted = rng.random_range(0..=source.revision);
    }
    source
}

/// Guards against daemons that take up a stream at a build that was not the only one.
#[test]
fn whatever_came_before_only_a_build_that_was_alone_is_trusted_at_the_start() {
    let (mut trusted, mut one, mut read) = (0, 0, 0);
    for seed in 0..60_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut source = random_source(&mut rng);
        let now = Instant::now();
        let meanwhile = |source: &mut Source| {
            for _ in 0..rng.random_range(0..5_u8).saturating_sub(2) {
                change_at_random(source, &mut rng, 2);
            }
        };
        let (cache, has_read) = start(&mut source, meanwhile, now);
        let result = only_build(&cache, now);
        // What changes after the read, or after the history, is seen by the watch. A read of several
        // pages has records that are later than its position.
        let read_until =
            if has_read { source.revision } else { cache.snapshot().applied.revision.0 };
        source.changes.retain(|change| change.revision <= read_until);
        let builds = source.builds();
        one += usize::from(builds.len() == 1);
        read += usize::from(has_read);
        if let Ok(build) = result {
            trusted += 1;
            assert_eq!(builds, [build.to_string()], "seed {seed}: {source:?}");
        }
    }
    assert!(trusted > 1_000 && one > trusted && read > 1_000, "{trusted} of {one}, {read} read");
}

/// A source of one build that changed as servers come, go and change.
fn busy_source(returns_all: bool) -> Source {
    let mut source = Source::new(returns_all);
    source.change("env", Some(""));
    source.change("s1", Some("v1"));
    source.change("s2", Some("v1"));
    source.change("s2", Some("v1"));
    source.change("s3", Some("v1"));
    source.change("s3", None);
    source
}

/// Guards against a proof that holds for no source.
#[test]
fn a_past_of_one_build_is_known_at_once_where_the_history_shows_all_changes() {
    let now = Instant::now();
    let (cache, has_read) = start(&mut busy_source(true), |_| {}, now);
    assert!(has_read);
    assert_eq!(only_build(&cache, now), Ok(Build::new("v1")));
    let (cache, _) = start(&mut busy_source(false), |_| {}, now);
    assert!(only_build(&cache, now).is_err(), "some changes are hidden");
    let mut source = Source::new(false);
    source.change("env", Some(""));
    source.change("s1", Some("v1"));
    source.change("env", Some(""));
    source.compacted = source.revision;
    let (cache, has_read) = start(&mut source, |_| {}, now);
    assert_eq!((only_build(&cache, now), has_read), (Ok(Build::new("v1")), false));
}

/// Guards against a proof by a response from before the read.
#[test]
fn an_old_history_proves_nothing() {
    let (mut source, now) = (busy_source(true), Instant::now());
    let after = Position { era: Era(0), revision: Revision(8) };
    let old = source.watch(after).expect("the history is there");
    source.change("s1", None);
    source.change("s3", Some("v1"));
    let cache = Cache::new(Box::new(BuildDecoder));
    let read = source.batch(source.items().into_values());
    cache.replace_all(read.records.clone(), read.position, now);
    let past = cache.past(&read).expect("no change stays hidden");
    cache.extend_knowledge(past, Some(&old), now);
    assert!(only_build(&cache, now).is_err());
}

/// Another build that the history shows left no later than the start.
#[test]
fn a_build_that_left_before_the_start_is_waited_for() {
    let now = Instant::now();
    let mut source = busy_source(true);
    source.change("s3", Some("v2"));
    source.change("s3", None);
    let (cache, _) = start(&mut source, |_| {}, now);
    assert_eq!(only_build(&cache, now), Err(Some(AGE)));
    assert_eq!(only_build(&cache, now + AGE), Ok(Build::new("v1")));
}

/// Guards against a daemon that trusts a source which was restored, and lacks what was written last.
#[test]
fn a_source_that_may_have_been_restored_is_trusted_late_or_never() {
    let now = Instant::now();
    let mut source = busy_source(true);
    source.era = 1;
    let (cache, _) = start(&mut source, |_| {}, now);
    let known = now + hyssop_gateway::restore::REWRITE_TIME;
    assert!(only_build(&cache, known - Duration::from_millis(1)).is_err());
    assert_eq!(only_build(&cache, known), Ok(Build::new("v1")));
    source.era = 2;
    let (cache, _) = start(&mut source, |_| {}, now);
    assert!(only_build(&cache, known).is_err());
}

/// Guards against a past that outlives a gap in what the daemon knows since its start.
#[test]
fn a_gap_ends_the_knowledge_of_the_past() {
    let gaps: [fn(&Cache, Instant); 3] = [
        |cache, now| {
            cache.on_source_lost(now);
            cache.on_source_response(now);
            cache.apply(Vec::new(), hyssop_gateway::cache::Origin::Watch, now);
        },
        |cache, now| {
            let position = Position { era: Era(0), revision: Revision(13) };
            cache.set_suspended(true);
            cache.set_suspended(false);
            cache.on_peer_position(position, true, now);
        },
        |cache, now| {
            let position = Position { era: Era(0), revision: Revision(20) };
            let record = Record { key: "s4".into(), position, value: None };
            cache.apply(vec![record], hyssop_gateway::cache::Origin::Watch, now);
        },
    ];
    for (number, gap) in gaps.into_iter().enumerate() {
        let now = Instant::now();
        let (cache, _) = start(&mut busy_source(true), |_| {}, now);
        assert!(only_build(&cache, now).is_ok());
        gap(&cache, now);
        assert!(only_build(&cache, now).is_err(), "gap {number}");
        // The gap came while the daemon waited for the history.
        let (source, cache) = (busy_source(true), Cache::new(Box::new(BuildDecoder)));
        let read = source.batch(source.items().into_values());
        cache.replace_all(read.records.clone(), read.position, now);
        let past = cache.past(&read).expect("no change stays hidden");
        let history = past.history_start().and_then(|after| source.watch(after));
        gap(&cache, now);
        cache.extend_knowledge(past, history.as_ref(), now);
        assert!(only_build(&cache, now).is_err(), "gap {number} before the history");
    }
}

/// Guards against a fetch of a long history, or of many large environments.
#[test]
fn a_long_history_is_not_fetched() {
    let mut source = busy_source(true);
    for _ in 0..2_100 {
        source.change("s2", Some("v1"));
    }
    assert!(!start_reads(&source));
    let mut source = busy_source(true);
    let large: &'static str = "x".repeat(100_000).leak();
    source.change("env", Some(large));
    assert!(!start_reads(&source));
    assert!(start_reads(&busy_source(true)));
}

fn start_reads(source: &Source) -> bool {
    let cache = Cache::new(Box::new(BuildDecoder));
    let read = source.batch(source.items().into_values());
    cache.replace_all(read.records.clone(), read.position, Instant::now());
    cache.past(&read).is_some_and(|past| past.history_start().is_some())
}
