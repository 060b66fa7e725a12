//! Backend servers that are silent while requests wait for them, and the attempts to connect that
//! examine them.

mod local;

use std::time::{Duration, Instant};

use hyssop_document::name::Backend;
use hyssop_policy::local::{
    decider::{Decider, Decision},
    demand::Demand,
    server::Server,
};
use local::*;

const SILENT_TIME: Duration = Duration::from_secs(1);

/// Sends a request to the only server that is not excluded.
fn send_to(decider: &mut Decider, servers: &[Server], index: usize, now: Instant) {
    let others = servers.iter().enumerate().filter(|(other, _)| *other != index);
    let excluded = others.map(|(_, server)| server.name.clone()).collect();
    let demand = Demand { excluded, ..prefill_heavy(1, now) };
    let placement = expect_send(&decider.place_request(&demand, now)).clone();
    decider.record_sent(&placement, &demand, now);
}

fn chosen(decider: &mut Decider, now: Instant) -> Vec<Backend> {
    let choices = (0..40).map(|prefix| decider.place_request(&prefill_heavy(prefix, now), now));
    choices.map(|decision| expect_send(&decision).server.clone()).collect()
}

/// Five of eight servers fall silent, far more than are left out for other signs of trouble.
#[test]
fn silent_servers_are_avoided_until_they_accept_a_connection() {
    let now = Instant::now();
    let mut decider = decider("a");
    let servers: Vec<Server> = (0..8).map(engine).collect();
    decider.set_servers(servers.clone());
    for index in 0..8 {
        send_to(&mut decider, &servers, index, now);
    }
    let silent: Vec<Backend> = servers[..5].iter().map(|server| server.name.clone()).collect();
    let silent_for =
        |server: &Backend| if silent.contains(server) { SILENT_TIME } else { Duration::ZERO };
    assert!(decider.begin_examinations(silent_for, now).is_empty(), "no request has waited");

    let at = now + Duration::from_millis(300);
    let mut due = decider.begin_examinations(silent_for, at);
    due.sort_unstable();
    assert_eq!(due, silent);
    assert!(decider.begin_examinations(silent_for, at).is_empty(), "they are under way");
    assert!(chosen(&mut decider, at).iter().all(|server| !silent.contains(server)));

    for server in &silent {
        decider.record_examined(server, false, at);
    }
    let after_backoff = at + Duration::from_millis(350);
    let chosen_later = chosen(&mut decider, after_backoff);
    assert!(chosen_later.iter().all(|server| !silent.contains(server)), "{chosen_later:?}");
    let mut due = decider.begin_examinations(|_| Duration::ZERO, after_backoff);
    due.sort_unstable();
    assert_eq!(due, silent, "the failed attempts are repeated");
    decider.record_examined(&silent[0], true, after_backoff);
    let demand = Demand {
        excluded: servers[1..].iter().map(|server| server.name.clone()).collect(),
        ..prefill_heavy(1, after_backoff)
    };
    // Its backoff has ended too.
    assert_eq!(expect_send(&decider.place_request(&demand, after_backoff)).server, silent[0]);
}

/// All servers of a pool are slow: none is left that could be chosen instead.
#[test]
fn examined_servers_get_requests_if_there_are_no_others() {
    let now = Instant::now();
    let mut decider = decider("a");
    let servers = vec![service(0)];
    decider.set_servers(servers.clone());
    let demand = plain_request(now);
    let placement = expect_send(&decider.place_request(&demand, now)).clone();
    decider.record_sent(&placement, &demand, now);
    let at = now + Duration::from_millis(300);
    assert_eq!(decider.begin_examinations(|_| SILENT_TIME, at), [service(0).name]);
    assert!(matches!(decider.place_request(&plain_request(at), at), Decision::Send(_)));
}
