//! The client tries servers in turn and never repeats an order that may have been carried out.

mod common;

use std::{sync::atomic::Ordering, time::Duration};

use common::{Fixed, KEY, Running};
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
async fn answers_are_read() {
    let server = Running::plain().await;
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
    let order = client.order(zone(), true, Some(Revision(4))).await.unwrap();
    assert!(matches!(order, outcome::Order::InForce(confirmation) if confirmation.partial));
    let order = client.order(zone(), true, Some(Revision(3))).await.unwrap();
    assert!(matches!(order, outcome::Order::Conflict(_)));
}

#[tokio::test]
async fn the_next_server_is_tried() {
    let server = Running::plain().await;
    let gone = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let gone_address = gone.local_addr().unwrap();
    drop(gone);
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let servers = [gone_address, silent.local_addr().unwrap(), server.address];
    let client = Client::new(servers).key(KEY).unwrap().timeout(Duration::from_millis(200));
    assert_eq!(client.orders().await.unwrap().revision, Revision(4));

    let client = Client::new([gone_address]).key(KEY).unwrap();
    let error = client.orders().await.unwrap_err();
    assert!(matches!(&error, Error::Unreachable(failures) if failures.0.len() == 1));
}

#[tokio::test]
async fn an_order_is_sent_once() {
    let slow = Fixed { delay: Duration::from_secs(5), ..Fixed::default() };
    let first = Running::start(slow, |builder| builder).await;
    let second = Running::plain().await;
    let client = Client::new([first.address, second.address])
        .key(KEY)
        .unwrap()
        .timeout(Duration::from_millis(200));
    let error = client.order(zone(), true, None).await.unwrap_err();
    assert!(matches!(error, Error::Unknown { server, .. } if server == first.address));
    assert_eq!(first.desk.orders.load(Ordering::SeqCst), 1);
    assert_eq!(second.desk.orders.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn an_order_that_the_daemon_gave_up_is_unknown() {
    let slow = Fixed { delay: Duration::from_secs(5), ..Fixed::default() };
    let timeout = Duration::from_millis(50);
    let server = Running::start(slow, |builder| builder.answer_timeout(timeout)).await;
    let error = server.client().order(zone(), true, None).await.unwrap_err();
    assert!(matches!(error, Error::Unknown { .. }));
}

#[tokio::test]
async fn a_wrong_key_is_refused() {
    let server = Running::plain().await;
    let client = Client::new([server.address]).key("wrong").unwrap();
    let Error::Refused { error, .. } = client.status().await.unwrap_err() else {
        panic!("the key must be refused");
    };
    expect!["unauthorized: an operator's key is needed as a bearer token"]
        .assert_eq(&error.to_string());
    assert!(matches!(client.key("new\nline"), Err(Error::Key)));
}
