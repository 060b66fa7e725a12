//! The addresses that the directory gives to callers.

use std::net::SocketAddr;

use hyssop_document::{collections::Map, name::Zone};
use hyssop_gateway::directory::{Candidate, choose_addresses};
use rand::{SeedableRng as _, rngs::StdRng};

fn candidate(index: u16, zone: &str, weight: u16) -> Candidate {
    let address = SocketAddr::from(([10, 0, 0, 1], index));
    Candidate { zone: Zone::new(zone), address, weight }
}

/// The fraction of callers that connect to each host, if they pick any address with equal
/// probability.
fn shares(ready: &[Candidate], zone: &str) -> Map<SocketAddr, f64> {
    const RESPONSES: usize = 20_000;
    let mut random = StdRng::seed_from_u64(1);
    let mut shares = Map::default();
    for _ in 0..RESPONSES {
        let addresses = choose_addresses(ready.to_vec(), Some(&Zone::new(zone)), &mut random);
        for address in &addresses {
            *shares.entry(*address).or_default() += 1.0 / (addresses.len() * RESPONSES) as f64;
        }
    }
    shares
}

/// Listing all hosts equally often would overload the small ones: fifteen beside two large hosts.
#[test]
fn callers_connect_to_hosts_in_proportion_to_weight() {
    let large = (0..2).map(|index| candidate(index, "south-a", 500));
    let small = (2..17).map(|index| candidate(index, "south-a", 120));
    let ready: Vec<Candidate> = large.chain(small).collect();
    let total: f64 = ready.iter().map(|candidate| f64::from(candidate.weight)).sum();
    let shares = shares(&ready, "south-a");
    for host in &ready {
        let (share, fair) = (shares[&host.address], f64::from(host.weight) / total);
        assert!((0.75..1.3).contains(&(share / fair)), "{host:?}: {share} instead of {fair}");
    }
}

#[test]
fn hosts_of_equal_weight_are_all_listed() {
    let ready: Vec<Candidate> = (0..9).map(|index| candidate(index, "south-a", 250)).collect();
    let mut random = StdRng::seed_from_u64(1);
    let listed = choose_addresses(ready, Some(&Zone::new("south-a")), &mut random);
    assert_eq!(listed.len(), 9);
}

#[test]
fn addresses_of_other_zones_are_listed_only_if_the_own_zone_has_fewer_than_two_hosts() {
    let near = [candidate(0, "south-a", 250), candidate(1, "south-a", 250)];
    let far = [candidate(2, "south-b", 250), candidate(3, "south-b", 250)];
    let mut random = StdRng::seed_from_u64(1);
    let mut ports = |ready: Vec<Candidate>| {
        let mut listed = choose_addresses(ready, Some(&Zone::new("south-a")), &mut random);
        listed.sort_unstable();
        listed.iter().map(SocketAddr::port).collect::<Vec<_>>()
    };
    assert_eq!(ports([&near[..], &far[..]].concat()), [0, 1]);
    assert_eq!(ports([&near[..1], &far[..]].concat()), [0, 2, 3]);
    assert_eq!(ports(Vec::new()), [0_u16; 0]);
}
