//! Which hosts callers are told to use.

use std::net::SocketAddr;

use hyssop_document::{collections::Map, name::Zone};
use hyssop_gateway::directory::{Entry, choose};
use rand::{SeedableRng as _, rngs::StdRng};

fn entry(index: u16, zone: &str, weight: u16) -> Entry {
    let address = SocketAddr::from(([10, 0, 0, 1], index));
    Entry { zone: Zone::new(zone), address, weight }
}

/// How often callers who pick any address of an answer come to each host.
fn shares(ready: &[Entry], zone: &str) -> Map<SocketAddr, f64> {
    const ANSWERS: usize = 20_000;
    let mut random = StdRng::seed_from_u64(1);
    let mut shares = Map::default();
    for _ in 0..ANSWERS {
        let addresses = choose(ready.to_vec(), Some(&Zone::new(zone)), &mut random);
        for address in &addresses {
            *shares.entry(*address).or_default() += 1.0 / (addresses.len() * ANSWERS) as f64;
        }
    }
    shares
}

/// Two strong hosts beside fifteen weak ones: each gets what it can carry.
#[test]
fn callers_come_to_hosts_by_their_strength() {
    let strong = (0..2).map(|index| entry(index, "south-a", 500));
    let weak = (2..17).map(|index| entry(index, "south-a", 120));
    let ready: Vec<Entry> = strong.chain(weak).collect();
    let total: f64 = ready.iter().map(|entry| f64::from(entry.weight)).sum();
    let shares = shares(&ready, "south-a");
    for host in &ready {
        let (share, fair) = (shares[&host.address], f64::from(host.weight) / total);
        assert!((0.75..1.3).contains(&(share / fair)), "{host:?}: {share} instead of {fair}");
    }
}

#[test]
fn hosts_of_equal_strength_are_all_named() {
    let ready: Vec<Entry> = (0..9).map(|index| entry(index, "south-a", 250)).collect();
    let mut random = StdRng::seed_from_u64(1);
    let named = choose(ready, Some(&Zone::new("south-a")), &mut random);
    assert_eq!(named.len(), 9);
}

#[test]
fn callers_stay_in_their_zone_unless_it_has_one_host_alone() {
    let near = [entry(0, "south-a", 250), entry(1, "south-a", 250)];
    let far = [entry(2, "south-b", 250), entry(3, "south-b", 250)];
    let mut random = StdRng::seed_from_u64(1);
    let mut named = |ready: Vec<Entry>| {
        let mut named = choose(ready, Some(&Zone::new("south-a")), &mut random);
        named.sort_unstable();
        named.iter().map(SocketAddr::port).collect::<Vec<_>>()
    };
    assert_eq!(named([&near[..], &far[..]].concat()), [0, 1]);
    assert_eq!(named([&near[..1], &far[..]].concat()), [0, 2, 3]);
    assert_eq!(named(Vec::new()), [0_u16; 0]);
}
