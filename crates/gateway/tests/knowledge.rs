//! Daemons resume a stream that nobody knows at the only build of a pool only if they have known the
//! pool without a gap.

use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::CompactString;
use hyssop_document::{
    build::Build,
    name::{Backend, Pool, Zone},
    number::Tier,
};
use hyssop_gateway::{
    cache::{Cache, MAX_LIFETIME, Origin},
    environment::{Environment, Limits, RetryPolicy, Route},
    record::{Decoder, Era, Error, Key, Position, Record, Revision, Server, State, Value},
    restore::REWRITE_TIME,
};
use hyssop_view::sync::RecordProvider as _;

/// What a caller has left, and the age that its stream can have: a second more.
const LEFT: Duration = Duration::from_secs(9);
const AGE: Duration = Duration::from_secs(10);

/// Decodes `env` with the pools of the only route, and backend servers with their builds.
struct BuildDecoder;

impl Decoder for BuildDecoder {
    fn parse_key(&self, key: &str) -> Option<Key> {
        Some(if key == "env" { Key::Environment } else { Key::Server(Backend::new(key)) })
    }

    fn decode(&self, key: &Key, value: &[u8]) -> Result<Value, Error> {
        let text = std::str::from_utf8(value).expect("text");
        let Key::Server(name) = key else { return Ok(Value::Environment(environment(text))) };
        Ok(Value::Server(Server {
            name: name.clone(),
            pool: Pool::new(if text == "canary" { "other" } else { "pool" }),
            address: ([127, 0, 0, 1], 1).into(),
            zone: Zone::new("a"),
            build: Build::new(text),
            slots: 1,
            state: State::Ready,
            cold_for: Duration::ZERO,
            started_ms: None,
        }))
    }
}

/// An environment with a route of streams to some pools.
fn environment(pools: &str) -> Box<Environment> {
    let route = Route {
        name: "draft".into(),
        host: "router.example".into(),
        path_prefix: "/draft/".into(),
        streams: true,
        retry_policy: RetryPolicy::Resumable,
        timeout: LEFT / 3,
        target_latency: LEFT,
        max_event_gap: None,
        tier: Tier::HIGHEST,
        max_attempts: 1,
        public: true,
        pools: pools.split(' ').map(|pool| (Pool::new(pool), 1)).collect(),
    };
    let limits =
        Limits { max_head_bytes: 1, max_body_bytes: 1, head_timeout: LEFT, idle_timeout: LEFT };
    Box::new(Environment::new(1, limits, vec![route], Vec::new(), None))
}

fn at(era: u64, revision: u64) -> Position {
    Position { era: Era(era), revision: Revision(revision) }
}

fn record(key: &str, build: Option<&'static str>, position: Position) -> Record {
    let value = build.map(|build| Bytes::from_static(build.as_bytes()));
    Record { key: CompactString::new(key), position, value }
}

fn v1(position: Position) -> Vec<Record> {
    vec![record("s1", Some("v1"), position)]
}

/// A daemon that read the server s1 with the build v1 from the source, and the time at which it has
/// known it for as long as a stream can last.
fn knowing_daemon() -> (Cache, Instant) {
    let (cache, start) = (Cache::new(Box::new(BuildDecoder)), Instant::now());
    cache.replace_all(v1(at(1, 10)), at(1, 10), start);
    let later = start + REWRITE_TIME + AGE;
    assert!(!knows(&cache, later - Duration::from_millis(1)), "it knows too soon");
    assert!(knows(&cache, later), "it does not know");
    (cache, later)
}

fn only_build(
    cache: &Cache,
    left: Option<Duration>,
    now: Instant,
) -> Result<Build, Option<Duration>> {
    cache.only_build(&[(Pool::new("pool"), 1), (Pool::new("other"), 0)], left, now)
}

fn knows(cache: &Cache, now: Instant) -> bool {
    only_build(cache, Some(LEFT), now) == Ok(Build::new("v1"))
}

/// Checks that a gap ends the knowledge, and that `end_gap` begins it anew.
fn check_gap(gap: impl Fn(&Cache, Instant), end_gap: impl Fn(&Cache, Instant)) {
    let (cache, mut now) = knowing_daemon();
    gap(&cache, now);
    assert!(!knows(&cache, now), "in the gap");
    now += AGE * 10;
    assert!(!knows(&cache, now), "the gap does not end by itself");
    end_gap(&cache, now);
    let known = now + REWRITE_TIME + AGE;
    assert!(!knows(&cache, known - Duration::from_millis(1)), "the gap is forgotten too soon");
    assert!(knows(&cache, known), "the knowledge does not begin again");
}

fn read(cache: &Cache, now: Instant) {
    cache.on_source_response(now);
    cache.replace_all(v1(at(1, 20)), at(1, 20), now);
}

#[test]
fn an_outage_of_the_source_is_a_gap() {
    check_gap(Cache::on_source_lost, read);
    check_gap(Cache::on_source_lost, |cache, now| {
        cache.on_source_response(now);
        cache.apply(Vec::new(), Origin::Watch, now);
    });
}

/// A heartbeat tells that the source is back before the records of the outage arrive.
#[test]
fn the_return_of_the_source_by_a_peer_ends_no_gap_before_the_records_are_there() {
    check_gap(
        |cache, now| {
            cache.on_source_lost(now);
            cache.on_source_response(now);
            cache.on_peer_position(at(1, 12), true, now);
        },
        |cache, now| {
            cache.apply(vec![record("s2", Some("v1"), at(1, 12))], Origin::Peer, now);
            cache.on_peer_position(at(1, 12), false, now);
            assert!(!knows(cache, now + AGE * 10), "a peer that can't watch confirms nothing");
            cache.on_peer_position(at(1, 12), true, now);
        },
    );
}

#[test]
fn a_suspension_is_a_gap() {
    check_gap(
        |cache, _| cache.set_suspended(true),
        |cache, now| {
            cache.set_suspended(false);
            cache.on_peer_position(at(1, 10), true, now);
        },
    );
    check_gap(
        |cache, now| {
            cache.set_suspended(true);
            // The response of a call that began before the suspension.
            cache.replace_all(v1(at(1, 15)), at(1, 15), now);
        },
        |cache, now| {
            cache.set_suspended(false);
            read(cache, now);
        },
    );
}

/// The history of the source is gone, so another build may have come and gone.
#[test]
fn a_second_full_read_is_a_gap() {
    let (cache, now) = knowing_daemon();
    cache.replace_all(v1(at(1, 10)), at(1, 30), now);
    assert!(!knows(&cache, now) && !knows(&cache, now + AGE));
    assert!(knows(&cache, now + AGE + REWRITE_TIME));
}

/// The copy lacks servers that began streams and have not written again.
#[test]
fn a_restore_is_a_gap() {
    check_gap(
        |cache, now| {
            cache.apply(vec![record("s2", Some("v1"), at(2, 5))], Origin::Peer, now);
        },
        |cache, now| {
            cache.replace_all(v1(at(2, 6)), at(2, 6), now);
        },
    );
}

/// A daemon whose peers are ahead does not know the builds that they know.
#[test]
fn a_daemon_that_is_behind_its_peers_does_not_know_the_state() {
    let (cache, now) = knowing_daemon();
    cache.on_peer_position(at(1, 11), true, now);
    assert!(!knows(&cache, now));
    cache.apply(vec![record("s2", Some("v1"), at(1, 11))], Origin::Peer, now);
    assert!(knows(&cache, now), "nothing was missed");
}

/// A server that came and went between two fetches is known only by its deletion, without its build.
#[test]
fn a_server_that_came_and_went_unseen_is_a_gap() {
    let (cache, now) = knowing_daemon();
    cache.apply(vec![record("s2", None, at(1, 12))], Origin::Peer, now);
    assert!(!knows(&cache, now) && knows(&cache, now + AGE));
    cache.apply(vec![record("s3", None, at(1, 11))], Origin::Watch, now + AGE);
    assert!(knows(&cache, now + AGE), "an old deletion that is read once more is no news");
}

/// A daemon with no other source than its peers knows no more than they do.
#[test]
fn records_of_peers_are_complete_when_a_watcher_confirms_them() {
    let (peer, now) = knowing_daemon();
    let cache = Cache::new(Box::new(BuildDecoder));
    let changes = peer.changes_after(Position::default()).expect("the peer is current");
    cache.apply_changes(changes, now);
    assert!(!knows(&cache, now + AGE * 10));
    cache.on_peer_position(at(1, 10), true, now);
    assert!(!knows(&cache, now + AGE) && knows(&cache, now + REWRITE_TIME + AGE));
}

/// The server restarts under its name with another build, so the pool had two.
#[test]
fn a_server_that_restarts_with_another_build_leaves_its_old_one_behind() {
    let (cache, now) = knowing_daemon();
    let wait = |now| only_build(&cache, Some(LEFT), now).expect_err("the build is unknown");
    cache.apply(vec![record("s2", Some("v2"), at(1, 11))], Origin::Watch, now);
    assert_eq!(wait(now + AGE), None, "the pool has two builds");
    cache.apply(vec![record("s1", Some("v2"), at(1, 12))], Origin::Watch, now);
    assert_eq!(wait(now + AGE / 4), Some(AGE * 3 / 4));
    assert_eq!(only_build(&cache, Some(LEFT), now + AGE), Ok(Build::new("v2")));
}

/// A resume attempt has less time left than the request that began the stream, perhaps with a
/// deadline above all time limits. Guards against streams that outlive what is known.
#[test]
fn the_longest_deadline_of_the_last_minutes_bounds_the_age_of_streams() {
    let (cache, now) = knowing_daemon();
    let left = Some(Duration::from_millis(100));
    assert_eq!(only_build(&cache, left, now), Ok(Build::new("v1")));
    cache.record_deadline(&Pool::new("pool"), LEFT * 2, now);
    cache.record_deadline(&Pool::new("pool"), LEFT, now);
    cache.record_deadline(&Pool::new("unrelated"), LEFT * 30, now);
    assert_eq!(only_build(&cache, left, now), Err(Some(LEFT)), "the second attempt of a caller");
    assert_eq!(only_build(&cache, left, now + LEFT), Ok(Build::new("v1")));
    assert!(only_build(&cache, None, now + LEFT).is_err(), "this caller may wait for minutes");
    assert!(only_build(&cache, None, now + MAX_LIFETIME).is_ok());
}

/// Guards against resume attempts that go to another pool of their route than the stream, or to the
/// pool that the route has since a moment ago.
#[test]
fn the_builds_of_all_pools_that_streams_go_to_count() {
    let (cache, now) = knowing_daemon();
    let apply = |key, value, revision, now| {
        cache.apply(vec![record(key, Some(value), at(1, revision))], Origin::Watch, now);
    };
    apply("env", "pool other", 11, now);
    assert_eq!(only_build(&cache, Some(LEFT), now), Err(Some(AGE)), "other pools before");
    let mut now = now + AGE;
    apply("env", "other pool", 12, now);
    assert!(knows(&cache, now), "the pools are the same");
    apply("s2", "canary", 13, now);
    assert_eq!(only_build(&cache, Some(LEFT), now), Err(None), "the pools have two builds");
    cache.apply(vec![record("s2", None, at(1, 14))], Origin::Watch, now);
    assert_eq!(only_build(&cache, Some(LEFT), now), Err(Some(AGE)), "a build left a pool");
    now += AGE;
    apply("env", "pool", 15, now);
    assert_eq!(only_build(&cache, Some(LEFT), now), Err(Some(AGE)), "a pool left the route");
}
