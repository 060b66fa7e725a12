//! Responses: complete, streamed, resumed and run again.

mod bench;

use bench::{
    Bench, Call,
    engine::{Behavior, Fleet, booked, expected},
    key,
};
use hyssop_caller::permits::Decision;
use hyssop_policy::decision::{Reason, Refusal};

#[tokio::test(start_paused = true)]
async fn a_complete_response_is_what_the_engine_generated() {
    let bench = Bench::new(Fleet::new(2));
    let call = Call::draft("whole");
    let reply = bench.send(call.clone()).await;
    assert_eq!((reply.status, reply.outcome.as_str()), (200, "answered"));
    assert_eq!(reply.text(), expected(&call.body));
    assert_eq!(reply.json()["usage"]["completion_tokens"], 12);
    assert_eq!(reply.json()["choices"][0]["finish_reason"], "stop");
}

#[tokio::test(start_paused = true)]
async fn an_event_stream_has_every_token_and_its_end_mark() {
    let bench = Bench::new(Fleet::new(2));
    let call = Call::draft("stream").stream();
    let reply = bench.send(call.clone()).await;
    assert_eq!(reply.text(), expected(&call.body));
    assert!(reply.body.ends_with("data: [DONE]\n\n"));
    assert!(!reply.body.contains("usage"), "the caller did not ask for the count");
}

#[tokio::test(start_paused = true)]
async fn a_response_of_a_plain_service_is_returned() {
    let bench = Bench::new(Fleet::new(1));
    let reply = bench.send(Call::booking("m7").key(key(1, "a"))).await;
    assert_eq!((reply.status, reply.body.as_str()), (200, booked("m7").as_str()));
}

#[tokio::test(start_paused = true)]
async fn a_503_of_a_service_is_forwarded_and_reported_to_the_scheduler() {
    let bench = Bench::new(Fleet::new(1));
    bench.fleet.inject(Behavior::Unavailable);
    let reply = bench.send(Call::booking("m7").key(key(1, "a"))).await;
    assert_eq!((reply.status, reply.outcome.as_str()), (503, "answered"));
    bench.home.drain().await;
    assert_eq!(bench.permits.released.lock()[0].end, hyssop_policy::permit::End::Refused503);
}

#[tokio::test(start_paused = true)]
async fn an_interrupted_response_is_resumed_at_the_same_engine() {
    let bench = Bench::new(Fleet::new(2));
    bench.fleet.inject(Behavior::Interrupt(5));
    let call = Call::draft("resume").stream();
    let reply = bench.send(call.clone()).await;
    assert_eq!(reply.text(), expected(&call.body));
    assert_eq!(bench.fleet.runs(), 1, "a resumed attempt is not run again");
}

#[tokio::test(start_paused = true)]
async fn a_response_that_cannot_be_resumed_continues_from_a_second_run() {
    for call in [Call::draft("again"), Call::draft("again").stream()] {
        let bench = Bench::new(Fleet::new(2));
        bench.fleet.inject(Behavior::Timeout(5));
        bench.fleet.servers[1].behaviors.lock().clear();
        let reply = bench.send(call.clone()).await;
        assert_eq!(reply.text(), expected(&call.body));
        assert_eq!(bench.fleet.runs(), 2);
        let measure = bench.measurements.0.lock()[0].clone();
        assert_eq!((measure.attempts, measure.wasted_tokens.0, measure.tokens.0), (2, 5, 12));
    }
}

#[tokio::test(start_paused = true)]
async fn a_differing_second_run_is_not_appended_to_delivered_chunks() {
    let bench = Bench::new(Fleet::new(2));
    bench.fleet.servers[0].behaviors.lock().push_back(Behavior::Timeout(5));
    bench.fleet.servers[1].behaviors.lock().push_back(Behavior::Diverge(3));
    let reply = bench.send(Call::draft("splice").stream()).await;
    assert!(!reply.text().contains("other"));
    assert!(!reply.body.contains("[DONE]"));
    let (_, error) = reply.body.split_once("event: error\ndata: ").unwrap();
    let error: serde_json::Value = serde_json::from_str(error.trim()).unwrap();
    assert_eq!(error["reason"], "answer_changed");
    assert_eq!(error["ran"], "may_have_run");
}

#[tokio::test(start_paused = true)]
async fn an_undelivered_response_may_come_from_a_differing_second_run() {
    let bench = Bench::new(Fleet::new(2));
    bench.fleet.servers[0].behaviors.lock().push_back(Behavior::Timeout(5));
    bench.fleet.servers[1].behaviors.lock().push_back(Behavior::Diverge(3));
    let reply = bench.send(Call::draft("second")).await;
    assert_eq!(reply.text().matches("other").count(), 10);
}

#[tokio::test(start_paused = true)]
async fn an_error_status_of_an_engine_is_forwarded() {
    for call in [Call::draft("bad"), Call::draft("bad").stream()] {
        let bench = Bench::new(Fleet::new(1));
        bench.fleet.inject(Behavior::Status(400));
        let reply = bench.send(call).await;
        assert_eq!((reply.status, reply.outcome.as_str()), (400, "answered"));
        assert_eq!(reply.body, "{\"error\":1}");
    }
}

#[tokio::test(start_paused = true)]
async fn overload_is_retried_within_the_budget_only() {
    let bench = Bench::new(Fleet::new(2));
    bench.fleet.inject(Behavior::Overloaded);
    let reply = bench.send(Call::draft("busy")).await;
    assert_eq!(reply.status, 200);
    const REQUESTS: u64 = 60;
    for _ in 0..REQUESTS {
        for _ in 0..5 {
            bench.fleet.inject(Behavior::Overloaded);
        }
        let reply = bench.send(Call::draft("busy")).await;
        assert_ne!(reply.ran(), "not_run");
    }
    let granted = bench.permits.granted.load(std::sync::atomic::Ordering::SeqCst);
    assert!(granted <= 2 + REQUESTS + 64, "{granted} permits with a budget of 64");
}

#[tokio::test(start_paused = true)]
async fn no_retry_while_the_pool_sheds_load() {
    let bench = Bench::new(Fleet::new(2));
    let refusal = Refusal { reason: Reason::QueueFull, retry_after_ms: 100 };
    bench.permits.scripted.lock().push(Decision::Refused(refusal));
    assert_eq!(bench.send(Call::draft("shed")).await.reason(), "queue_full");
    bench.fleet.inject(Behavior::Overloaded);
    let reply = bench.send(Call::draft("busy")).await;
    assert_eq!((reply.reason().as_str(), reply.ran().as_str()), ("retry_budget", "may_have_run"));
}

#[tokio::test(start_paused = true)]
async fn every_permit_is_released_once() {
    let bench = Bench::new(Fleet::new(2));
    bench.permits.stale.store(1, std::sync::atomic::Ordering::SeqCst);
    for behavior in [
        Behavior::Interrupt(2),
        Behavior::Timeout(3),
        Behavior::Overloaded,
        Behavior::Crash(1),
        Behavior::Respond,
    ] {
        bench.fleet.inject(behavior);
        bench.send(Call::draft("permits")).await;
    }
    let granted = bench.permits.granted.load(std::sync::atomic::Ordering::SeqCst);
    let mut released: Vec<_> = bench.permits.released.lock().iter().map(|r| r.id.number).collect();
    released.sort_unstable();
    assert_eq!(released, (0..granted).collect::<Vec<_>>());
}

#[tokio::test(start_paused = true)]
async fn a_request_is_cancelled_at_the_engine_when_its_caller_leaves() {
    let mut fleet = Fleet::build(1);
    fleet.chunk_interval = std::time::Duration::from_millis(5);
    let bench = Bench::new(std::sync::Arc::new(fleet));
    let sent = tokio::time::timeout(
        std::time::Duration::from_millis(20),
        bench.send(Call::draft("leave")),
    );
    assert!(sent.await.is_err());
    bench.home.drain().await;
    let executions = bench.fleet.executions.lock().clone();
    assert!(executions[0].cancelled);
    let released = bench.permits.released.lock()[0];
    assert_eq!(released.end, hyssop_policy::permit::End::Cancelled);
}

#[tokio::test(start_paused = true)]
async fn a_hung_engine_times_out_early_enough_for_another_attempt() {
    let clock = std::sync::Arc::new(bench::Simulated);
    let bench = Bench::with(1, Fleet::new(2), Default::default(), Default::default(), |builder| {
        builder.clock(clock)
    });
    bench.fleet.servers[0].behaviors.lock().push_back(Behavior::Hang);
    let call = Call::draft("hung");
    assert_eq!(bench.send(call.clone()).await.text(), expected(&call.body));
    assert!(bench.measurements.0.lock()[0].elapsed < std::time::Duration::from_secs(20));
}
