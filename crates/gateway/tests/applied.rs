//! The position that a daemon states in its heartbeats.

use std::time::Instant;

use hyssop_gateway::{
    cache::{Cache, Origin},
    record::{Decoder, Error, Key, Position, Record, Revision, Value},
};

struct ZoneDecoder;

impl Decoder for ZoneDecoder {
    fn parse_key(&self, key: &str) -> Option<Key> {
        key.parse().ok().map(Key::ZoneOut)
    }

    fn decode(&self, _key: &Key, _value: &[u8]) -> Result<Value, Error> {
        Err(Error("no value is valid".into()))
    }
}

/// Records that change nothing were fetched from peers again and again, since the daemon did not
/// state that it has applied them.
#[test]
fn records_that_change_nothing_are_applied_too() {
    let cache = Cache::new(Box::new(ZoneDecoder));
    for (revision, value) in [(7, None), (8, Some("refused".into()))] {
        let position = Position { revision: Revision(revision), ..Position::default() };
        let record = Record { key: "zone".into(), position, value };
        assert!(!cache.apply(vec![record], Origin::Peer, Instant::now()));
        assert_eq!(cache.snapshot().applied, position);
    }
}
