//! Shares, cold starts and stragglers.

mod common;

use std::time::Instant;

use bolero::TypeGenerator;
use common::{document, entry, load, ms, permits, release, scheduler};
use hyssop_document::{
    name,
    number::{Incarnation, Tokens},
};
use hyssop_policy::{
    coldstart::{Cause, Completion, Tracker},
    load::Load,
    permit::{End, Id, LimitHint, Permit, Release, Running},
    scheduler::Scheduler,
    share::Share,
    straggler::Detector,
};

/// Guards against overcommitment: each host votes for at most one scheduler, and whatever the
/// votes, the shares must add up to at most the limit, even if schedulers count different numbers
/// of hosts.
#[test]
fn shares_never_sum_above_the_limit() {
    bolero::check!().with_type::<(Vec<Option<u8>>, u16, [u8; 4])>().with_iterations(5000).for_each(
        |(votes, limit, more_hosts)| {
            let hosts = votes.len() as u32;
            let sum: u64 = (0..4_u8)
                .map(|scheduler| {
                    let held = votes.iter().flatten().filter(|v| **v % 4 == scheduler).count();
                    let hosts = hosts + u32::from(more_hosts[usize::from(scheduler)] % 3);
                    let share = Share { votes: held as u32, hosts };
                    u64::from(share.of(u32::from(*limit)))
                })
                .sum();
            assert!(sum <= u64::from(*limit));
        },
    );
}

#[test]
fn the_majority_rounds_up_and_all_others_down() {
    let limit = |votes, hosts, limit| Share { votes, hosts }.of(limit);
    assert_eq!(limit(5, 9, 1), 1);
    assert_eq!(limit(4, 9, 1), 0);
    assert_eq!(limit(4, 9, 8), 3);
    assert_eq!(limit(5, 9, 8), 5);
    // In an even split, neither side may use a cold server with limit 1.
    assert_eq!((limit(4, 8, 1), limit(4, 8, 2)), (0, 1));
    assert_eq!((limit(0, 0, 8), limit(3, 2, 8)), (0, 8));
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Event {
    Complete { on_time: bool, loaded: bool },
    Report { incarnation: bool, cold: bool },
    Fail,
    Drift,
    Refuse,
    Limits { cold: u8, warm: u8 },
}

/// Guards against unearned growth: the limit must stay between the document's limits and grow only
/// by on-time completions under load in the current cold start, or by a change of the document.
#[test]
fn a_limit_grows_only_by_completions_on_time() {
    bolero::check!().with_type::<Vec<Event>>().with_iterations(3000).for_each(|events| {
        let (mut cold, mut warm) = (1, 8);
        let mut tracker = Tracker::new(cold, warm);
        for event in events {
            let before = tracker.limit();
            match *event {
                Event::Complete { on_time, loaded } => {
                    let epoch = tracker.epoch();
                    tracker.record_completion(Completion { epoch, on_time, loaded });
                    assert!(tracker.limit() == before || on_time && loaded);
                }
                Event::Report { incarnation, cold: reported_cold } => {
                    if tracker.record_report(u64::from(incarnation), reported_cold).is_some() {
                        assert_eq!(tracker.limit(), cold);
                    }
                    assert!(tracker.limit() <= before);
                }
                Event::Fail => {
                    tracker.record_failure(tracker.epoch());
                    assert_eq!(tracker.limit(), cold);
                }
                Event::Drift => {
                    tracker.record_drift();
                    assert!(tracker.limit() <= before);
                }
                Event::Refuse => {
                    tracker.record_refusal(tracker.epoch());
                    assert!(tracker.limit() <= before);
                }
                Event::Limits { cold: c, warm: w } => {
                    warm = u32::from(w % 16) + 1;
                    cold = (u32::from(c % 8) + 1).min(warm);
                    tracker.set_limits(cold, warm);
                    assert!(
                        tracker.limit() <= before.max(cold),
                        "a higher warm limit is reached by completions"
                    );
                }
            }
            assert!((cold..=warm).contains(&tracker.limit()));
        }
    });
}

#[test]
fn completions_of_an_earlier_cold_start_do_not_count() {
    let mut tracker = Tracker::new(1, 8);
    let completion =
        |tracker: &Tracker| Completion { epoch: tracker.epoch(), on_time: true, loaded: true };
    tracker.record_report(1, false);
    let early = completion(&tracker);
    (0..11).for_each(|_| tracker.record_completion(early));
    assert_eq!(tracker.limit(), 8);
    assert_eq!(tracker.record_report(2, false), Some(Cause::Incarnation));
    (0..20).for_each(|_| tracker.record_completion(early));
    assert_eq!(tracker.limit(), 1);
    assert_eq!(
        tracker.record_failure(early.epoch),
        None,
        "a failure of an earlier cold start is ignored"
    );
    assert_eq!(tracker.record_report(2, true), Some(Cause::Reported));
    let now = completion(&tracker);
    (0..20).for_each(|_| tracker.record_completion(now));
    assert_eq!(tracker.limit(), 1, "no growth while the server reports that it is cold");
    assert_eq!(tracker.record_report(2, false), None);
    tracker.record_completion(now);
    assert_eq!(tracker.limit(), 2);
}

/// Runs requests to completion until the only backend server is warm.
fn warm_up(scheduler: &mut Scheduler, now: &mut Instant, first_ticket: u64) {
    for ticket in first_ticket..first_ticket + 200 {
        scheduler.enqueue(entry(ticket, "desk", "w1"), *now);
        let granted = permits(scheduler.poll(*now));
        *now += ms(100);
        if scheduler.status(*now).backends[0].running < 4 {
            continue;
        }
        for (_, permit) in granted {
            scheduler.release(&release(&permit, End::Completed, 100), *now);
        }
    }
}

#[test]
fn turning_cold_while_loaded_stops_new_work_until_below_the_limit() {
    let mut now = Instant::now();
    let mut scheduler = scheduler(&document(1, 2, 8), now);
    let b0 = name::Backend::new("b0");
    scheduler.record_load(&b0, load(1, 0), now);
    let mut running: Vec<Permit> = Vec::new();
    // Saturate the server repeatedly so that its limit grows.
    let mut ticket = 0;
    while scheduler.status(now).backends[0].cold.is_some() {
        (0..10).for_each(|_| {
            ticket += 1;
            scheduler.enqueue(entry(ticket, "desk", "w1"), now);
        });
        running.extend(permits(scheduler.poll(now)).into_iter().map(|(_, permit)| permit));
        now += ms(100);
        for permit in running.drain(..) {
            scheduler.release(&release(&permit, End::Completed, 100), now);
        }
        assert!(ticket < 1000, "the limit does not grow");
    }
    running.extend(permits(scheduler.poll(now)).into_iter().map(|(_, permit)| permit));
    assert_eq!(running.len(), 8);
    let mut cold = load(1, 8);
    cold.cold = true;
    scheduler.record_load(&b0, cold, now);
    for left in (0..8).rev() {
        now += ms(100);
        let permit = running.pop().expect("one runs");
        scheduler.release(&release(&permit, End::Completed, 100), now);
        cold.running = left;
        scheduler.record_load(&b0, cold, now);
        let granted = permits(scheduler.poll(now));
        assert_eq!(granted.len() as u32, 2_u32.saturating_sub(left).min(1), "{left} left");
        running.splice(0..0, granted.into_iter().map(|(_, permit)| permit));
        if left == 0 {
            break;
        }
        if running.len() == 2 {
            break;
        }
    }
    assert_eq!(scheduler.status(now).backends[0].running, 2);
}

#[test]
fn a_failed_connection_makes_a_server_cold() {
    let mut now = Instant::now();
    let mut scheduler = scheduler(&document(1, 1, 4), now);
    warm_up(&mut scheduler, &mut now, 0);
    let (mut granted, mut ticket) = (Vec::new(), 1000);
    while granted.is_empty() {
        scheduler.enqueue(entry(ticket, "desk", "w1"), now);
        ticket += 1;
        granted = permits(scheduler.poll(now));
        now += ms(70_000);
    }
    let release = release(&granted[0].1, End::BackendFailed, 10);
    scheduler.release(&release, now - ms(70_000));
    let backend = &scheduler.status(now).backends[0];
    assert_eq!((backend.cold, backend.limit), (Some(Cause::Connection), 1));
}

#[test]
fn reports_include_other_schedulers_and_are_adjusted_by_own_events() {
    let now = Instant::now();
    let mut scheduler = scheduler(&document(1, 4, 4), now);
    let b0 = name::Backend::new("b0");
    (0..9).for_each(|ticket| scheduler.enqueue(entry(ticket, "desk", "w1"), now));
    scheduler.record_load(&b0, load(1, 4), now);
    assert!(scheduler.poll(now).is_empty(), "requests of other schedulers fill the server");
    scheduler.record_load(&b0, load(1, 2), now + ms(10));
    let granted = permits(scheduler.poll(now + ms(10)));
    assert_eq!(granted.len(), 2, "two requests of other schedulers, two new ones");
    scheduler.release(&release(&granted[0].1, End::Completed, 10), now + ms(20));
    assert_eq!(
        permits(scheduler.poll(now + ms(20))).len(),
        1,
        "granted and completed since the report"
    );
    scheduler.record_load(&b0, load(1, 4), now + ms(30));
    assert!(scheduler.poll(now + ms(30)).is_empty());
    scheduler.release(&release(&granted[1].1, End::Completed, 10), now + ms(40));
    assert_eq!(
        permits(scheduler.poll(now + ms(40))).len(),
        1,
        "counted in the report and completed since"
    );
    scheduler.record_load(&b0, load(1, 9), now + ms(50));
    assert!(scheduler.poll(now + ms(50)).is_empty());
}

#[test]
fn a_straggler_keeps_one_request_and_recovers() {
    let mut detector = Detector::default();
    detector.update(Some(40.0), Some(10.0));
    assert_eq!(
        (detector.reduced_limit(8), detector.reduced_limit(2), detector.reduced_limit(0)),
        (2, 1, 0)
    );
    detector.update(Some(16.0), Some(10.0));
    assert!(detector.is_straggler(), "LEAVE_FACTOR is below ENTER_FACTOR");
    detector.update(Some(14.0), Some(10.0));
    assert_eq!(detector.reduced_limit(8), 8);
    detector.update(Some(1000.0), None);
    assert_eq!(detector.reduced_limit(8), 8);
}

#[test]
fn a_slow_server_gets_a_reduced_limit() {
    let mut now = Instant::now();
    let document = document(4, 4, 4);
    let mut scheduler = scheduler(&document, now);
    for round in 0..40 {
        (0..12).for_each(|one| scheduler.enqueue(entry(round * 12 + one, "desk", "w1"), now));
        now += ms(1000);
        for (_, permit) in permits(scheduler.poll(now)) {
            let slow = permit.backend.as_str() == "b3";
            let elapsed_ms = if slow { 1000 } else { 100 };
            scheduler.release(&release(&permit, End::Completed, elapsed_ms), now);
        }
    }
    let status = scheduler.status(now);
    let limits: Vec<_> = status.backends.iter().map(|b| (b.straggler, b.limit)).collect();
    assert_eq!(limits, [(false, 4), (false, 4), (false, 4), (true, 1)]);
}

/// Guards against unmeasured servers: idle servers of equal speed must share the requests, so that
/// all of them get measured and warm.
#[test]
fn equal_servers_share_the_requests() {
    let now = Instant::now();
    let mut scheduler = scheduler(&document(4, 4, 4), now);
    let mut used = std::collections::BTreeSet::new();
    for ticket in 0..64 {
        let mut entry = entry(ticket, "desk", "w1");
        entry.zone = name::Zone::new("z3");
        scheduler.enqueue(entry, now);
        for (_, permit) in permits(scheduler.poll(now)) {
            used.insert(permit.backend.clone());
            scheduler.release(&release(&permit, End::Completed, 100), now);
        }
    }
    assert_eq!(used.len(), 4);
}

/// Guards against a full KV cache: running responses keep growing, so the high-water mark must
/// apply to the expected usage.
#[test]
fn expected_kv_cache_growth_blocks_new_requests() {
    let now = Instant::now();
    let mut scheduler = scheduler(&document(1, 8, 8), now);
    let b0 = name::Backend::new("b0");
    (0..2).for_each(|ticket| {
        let mut entry = entry(ticket, "desk", "w1");
        entry.max_output = Some(Tokens(200));
        scheduler.enqueue(entry, now);
    });
    let granted = permits(scheduler.poll(now));
    assert_eq!(granted.len(), 2);
    let mut half = load(1, 2);
    half.kv_used = 0.5;
    scheduler.record_load(&b0, half, now + ms(1));
    scheduler.enqueue(entry(2, "desk", "w1"), now + ms(1));
    assert!(scheduler.poll(now + ms(1)).is_empty(), "200 tokens are stored, 400 are expected");
    for (_, permit) in &granted {
        scheduler.record_progress(permit.id, Tokens(200), now + ms(2));
    }
    assert_eq!(
        permits(scheduler.poll(now + ms(2))).len(),
        1,
        "all tokens are stored and use half of the cache"
    );
}

#[test]
fn a_new_scheduler_starts_with_the_latest_reported_limit() {
    let now = Instant::now();
    let mut scheduler = scheduler(&document(2, 1, 8), now);
    let hint = |backend, backend_incarnation, limit, age_ms| LimitHint {
        backend: name::Backend::new(backend),
        backend_incarnation,
        limit,
        age_ms,
    };
    let limits = |scheduler: &Scheduler| {
        let status = scheduler.status(now);
        status.backends.iter().map(|backend| backend.limit).collect::<Vec<_>>()
    };
    let b0 = name::Backend::new("b0");
    scheduler.record_hints(&[hint("b0", 5, 8, 300), hint("b1", 5, 8, 0)], now);
    assert_eq!(limits(&scheduler), [1, 1], "no report yet");
    scheduler.record_load(&b0, load(5, 0), now);
    scheduler.record_load(&name::Backend::new("b1"), load(6, 0), now);
    assert_eq!(limits(&scheduler), [8, 1], "b1 has restarted since");
    scheduler.record_hints(&[hint("b0", 5, 3, 100), hint("b0", 5, 7, 200)], now);
    assert_eq!(limits(&scheduler), [3, 1], "the most recent limit applies");
    let cold = Load { cold: true, ..load(5, 0) };
    scheduler.record_load(&b0, cold, now);
    scheduler.record_load(&b0, load(5, 0), now);
    scheduler.record_hints(&[hint("b0", 5, 8, 0)], now);
    assert_eq!(limits(&scheduler), [1, 1], "it has turned cold since");
}

/// Guards against a server that stays cold under overload: the wait in the queue must not count as
/// a late response of the server.
#[test]
fn a_server_warms_up_although_queueing_makes_responses_late() {
    let mut now = Instant::now();
    let mut scheduler = scheduler(&document(1, 2, 8), now);
    for ticket in 0..100 {
        scheduler.enqueue(entry(ticket, "desk", "w1"), now);
    }
    for _ in 0..20 {
        now += ms(1000);
        for (_, permit) in permits(scheduler.poll(now)) {
            let late = Release { late: true, ..release(&permit, End::Completed, 100) };
            scheduler.release(&late, now);
        }
    }
    assert_eq!(scheduler.status(now).backends[0].limit, 8);
    let mut slow = scheduler;
    slow.record_load(&name::Backend::new("b0"), load(1, 0), now);
    slow.record_load(&name::Backend::new("b0"), load(2, 0), now);
    for ticket in 200..220 {
        slow.enqueue(entry(ticket, "desk", "w1"), now);
        for (_, permit) in permits(slow.poll(now)) {
            slow.release(&release(&permit, End::Completed, 11_000), now);
        }
    }
    assert_eq!(slow.status(now).backends[0].limit, 2, "slow responses show that it is still cold");
}

/// Guards against a missed crash: a failed request on another scheduler's permit must count like
/// one on the scheduler's own permit.
#[test]
fn a_failure_of_an_adopted_request_makes_a_server_cold() {
    let now = Instant::now();
    let mut scheduler = scheduler(&document(1, 1, 4), now);
    let b0 = name::Backend::new("b0");
    scheduler.record_load(&b0, load(5, 1), now);
    let id = Id { scheduler: Incarnation(6), number: 1 };
    let running = Running {
        id,
        backend: b0,
        backend_incarnation: 5,
        limit: 4,
        suspect: false,
        class: name::Class::new("desk"),
        workspace: name::Workspace::new("w1"),
        home: name::Host::new("h2"),
        home_incarnation: Incarnation(2),
        remaining_ms: 10_000,
        prompt_tokens: Tokens(1),
        output_tokens: Tokens(1),
    };
    scheduler.adopt(&[running], now);
    assert_eq!(scheduler.status(now).backends[0].limit, 4);
    let release = Release {
        id,
        end: End::BackendFailed,
        first_token_ms: None,
        elapsed_ms: 10,
        output_tokens: Tokens(1),
        late: true,
    };
    scheduler.release(&release, now);
    assert_eq!(scheduler.status(now).backends[0].cold, Some(Cause::Connection));
    assert_eq!(scheduler.status(now).backends[0].limit, 1);
}

/// Guards against a failed server that attracts requests: one that fails each request at once would
/// always be the least loaded.
#[test]
fn a_failed_server_gets_nothing_until_it_reports_again() {
    let now = Instant::now();
    let mut scheduler = scheduler(&document(1, 2, 4), now);
    let b0 = name::Backend::new("b0");
    scheduler.record_load(&b0, load(1, 0), now);
    (0..6).for_each(|ticket| scheduler.enqueue(entry(ticket, "desk", "w1"), now));
    let granted = permits(scheduler.poll(now));
    assert_eq!(granted.len(), 2);
    for (_, permit) in &granted {
        scheduler.release(&release(permit, End::BackendFailed, 1), now);
    }
    let later = now + ms(900);
    assert!(scheduler.poll(later).is_empty());
    scheduler.record_unreachable(&b0, later);
    assert!(scheduler.poll(later + ms(900)).is_empty(), "no load report either");
    scheduler.record_load(&b0, load(2, 0), later + ms(900));
    assert_eq!(permits(scheduler.poll(later + ms(900))).len(), 2);
    assert_eq!(scheduler.status(later).backends[0].cold, Some(Cause::Incarnation));
}

/// Guards against a leak: aborted requests must stop counting even if no load report arrives.
#[test]
fn aborted_requests_stop_counting_without_a_report() {
    let mut now = Instant::now();
    let mut scheduler = scheduler(&document(1, 4, 4), now);
    scheduler.record_load(&name::Backend::new("b0"), load(1, 0), now);
    for ticket in 0..20 {
        now += ms(1000);
        scheduler.enqueue(entry(ticket, "desk", "w1"), now);
        let granted = permits(scheduler.poll(now));
        assert_eq!(granted.len(), 1, "{ticket}");
        scheduler.release(&release(&granted[0].1, End::Cancelled, 10), now);
    }
}

/// Guards against a false cold start: long prompts take longer on any server, and several in a row
/// must not count as drift.
#[test]
fn long_prompts_do_not_make_a_server_cold() {
    let mut now = Instant::now();
    let mut scheduler = scheduler(&document(1, 1, 2), now);
    let classes = [("draft", 600, 9), ("desk", 50, 100), ("draft", 600, 10)];
    let runs = classes
        .iter()
        .flat_map(|(class, first_ms, count)| std::iter::repeat_n((*class, *first_ms), *count));
    for (ticket, (class, first_ms)) in runs.enumerate() {
        scheduler.enqueue(entry(ticket as u64, class, "w1"), now);
        let granted = permits(scheduler.poll(now));
        now += ms(first_ms + 100);
        let end = release(&granted[0].1, End::Completed, first_ms + 100);
        scheduler.release(&Release { first_token_ms: Some(first_ms), ..end }, now);
        let cold = scheduler.status(now).backends[0].cold;
        assert_ne!(cold, Some(Cause::FirstToken), "{ticket}");
    }
}
