//! The HTTP form of outcomes, and the documentation of their reasons.
#![allow(clippy::unwrap_used)]

mod bench;

use std::{sync::atomic::Ordering, time::Duration};

use bench::{
    Bench, Call, Reply,
    engine::{Behavior, Fleet},
    key, key_at,
};
use hyssop_caller::permits::Decision;
use hyssop_policy::decision::{Reason, Refusal};

fn show(name: &str, reply: &Reply) -> String {
    format!("{name}: {}\n  {}\n", reply.status, reply.body)
}

#[tokio::test(start_paused = true)]
async fn refused_requests_have_their_http_form() {
    let bench = Bench::new(Fleet::new(2));
    let mut shown = String::new();
    let draft = || Call::draft("x");
    let calls = [
        ("no bearer key", draft().set("authorization", "Basic x")),
        ("wrong bearer key", draft().set("authorization", "Bearer wrong")),
        ("wrong class", draft().set("request-class", "nobody")),
        ("wrong model", Call { body: draft().body.replace("model\",", "modal\","), ..draft() }),
        (
            "service as model",
            Call { body: draft().body.replace("\"model\",", "\"orders\","), ..draft() },
        ),
        ("body is no JSON", Call { body: "{".into(), ..draft() }),
        ("no prompt", Call { body: "{\"model\":\"model\"}".into(), ..draft() }),
        ("wrong path", Call { path: "/v2".into(), ..draft() }),
        ("wrong method", Call { path: "/v1/addresses".into(), ..draft() }),
        ("wrong preference", draft().set("prefer", "wait=soon")),
        ("no wait at all", draft().set("prefer", "wait=0")),
        ("booking without a key", Call::booking("m")),
        ("key malformed", Call::booking("m").key("x")),
        ("key in the future", Call::booking("m").key(key_at(1, 99_999_999_999_999, "a"))),
    ];
    for (name, call) in calls {
        shown += &show(name, &bench.send(call).await);
    }
    let refusal = Refusal { reason: Reason::QueueFull, retry_after_ms: 1500 };
    bench.permits.scripted.lock().push(Decision::Refused(refusal));
    shown += &show("queue full", &bench.send(draft()).await);
    let retry_after = Duration::from_millis(200);
    bench.permits.scripted.lock().push(Decision::NoScheduler { retry_after });
    shown += &show("no scheduler", &bench.send(draft()).await);
    bench.fleet.refuse_connections.store(true, Ordering::SeqCst);
    shown += &show("no backend server", &bench.send(draft()).await);
    assert_eq!(bench.fleet.runs(), 0, "a refused request does not run");
    expect_test::expect![[r#"
        no bearer key: 401
          {"outcome":"refused","ran":"not_run","reason":"unauthorized","message":"send Authorization: Bearer KEY","request_id":"r1"}
        wrong bearer key: 401
          {"outcome":"refused","ran":"not_run","reason":"unauthorized","message":"the bearer key belongs to no workspace","request_id":"r1"}
        wrong class: 400
          {"outcome":"refused","ran":"not_run","reason":"unknown_class","message":"the document has no such class","request_id":"r1"}
        wrong model: 404
          {"outcome":"refused","ran":"not_run","reason":"unknown_pool","message":"the document has no such model or service","request_id":"r1"}
        service as model: 404
          {"outcome":"refused","ran":"not_run","reason":"unknown_pool","message":"the document has no such model or service","request_id":"r1"}
        body is no JSON: 400
          {"outcome":"refused","ran":"not_run","reason":"malformed","message":"EOF while parsing an object at line 1 column 1","request_id":"r1"}
        no prompt: 400
          {"outcome":"refused","ran":"not_run","reason":"malformed","message":"the field prompt is missing","request_id":"r1"}
        wrong path: 404
          {"outcome":"refused","ran":"not_run","reason":"not_found","message":"there is nothing under this path","request_id":"r1"}
        wrong method: 405
          {"outcome":"refused","ran":"not_run","reason":"method","message":"use GET here","request_id":"r1"}
        wrong preference: 400
          {"outcome":"refused","ran":"not_run","reason":"malformed","message":"Prefer: wait takes seconds","request_id":"r1"}
        no wait at all: 503
          {"outcome":"refused","ran":"not_run","reason":"deadline","message":"the deadline passed","retry_after_ms":1000,"request_id":"r1"}
        booking without a key: 400
          {"outcome":"refused","ran":"not_run","reason":"key_required","message":"a non-idempotent request needs an Idempotency-Key","request_id":"r1"}
        key malformed: 400
          {"outcome":"refused","ran":"not_run","reason":"key_malformed","message":"an idempotency key has the form INCARNATION.ISSUED_MS.PART","request_id":"r1"}
        key in the future: 400
          {"outcome":"unknown","ran":"may_have_run","reason":"key_in_future","message":"the key was issued in the future; nothing was done with it yet","request_id":"r1"}
        queue full: 503
          {"outcome":"refused","ran":"not_run","reason":"queue_full","message":"the queue is full","retry_after_ms":1500,"request_id":"r1"}
        no scheduler: 503
          {"outcome":"refused","ran":"not_run","reason":"no_scheduler","message":"no scheduler decides for the pool now","retry_after_ms":200,"request_id":"r1"}
        no backend server: 503
          {"outcome":"refused","ran":"not_run","reason":"no_backend","message":"no backend server took it","retry_after_ms":1000,"request_id":"r1"}
    "#]].assert_eq(&shown);
}

#[tokio::test(start_paused = true)]
async fn unknown_and_failed_requests_have_their_http_form() {
    let mut shown = String::new();
    let cases = [
        ("home gone", Call::booking("m").key(key(9, "a")), None),
        ("key expired", Call::booking("m").key(key_at(1, 1, "a")), None),
        ("service crashed", Call::booking("m").key(key(1, "b")), Some(Behavior::Crash(0))),
        ("engine always crashed", Call::draft("poison"), None),
        ("engine failed for good", Call::draft("x"), Some(Behavior::Status(500))),
        ("engine overloaded for good", Call::draft("x"), Some(Behavior::Overloaded)),
    ];
    for (name, call, act) in cases {
        let bench = Bench::new(Fleet::new(4));
        for _ in 0..10 {
            act.into_iter().for_each(|act| bench.fleet.inject(act));
        }
        shown += &show(name, &bench.send(call).await);
    }
    let bench = Bench::new(Fleet::new(1));
    let name = key(1, "a");
    bench.send(Call::booking("m1").key(&name)).await;
    shown += &show("key reused", &bench.send(Call::booking("m2").key(&name)).await);
    expect_test::expect![[r#"
        home gone: 502
          {"outcome":"unknown","ran":"may_have_run","reason":"home_gone","message":"the daemon that the key is bound to cannot be reached","request_id":"r1"}
        key expired: 410
          {"outcome":"unknown","ran":"may_have_run","reason":"key_expired","message":"the key is older than keys are remembered","request_id":"r1"}
        service crashed: 502
          {"outcome":"unknown","ran":"may_have_run","reason":"backend_failed","message":"the backend server crashed","request_id":"r1"}
        engine always crashed: 422
          {"outcome":"failed","ran":"ran","reason":"quarantined","message":"the request crashed backend servers and is not run any more","request_id":"r1"}
        engine failed for good: 502
          {"outcome":"failed","ran":"may_have_run","reason":"backend_error","message":"the backend server answered 500","request_id":"r1"}
        engine overloaded for good: 503
          {"outcome":"failed","ran":"may_have_run","reason":"overloaded","message":"the backend server is overloaded","request_id":"r1"}
        key reused: 422
          {"outcome":"refused","ran":"not_run","reason":"key_reused","message":"the key was used with another request, whose outcome is not affected","request_id":"r1"}
    "#]].assert_eq(&shown);
}

#[tokio::test(start_paused = true)]
async fn addresses_have_their_json_form() {
    let bench = Bench::new(Fleet::new(1));
    let request = hyper::Request::get("/v1/addresses").body(()).unwrap();
    let (head, ()) = request.into_parts();
    let home = &bench.home;
    let response = hyssop_caller::handler::Handler::serve(home, head, bytes::Bytes::new()).await;
    expect_test::expect![[r#"{"lifetime_ms":10000,"addresses":[{"address":"127.0.0.1:1","host":"h1","zone":"z1","incarnation":"18bcfe5680100001"}]}"#]].assert_eq(&Reply::read(response).await.body);
}

#[test]
fn every_reason_is_documented_for_callers() {
    let page = include_str!("../../../docs/CALLERS.md");
    let source = include_str!("../src/outcome.rs");
    let reasons = source.split("pub enum Reason {").nth(1).unwrap().split("\n}\n").next().unwrap();
    let names = reasons
        .lines()
        .filter_map(|line| line.trim().strip_prefix("#[display(\"")?.strip_suffix("\")]"));
    let names: Vec<_> = names.collect();
    assert!(names.len() > 25, "{names:?}");
    for name in names {
        assert!(page.contains(&format!("`{name}`")), "{name} is missing");
    }
}
