//! Floors, starvation and refusals of a loaded scheduler.

mod common;

use std::{collections::BTreeMap, time::Instant};

use bolero::TypeGenerator;
use common::{document, entry, ms, permits, refusals, release, scheduler};
use hyssop_document::number::{Percent, Tokens};
use hyssop_policy::{
    decision::{Decision, Reason},
    floor::MAX_COOLDOWN,
    permit::{End, Permit},
    scheduler::Scheduler,
    share::Share,
};

const CLASSES: [&str; 3] = ["desk", "draft", "bulk"];

#[derive(Debug, Clone, TypeGenerator)]
struct Shape {
    servers: u8,
    limit: u8,
    floors: [u8; 3],
    holds: [u8; 3],
}

/// A group in which requests of all classes are always queued.
struct SaturatedGroup {
    scheduler: Scheduler,
    start: Instant,
    now: Instant,
    ticket: u64,
    holds: [u64; 3],
    running: BTreeMap<(Instant, u64), Permit>,
    class_of: BTreeMap<u64, usize>,
    last_grant: [Instant; 3],
    longest_gap_ms: [u64; 3],
    held_ms: [u64; 3],
}

impl SaturatedGroup {
    fn new(shape: &Shape) -> Self {
        let limit = u32::from(shape.limit % 4) + 1;
        let mut document = document(usize::from(shape.servers % 3) + 1, limit, limit);
        for (class, floor) in document.classes.iter_mut().zip(shape.floors) {
            class.floor_percent = Percent(floor % 30);
        }
        document.pools[0].latest_end_ms = 1 << 40;
        document.classes.iter_mut().for_each(|class| class.max_running_ms = 1 << 40);
        let start = Instant::now();
        Self {
            scheduler: scheduler(&document, start),
            start,
            now: start,
            ticket: 0,
            holds: shape.holds.map(|hold| u64::from(hold) * 8 + 200),
            running: BTreeMap::new(),
            class_of: BTreeMap::new(),
            last_grant: [start; 3],
            longest_gap_ms: [0; 3],
            held_ms: [0; 3],
        }
    }

    fn enqueue(&mut self, class: usize) {
        let mut entry = entry(self.ticket, CLASSES[class], "w1");
        entry.remaining_ms = 1 << 40;
        self.class_of.insert(self.ticket, class);
        self.ticket += 1;
        self.scheduler.enqueue(entry, self.now);
    }

    fn poll(&mut self) {
        for (ticket, permit) in permits(self.scheduler.poll(self.now)) {
            let class = self.class_of[&ticket.0];
            let gap = self.now - self.last_grant[class];
            let longest = &mut self.longest_gap_ms[class];
            *longest = (*longest).max(gap.as_millis() as u64);
            self.last_grant[class] = self.now;
            self.held_ms[class] += self.holds[class];
            self.running.insert((self.now + ms(self.holds[class]), ticket.0), permit);
            self.enqueue(class);
        }
    }

    fn run(&mut self, seconds: u64) {
        (0..3).for_each(|class| (0..20).for_each(|_| self.enqueue(class)));
        self.poll();
        while self.now - self.start < ms(seconds * 1000) {
            let ((at, ticket), permit) = self.running.pop_first().expect("something runs");
            self.now = at;
            let hold = self.holds[self.class_of[&ticket]];
            // All servers have the same time per token, so that none becomes a straggler.
            let mut release = release(&permit, End::Completed, hold);
            release.output_tokens = Tokens(hold);
            self.scheduler.release(&release, at);
            self.poll();
        }
    }
}

/// Guards against starvation while a higher tier saturates the group. Each class must be granted
/// within the maximum cooldown plus one turn of the other classes, and lower tiers must hold little
/// more than their floors.
#[test]
fn every_class_is_served_within_its_floors_bound() {
    bolero::check!().with_type::<Shape>().with_iterations(20).for_each(|shape| {
        let mut group = SaturatedGroup::new(shape);
        group.run(60);
        let slots = u64::from(group.scheduler.status(group.now).slots);
        let longest_hold = group.holds.iter().max().expect("three classes");
        let bound = MAX_COOLDOWN.as_millis() as u64 + 3 * longest_hold;
        assert!(group.longest_gap_ms.iter().all(|gap| *gap <= bound), "{:?}", group.longest_gap_ms);
        let elapsed_ms = (group.now - group.start).as_millis() as u64;
        for class in 1..3 {
            let percent = u64::from(shape.floors[class] % 30).max(1);
            let (whole, fraction) = (slots * percent / 100, slots * percent % 100);
            let hold = group.holds[class];
            let by_cooldown = hold * 100 / (hold + MAX_COOLDOWN.as_millis() as u64) + 1;
            let max_ms =
                elapsed_ms * (whole * 100 + fraction.max(by_cooldown)) / 100 + (whole + 2) * hold;
            assert!(group.held_ms[class] <= max_ms, "{} above {max_ms}", group.held_ms[class]);
            let min_ms = elapsed_ms.saturating_sub(3 * longest_hold) * whole * 9 / 10;
            assert!(group.held_ms[class] >= min_ms, "{} below {min_ms}", group.held_ms[class]);
        }
    });
}

/// A scheduler with 2 slots, both in use, whose estimate is one second per request.
fn loaded_scheduler() -> (Scheduler, Instant) {
    let mut now = Instant::now();
    let mut document = document(1, 2, 2);
    document.classes.iter_mut().for_each(|class| class.floor_percent = Percent(0));
    let mut scheduler = scheduler(&document, now);
    for ticket in 1000..1040 {
        scheduler.enqueue(entry(ticket, CLASSES[ticket as usize % 3], "w1"), now);
        for (_, permit) in permits(scheduler.poll(now)) {
            now += ms(1000);
            scheduler.release(&release(&permit, End::Completed, 1000), now);
        }
    }
    (2000..2002).for_each(|ticket| scheduler.enqueue(entry(ticket, "desk", "w1"), now));
    assert_eq!(permits(scheduler.poll(now)).len(), 2);
    (scheduler, now)
}

#[test]
fn refuses_for_work_of_higher_tiers_but_not_of_lower_tiers() {
    let (mut scheduler, now) = loaded_scheduler();
    // 40 s of work in lower tiers must not cause a refusal.
    (0..80).for_each(|ticket| {
        let mut lower = entry(ticket, "draft", "w1");
        lower.remaining_ms = 100_000;
        scheduler.enqueue(lower, now);
    });
    let mut short = entry(100, "desk", "w1");
    short.remaining_ms = 3000;
    scheduler.enqueue(short.clone(), now);
    assert!(scheduler.poll(now).is_empty());
    // 10 s of work in the same tier with later deadlines must not cause a refusal either.
    (101..121).for_each(|ticket| {
        let mut same = short.clone();
        same.ticket.0 = ticket;
        same.remaining_ms = 60_000;
        scheduler.enqueue(same, now);
    });
    assert!(scheduler.poll(now).is_empty());
    let mut bulk = entry(200, "bulk", "w1");
    bulk.remaining_ms = 20_000;
    scheduler.enqueue(bulk, now);
    let decisions = scheduler.poll(now);
    let [Decision::Refuse { ticket, refusal }] = decisions.as_slice() else {
        panic!("one refusal: {decisions:?}")
    };
    assert_eq!((ticket.0, refusal.reason), (200, Reason::Deadline));
    // The cooldown of the class's floor is at most 30 s, and the deadline allows about 19 s of it.
    assert!((9_000..18_000).contains(&refusal.retry_after_ms), "{refusal:?}");
}

#[test]
fn no_refusal_without_estimates() {
    let now = Instant::now();
    let mut scheduler = scheduler(&document(1, 1, 1), now);
    for ticket in 0..50 {
        let mut entry = entry(ticket, "bulk", "w1");
        entry.remaining_ms = 10;
        scheduler.enqueue(entry, now);
    }
    let decisions = scheduler.poll(now);
    assert_eq!((refusals(&decisions).len(), permits(decisions).len()), (0, 1));
    // Requests that still wait are refused at their deadline.
    assert_eq!(refusals(&scheduler.poll(now + ms(10))).len(), 49);
}

#[test]
fn refuses_a_request_at_its_latest_start() {
    let (mut scheduler, now) = loaded_scheduler();
    let mut short = entry(1, "desk", "w1");
    short.remaining_ms = 3000;
    scheduler.enqueue(short, now);
    assert!(scheduler.poll(now).is_empty());
    let wake = scheduler.next_poll().expect("a deadline comes");
    let left_ms = (now + ms(3000) - wake).as_millis();
    assert!(
        (700..=1000).contains(&left_ms),
        "the estimated second of service is reserved: {left_ms}"
    );
    assert_eq!(refusals(&scheduler.poll(wake)), ["1 deadline"]);
}

/// Guards against late refusals: requests admitted before the group lost capacity must be refused
/// once the loss is known, not at their deadlines.
#[test]
fn lost_capacity_refuses_requests_before_their_deadlines() {
    let mut now = Instant::now();
    let mut document = document(4, 4, 4);
    let mut scheduler = scheduler(&document, now);
    for ticket in 1000..1100 {
        scheduler.enqueue(entry(ticket, "desk", "w1"), now);
        for (_, permit) in permits(scheduler.poll(now)) {
            now += ms(1000);
            scheduler.release(&release(&permit, End::Completed, 1000), now);
        }
    }
    (0..96).for_each(|ticket| {
        let mut entry = entry(ticket, "desk", "w1");
        entry.remaining_ms = 8000;
        scheduler.enqueue(entry, now);
    });
    let decisions = scheduler.poll(now);
    assert_eq!((refusals(&decisions).len(), permits(decisions).len()), (0, 16));
    document.pools[0].warm_limit = 1;
    scheduler.configure(&document, &hyssop_document::order::State::default(), now);
    let refused: usize = (0..10).map(|_| refusals(&scheduler.poll(now)).len()).sum();
    // Four slots complete 28 one-second requests in the remaining 7 s, 35 with the wait margin.
    assert!((40..=60).contains(&refused), "{refused}");
}

/// Guards against refusals while votes move: a new scheduler holds few slots for a moment, and must
/// judge by the share that it held before.
#[test]
fn no_refusal_while_the_share_is_unstable() {
    let mut now = Instant::now();
    let mut scheduler = scheduler(&document(4, 4, 4), now);
    for ticket in 1000..1100 {
        scheduler.enqueue(entry(ticket, "desk", "w1"), now);
        for (_, permit) in permits(scheduler.poll(now)) {
            now += ms(1000);
            scheduler.release(&release(&permit, End::Completed, 1000), now);
        }
    }
    scheduler.set_share(Share { votes: 1, hosts: 4 }, now);
    (0..40).for_each(|ticket| {
        let mut entry = entry(ticket, "desk", "w1");
        entry.remaining_ms = 6000;
        scheduler.enqueue(entry, now);
    });
    let decisions = scheduler.poll(now);
    assert_eq!((refusals(&decisions).len(), permits(decisions).len()), (0, 4));
    let refused = refusals(&scheduler.poll(now + ms(3000))).len();
    assert!(refused > 0, "the share is stable: {refused}");
}

/// Guards against late refusals under overload: once requests past their targets have been refused,
/// requests that will miss the target must be refused on arrival.
#[test]
fn an_overloaded_class_refuses_by_target_at_arrival() {
    let (mut scheduler, now) = loaded_scheduler();
    let arrive = |scheduler: &mut Scheduler, tickets: std::ops::Range<u64>, now| {
        tickets.for_each(|ticket| {
            let mut entry = entry(ticket, "desk", "w1");
            entry.remaining_ms = 8000;
            scheduler.enqueue(entry, now);
        });
        refusals(&scheduler.poll(now)).len()
    };
    assert_eq!(arrive(&mut scheduler, 0..14, now), 0, "7 s of work fit a deadline of 8 s");
    // One second later all of them have missed the 1 s target, and newer requests precede them.
    let later = now + ms(1000);
    assert!(scheduler.poll(later).is_empty());
    assert!(
        arrive(&mut scheduler, 100..114, later) > 0,
        "requests past their target miss their deadline"
    );
    assert_eq!(arrive(&mut scheduler, 200..210, later), 10, "refused at arrival");
    // The class counts as overloaded only for a while after such a refusal.
    let mut recovered = later;
    for _ in 0..20 {
        recovered += ms(1000);
        scheduler.poll(recovered);
    }
    assert_eq!(arrive(&mut scheduler, 300..304, recovered), 0);
}
