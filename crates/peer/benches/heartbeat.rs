//! Processor time of heartbeats, by the number of hosts in a cell.

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

const CELL_SIZES: [usize; 5] = [3, 6, 9, 20, 50];
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

/// The cores of a cell, after enough rounds of heartbeats for all votes to be cast.
struct CellCores {
    cores: Vec<Core>,
    now: Instant,
}

impl CellCores {
    fn new(count: usize) -> Self {
        let now = Instant::now();
        let cores = (0..count).map(|number| core(number, count, now)).collect();
        let mut cell = Self { cores, now };
        for _ in 0..4 {
            cell.exchange();
        }
        cell
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
        wire::encode(&heartbeat).expect("the heartbeat fits into a datagram")
    };
    to.into_iter().map(encode).collect()
}

fn receive(core: &mut Core, datagram: &[u8], now: Instant) {
    let heartbeat = wire::decode(datagram).expect("the datagram is an encoded heartbeat");
    core.receive(&heartbeat, now);
}

/// Builds and encodes one round of heartbeats to all peers.
#[divan::bench(args = CELL_SIZES)]
fn send_round(bencher: divan::Bencher<'_, '_>, hosts: usize) {
    let mut cell = CellCores::new(hosts);
    let bytes: usize = send(&mut cell.cores[0], cell.now).iter().map(Vec::len).sum();
    let bencher = bencher.counter(divan::counter::BytesCount::new(bytes));
    bencher.bench_local(|| {
        cell.now += Duration::from_micros(1);
        send(&mut cell.cores[0], cell.now)
    });
}

/// Decodes and processes the heartbeats of all peers, and reads the leases after each.
#[divan::bench(args = CELL_SIZES)]
fn receive_round(bencher: divan::Bencher<'_, '_>, hosts: usize) {
    let cell = RefCell::new(CellCores::new(hosts));
    let datagrams = || {
        let mut cell = cell.borrow_mut();
        cell.now += Duration::from_micros(1);
        let now = cell.now;
        // The first datagram of each peer's round is addressed to the first host.
        let round = cell.cores.iter_mut().skip(1).map(|other| send(other, now).swap_remove(0));
        round.collect::<Vec<_>>()
    };
    bencher.with_inputs(datagrams).bench_local_values(|datagrams| {
        let mut cell = cell.borrow_mut();
        let now = cell.now;
        for datagram in datagrams {
            receive(&mut cell.cores[0], &datagram, now);
            divan::black_box(cell.cores[0].leases(now));
        }
    });
}
