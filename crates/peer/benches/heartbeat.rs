//! Processor time of heartbeats against the number of hosts in a cell.

use std::{
    cell::RefCell,
    time::{Duration, Instant},
};

use hyssop_document::{
    group::Group,
    name,
    number::{Incarnation, Revision},
};
use hyssop_peer::{
    Identity,
    core::{Core, Stamps},
    hosts::{Entry, List, State},
    member::Table,
    rank::Key,
    timing::Timing,
    wire::{self, Cell, Stamp},
};

const SIZES: [usize; 5] = [3, 6, 9, 20, 50];
const GROUPS: u32 = 4;

fn main() {
    divan::main();
}

fn address(number: usize) -> std::net::SocketAddr {
    ([127, 0, 0, 1], 9000 + number as u16).into()
}

fn host(number: usize) -> name::Host {
    name::Host::new(&format!("entry-{number:02}"))
}

fn list(count: usize) -> List {
    let hosts = (0..count).map(|number| Entry {
        host: host(number),
        zone: name::Zone::new("poa-1"),
        peer_address: address(number),
        state: State::Live,
    });
    List { revision: Revision(1), hosts: hosts.collect() }
}

/// Cores of a cell that have exchanged heartbeats until all votes stand.
struct Fleet {
    cores: Vec<Core>,
    now: Instant,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let now = Instant::now();
        let cores = (0..count).map(|number| core(number, count, now)).collect();
        let mut fleet = Self { cores, now };
        for _ in 0..4 {
            fleet.exchange();
        }
        fleet
    }

    fn exchange(&mut self) {
        self.now += Duration::from_millis(200);
        for from in 0..self.cores.len() {
            let datagrams = send(&mut self.cores[from], self.now);
            let others = (0..self.cores.len()).filter(|to| *to != from);
            for (to, datagram) in others.zip(datagrams) {
                receive(&mut self.cores[to], &datagram, self.now);
            }
        }
    }
}

fn core(number: usize, count: usize, now: Instant) -> Core {
    let identity = Identity {
        host: host(number),
        zone: name::Zone::new("poa-1"),
        incarnation: Incarnation::new(1_796_000_000_000, number as u64),
        caller_address: address(number),
        peer_address: address(number),
    };
    let timing = Timing::default();
    let members = Table::new(identity.process(), Vec::new(), &timing, now);
    let mut core = Core::new(identity, Cell::default(), members, &timing, now);
    let pool = name::Pool::new("m");
    let keys = (0..GROUPS).map(|index| Key::group(&Group { pool: pool.clone(), index }));
    core.set_keys(keys.collect());
    core.adopt_list(list(count), now);
    core
}

fn send(core: &mut Core, now: Instant) -> Vec<Vec<u8>> {
    let stamps = Stamps { document: Stamp::NONE, orders: Stamp::NONE, notices: 0 };
    let sequence = core.begin_round(now);
    let recipients = core.members.recipients(now);
    let to: Vec<_> =
        recipients.iter().map(|(_, peer)| peer.map(|peer| peer.identity.process())).collect();
    let encode = |to: Option<_>| {
        let heartbeat = core.heartbeat(sequence, to.as_ref(), &stamps, now);
        wire::encode(&heartbeat).expect("it is small")
    };
    to.into_iter().map(encode).collect()
}

fn receive(core: &mut Core, datagram: &[u8], now: Instant) {
    let heartbeat = wire::decode(datagram).expect("it was encoded");
    core.receive(&heartbeat, now);
}

/// One round of heartbeats to all peers.
#[divan::bench(args = SIZES)]
fn send_round(bencher: divan::Bencher<'_, '_>, hosts: usize) {
    let mut fleet = Fleet::new(hosts);
    let bytes: usize = send(&mut fleet.cores[0], fleet.now).iter().map(Vec::len).sum();
    let bencher = bencher.counter(divan::counter::BytesCount::new(bytes));
    bencher.bench_local(|| {
        fleet.now += Duration::from_micros(1);
        send(&mut fleet.cores[0], fleet.now)
    });
}

/// The heartbeats of all peers taken in, with the standing schedulers read after each.
#[divan::bench(args = SIZES)]
fn receive_round(bencher: divan::Bencher<'_, '_>, hosts: usize) {
    let fleet = RefCell::new(Fleet::new(hosts));
    let datagrams = || {
        let mut fleet = fleet.borrow_mut();
        fleet.now += Duration::from_micros(1);
        let now = fleet.now;
        // The first of a round's datagrams is for the first host.
        let round = fleet.cores.iter_mut().skip(1).map(|other| send(other, now).swap_remove(0));
        round.collect::<Vec<_>>()
    };
    bencher.with_inputs(datagrams).bench_local_values(|datagrams| {
        let mut fleet = fleet.borrow_mut();
        let now = fleet.now;
        for datagram in datagrams {
            receive(&mut fleet.cores[0], &datagram, now);
            divan::black_box(fleet.cores[0].leases(now));
        }
    });
}
