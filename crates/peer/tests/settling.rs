//! Tests of the conditions under which a vote counts.

use std::time::{Duration, Instant};

use hyssop_document::{group::Group, name, number::Incarnation};
use hyssop_peer::{
    Process,
    rank::Key,
    timing::Timing,
    vote::{Electorate, Sequence, Tally, Vote},
};

const SETTLE_DELAY: Duration = Duration::from_millis(100);

#[test]
fn a_vote_counts_after_its_report_and_a_later_load_report() {
    let start = Instant::now();
    let key = Key::group(&Group { pool: name::Pool::new("m"), index: 0 });
    let voter = Process { host: name::Host::new("h2"), incarnation: Incarnation::new(1, 2) };
    let vote = Vote { key, epoch: 1 };
    let electorate: Electorate = [voter.host.clone()].into_iter().collect();
    let mut tally = Tally::new(&Timing::default());
    tally.record_sent(Sequence(1), start);
    tally.record_votes(&voter, Sequence(1), Some(Sequence(1)), &[vote], start);
    assert_eq!(tally.vote_count(key, &electorate, start), 1);

    let settled = |tally: &Tally, observed| {
        tally.settled_votes(key, &electorate, observed, SETTLE_DELAY, start + 2 * SETTLE_DELAY)
    };
    let late = Some(start + SETTLE_DELAY);
    assert_eq!(settled(&tally, late), 0, "the voter has not reported its permits");
    assert!(
        !tally.record_report(&voter, Vote { epoch: 0, ..vote }),
        "the report belongs to an older vote"
    );
    assert_eq!(settled(&tally, late), 0, "the report belongs to an older vote");
    assert!(tally.record_report(&voter, vote));
    assert_eq!(settled(&tally, None), 0, "no load report was received");
    let early = start + SETTLE_DELAY - Duration::from_millis(1);
    assert_eq!(settled(&tally, Some(early)), 0, "the load report may miss earlier permits");
    assert_eq!(settled(&tally, late), 1);
}
