//! Beats and the members that they tell of.

use std::{
    net::{IpAddr, Ipv4Addr},
    time::{Duration, Instant},
};

use hyssop_document::name::{Host, Zone};
use hyssop_view::{
    beat::{Beat, Blame, Entry, Load, MAX_BYTES, Named, Phase},
    member::{Change, PART_KEPT, SILENT_AFTER, Table},
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
        unread_tokens: 200_000,
        held_tokens: 400_000,
        sent: 30,
        generating: 40,
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
    assert_eq!(table.addresses(lapsed).count(), 0);
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
