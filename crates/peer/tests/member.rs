//! Tests of membership with two hosts that exchange single heartbeats.

use std::time::{Duration, Instant};

use hyssop_document::{
    group::Group,
    name,
    number::{Incarnation, Revision},
};
use hyssop_peer::{
    Identity,
    core::{Core, Effect, Stamps},
    hosts::{Entry, List, State},
    member::Table,
    rank::Key,
    timing::Timing,
    wire::{Cell, Heartbeat, Stamp},
};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

fn host(number: u16) -> name::Host {
    name::Host::new(&format!("h{number}"))
}

fn core(number: u16, incarnation: u64, now: Instant) -> Core {
    let entry = |number| Entry {
        host: host(number),
        zone: name::Zone::new("z"),
        peer_address: ([127, 0, 0, 1], 9000 + number).into(),
        state: State::Live,
    };
    let identity = Identity {
        host: host(number),
        zone: name::Zone::new("z"),
        incarnation: Incarnation(incarnation),
        caller_address: entry(number).peer_address,
        peer_address: entry(number).peer_address,
    };
    let timing = Timing::default();
    let members = Table::new(identity.process(), Vec::new(), &timing, now);
    let mut core = Core::new(identity, Cell::default(), members, &timing, now);
    core.set_keys(vec![key()]);
    core.adopt_list(List { revision: Revision(1), hosts: vec![entry(1), entry(2)] }, now);
    core
}

fn key() -> Key {
    Key::group(&Group { pool: name::Pool::new("m"), index: 0 })
}

/// Begins a round and returns its heartbeat from one core to another.
fn next_heartbeat(from: &mut Core, to: &Core, now: Instant) -> Heartbeat {
    let stamps = Stamps { document: Stamp::NONE, orders: Stamp::NONE, notices: 0 };
    let sequence = from.begin_round(now);
    from.heartbeat(sequence, Some(to.process()), &stamps, now)
}

fn exchange(a: &mut Core, b: &mut Core, now: Instant) -> Effect {
    let heartbeat = next_heartbeat(a, b, now);
    b.receive(&heartbeat, now);
    let reply = next_heartbeat(b, a, now);
    a.receive(&reply, now)
}

fn is_alive(core: &Core, number: u16, now: Instant) -> bool {
    core.members.alive(now).any(|peer| peer.identity.host == host(number))
}

#[test]
fn a_late_datagram_does_not_revive_an_ended_process() {
    let now = Instant::now();
    let (mut a, mut b) = (core(1, 10, now), core(2, 20, now));
    exchange(&mut a, &mut b, now);
    exchange(&mut a, &mut b, now + HEARTBEAT_INTERVAL);
    let last = next_heartbeat(&mut b, &a, now + HEARTBEAT_INTERVAL);
    let ended = b.process().clone();
    a.process_ended(&ended, now + 2 * HEARTBEAT_INTERVAL);
    a.receive(&last, now + 2 * HEARTBEAT_INTERVAL);
    assert!(!is_alive(&a, 2, now + 2 * HEARTBEAT_INTERVAL));
    // A process that acknowledges a heartbeat sent after its presumed end has not ended.
    exchange(&mut a, &mut b, now + 3 * HEARTBEAT_INTERVAL);
    assert!(is_alive(&a, 2, now + 3 * HEARTBEAT_INTERVAL));
}

#[test]
fn a_higher_incarnation_reports_the_replaced_process() {
    let now = Instant::now();
    let (mut a, mut b) = (core(1, 10, now), core(2, 20, now));
    exchange(&mut a, &mut b, now);
    let former = b.process().clone();
    let mut b = core(2, 21, now + HEARTBEAT_INTERVAL);
    let effect = exchange(&mut a, &mut b, now + HEARTBEAT_INTERVAL);
    assert_eq!(effect.replaced, Some(former));
}
