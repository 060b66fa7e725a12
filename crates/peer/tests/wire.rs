//! Tests of the encoding of heartbeats.

use expect_test::expect;
use hyssop_document::{
    digest::Digest,
    name,
    number::{Incarnation, Revision},
};
use hyssop_peer::{
    rank::Key,
    vote::{Sequence, Vote},
    wire::{self, Ack, Advertisement, Cell, Error, Heartbeat, MAX_DATAGRAM_BYTES, Stamp},
};

fn advertisement() -> Box<Advertisement> {
    let stamp = Stamp { revision: Revision(48_000), digest: Digest([7; 32]) };
    let address = ([10, 20, 30, 40], 7000).into();
    Box::new(Advertisement {
        zone: name::Zone::new("poa-1"),
        caller_address: address,
        peer_address: address,
        leaving: false,
        platform_reached: true,
        document: stamp,
        orders: stamp,
        list: stamp,
        voter_count: 9,
        notices: u64::MAX,
    })
}

fn heartbeat(votes: u64, has_advertisement: bool) -> Heartbeat {
    Heartbeat {
        version: wire::VERSION,
        cell: Cell(0),
        host: name::Host::new("entry-01"),
        incarnation: Incarnation::new(1_796_000_000_000, 77),
        sequence: Sequence(1_000_000),
        uptime_ms: 86_400_000,
        ack: Some(Ack {
            incarnation: Incarnation::new(1_796_000_000_000, 78),
            sequence: Sequence(1_000_000),
        }),
        lists_recipient: true,
        advertisement: has_advertisement.then(advertisement),
        votes: (0..votes).map(|key| Vote { key: Key(u64::MAX - key), epoch: 3 }).collect(),
    }
}

#[test]
fn any_bytes_are_decoded_or_rejected() {
    bolero::check!().with_iterations(20_000).for_each(|bytes: &[u8]| {
        if let Ok(heartbeat) = wire::decode(bytes) {
            let again = wire::encode(&heartbeat).expect("a decoded heartbeat can be encoded");
            assert_eq!(wire::decode(&again), Ok(heartbeat));
        }
    });
}

#[test]
fn a_corrupted_datagram_is_decoded_or_rejected() {
    let bytes = wire::encode(&heartbeat(3, true)).expect("the heartbeat fits into a datagram");
    bolero::check!().with_iterations(20_000).with_type::<(u16, u8, u16)>().for_each(
        |(position, change, length)| {
            let mut bytes = bytes.clone();
            let position = usize::from(*position) % bytes.len();
            bytes[position] ^= change;
            bytes.truncate(usize::from(*length) % (bytes.len() + 1));
            // Decoding must not panic; the result does not matter.
            let _ = wire::decode(&bytes);
        },
    );
}

#[test]
fn datagrams_are_bounded() {
    let long = vec![wire::VERSION; MAX_DATAGRAM_BYTES + 1];
    assert_eq!(wire::decode(&long), Err(Error::TooLong(MAX_DATAGRAM_BYTES + 1)));
    assert_eq!(wire::decode(&[]), Err(Error::Malformed));
    assert_eq!(wire::decode(&[9]), Err(Error::Version(9)));
    let many = wire::encode(&heartbeat(300, false)).expect("the heartbeat fits into a datagram");
    assert_eq!(wire::decode(&many), Err(Error::TooManyVotes(300)));
    let mut trailing =
        wire::encode(&heartbeat(1, false)).expect("the heartbeat fits into a datagram");
    trailing.push(0);
    assert_eq!(wire::decode(&trailing), Err(Error::Malformed));
}

#[test]
fn sizes_of_heartbeats() {
    let mut table = String::new();
    for (votes, has_advertisement) in [(0, false), (1, false), (16, false), (0, true), (16, true)] {
        let bytes = wire::encode(&heartbeat(votes, has_advertisement))
            .expect("the heartbeat fits into a datagram")
            .len();
        table += &format!("votes={votes} advertisement={has_advertisement} bytes={bytes}\n");
    }
    expect![[r#"
        votes=0 advertisement=false bytes=43
        votes=1 advertisement=false bytes=54
        votes=16 advertisement=false bytes=219
        votes=0 advertisement=true bytes=181
        votes=16 advertisement=true bytes=357
    "#]]
    .assert_eq(&table);
}
