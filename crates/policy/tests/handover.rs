//! A scheduler that takes over from one that crashed.

mod common;

use std::time::Instant;

use common::{builder, document, entry, load, ms, permits, refusals, release, scheduler};
use hyssop_document::{name, order};
use hyssop_policy::{permit::End, scheduler::Scheduler, share::Share};

const QUEUE_LIMIT: usize = 4;
/// Longer than a share must last to be stable.
const STABLE_MS: u64 = 3_100;

/// A scheduler without votes on one backend server with a limit of 2. The class `draft` precedes
/// `bulk`, and each has one reserved place in the queue.
fn successor(now: Instant) -> Scheduler {
    let mut document = document(1, 2, 2);
    document.pools[0].queue_limit = QUEUE_LIMIT;
    let mut scheduler = builder().share(Share::default()).build(now);
    scheduler.configure(&document, &order::State::default(), now);
    scheduler.record_load(&name::Backend::new("b0"), load(9, 0), now);
    scheduler
}

/// The first home submits its waiting requests to the successor before the second home learns of the
/// crash, at which lower requests still wait. A queue that judges by what it holds so far would shed
/// some of the first home.
#[test]
fn no_request_is_shed_before_lower_ones_of_other_homes_have_arrived() {
    let now = Instant::now();
    let mut scheduler = successor(now);
    (0..7).for_each(|ticket| scheduler.enqueue(entry(ticket, "draft", "w1"), now));
    assert!(refusals(&scheduler.poll(now)).is_empty(), "shed before the votes arrived");
    scheduler.set_share(Share { votes: 2, hosts: 3 }, now + ms(100));
    scheduler.enqueue(entry(7, "draft", "w1"), now + ms(150));
    assert!(refusals(&scheduler.poll(now + ms(150))).is_empty(), "shed while votes move");
    (20..23).for_each(|ticket| scheduler.enqueue(entry(ticket, "bulk", "w2"), now + ms(200)));
    let refused = refusals(&scheduler.poll(now + ms(200)));
    assert_eq!(refused, ["21 queue_full", "22 queue_full"], "one has a reserved place");
}

/// The places beyond the limit are lent for the takeover only, and bounded during it.
#[test]
fn the_limit_of_the_queue_holds_after_a_takeover_and_twice_the_limit_during_it() {
    let now = Instant::now();
    let mut scheduler = successor(now);
    (0..30).for_each(|ticket| scheduler.enqueue(entry(ticket, "draft", "w1"), now));
    let waiting = 2 * QUEUE_LIMIT + 1;
    assert_eq!(refusals(&scheduler.poll(now)).len(), 30 - waiting);
    let now = now + ms(1);
    scheduler.set_share(Share::FULL, now);
    let granted = permits(scheduler.poll(now));
    assert_eq!(scheduler.status(now).waiting as usize, waiting - granted.len());
    let ended = now + ms(100);
    scheduler.release(&release(&granted[0].1, End::NotDispatched, 0), ended);
    permits(scheduler.poll(ended));
    let stable_at = scheduler.next_poll().expect("the end of the takeover");
    assert!(stable_at <= now + ms(STABLE_MS), "the excess waits for an event");
    scheduler.poll(now + ms(STABLE_MS));
    assert_eq!(scheduler.status(now).waiting as usize, QUEUE_LIMIT + 1);
}

/// Nothing precedes the lowest class, so there is no reason to hold it beyond the limit.
#[test]
fn the_lowest_class_is_shed_at_the_limit_also_during_a_takeover() {
    let now = Instant::now();
    let mut scheduler = successor(now);
    (0..7).for_each(|ticket| scheduler.enqueue(entry(ticket, "bulk", "w1"), now));
    assert_eq!(refusals(&scheduler.poll(now)).len(), 7 - QUEUE_LIMIT - 1);
}

/// The requests that arrived while the process was suspended are enqueued before the next poll. Those
/// beyond the limit of the queue are shed although a backend server has a free slot for each.
#[test]
fn no_request_is_shed_for_which_a_slot_is_free() {
    let now = Instant::now();
    let mut document = document(1, 16, 16);
    document.pools[0].queue_limit = QUEUE_LIMIT;
    let mut scheduler = scheduler(&document, now);
    scheduler.record_load(&name::Backend::new("b0"), load(9, 0), now);
    (0..16).for_each(|ticket| scheduler.enqueue(entry(ticket, "draft", "w1"), now));
    let decisions = scheduler.poll(now);
    assert_eq!(refusals(&decisions), Vec::<String>::new());
    assert_eq!(permits(decisions).len(), 16);
}
