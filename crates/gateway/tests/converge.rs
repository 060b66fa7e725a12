//! After quiet each daemon holds what the source holds, whatever changed between the pages of its
//! reads, while it was away, or while the messages of its peers were on their way.

use std::{
    collections::BTreeMap,
    ops::Bound,
    time::{Duration, Instant},
};

use compact_str::{CompactString, format_compact};
use hyssop_document::name::Zone;
use hyssop_gateway::{
    cache::{Cache, Origin},
    record::{Changes, Decoder, Era, Error, Key, Position, Record, Revision, Value},
};
use hyssop_view::sync::{MAX_INLINE_BYTES, RecordProvider as _};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

const DAEMONS: usize = 5;
/// The daemons that watch the source after their first read. The others read it once.
const WATCHERS: usize = 2;
const KEYS: usize = 7;
const PAGE_ITEMS: usize = 2;
const STEPS: usize = 150;

/// Decodes each key as the name of a zone that is out of service.
struct ZoneDecoder;

impl Decoder for ZoneDecoder {
    fn parse_key(&self, key: &str) -> Option<Key> {
        Some(Key::ZoneOut(Zone::new(key)))
    }

    fn decode(&self, key: &Key, _value: &[u8]) -> Result<Value, Error> {
        match key {
            Key::ZoneOut(zone) => Ok(Value::ZoneOut(zone.clone())),
            _ => Err(Error("no zone".into())),
        }
    }
}

#[derive(Debug, Clone)]
struct Item {
    revision: u64,
    value: Option<CompactString>,
}

#[derive(Clone)]
struct Source {
    era: u64,
    revision: u64,
    /// The source has no history before this revision.
    compacted: u64,
    items: BTreeMap<CompactString, Item>,
}

impl Source {
    fn position(&self) -> Position {
        Position { era: Era(self.era), revision: Revision(self.revision) }
    }

    fn record(&self, key: &CompactString, item: &Item) -> Record {
        Record {
            key: key.clone(),
            position: Position { era: Era(self.era), revision: Revision(item.revision) },
            value: item.value.as_ref().map(|text| text.as_bytes().to_vec().into()),
        }
    }

    fn put(&mut self, key: CompactString, value: Option<CompactString>) {
        self.revision += 1;
        self.items.insert(key, Item { revision: self.revision, value });
    }

    fn restore(&mut self, copy: &Self) {
        let era = self.era + 1;
        *self = Self { era, ..copy.clone() };
    }

    fn content(&self) -> Vec<String> {
        self.items.iter().filter_map(|(key, item)| describe(&self.record(key, item))).collect()
    }
}

/// The key of a record that exists, its position and the first word of its value.
fn describe(record: &Record) -> Option<String> {
    let value = record.value.as_ref()?;
    let text = std::str::from_utf8(value).expect("values are text").trim_end();
    Some(format!("{}@{}={text}", record.key, record.position))
}

/// The pages of a full read so far.
struct Reading {
    position: Position,
    records: Vec<Record>,
}

struct Daemon {
    cache: Cache,
    position: Option<Position>,
    reading: Option<Reading>,
}

impl Daemon {
    fn new() -> Self {
        Self { cache: Cache::new(Box::new(ZoneDecoder)), position: None, reading: None }
    }

    fn applied(&self) -> Position {
        self.cache.snapshot().applied
    }

    /// One call of the source: a page of a full read, or a watch.
    fn call(&mut self, source: &Source, now: Instant) {
        let Some(position) = self.position else { return self.read_page(source, now) };
        let Position { era, revision: Revision(revision) } = position;
        if era != Era(source.era) || revision < source.compacted || revision > source.revision {
            self.position = None;
            return;
        }
        let later = source.items.iter().filter(|(_, item)| item.revision > revision);
        let changes = later.map(|(key, item)| source.record(key, item)).collect();
        self.cache.apply(changes, Origin::Watch, now);
        self.position = Some(source.position());
    }

    fn read_page(&mut self, source: &Source, now: Instant) {
        let position = source.position();
        let mut reading = self.reading.take().unwrap_or(Reading { position, records: Vec::new() });
        if reading.position.era != position.era {
            return;
        }
        let after = match reading.records.last() {
            Some(record) => Bound::Excluded(record.key.clone()),
            None => Bound::Unbounded,
        };
        let rest = source.items.range((after, Bound::Unbounded));
        let mut rest = rest.filter(|(_, item)| item.value.is_some());
        let page = rest.by_ref().take(PAGE_ITEMS);
        reading.records.extend(page.map(|(key, item)| source.record(key, item)));
        if rest.next().is_some() {
            self.reading = Some(reading);
            return;
        }
        self.cache.on_source_response(now);
        self.cache.replace_all(reading.records, reading.position, now);
        self.position = Some(reading.position);
    }

    /// Fetches a large record that the daemon awaits.
    fn fetch_awaited(&self, peer: &Self, now: Instant) {
        if let Some((key, _, own)) = self.cache.awaited()
            && let Some(record) = peer.cache.record_after(&key, own)
        {
            self.cache.apply_awaited(record, now);
        }
    }

    fn content(&self) -> Vec<String> {
        let names = (0..KEYS).map(|index| format_compact!("k{index}"));
        let records = names.filter_map(|key| self.cache.record_after(&key, Position::default()));
        records.filter_map(|record| describe(&record)).collect()
    }
}

fn play(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut now = Instant::now();
    let mut source = Source { era: 1, revision: 10, compacted: 0, items: BTreeMap::new() };
    for index in 0..KEYS {
        source.put(format_compact!("k{index}"), Some("first".into()));
    }
    let mut copy = source.clone();
    let mut daemons: Vec<Daemon> = (0..DAEMONS).map(|_| Daemon::new()).collect();
    let mut in_flight: Vec<(usize, Changes)> = Vec::new();
    for step in 0..STEPS {
        now += Duration::from_millis(random.random_range(0..400));
        let daemon = random.random_range(0..DAEMONS);
        let peer = random.random_range(0..DAEMONS);
        match random.random_range(0..24) {
            0..7 if daemon < WATCHERS || daemons[daemon].position.is_none() => {
                daemons[daemon].call(&source, now);
            }
            7..11 if daemons[peer].applied() > daemons[daemon].applied() => {
                let changes = daemons[peer].cache.changes_after(daemons[daemon].applied());
                in_flight.extend(changes.map(|changes| (daemon, changes)));
            }
            11..14 if !in_flight.is_empty() => {
                let index = random.random_range(0..in_flight.len());
                let (to, changes) = in_flight.swap_remove(index);
                daemons[to].cache.apply_changes(changes, now);
            }
            14 | 15 => daemons[daemon].fetch_awaited(&daemons[peer], now),
            16..20 => {
                let key = format_compact!("k{}", random.random_range(0..KEYS));
                let is_large = random.random_ratio(1, 6);
                let padding = " ".repeat(if is_large { MAX_INLINE_BYTES } else { 0 });
                let value = random.random_ratio(3, 5);
                source.put(key, value.then(|| format_compact!("{step}{padding}")));
            }
            20 => source.compacted = source.revision,
            21 => copy = source.clone(),
            22 if random.random_ratio(1, 4) => source.restore(&copy),
            22 if random.random_ratio(1, 8) => now += Duration::from_secs(150),
            23 if random.random_ratio(1, 2) => {
                daemons[daemon] = Daemon::new();
                in_flight.retain(|(to, _)| *to != daemon);
            }
            _ => {}
        }
        for daemon in &daemons {
            daemon.cache.expire(now);
        }
    }
    settle(&mut daemons, in_flight, &source, now);
    for (index, daemon) in daemons.iter().enumerate() {
        assert_eq!(daemon.content(), source.content(), "seed {seed}, daemon {index}");
        assert_eq!(daemon.cache.awaited(), None, "seed {seed}, daemon {index}");
        // Else they would read the source again.
        let [own, first] = [daemon, &daemons[0]].map(|daemon| daemon.cache.snapshot().digest);
        assert!(own.is_some() && own == first, "seed {seed}, daemon {index}");
    }
}

/// All messages arrive, and each daemon hears of the last position of the others.
fn settle(daemons: &mut [Daemon], in_flight: Vec<(usize, Changes)>, source: &Source, now: Instant) {
    for (to, changes) in in_flight {
        daemons[to].cache.apply_changes(changes, now);
    }
    let latest = source.position();
    for (index, daemon) in daemons.iter_mut().enumerate() {
        while daemon.position.is_none() || index < WATCHERS && daemon.position != Some(latest) {
            daemon.call(source, now);
        }
    }
    for _ in 0..3 * KEYS {
        for index in 0..DAEMONS {
            for peer in 0..WATCHERS {
                let (daemon, peer) = (&daemons[index], &daemons[peer]);
                if peer.applied() > daemon.applied() {
                    let changes = peer.cache.changes_after(daemon.applied());
                    daemon.cache.apply_changes(changes.expect("the peer is current"), now);
                }
                daemon.fetch_awaited(peer, now);
            }
        }
    }
}

#[test]
fn daemons_hold_what_the_source_holds_after_quiet() {
    for seed in 0..2_500 {
        play(seed);
    }
}
