//! Beats and the members that they tell of.

use std::{
    net::{IpAddr, Ipv4Addr},
    time::{Duration, Instant},
};

use hyssop_document::name::{Host, Zone};
use hyssop_view::{
    beat::{Beat, Blame, Entry, Load, MAX_BYTES, Named, Phase},
    member::{Change, Duty, FANOUT, Observer, PART_KEPT, PERIOD, SILENT_AFTER, Table},
    record::Revision,
};

fn beat(incarnation: u64, phase: Phase) -> Beat {
    Beat {
        host: Host::new("front-south-a-12"),
        zone: Zone::new("south-a"),
        incarnation,
        callers: "10.1.0.19:8740".parse().expect("an address"),
        phase,
        weight: 250,
        applied: Revision(7),
        follows: false,
        settled: false,
        members: Vec::new(),
        loads: Vec::new(),
        blames: Vec::new(),
    }
}

const PEER: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 1, 0, 19));

#[test]
fn a_full_beat_fits_into_one_packet() {
    let mut beat = beat(u64::MAX, Phase::Ready);
    beat.members = vec![Named { address: PEER, host: u32::MAX, kept_s: 600 }; 4];
    let load = Load {
        running: 40,
        pending_tokens: 200_000,
        held_tokens: 400_000,
        recent_sends: 30,
        decode_heavy: 40,
    };
    beat.loads = vec![Entry { backend: u32::MAX, load, cold_ms: 3_000 }; 48];
    beat.blames = vec![Blame { fingerprint: u64::MAX, crashes: 3, left_ms: 60_000 }; 12];
    let bytes = beat.encode().expect("a beat can be written");
    assert!(bytes.len() <= MAX_BYTES, "{}", bytes.len());
    assert_eq!(Beat::decode(&bytes), Ok(beat));
}

#[test]
fn any_bytes_are_read_or_refused() {
    bolero::check!().with_max_len(256).with_iterations(20_000).for_each(|bytes: &[u8]| {
        if let Ok(beat) = Beat::decode(bytes) {
            assert_eq!(
                Beat::decode(&beat.encode().expect("what was read can be written")),
                Ok(beat)
            );
        }
    });
}

#[test]
fn members_join_fall_silent_and_lose_their_part() {
    let now = Instant::now();
    let mut table = Table::new(now, true);
    assert_eq!(table.hear(PEER, beat(5, Phase::Ready), now), Some(Change::Joined));
    assert_eq!(table.hear(PEER, beat(5, Phase::Ready), now), None);
    assert_eq!(table.ready(now).count(), 1);

    let silent = now + SILENT_AFTER + Duration::from_millis(1);
    assert_eq!(table.ready(silent).count(), 0);
    assert_eq!(table.sharers(silent).len(), 1, "it may still use its part");
    let lapsed = now + PART_KEPT + Duration::from_millis(1);
    assert!(table.sharers(lapsed).is_empty());
    table.expire(lapsed);
    assert!(table.is_empty());
}

#[test]
fn a_beat_of_an_earlier_process_changes_nothing() {
    let now = Instant::now();
    let mut table = Table::new(now, true);
    table.hear(PEER, beat(5, Phase::Leaving), now);
    assert_eq!(table.hear(PEER, beat(6, Phase::Ready), now), Some(Change::Restarted));
    assert_eq!(table.hear(PEER, beat(5, Phase::Leaving), now), None);
    assert_eq!(table.ready(now).count(), 1);
    assert_eq!(table.hear(PEER, beat(6, Phase::Leaving), now), Some(Change::Phase));
    assert_eq!(table.ready(now).count(), 0);
}

/// A fleet larger than one period's beats: all members get them in turn, those of the own zone twice
/// as often, and with one lost in ten no member counts as silent.
#[test]
fn in_a_large_fleet_all_members_hear_in_turn() {
    const MEMBERS: u8 = 67;
    let start = Instant::now();
    let own = Zone::new("south-a");
    let mut table = Table::new(start, true);
    let address = |index: u8| IpAddr::V4(Ipv4Addr::new(10, 0, 0, index));
    let member = |index: u8| {
        let zone = Zone::new(["south-a", "south-b", "south-c", "south-d"][usize::from(index) % 4]);
        Beat { zone, ..beat(5, Phase::Ready) }
    };
    let mut told = vec![vec![start]; usize::from(MEMBERS)];
    let mut most = 0;
    for step in 0..300_u32 {
        let now = start + PERIOD * step;
        // The others answer in kind, so that all are heard as often as they are told.
        let due: Vec<u8> = match step {
            0 => (0..MEMBERS).collect(),
            _ => {
                let due = table.due(&own, now);
                most = most.max(due.len());
                due.iter()
                    .map(|ip| (0..MEMBERS).find(|&i| address(i) == *ip).expect("known"))
                    .collect()
            }
        };
        for index in due {
            let times = &mut told[usize::from(index)];
            times.push(now);
            // Every tenth is lost.
            if times.len() % 10 != 0 {
                table.hear(address(index), member(index), now);
            }
        }
        assert_eq!(table.alive(now).count(), usize::from(MEMBERS), "step {step}");
    }
    assert!(most <= FANOUT, "{most}");
    let count =
        |zone: u8| told.iter().skip(usize::from(zone)).step_by(4).map(Vec::len).sum::<usize>();
    let (near, far) = (count(0) / 17, count(1) / 17);
    assert!(near > far * 3 / 2 && far > 40, "{near} and {far} beats in 30 s");
}

#[test]
fn a_silent_member_still_gets_a_beat_now_and_then() {
    let now = Instant::now();
    let zone = Zone::new("south-a");
    let mut table = Table::new(now, true);
    table.hear(PEER, beat(5, Phase::Ready), now);
    let later = now + Duration::from_secs(30);
    assert_eq!(table.due(&zone, later), [PEER]);
    assert!(table.due(&zone, later + PERIOD).is_empty());
    assert_eq!(table.due(&zone, later + Duration::from_secs(1)), [PEER]);
}

#[test]
fn the_strongest_of_a_zone_follow_the_source_and_the_next_where_they_cannot() {
    let now = Instant::now();
    let (own_zone, other_zone) = (Zone::new("south-a"), Zone::new("south-b"));
    let mut table = Table::new(now, true);
    let own = Observer { host: 7, zone: &own_zone, weight: 100 };
    assert_eq!(table.duty(&own, now), Duty::Observer, "alone");
    let mut hear = |index: u8, zone: &Zone, weight, follows| {
        let host = Host::new(&format!("host-{index}"));
        let beat = Beat { host, zone: zone.clone(), weight, follows, ..beat(5, Phase::Ready) };
        table.hear(IpAddr::V4(Ipv4Addr::new(10, 0, 0, index)), beat, now);
        table.duty(&own, now)
    };
    // Two zones have two observers each, so that there are three at least.
    hear(1, &other_zone, 500, true);
    hear(2, &other_zone, 500, true);
    assert_eq!(hear(3, &own_zone, 500, true), Duty::Observer, "one is ahead");
    assert_eq!(hear(4, &own_zone, 500, true), Duty::Idle, "two are ahead");
    assert_eq!(hear(4, &own_zone, 500, false), Duty::Substitute, "one of them can't");
    assert_eq!(hear(5, &own_zone, 50, true), Duty::Substitute, "a weaker one is not ahead");
    assert!(table.is_followed(now));
    let silent = now + 3 * SILENT_AFTER;
    assert!(!table.is_followed(silent));
    assert_eq!(table.duty(&own, silent), Duty::Observer);
}
