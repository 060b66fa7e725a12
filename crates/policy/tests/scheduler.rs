//! Basic behavior of the scheduler of one group.

mod common;

use std::time::Instant;

use common::{document, entry, load, ms, permits, refusals, release, scheduler};
use hyssop_document::{name, number::Incarnation, order};
use hyssop_policy::{
    decision::Reason,
    permit::{End, Running},
    share::Share,
};

#[test]
fn grants_by_tier_then_deadline() {
    let now = Instant::now();
    let mut scheduler = scheduler(&document(1, 1, 1), now);
    scheduler.enqueue(entry(1, "draft", "w1"), now);
    scheduler.enqueue(entry(2, "desk", "w1"), now);
    let mut early = entry(3, "desk", "w1");
    early.remaining_ms = 20_000;
    scheduler.enqueue(early, now);
    // The desk requests precede the draft by tier, but the draft class is below its floor while the
    // floor of the desk class is in cooldown.
    let mut order = Vec::new();
    let mut at = now;
    for _ in 0..3 {
        let granted = permits(scheduler.poll(at));
        let [(ticket, permit)] = granted.as_slice() else { panic!("one slot, one permit") };
        order.push(ticket.0);
        at += ms(100);
        scheduler.release(&release(permit, End::Completed, 100), at);
    }
    assert_eq!(order, [3, 1, 2]);
}

#[test]
fn refuses_unservable_requests_at_once() {
    let now = Instant::now();
    let mut scheduler = scheduler(&document(2, 1, 1), now);
    scheduler.enqueue(entry(1, "none", "w1"), now);
    scheduler.enqueue(entry(2, "desk", "none"), now);
    let mut excluded = entry(3, "desk", "w1");
    excluded.exclude = vec![name::Backend::new("b0"), name::Backend::new("b1")];
    scheduler.enqueue(excluded, now);
    let mut late = entry(4, "desk", "w1");
    late.remaining_ms = 0;
    scheduler.enqueue(late, now);
    let refused = refusals(&scheduler.poll(now));
    assert_eq!(refused, ["1 unknown_name", "2 unknown_name", "3 no_backend", "4 deadline"]);
}

#[test]
fn a_zone_out_of_service_gets_nothing_and_its_requests_move() {
    let now = Instant::now();
    let document = document(2, 1, 1);
    let mut scheduler = scheduler(&document, now);
    let mut orders = order::State::default();
    orders.zones_out.insert(name::Zone::new("z1"));
    scheduler.configure(&document, &orders, now);
    (0..3).for_each(|ticket| scheduler.enqueue(entry(ticket, "desk", "w1"), now));
    let granted = permits(scheduler.poll(now));
    assert_eq!(granted.len(), 1);
    assert_eq!(granted[0].1.backend.as_str(), "b1");
    orders.zones_out.insert(name::Zone::new("z2"));
    scheduler.configure(&document, &orders, now);
    assert_eq!(refusals(&scheduler.poll(now)).len(), 2);
}

#[test]
fn a_permit_counts_until_its_latest_end() {
    let now = Instant::now();
    let mut scheduler = scheduler(&document(1, 1, 1), now);
    scheduler.enqueue(entry(1, "desk", "w1"), now);
    let granted = permits(scheduler.poll(now));
    assert_eq!(granted.len(), 1);
    let mut waiting = entry(2, "desk", "w1");
    waiting.remaining_ms = 120_000;
    scheduler.enqueue(waiting, now);
    assert!(scheduler.poll(now + ms(59_999)).is_empty());
    assert_eq!(scheduler.next_poll(), Some(now + ms(60_000)));
    // The server is cold, so the expired request counts for 500 ms longer.
    let after = now + ms(60_000) + ms(500);
    assert_eq!(permits(scheduler.poll(after)).len(), 1);
}

#[test]
fn grants_nothing_while_paused_or_without_share() {
    let now = Instant::now();
    let mut scheduler = scheduler(&document(1, 1, 1), now);
    scheduler.pause_until(now + ms(100));
    scheduler.enqueue(entry(1, "desk", "w1"), now);
    assert!(scheduler.poll(now).is_empty());
    assert_eq!(scheduler.next_poll(), Some(now + ms(100)));
    scheduler.set_share(Share { votes: 1, hosts: 2 }, now);
    assert!(scheduler.poll(now + ms(100)).is_empty());
    // In an even split no scheduler may use a limit of 1. Waiting requests are refused after 5 s,
    // not at their deadlines.
    let refused = refusals(&scheduler.poll(now + ms(5100)));
    assert_eq!(refused, [format!("1 {}", Reason::NoBackend)]);
}

#[test]
fn adopts_running_requests_and_their_limit() {
    let now = Instant::now();
    let mut scheduler = scheduler(&document(1, 1, 4), now);
    let running = |number| Running {
        id: hyssop_policy::permit::Id { scheduler: Incarnation(6), number },
        backend: name::Backend::new("b0"),
        backend_incarnation: 9,
        limit: 4,
        suspect: false,
        class: name::Class::new("desk"),
        workspace: name::Workspace::new("w1"),
        home: name::Host::new("h2"),
        home_incarnation: Incarnation(2),
        remaining_ms: 10_000,
        prompt_tokens: hyssop_document::number::Tokens(1),
        output_tokens: hyssop_document::number::Tokens(1),
    };
    scheduler.record_load(&name::Backend::new("b0"), load(9, 2), now);
    scheduler.adopt(&[running(1), running(2), running(1)], now);
    (0..4).for_each(|ticket| scheduler.enqueue(entry(ticket, "desk", "w1"), now));
    assert_eq!(permits(scheduler.poll(now)).len(), 2);
    // The daemon process on h2 has ended. The server is warm, so its two slots are free at once.
    scheduler.drop_home(&name::Host::new("h2"), Incarnation(2), now);
    scheduler.record_load(&name::Backend::new("b0"), load(9, 2), now + ms(1));
    assert_eq!(permits(scheduler.poll(now + ms(1))).len(), 2);
}

#[test]
fn suspects_run_on_separate_servers() {
    let now = Instant::now();
    let mut scheduler = scheduler(&document(2, 4, 4), now);
    for ticket in 0..3 {
        let mut suspect = entry(ticket, "desk", "w1");
        suspect.suspect = true;
        scheduler.enqueue(suspect, now);
    }
    scheduler.enqueue(entry(3, "draft", "w1"), now);
    let granted = permits(scheduler.poll(now));
    let tickets: Vec<_> = granted.iter().map(|(ticket, _)| ticket.0).collect();
    assert_eq!(tickets.len(), 3);
    assert!(tickets.contains(&3), "a waiting suspect does not block others");
    let released = granted.iter().find(|(ticket, _)| ticket.0 < 3).expect("a suspect runs");
    scheduler.release(&release(&released.1, End::Completed, 10), now + ms(10));
    assert_eq!(permits(scheduler.poll(now + ms(10))).len(), 1);
}
