//! Backend servers that are silent while requests wait for them, and the attempts to connect that
//! examine them.

mod local;

use std::time::{Duration, Instant};

use hyssop_document::name::Backend;
use hyssop_policy::local::{
    decider::{Decider, Decision, End},
    demand::Demand,
    server::{Load, SendId, Server},
    silence::Contact,
};
use local::*;

const SILENT_TIME: Duration = Duration::from_secs(10);
/// How long after the moment at which it should have sent something a silent server is left.
const LEFT_WITHIN: Duration = Duration::from_millis(250);
/// How often servers are examined.
const TICK: Duration = Duration::from_millis(100);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn silent_for(silent_for: Duration) -> Contact {
    Contact { silent_for, sent_nothing_for: silent_for, usual_gap: Duration::ZERO }
}

/// Sends a request to the only server that is not excluded. Returns its id and the predicted time to
/// its first event.
fn send_to(
    decider: &mut Decider,
    servers: &[Server],
    index: usize,
    now: Instant,
) -> (SendId, Duration) {
    let others = servers.iter().enumerate().filter(|(other, _)| *other != index);
    let excluded = others.map(|(_, server)| server.name.clone()).collect();
    let demand = Demand { excluded, ..prefill_heavy(1, now) };
    let placement = expect_send(&decider.place_request(&demand, now)).clone();
    (decider.record_sent(&placement, &demand, now), placement.predicted)
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
    let predicted = (0..8).map(|index| send_to(&mut decider, &servers, index, now).1);
    let expected = now + predicted.max().expect("eight servers");
    let silent: Vec<Backend> = servers[..5].iter().map(|server| server.name.clone()).collect();
    let contact = |server: &Backend| {
        silent_for(if silent.contains(server) { SILENT_TIME } else { Duration::ZERO })
    };
    assert!(decider.begin_examinations(contact, now).is_empty(), "no request has waited");

    let at = expected + LEFT_WITHIN - TICK;
    let mut due = decider.begin_examinations(contact, at);
    due.sort_unstable();
    assert_eq!(due, silent);
    assert!(decider.begin_examinations(contact, at).is_empty(), "they are under way");
    assert!(chosen(&mut decider, at).iter().all(|server| !silent.contains(server)));

    for server in &silent {
        decider.record_examined(server, false, at);
    }
    let after_backoff = at + Duration::from_millis(350);
    let chosen_later = chosen(&mut decider, after_backoff);
    assert!(chosen_later.iter().all(|server| !silent.contains(server)), "{chosen_later:?}");
    let mut due = decider.begin_examinations(|_| Contact::default(), after_backoff);
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
    assert_eq!(decider.begin_examinations(|_| silent_for(SILENT_TIME), at), [service(0).name]);
    assert!(matches!(decider.place_request(&plain_request(at), at), Decision::Send(_)));
}

/// All servers fall silent at once, at any time between two examinations.
#[test]
fn silent_servers_are_left_in_time_even_if_all_are_silent() {
    for phase_ms in (0..100).step_by(10) {
        let now = Instant::now();
        let mut decider = decider("a");
        let servers: Vec<Server> = (0..8).map(engine).collect();
        decider.set_servers(servers.clone());
        let busy = Load { pending_tokens: 20_000, running: 1, ..Load::default() };
        decider.record_peer(PEER, &[(servers[0].hash, busy, Duration::ZERO)], now);
        let mut unheard: Vec<(Backend, Instant)> = (0..8)
            .map(|index| {
                let (_, predicted) = send_to(&mut decider, &servers, index, now);
                (servers[index].name.clone(), now + predicted)
            })
            .collect();
        let mut at = now + ms(phase_ms);
        while !unheard.is_empty() {
            let due = decider.begin_examinations(|_| silent_for(at - now), at);
            unheard.retain(|(server, expected)| {
                assert!(at <= *expected + LEFT_WITHIN, "{server} at {:?}", at - now);
                assert!(!due.contains(server) || at > *expected, "{server} too early");
                !due.contains(server)
            });
            at += TICK;
        }
    }
}

/// Thirty first events that are later than predicted come at once, and the prediction rises to several
/// times what the server takes.
#[test]
fn a_silent_server_is_left_in_time_after_predictions_overshoot() {
    const ACTUAL: Duration = Duration::from_millis(150);
    let now = Instant::now();
    let mut decider = decider("a");
    let servers = vec![engine(0)];
    decider.set_servers(servers.clone());
    let place = |decider: &mut Decider, now| {
        let demand = Demand { prompt_tokens: 100, segments: Vec::new(), ..prefill_heavy(1, now) };
        let demand = Demand { target: Duration::from_secs(1), ..demand };
        let placement = expect_send(&decider.place_request(&demand, now)).clone();
        (decider.record_sent(&placement, &demand, now), placement.predicted)
    };
    let sent: Vec<SendId> = (0..30).map(|_| place(&mut decider, now).0).collect();
    for send_id in sent {
        decider.record_first_event(&servers[0].name, send_id, now + ACTUAL);
        decider.record_end(&servers[0].name, send_id, End::Complete, now + ACTUAL);
    }
    let sent_at = now + ms(200);
    let (_, predicted) = place(&mut decider, sent_at);
    assert!(predicted > ACTUAL * 5 / 2, "predicted {predicted:?}");
    let silence = ACTUAL * 2 + LEFT_WITHIN - TICK;
    let due = decider.begin_examinations(|_| silent_for(silence), sent_at + silence);
    assert_eq!(due, [servers[0].name.clone()]);
}

/// A stream that has begun and then pauses for longer than usual.
#[test]
fn a_server_is_left_in_the_middle_of_a_stream() {
    let now = Instant::now();
    let mut decider = decider("a");
    let servers = vec![engine(0)];
    decider.set_servers(servers.clone());
    let (send_id, predicted) = send_to(&mut decider, &servers, 0, now);
    let begun = now + predicted;
    decider.record_first_event(&servers[0].name, send_id, begun);
    let usual_gap = ms(400);
    let mut due = |pause| {
        let contact = |_: &Backend| Contact { usual_gap, ..silent_for(pause) };
        !decider.begin_examinations(contact, begun + pause).is_empty()
    };
    assert!(!due(usual_gap + ms(50)));
    assert!(due(usual_gap + LEFT_WITHIN - TICK));
}

/// An engine that works longer than predicted accepts connections. Each attempt costs it one.
#[test]
fn late_servers_that_accept_connections_are_examined_ever_more_seldom() {
    let now = Instant::now();
    let mut decider = decider("a");
    let servers = vec![engine(0)];
    decider.set_servers(servers.clone());
    send_to(&mut decider, &servers, 0, now);
    let mut accepted = now;
    let mut examinations = 0;
    for tick in 0..50 {
        let at = now + TICK * tick;
        let contact = Contact { silent_for: at - accepted, ..silent_for(at - now) };
        if !decider.begin_examinations(|_| contact, at).is_empty() {
            decider.record_examined(&servers[0].name, true, at);
            accepted = at;
            examinations += 1;
        }
    }
    assert!((3..=6).contains(&examinations), "{examinations} examinations in 5 s");
}

/// A request to a busy engine, and when each part of its response arrives.
struct Exchange {
    server: Backend,
    send_id: SendId,
    parts: Vec<Instant>,
}

/// Engines that send their first events as predicted, 250 ms to 2 s after the request, and the rest of
/// the stream at their usual pace. Examinations of such engines took two thirds of all connections.
#[test]
fn busy_engines_that_respond_as_predicted_are_not_examined() {
    const USUAL_GAP: Duration = Duration::from_millis(40);
    let start = Instant::now();
    let mut decider = decider("a");
    let servers: Vec<Server> = (0..30).map(engine).collect();
    decider.set_servers(servers.clone());
    let mut exchanges: Vec<Exchange> = Vec::new();
    let mut heard = vec![start; servers.len()];
    let mut predictions = Vec::new();
    for step in 0..1_000_u32 {
        let now = start + ms(10) * step;
        let loads = servers.iter().enumerate().map(|(index, server)| {
            let pending_tokens = 10_000 + 4_500 * index as u32;
            (server.hash, Load { pending_tokens, running: 4, ..Load::default() }, Duration::ZERO)
        });
        decider.record_peer(PEER, &loads.collect::<Vec<_>>(), now);
        if step.is_multiple_of(5) {
            let index = (step / 5) as usize % servers.len();
            let others = servers.iter().filter(|server| server.name != servers[index].name);
            let demand = Demand {
                excluded: others.map(|server| server.name.clone()).collect(),
                target: Duration::from_secs(2),
                ..prefill_heavy(u64::from(step), now)
            };
            let placement = expect_send(&decider.place_request(&demand, now)).clone();
            predictions.push(placement.predicted);
            let first = now + placement.predicted;
            exchanges.push(Exchange {
                server: placement.server.clone(),
                send_id: decider.record_sent(&placement, &demand, now),
                parts: (0..9).rev().map(|part| first + USUAL_GAP * part).collect(),
            });
        }
        exchanges.retain_mut(|Exchange { server, send_id, parts }| {
            while parts.pop_if(|at| *at <= now).is_some() {
                let index = servers.iter().position(|other| other.name == *server);
                heard[index.expect("a known server")] = now;
                decider.record_first_event(server, *send_id, now);
            }
            if parts.is_empty() {
                decider.record_end(server, *send_id, End::Complete, now);
            }
            !parts.is_empty()
        });
        if step.is_multiple_of(10) {
            let contact = |server: &Backend| {
                let index = servers.iter().position(|other| other.name == *server);
                let silent = now - heard[index.expect("a known server")];
                Contact { usual_gap: USUAL_GAP, ..silent_for(silent) }
            };
            let due = decider.begin_examinations(contact, now);
            assert!(due.is_empty(), "{due:?} after {:?}", now - start);
        }
    }
    let (least, most) = (predictions.iter().min(), predictions.iter().max());
    let (least, most) = (*least.expect("some"), *most.expect("some"));
    assert!(least < ms(400) && most > ms(1_500), "predicted {least:?} to {most:?}");
}
