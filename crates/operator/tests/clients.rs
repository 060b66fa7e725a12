//! The client tries servers in turn and never repeats an order that may have been applied.

mod common;

use std::{sync::atomic::Ordering, time::Duration};

use common::{FixedHandler, KEY, TestServer};
use expect_test::expect;
use hyssop_document::{name, number::Revision, order::Target};
use hyssop_operator::{
    client::{Client, Error},
    histogram::Filter,
    outcome,
    quarantine::Fingerprint,
};
use tokio::net::TcpListener;

fn zone() -> Target {
    Target::Zone(name::Zone::new("south-1"))
}

#[tokio::test]
async fn responses_are_parsed() {
    let server = TestServer::start_default().await;
    let client = server.client();
    let fleet = client.status().await.unwrap();
    assert!(fleet.partial);
    assert_eq!(fleet.schedulers().count(), 1);
    assert_eq!(client.orders().await.unwrap().revision, Revision(4));
    assert_eq!(client.histograms(&Filter::default()).await.unwrap().rows[0].answered, 6);
    let class = Some(name::Class::new("others/draft"));
    let none = Filter { class, workspace: Some(name::Workspace::new("builders")) };
    assert!(client.histograms(&none).await.unwrap().rows.is_empty());
    assert_eq!(client.quarantine().await.unwrap().entries.len(), 1);
    assert!(client.release(Fingerprint(0xfeed)).await.unwrap().released);
    assert!(!client.release(Fingerprint(1)).await.unwrap().released);
    assert_eq!(client.document().await.unwrap(), common::DOCUMENT);
    assert!(client.check(common::DOCUMENT.into()).await.unwrap().valid);
    assert!(!client.readiness().await.unwrap().ready);
    let order = client.apply_order(zone(), true, Some(Revision(4))).await.unwrap();
    assert!(matches!(order, outcome::Order::InForce(confirmation) if confirmation.partial));
    let order = client.apply_order(zone(), true, Some(Revision(3))).await.unwrap();
    assert!(matches!(order, outcome::Order::Conflict(_)));
}

#[tokio::test]
async fn the_next_server_is_tried_after_a_failure() {
    let server = TestServer::start_default().await;
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closed_address = closed.local_addr().unwrap();
    drop(closed);
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let servers = [closed_address, silent.local_addr().unwrap(), server.address];
    let client = Client::new(servers).key(KEY).unwrap().timeout(Duration::from_millis(200));
    assert_eq!(client.orders().await.unwrap().revision, Revision(4));

    let client = Client::new([closed_address]).key(KEY).unwrap();
    let error = client.orders().await.unwrap_err();
    assert!(matches!(&error, Error::Unreachable(failures) if failures.0.len() == 1));
}

#[tokio::test]
async fn an_order_without_a_response_is_not_repeated() {
    let slow = FixedHandler { delay: Duration::from_secs(5), ..FixedHandler::default() };
    let first = TestServer::start(slow, |builder| builder).await;
    let second = TestServer::start_default().await;
    let client = Client::new([first.address, second.address])
        .key(KEY)
        .unwrap()
        .timeout(Duration::from_millis(200));
    let error = client.apply_order(zone(), true, None).await.unwrap_err();
    assert!(matches!(error, Error::Unknown { server, .. } if server == first.address));
    assert_eq!(first.handler.orders.load(Ordering::SeqCst), 1);
    assert_eq!(second.handler.orders.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn an_order_that_times_out_at_the_daemon_is_unknown() {
    let slow = FixedHandler { delay: Duration::from_secs(5), ..FixedHandler::default() };
    let timeout = Duration::from_millis(50);
    let server = TestServer::start(slow, |builder| builder.response_timeout(timeout)).await;
    let error = server.client().apply_order(zone(), true, None).await.unwrap_err();
    assert!(matches!(error, Error::Unknown { .. }));
}

#[tokio::test]
async fn a_wrong_key_is_refused() {
    let server = TestServer::start_default().await;
    let client = Client::new([server.address]).key("wrong").unwrap();
    let Error::Refused { error, .. } = client.status().await.unwrap_err() else {
        panic!("the key must be refused");
    };
    expect!["unauthorized: an operator's key is needed as a bearer token"]
        .assert_eq(&error.to_string());
    assert!(matches!(client.key("new\nline"), Err(Error::InvalidKey)));
}
