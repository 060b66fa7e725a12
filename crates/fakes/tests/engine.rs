//! Protocol tests of the stand-in engine and plain service.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use hyssop_fakes::{
    client,
    engine::{self, Engine, Settings},
    record::End,
    service::{self, Service},
};

const EPHEMERAL_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

async fn start(settings: Settings) -> Engine {
    Engine::start(settings, EPHEMERAL_ADDRESS, EPHEMERAL_ADDRESS).await.unwrap()
}

fn completion_request(id: &str, prompt: &str) -> Request<Full<Bytes>> {
    let body = serde_json::json!({"prompt": prompt, "stream": true}).to_string();
    Request::post("/v1/completions").header("x-request-id", id).body(body.into()).unwrap()
}

async fn read_body(response: Response<Incoming>) -> String {
    let bytes = response.into_body().collect().await.unwrap().to_bytes();
    String::from_utf8(bytes.to_vec()).unwrap()
}

fn streamed_text(events: &str) -> String {
    let data = events.lines().filter_map(|line| line.strip_prefix("data: {"));
    let chunks = data.map(|json| serde_json::from_str(&format!("{{{json}")).unwrap());
    let texts = chunks.map(|chunk: serde_json::Value| {
        chunk["choices"][0]["text"].as_str().unwrap_or("").to_owned()
    });
    texts.collect()
}

#[tokio::test]
async fn streams_the_expected_text_and_records_the_execution() {
    let engine = start(Settings::default()).await;
    let response =
        client::send(engine.address(), completion_request("a1", "a question")).await.unwrap();
    assert_eq!(response.headers()["x-request-id"], "a1");
    let events = read_body(response).await;
    assert_eq!(streamed_text(&events), engine::expected_text("a question", None));
    assert!(events.ends_with("data: [DONE]\n\n"));
    let record = engine.record();
    assert_eq!(record.executions[0].end, End::Completed);
    assert_eq!(record.executions[0].tokens, engine::response_tokens("a question", None));
}

#[tokio::test]
async fn resumes_after_the_last_event() {
    let engine = start(Settings::default()).await;
    let prompt = "a long question length=30";
    let mut response =
        client::send(engine.address(), completion_request("a1", prompt)).await.unwrap();
    let first = response.body_mut().frame().await.unwrap().unwrap().into_data().unwrap();
    drop(response);
    let seen = String::from_utf8(first.to_vec()).unwrap();
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    let mut resumed = completion_request("a1", prompt);
    resumed.headers_mut().insert("last-event-id", "1".parse().unwrap());
    let rest = read_body(client::send(engine.address(), resumed).await.unwrap()).await;
    assert_eq!(streamed_text(&seen) + &streamed_text(&rest), engine::expected_text(prompt, None));
    assert_eq!(engine.record().executions.len(), 1);
}

#[tokio::test]
async fn crashes_above_the_cold_limit_and_restarts() {
    let settings =
        Settings { cold_start: true, cold_limit: 1, restart_ms: 50, ..Settings::default() };
    let engine = start(settings).await;
    let first =
        client::send(engine.address(), completion_request("a1", "length=200")).await.unwrap();
    assert!(client::send(engine.address(), completion_request("a2", "length=200")).await.is_err());
    assert!(first.into_body().collect().await.is_err());
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    let response = client::send(engine.address(), completion_request("a3", "again")).await.unwrap();
    assert_eq!(streamed_text(&read_body(response).await), engine::expected_text("again", None));
    assert_eq!(engine.record().overloads, 1);
}

#[tokio::test]
async fn a_closed_connection_cancels_the_execution() {
    let engine = start(Settings::default()).await;
    let response =
        client::send(engine.address(), completion_request("a1", "length=10000")).await.unwrap();
    drop(response);
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    let execution = engine.record().executions[0].clone();
    assert_eq!(execution.end, End::Cancelled);
    assert!(execution.tokens < 20, "{execution:?}");
}

#[tokio::test]
async fn a_poisonous_prompt_crashes_the_engine() {
    let engine = start(Settings::default()).await;
    let response =
        client::send(engine.address(), completion_request("a1", "poison length=50")).await.unwrap();
    assert!(response.into_body().collect().await.is_err());
    assert_eq!(engine.record().poisonings, 1);
}

#[tokio::test]
async fn the_service_records_executions() {
    let service =
        Service::start(service::Settings::default(), EPHEMERAL_ADDRESS, EPHEMERAL_ADDRESS)
            .await
            .unwrap();
    let request =
        Request::post("/orders").header("x-request-id", "a1").body("three crates".into()).unwrap();
    let response = client::send(service.address(), request).await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    assert_eq!(read_body(response).await, service::expected_body("/orders", b"three crates"));
    let record = client::call(service.control(), Method::GET, "/control/record", "").await.unwrap();
    let record: hyssop_fakes::record::Record = serde_json::from_slice(&record).unwrap();
    assert_eq!(record.executions.len(), 1);
}
