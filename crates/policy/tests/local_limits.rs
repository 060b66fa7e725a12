//! Limits that backend servers name on the requests of all daemons together.

mod local;

use std::time::{Duration, Instant};

use hyssop_policy::local::{
    decider::{Decider, Decision, End, Reason, Settings},
    holders::Membership,
    limit::{Rate, Report},
};
use local::*;

/// A daemon that sends more requests than this at a time is not limited.
const UNLIMITED: usize = 5;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn rate(text: &str) -> Option<Rate> {
    Some(text.parse().expect("a rate"))
}

/// A decider of one daemon among `members`, with one server of a plain service.
fn decider_of(members: Vec<u32>) -> Decider {
    let mut decider = decider("a");
    decider.set_members(members, Membership::Converged);
    decider.set_servers(vec![service(0)]);
    decider
}

/// Sends requests until one is refused, and returns how many were sent. All are responded to then.
fn send_until_refused(decider: &mut Decider, at: Instant) -> usize {
    let mut sent = Vec::new();
    let reason = loop {
        let demand = plain_request(at);
        match decider.place_request(&demand, at) {
            Decision::Send(placement) => sent.push(decider.record_sent(&placement, &demand, at)),
            Decision::Refuse { reason, .. } => break reason,
        }
    };
    let is_full = matches!(reason, Reason::Connections | Reason::Overload);
    assert!(is_full || reason == Reason::Limited, "{reason}");
    let count = sent.len();
    for id in sent {
        decider.record_end(&service(0).name, id, End::Complete, at);
    }
    count
}

#[test]
fn a_share_is_saved_up_for_one_request_and_half_a_second() {
    let now = Instant::now();
    let mut decider = decider_of(vec![1]);
    assert!(decider.record_limit(&service(0).name, 1, rate("4"), now, now));
    assert!(!decider.record_limit(&service(0).name, 1, rate("4"), now, now), "known already");
    let sent = [0, 200, 250, 500, 10_000, 10_100]
        .map(|after| send_until_refused(&mut decider, now + ms(after)));
    assert_eq!(sent, [0, 0, 1, 1, 3, 0]);
}

#[test]
fn few_daemons_share_a_limit() {
    let now = Instant::now();
    for (limit, senders) in [("0", 2), ("0.9", 2), ("1", 3), ("5.9", 7), ("100", 40)] {
        let members: Vec<u32> = (1..=40).collect();
        let sending = members.iter().filter(|&&own| {
            let zone = service(0).zone;
            let settings = Settings {
                zone,
                own_hash: own,
                start: past_start(),
                cold: COLD,
                repeats: REPEATS,
                hedges: None,
                fair_shares: false,
                shared_speeds: false,
            };
            let mut decider = Decider::new(settings);
            decider.set_servers(vec![service(0)]);
            decider.set_members(members.clone(), Membership::Converged);
            decider.record_limit(&service(0).name, 1, rate(limit), now, now);
            send_until_refused(&mut decider, now + Duration::from_secs(20)) > 0
        });
        assert_eq!(sending.count(), senders, "a limit of {limit}");
    }
}

/// A daemon that does not know all members must not use a share that others use too.
#[test]
fn a_daemon_that_has_not_converged_has_no_share() {
    let now = Instant::now();
    let mut decider = decider_of(vec![1]);
    decider.record_limit(&service(0).name, 1, rate("10"), now, now);
    decider.set_members(vec![1], Membership::Partial);
    assert_eq!(send_until_refused(&mut decider, now + Duration::from_secs(50)), 0);
}

/// A response that was written before the server named its limit arrives after one that names it.
#[test]
fn a_limit_ends_only_with_a_response_to_a_later_request() {
    let now = Instant::now();
    let mut decider = decider_of(vec![1]);
    decider.record_limit(&service(0).name, 1, rate("1"), now, now + ms(10));
    assert!(!decider.record_limit(&service(0).name, 1, None, now + ms(5), now + ms(20)));
    assert_eq!(send_until_refused(&mut decider, now + ms(30)), 0);
    assert!(decider.record_limit(&service(0).name, 1, None, now + ms(30), now + ms(40)));
    assert!(send_until_refused(&mut decider, now + ms(50)) > UNLIMITED);
}

#[test]
fn peers_report_limits_and_their_ends() {
    let now = Instant::now();
    let (mut own, mut peer) = (decider_of(vec![1, 2]), decider_of(vec![1, 2]));
    own.record_limit(&service(0).name, 1, rate("3"), now, now);
    let reports: Vec<(u32, Report)> = own.limits(now + ms(50)).collect();
    let expected = Report { incarnation: 1, limit: rate("3"), age: ms(50) };
    assert_eq!(reports, [(service(0).hash, expected)]);
    let hash = service(0).hash;
    assert_eq!(peer.record_limit_of_peer(hash, &expected, now + ms(60)), Some(service(0).name));
    assert_eq!(peer.record_limit_of_peer(hash, &expected, now + ms(60)), None, "known already");
    assert_eq!(send_until_refused(&mut peer, now + ms(70)), 0);
    assert_eq!(peer.limits(now + ms(70)).count(), 0, "reports are not passed on");

    own.record_limit(&service(0).name, 1, None, now + ms(500), now + ms(510));
    let end = own.limits(now + ms(600)).next().expect("the end is reported");
    assert_eq!(peer.record_limit_of_peer(hash, &end.1, now + ms(600)), Some(service(0).name));
    assert!(send_until_refused(&mut peer, now + ms(610)) > UNLIMITED);
    // A report that arrives late looks more recent than the end, and is not repeated.
    peer.record_limit_of_peer(hash, &expected, now + ms(620));
    peer.expire_notices(|_| true, now + ms(5_700));
    assert!(send_until_refused(&mut peer, now + ms(5_700)) > UNLIMITED);
    assert_eq!(own.limits(now + Duration::from_secs(11)).count(), 0, "told for long enough");
}

#[test]
fn a_limit_belongs_to_an_incarnation() {
    let now = Instant::now();
    let mut decider = decider_of(vec![1]);
    decider.record_limit(&service(0).name, 1, rate("1"), now, now);
    let mut next = service(0);
    next.incarnation = 2;
    decider.set_servers(vec![next]);
    assert!(send_until_refused(&mut decider, now) > UNLIMITED);
    let late = Report { incarnation: 1, limit: rate("1"), age: ms(10) };
    assert_eq!(decider.record_limit_of_peer(service(0).hash, &late, now + ms(20)), None);
}

/// Senders that are gone, or that callers don't ask, can't find out that a limit has ended.
#[test]
fn each_daemon_tries_a_limit_of_which_nothing_is_heard() {
    let now = Instant::now();
    let members: Vec<u32> = (1..=20).collect();
    // Daemon 1 is not one of the senders of this server.
    let mut decider = decider_of(members);
    decider.record_limit(&service(0).name, 1, rate("0.5"), now, now);
    let after = |seconds| now + Duration::from_secs(seconds);
    let sent = [29, 100, 135, 250].map(|at| send_until_refused(&mut decider, after(at)));
    assert_eq!(sent, [0, 0, 1, 1]);
    decider.expire_notices(|_| true, after(600));
    assert!(send_until_refused(&mut decider, after(600)) > UNLIMITED);
}

#[test]
fn a_refusal_names_the_time_of_the_next_share() {
    let now = Instant::now();
    let mut decider = decider_of(vec![1]);
    decider.record_limit(&service(0).name, 1, rate("0.5"), now, now);
    let decision = decider.place_request(&plain_request(now), now);
    let Decision::Refuse { reason: Reason::Limited, retry_after, .. } = decision else {
        panic!("{decision:?}")
    };
    assert!((ms(2_000)..=ms(3_000)).contains(&retry_after), "{retry_after:?}");
}

#[test]
fn rates_are_numbers_of_requests() {
    for text in ["", "many", "-1", "NaN", "inf", "1,5", "1e99"] {
        assert!(text.parse::<Rate>().is_err(), "{text}");
    }
    assert_eq!(rate("5.9").map(|rate| rate.to_string()).as_deref(), Some("5.9"));
}
