//! During a burst and the loss of a scheduler, no request is shed while requests of a lower tier
//! wait anywhere in the fleet.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]
#![allow(clippy::print_stderr, reason = "a test prints its figures")]

mod support;

use std::{path::PathBuf, time::Duration};

use hyssop_document::{
    model::{Class, Pool},
    name,
    number::Percent,
};
use hyssop_fakes::{
    cluster::Builder,
    engine,
    history::{Ended, Event, Outcome, Sent},
    load::{ClassLoad, Schedule},
    record::Execution,
    shape::{self, Shape},
};
use support::{Outcomes, deployment_slot, scheduler_index, under_load};

const ENGINE_COUNT: usize = 4;
/// The decoding capacity of all engines: 8 sequences each, 32 ms per token.
const CAPACITY_TOKENS_PER_S: f64 = 1_000.0;
const RUN_SECONDS: u64 = 12;
/// The queue places reserved for each class.
const RESERVED_QUEUE_PLACES: usize = 1;
/// The longest transit time of a message.
const MAX_TRANSIT_MS: u64 = 150;

/// Two classes of upper tiers whose load fits the capacity, and a lower one whose burst exceeds it.
fn deployment() -> Shape {
    let floor = |class: Class, percent| Class { floor_percent: Percent(percent), ..class };
    Shape::new("tiers", 2)
        .class(floor(shape::class("question", 1, 2_000, 6_000), 5))
        .class(floor(shape::class("letter", 3, 3_000, 8_000), 5))
        .class(floor(shape::class("draft", 6, 4_000, 10_000), 10))
        .pool(Pool { queue_limit: 40, ..shape::model("model", 8) }, ENGINE_COUNT)
        .workspace("gramado", 1)
        .workspace("lages", 3)
}

fn mix(class: &str, per_s: f64, tokens: (u64, u64), deadline_ms: u64) -> ClassLoad {
    ClassLoad {
        class: name::Class::new(class),
        pool: name::Pool::new("model"),
        call: false,
        idempotent: true,
        per_s,
        burst: None,
        tokens,
        words: 10,
        deadline_ms,
    }
}

/// Questions and letters use a fifth of the capacity each, drafts in their burst three times all of
/// it.
fn source() -> Schedule {
    let burst = Some((Duration::from_secs(2), Duration::from_secs(10), 10.0));
    let mixes = [
        mix("question", 20.0, (6, 14), 6_000),
        mix("letter", 10.0, (10, 30), 8_000),
        ClassLoad { burst, ..mix("draft", 7.0, (30, 60), 10_000) },
    ];
    let workspaces = [(name::Workspace::new("gramado"), 1), (name::Workspace::new("lages"), 3)];
    Schedule::generate(11, Duration::from_secs(RUN_SECONDS), &mixes, &workspaces)
}

/// The attempts of a class that have ended, with their ends.
fn ended_attempts<'a>(events: &'a [Event], class: &str) -> Vec<(&'a Sent, &'a Ended)> {
    let sent = events.iter().filter_map(|event| match event {
        Event::Sent(sent) if sent.class.as_str() == class => Some(sent),
        _ => None,
    });
    let end = |sent: &Sent| {
        events.iter().find_map(|event| match event {
            Event::Ended(end) if (end.request, end.attempt) == (sent.request, sent.attempt) => {
                Some(end)
            }
            _ => None,
        })
    };
    sent.filter_map(|sent| Some((sent, end(sent)?))).collect()
}

/// Whether an attempt was shed: refused, or given up after an earlier attempt under the same key.
fn is_shed(end: &Ended) -> bool {
    const REASONS: [&str; 3] = ["queue_full", "deadline", "no_backend"];
    let given_up = matches!(end.outcome, Outcome::Refused | Outcome::Unknown);
    given_up && REASONS.iter().any(|reason| end.reason.contains(reason))
}

/// The numbers of the requests that were waiting at `at_ms`: sent before, and neither arrived at an
/// engine nor ended, each with a tolerance of [`MAX_TRANSIT_MS`].
fn waiting_requests(
    attempts: &[(&Sent, &Ended)],
    executions: &[&Execution],
    at_ms: u64,
) -> Vec<u64> {
    let waiting = |(sent, end): &&(&Sent, &Ended)| {
        let around = sent.at_ms + MAX_TRANSIT_MS < at_ms && end.at_ms > at_ms + MAX_TRANSIT_MS;
        // A resent request may have joined an execution that an earlier attempt started.
        let reached = executions.iter().any(|execution| {
            let live = execution.ended_ms.is_none_or(|ended_ms| ended_ms >= sent.at_ms);
            let same_request = execution.content == sent.content && live;
            same_request && execution.arrived_ms <= at_ms + MAX_TRANSIT_MS
        });
        around && !reached
    };
    attempts.iter().filter(waiting).map(|(sent, _)| sent.request).collect()
}

/// One line for each attempt that was shed while more requests of a lower class were waiting than
/// that class has reserved places for.
fn shed_before_lower(class: &str, lower: &[&str], outcomes: &Outcomes) -> Vec<String> {
    let executions: Vec<_> =
        outcomes.records.iter().flat_map(|record| &record.executions).collect();
    let mut lines = Vec::new();
    for (sent, end) in
        ended_attempts(&outcomes.events, class).into_iter().filter(|(_, end)| is_shed(end))
    {
        for lower in lower {
            let waiting =
                waiting_requests(&ended_attempts(&outcomes.events, lower), &executions, end.at_ms);
            if waiting.len() > RESERVED_QUEUE_PLACES {
                let (request, reason) = (sent.request, &end.reason);
                lines.push(format!(
                    "{class} {request} shed ({reason}), {lower} {waiting:?} waiting"
                ));
            }
        }
    }
    lines
}

#[tokio::test(flavor = "multi_thread")]
async fn no_higher_tier_is_shed_for_a_lower_one_when_a_scheduler_crashes_in_a_burst() {
    let _slot = deployment_slot().await;
    let slow_engine = engine::Settings {
        step_us: 28_000,
        step_per_sequence_us: 500,
        max_batch: 8,
        ..engine::Settings::default()
    };
    let node = PathBuf::from(env!("CARGO_BIN_EXE_node"));
    let mut cluster = Builder::new(node, deployment()).engine(slow_engine).start().await.unwrap();
    let victim = scheduler_index(&cluster, "model").await;
    let outcomes = under_load(&mut cluster, &source(), async |cluster| {
        tokio::time::sleep(Duration::from_secs(5)).await;
        cluster.daemons[victim].kill();
        tokio::time::sleep(Duration::from_secs(2)).await;
        cluster.restart(victim).await.unwrap();
    })
    .await;
    outcomes.print("tiers");
    let [question, letter, draft] =
        ["question", "letter", "draft"].map(|class| ended_attempts(&outcomes.events, class));
    let shed =
        |attempts: &[(&Sent, &Ended)]| attempts.iter().filter(|(_, end)| is_shed(end)).count();
    eprintln!("tiers: shed {} {} {}", shed(&question), shed(&letter), shed(&draft));
    assert!(shed(&draft) > 0, "no draft was shed: the burst fits the capacity");
    let mut violations = shed_before_lower("question", &["letter", "draft"], &outcomes);
    violations.extend(shed_before_lower("letter", &["draft"], &outcomes));
    assert_eq!(violations, Vec::<String>::new());
    let tokens: u64 = draft.iter().map(|(_, end)| end.tokens.0).sum();
    let floor = 0.1 * CAPACITY_TOKENS_PER_S * RUN_SECONDS as f64;
    eprintln!("tiers: {tokens} tokens of drafts answered, floor {floor}");
    assert!(tokens as f64 >= floor, "drafts got {tokens} tokens, their floor is {floor}");
    outcomes.check(&cluster);
}
