//! Order and load shedding of the queue under random arrivals.

use std::time::{Duration, Instant};

use bolero::TypeGenerator;
use hyssop_document::number::Tier;
use hyssop_policy::{
    entry::Ticket,
    queue::{Item, Queue, class_queue, workspace_queue},
};

const TIERS: [u8; 5] = [1, 1, 2, 3, 8];
const QUEUE_LIMIT: usize = 12;

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Step {
    Push { class: u8, workspace: u8, deadline: u8, cost: u8 },
    Dequeue { below_floor: u8 },
    Remove { ticket: u8 },
    Defer { after: u8 },
}

fn queue(bound: usize) -> Queue {
    let mut queue = Queue::new(bound);
    for tier in TIERS {
        queue.add_class(Tier(tier));
    }
    queue
}

fn item(ticket: u64, class: usize, workspace: u32, deadline: Instant, cost: u64) -> Item {
    Item {
        ticket: Ticket(ticket),
        class: class_queue::Key(class),
        workspace: workspace_queue::Key(workspace),
        share: workspace + 1,
        deadline,
        arrived: deadline,
        latest_start: deadline,
        target_start: deadline - Duration::from_millis(cost),
        deferred_latest_start: deadline - Duration::from_millis(1),
        deferred: false,
        cost_tokens: cost,
        work_ms: cost * 10,
        sequence: 0,
    }
}

fn tier(queue: &Queue, item: &Item) -> Tier {
    queue.class_queue(item.class).tier()
}

/// Fails if a request was shed although a lower tier had a request to shed. The only request of a
/// class is never shed.
fn assert_lowest(queue: &Queue, shed: &Item) {
    for (_, class_queue) in queue.class_queues() {
        let could_make_room = class_queue.len() > 1;
        assert!(
            !could_make_room || class_queue.tier() <= tier(queue, shed),
            "a lower tier was kept"
        );
    }
}

fn apply(queue: &mut Queue, step: Step, ticket: u64, start: Instant) {
    match step {
        Step::Push { class, workspace, deadline, cost } => {
            let deadline = start + Duration::from_millis(u64::from(deadline));
            let class = usize::from(class) % TIERS.len();
            let cost = u64::from(cost) + 1;
            queue.push(item(ticket, class, u32::from(workspace % 4), deadline, cost));
            while let Some(ticket) = queue.next_to_shed() {
                let shed = queue.remove(ticket).expect("the entry to shed is queued");
                assert_lowest(queue, &shed);
                assert!(
                    !queue.class_queue(shed.class).is_empty(),
                    "the last entry of a class was shed"
                );
            }
        }
        Step::Dequeue { below_floor } => {
            let below = |key: class_queue::Key| below_floor >> key.0 & 1 == 1;
            let waiting: Vec<Item> = queue.items().cloned().collect();
            let Some(next) = queue.next(|key| !below(key)) else {
                assert!(waiting.is_empty(), "a waiting request was skipped");
                return;
            };
            let dequeued = queue.dequeue(next).expect("the next entry is queued");
            let rank = |item: &Item| (!below(item.class), tier(queue, item));
            let best = waiting.iter().map(rank).min().expect("an entry is queued");
            assert_eq!(rank(&dequeued), best, "floors first, then tiers");
            let same =
                |item: &&Item| item.class == dequeued.class && item.workspace == dequeued.workspace;
            let position = |item: &Item| (item.deferred, item.deadline);
            let first = waiting.iter().filter(same).map(position).min();
            assert_eq!(Some(position(&dequeued)), first, "the earliest deadline of a workspace");
        }
        Step::Remove { ticket } => {
            queue.remove(Ticket(u64::from(ticket)));
        }
        Step::Defer { after } => {
            let now = start + Duration::from_millis(u64::from(after));
            let count = queue.len();
            queue.defer(now);
            assert_eq!(queue.len(), count);
            assert!(queue.items().all(|item| item.deferred || item.target_start > now));
        }
    }
}

/// Reference implementation of
/// [`hyssop_policy::queue::class_queue::ClassQueue::fair_work_ms_before`].
fn fair_work_ms_before(queue: &Queue, item: &Item) -> u64 {
    let class: Vec<_> = queue.items().filter(|other| other.class == item.class).collect();
    let own = |other: &&&Item| other.workspace == item.workspace;
    let position = |item: &Item| (item.deferred, item.deadline, item.sequence);
    let before = class.iter().filter(own).filter(|other| position(other) < position(item));
    let before: u64 = before.map(|other| other.work_ms).sum();
    let others = class.iter().filter(|other| !own(other));
    let mut shares: Vec<_> =
        others.clone().map(|other| (other.workspace, u64::from(other.share))).collect();
    shares.sort_unstable();
    shares.dedup();
    let shares: u64 = shares.iter().map(|(_, share)| share).sum();
    let others: u64 = others.map(|other| other.work_ms).sum();
    before + others.min((before + item.work_ms) * shares / u64::from(item.share))
}

fn assert_consistent(queue: &Queue) {
    let charged: usize =
        queue.class_queues().map(|(_, class_queue)| class_queue.len().saturating_sub(1)).sum();
    assert!(charged <= QUEUE_LIMIT);
    let waiting: usize = queue.class_queues().map(|(_, class_queue)| class_queue.len()).sum();
    assert_eq!(waiting, queue.len());
    let work: u64 = queue.class_queues().map(|(_, class_queue)| class_queue.work_ms()).sum();
    assert_eq!(work, queue.items().map(|item| item.work_ms).sum::<u64>());
    for item in queue.items() {
        assert_eq!(
            queue.class_queue(item.class).fair_work_ms_before(item),
            fair_work_ms_before(queue, item)
        );
    }
    assert_eq!(queue.next_expiry(), queue.items().map(|item| item.latest_start).min());
}

#[test]
fn keeps_the_order_and_sheds_the_lowest_tier() {
    let start = Instant::now();
    bolero::check!().with_type::<Vec<Step>>().with_iterations(3000).for_each(|steps| {
        let mut queue = queue(QUEUE_LIMIT);
        for (ticket, step) in steps.iter().enumerate() {
            apply(&mut queue, *step, ticket as u64, start);
            assert_consistent(&queue);
        }
    });
}

/// Guards against unfair service: workspaces that always wait must be served in proportion to their
/// shares, to within one request.
#[test]
fn serves_workspaces_by_their_shares() {
    let start = Instant::now();
    bolero::check!().with_type::<Vec<u8>>().with_iterations(500).for_each(|costs| {
        let mut queue = queue(usize::MAX);
        let mut served = [0_u64; 3];
        let mut ticket = 0;
        let mut push = |queue: &mut Queue, workspace: u32, cost: u64| {
            queue.push(item(ticket, 0, workspace, start + Duration::from_millis(ticket), cost));
            ticket += 1;
        };
        (0..3).for_each(|workspace| push(&mut queue, workspace, 1));
        for cost in costs {
            let next = queue.next(|_| 0).expect("all workspaces have entries");
            let dequeued = queue.dequeue(next).expect("the next entry is queued");
            served[dequeued.workspace.0 as usize] += dequeued.cost_tokens;
            push(&mut queue, dequeued.workspace.0, u64::from(*cost) + 1);
        }
        let for_share = |workspace: usize| served[workspace] as f64 / (workspace + 1) as f64;
        let all = [for_share(0), for_share(1), for_share(2)];
        let most = all.iter().copied().fold(0.0, f64::max);
        let least = all.iter().copied().fold(f64::MAX, f64::min);
        assert!(most - least <= 2.0 * 256.0, "{all:?}");
    });
}

/// Guards against a workspace that saves up credit while idle and then delays the others.
#[test]
fn an_idle_workspace_earns_no_credit() {
    let start = Instant::now();
    let mut queue = queue(usize::MAX);
    (0..100).for_each(|ticket| queue.push(item(ticket, 0, 0, start, 10)));
    (0..50).for_each(|_| {
        let next = queue.next(|_| 0).expect("workspace 0 has entries");
        queue.dequeue(next);
    });
    (100..200).for_each(|ticket| queue.push(item(ticket, 0, 1, start, 10)));
    let first: Vec<_> = (0..12)
        .map(|_| {
            let next = queue.next(|_| 0).expect("both workspaces have entries");
            queue.dequeue(next).expect("the next entry is queued").workspace.0
        })
        .collect();
    assert_eq!(first.iter().filter(|workspace| **workspace == 1).count(), 8, "{first:?}");
}

/// Guards against shedding the wrong request: the newest of the workspace with the largest backlog
/// goes first, and never one of a higher tier in place of a lower one.
#[test]
fn sheds_the_newest_of_the_largest_workspace() {
    let start = Instant::now();
    let mut queue = queue(4);
    let cases = [(1, 4, 0), (2, 4, 1), (3, 4, 1), (4, 4, 1), (5, 4, 0), (6, 0, 0), (7, 0, 0)];
    let mut shed = Vec::new();
    for (ticket, class, workspace) in cases {
        queue.push(item(ticket, class, workspace, start, 10));
        if let Some(ticket) = queue.next_to_shed() {
            queue.remove(ticket);
            shed.push(ticket.0);
        }
    }
    assert_eq!(shed, [5]);
    queue.push(item(8, 2, 0, start, 10));
    queue.push(item(9, 2, 0, start, 10));
    let victim = queue.next_to_shed().expect("the queue is over its bound");
    assert_eq!(victim.0, 4, "three of workspace 1 with share 2 against one of workspace 0");
}
