//! Snapshots of decisions, and round trips of the messages between daemons.

mod common;

use std::{fmt::Write as _, time::Instant};

use common::{document, entry, load, ms, release, scheduler};
use expect_test::expect;
use hyssop_document::{name, number::Tokens};
use hyssop_policy::{
    decision::Decision,
    entry::Entry,
    permit::{End, LimitHint, Permit, Release},
    status::Status,
};

fn log(text: &mut String, decisions: &[Decision]) {
    for decision in decisions {
        match decision {
            Decision::Grant { ticket, permit } => {
                writeln!(text, "{ticket} granted {} limit {}", permit.backend, permit.limit)
            }
            Decision::Refuse { ticket, refusal } => {
                writeln!(text, "{ticket} refused {}", refusal.reason)
            }
        }
        .expect("writing to a string succeeds");
    }
}

/// Two slots, a queue limit of five, and requests of three tiers from two workspaces.
fn burst() -> String {
    let mut now = Instant::now();
    let mut document = document(2, 1, 1);
    document.pools[0].queue_limit = 5;
    let mut scheduler = scheduler(&document, now);
    let mut text = String::new();
    let mut running: Vec<Permit> = Vec::new();
    for ticket in 0..18 {
        let class = ["bulk", "draft", "desk"][ticket as usize / 6];
        let workspace = ["w1", "w1", "w2"][ticket as usize % 3];
        scheduler.enqueue(entry(ticket, class, workspace), now);
        let decisions = scheduler.poll(now);
        log(&mut text, &decisions);
        running.extend(common::permits(decisions).into_iter().map(|(_, permit)| permit));
    }
    writeln!(text, "full").expect("writing to a string succeeds");
    for _ in 0..5 {
        now += ms(500);
        for permit in running.drain(..) {
            scheduler.release(&release(&permit, End::Completed, 500), now);
        }
        let decisions = scheduler.poll(now);
        log(&mut text, &decisions);
        running.extend(common::permits(decisions).into_iter().map(|(_, permit)| permit));
        scheduler.record_load(&name::Backend::new("b0"), load(1, 0), now);
    }
    text
}

#[test]
fn a_burst_over_three_tiers() {
    let text = burst();
    expect![[r#"
        0 granted b0 limit 1
        1 granted b1 limit 1
        5 refused queue_full
        4 refused queue_full
        2 refused queue_full
        10 refused queue_full
        9 refused queue_full
        11 refused queue_full
        7 refused queue_full
        8 refused queue_full
        full
        12 granted b0 limit 1
        6 granted b1 limit 1
        14 granted b0 limit 1
        13 granted b1 limit 1
        15 granted b0 limit 1
        17 granted b1 limit 1
        16 granted b0 limit 1
        3 granted b1 limit 1
    "#]]
    .assert_eq(&text);
}

#[test]
fn wire_types_round_trip_through_postcard() {
    fn assert_round_trip<T>(value: &T)
    where
        T: serde::Serialize + serde::de::DeserializeOwned + PartialEq + std::fmt::Debug,
    {
        let bytes = postcard::to_stdvec(value).expect("the value is serializable");
        assert_eq!(&postcard::from_bytes::<T>(&bytes).expect("the value comes back"), value);
    }
    let now = Instant::now();
    let mut scheduler = scheduler(&document(2, 1, 4), now);
    let entry = Entry {
        prefix: Some(7),
        exclude: vec![name::Backend::new("b0")],
        ..entry(1, "desk", "w1")
    };
    assert_round_trip(&entry);
    scheduler.enqueue(entry, now);
    scheduler.enqueue(common::entry(2, "none", "w1"), now);
    let decisions = scheduler.poll(now);
    assert_eq!(decisions.len(), 2);
    decisions.iter().for_each(assert_round_trip);
    let permit = &common::permits(decisions)[0].1;
    assert_round_trip::<Release>(&release(permit, End::BackendFailed, 10));
    assert_round_trip(&LimitHint {
        backend: permit.backend.clone(),
        backend_incarnation: 3,
        limit: permit.limit,
        age_ms: 5,
    });
    assert_round_trip(&load(1, 2));
    assert_round_trip::<Status>(&scheduler.status(now));
    scheduler.record_progress(permit.id, Tokens(3), now);
}
