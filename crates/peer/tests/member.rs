//! Membership of two hosts, heartbeat by heartbeat.

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

const BEAT: Duration = Duration::from_millis(200);

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

/// The next heartbeat from one core to another.
fn beat(from: &mut Core, to: &Core, now: Instant) -> Heartbeat {
    let stamps = Stamps { document: Stamp::NONE, orders: Stamp::NONE, notices: 0 };
    let sequence = from.begin_round(now);
    from.heartbeat(sequence, Some(to.process()), &stamps, now)
}

fn exchange(a: &mut Core, b: &mut Core, now: Instant) -> Effect {
    let heartbeat = beat(a, b, now);
    b.receive(&heartbeat, now);
    let answer = beat(b, a, now);
    a.receive(&answer, now)
}

fn is_alive(core: &Core, number: u16, now: Instant) -> bool {
    core.members.alive(now).any(|peer| peer.identity.host == host(number))
}

#[test]
fn a_datagram_from_before_the_end_does_not_bring_a_process_back() {
    let now = Instant::now();
    let (mut a, mut b) = (core(1, 10, now), core(2, 20, now));
    exchange(&mut a, &mut b, now);
    exchange(&mut a, &mut b, now + BEAT);
    let last = beat(&mut b, &a, now + BEAT);
    let ended = b.process().clone();
    a.process_ended(&ended, now + 2 * BEAT);
    a.receive(&last, now + 2 * BEAT);
    assert!(!is_alive(&a, 2, now + 2 * BEAT));
    // A process that answers what was sent after its presumed end has not ended.
    exchange(&mut a, &mut b, now + 3 * BEAT);
    assert!(is_alive(&a, 2, now + 3 * BEAT));
}

#[test]
fn a_higher_incarnation_names_the_process_that_it_replaced() {
    let now = Instant::now();
    let (mut a, mut b) = (core(1, 10, now), core(2, 20, now));
    exchange(&mut a, &mut b, now);
    let former = b.process().clone();
    let mut b = core(2, 21, now + BEAT);
    let effect = exchange(&mut a, &mut b, now + BEAT);
    assert_eq!(effect.replaced, Some(former));
}
