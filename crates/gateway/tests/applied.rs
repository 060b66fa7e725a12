//! The position that a daemon states in its heartbeats.

use std::time::Instant;

use hyssop_gateway::{
    cache::{Cache, Origin},
    record::{Decoder, Error, Key, Position, Record, Revision, Value},
};
use hyssop_view::sync::{MAX_INLINE_BYTES, RecordProvider as _};

struct ZoneDecoder;

impl Decoder for ZoneDecoder {
    fn parse_key(&self, key: &str) -> Option<Key> {
        key.parse().ok().map(Key::ZoneOut)
    }

    fn decode(&self, _key: &Key, _value: &[u8]) -> Result<Value, Error> {
        Err(Error("no value is valid".into()))
    }
}

fn position(revision: u64) -> Position {
    Position { revision: Revision(revision), ..Position::default() }
}

fn record(key: &str, revision: u64, bytes: usize) -> Record {
    Record { key: key.into(), position: position(revision), value: Some(vec![b'x'; bytes].into()) }
}

/// Records that change nothing were fetched from peers again and again, since the daemon did not
/// state that it has applied them.
#[test]
fn records_that_change_nothing_are_applied_too() {
    let cache = Cache::new(Box::new(ZoneDecoder));
    for (revision, value) in [(7, None), (8, Some("refused".into()))] {
        let position = position(revision);
        let record = Record { key: "zone".into(), position, value };
        assert!(!cache.apply(vec![record], Origin::Peer, Instant::now()));
        assert_eq!(cache.snapshot().applied, position);
    }
}

/// A large record that was fetched by itself is later than changes which the daemon has not fetched
/// yet. Peers that fetch from it must not take these for applied.
#[test]
fn a_large_record_hides_no_earlier_changes() {
    const LARGE: usize = MAX_INLINE_BYTES + 1;
    let now = Instant::now();
    let [first, second, third] = [(); 3].map(|()| Cache::new(Box::new(ZoneDecoder)));
    first.apply(vec![record("large", 4, LARGE), record("a", 5, 1)], Origin::Watch, now);
    second.apply_changes(first.changes_after(Position::default()).expect("current"), now);
    assert_eq!(second.awaited(), Some(("large".into(), position(4), Position::default())));

    let later = vec![record("b", 7, 1), record("large", 9, LARGE)];
    first.apply(later, Origin::Watch, now);
    let large = first.record_after("large", Position::default()).expect("a later record");
    second.apply_awaited(large, now);
    assert_eq!((second.awaited(), second.snapshot().applied), (None, position(5)));

    third.apply_changes(second.changes_after(Position::default()).expect("current"), now);
    assert_eq!(third.snapshot().applied, position(5));
    let large = second.record_after("large", Position::default()).expect("the record");
    third.apply_awaited(large, now);
    third.apply_changes(first.changes_after(position(5)).expect("current"), now);
    assert_eq!((third.awaited(), third.snapshot().applied), (None, position(9)));
    assert!(third.record_after("b", Position::default()).is_some(), "the earlier change");
}

/// The pages of a full read are no snapshot: the last one may have a change that is later than others
/// which the first one lacks. The daemon must fetch these, and its peers must not take them for applied.
#[test]
fn a_full_read_reaches_only_the_position_of_its_first_page() {
    let now = Instant::now();
    let [first, second] = [(); 2].map(|()| Cache::new(Box::new(ZoneDecoder)));
    first.replace_all(vec![record("a", 3, 1), record("c", 9, 1)], position(6), now);
    assert!(first.snapshot().applied <= position(6), "{}", first.snapshot().applied);

    second.apply_changes(first.changes_after(Position::default()).expect("current"), now);
    assert!(second.snapshot().applied <= position(6), "{}", second.snapshot().applied);
    for cache in [&first, &second] {
        cache.apply(vec![record("b", 8, 1), record("c", 9, 1)], Origin::Peer, now);
        assert_eq!(cache.snapshot().applied, position(9));
        assert!(cache.record_after("b", Position::default()).is_some(), "the earlier change");
    }
}

/// What a daemon wrongly took for deleted, or has missed, must not stay so: a read of the source is right
/// whatever was known, and the digest tells that one is needed.
#[test]
fn a_full_read_undoes_what_was_missed() {
    let now = Instant::now();
    let [right, wrong] = [(); 2].map(|()| Cache::new(Box::new(ZoneDecoder)));
    let records = || vec![record("a", 3, 1), record("b", 4, 1), record("c", 9, 1)];
    right.replace_all(records(), position(9), now);
    wrong.replace_all(vec![record("a", 3, 1), record("c", 9, 1)], position(9), now);
    let deletion = Record { value: None, ..record("a", 7, 1) };
    wrong.apply(vec![deletion], Origin::Peer, now);
    assert_eq!(right.snapshot().applied, wrong.snapshot().applied);
    assert_ne!(right.snapshot().digest, wrong.snapshot().digest);

    wrong.replace_all(records(), position(9), now);
    assert_eq!(right.snapshot().digest, wrong.snapshot().digest);
    for key in ["a", "b", "c"] {
        let [right, wrong] =
            [&right, &wrong].map(|cache| cache.record_after(key, Position::default()));
        assert!(wrong.as_ref().is_some_and(|record| record.value.is_some()), "{key}");
        assert_eq!(right, wrong, "{key}");
    }
    // What is newer than the read stays.
    wrong.apply(vec![record("a", 12, 1)], Origin::Watch, now);
    wrong.replace_all(records(), position(10), now);
    let newest = wrong.record_after("a", Position::default()).expect("the record");
    assert_eq!(newest.position, position(12));
}
