//! The cost of queue operations with 10, 1,000 and 100,000 entries.

use std::time::{Duration, Instant};

use hyssop_document::number::Tier;
use hyssop_policy::{
    entry::Ticket,
    queue::{Item, Queue, class_queue, workspace_queue},
};

const ENTRY_COUNTS: [u64; 3] = [10, 1_000, 100_000];
const CLASS_COUNT: u64 = 8;
const WORKSPACE_COUNT: u64 = 1_000;

fn main() {
    divan::main();
}

/// The SplitMix64 finalizer: pseudo-random values that are the same in every run.
fn scramble(value: u64) -> u64 {
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}

fn item(ticket: u64, start: Instant) -> Item {
    let random = scramble(ticket);
    let deadline = start + Duration::from_millis(random % 60_000);
    Item {
        ticket: Ticket(ticket),
        class: class_queue::Key((random >> 16) as usize % CLASS_COUNT as usize),
        workspace: workspace_queue::Key(((random >> 24) % WORKSPACE_COUNT) as u32),
        share: 1 + (random >> 40) as u32 % 4,
        deadline,
        arrived: start,
        latest_start: deadline,
        target_start: deadline,
        deferred_latest_start: deadline,
        deferred: false,
        cost_tokens: 1 + (random >> 48) % 1000,
        work_ms: 1 + (random >> 48) % 1000,
        sequence: 0,
    }
}

fn filled(size: u64, bound: usize, start: Instant) -> Queue {
    let mut queue = Queue::new(bound);
    (1..=CLASS_COUNT).for_each(|tier| {
        queue.add_class(Tier(tier as u8));
    });
    (0..size).for_each(|ticket| queue.push(item(ticket, start)));
    queue
}

/// Enqueues one entry and dequeues the next.
#[divan::bench(args = ENTRY_COUNTS)]
fn push_and_take(bencher: divan::Bencher<'_, '_>, size: u64) {
    let start = Instant::now();
    let mut queue = filled(size, usize::MAX, start);
    let mut ticket = size;
    bencher.bench_local(|| {
        queue.push(item(ticket, start));
        ticket += 1;
        let next = queue.next(|_| 0).expect("the queue is not empty");
        queue.dequeue(next)
    });
}

/// Enqueues one entry to a full queue and sheds one.
#[divan::bench(args = ENTRY_COUNTS)]
fn push_and_shed(bencher: divan::Bencher<'_, '_>, size: u64) {
    let start = Instant::now();
    let mut queue = filled(size, size.saturating_sub(CLASS_COUNT) as usize, start);
    let mut ticket = size;
    bencher.bench_local(|| {
        queue.push(item(ticket, start));
        ticket += 1;
        while let Some(shed) = queue.next_to_shed() {
            queue.remove(shed);
        }
    });
}

/// Computes the work before an entry.
#[divan::bench(args = ENTRY_COUNTS)]
fn work_before(bencher: divan::Bencher<'_, '_>, size: u64) {
    let start = Instant::now();
    let queue = filled(size, usize::MAX, start);
    let mut ticket = size;
    bencher.bench_local(|| {
        ticket += 1;
        queue.work_ms_before(&item(ticket, start))
    });
}
