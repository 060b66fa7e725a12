//! Distribution of documents, orders and notices: precedence, conflicts and rejections.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hyssop_document::{
    name,
    number::{Incarnation, Revision},
    order::{Order, State, Target},
};
use hyssop_peer::{
    Identity, Node,
    current::{Outcome as Offer, Source},
    notice,
    order::Outcome,
};

use tokio::net::TcpStream;

use crate::support::{cluster, document, start, timing, until};

fn zone_order(out: bool, zone: &str, if_revision: Option<u64>) -> Order {
    let target = Target::Zone(name::Zone::new(zone));
    Order { target, out, if_revision: if_revision.map(Revision) }
}

/// Starts nodes that are all alive and ready.
async fn ready_cluster(count: usize) -> Vec<Arc<Node>> {
    let nodes = cluster(count).await;
    until("all alive", async || nodes.iter().all(|node| node.view().alive.len() == count - 1))
        .await;
    until("all ready", async || nodes.iter().all(|node| node.ready())).await;
    nodes
}

fn revision(node: &Node) -> u64 {
    node.current().document_stamp().revision.0
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_of_two_concurrent_orders_conflicts() {
    let nodes = ready_cluster(3).await;
    let (first, second) = tokio::join!(
        nodes[0].execute_order(zone_order(true, "z1", Some(0))),
        nodes[1].execute_order(zone_order(true, "z2", Some(0))),
    );
    let outcomes = [first, second];
    let in_force = outcomes.iter().filter(|o| matches!(o, Outcome::InForce { .. })).count();
    let conflicts = outcomes.iter().filter(|o| matches!(o, Outcome::Conflict { .. })).count();
    assert_eq!((in_force, conflicts), (1, 1), "{outcomes:?}");
    let states: Vec<_> = nodes.iter().map(|node| node.current().orders.clone()).collect();
    assert!(states.iter().all(|state| *state == states[0]));
    assert_eq!(states[0].zones_out.len(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_names_the_hosts_that_were_not_reached() {
    let mut nodes = ready_cluster(3).await;
    let node = nodes.pop().expect("there are three");
    let (stopped, address) = (node.identity().host.clone(), node.identity().peer_address);
    drop(node);
    // Dropping a node only requests that its tasks end; until they do, it still responds.
    until("stopped", async || TcpStream::connect(address).await.is_err()).await;
    let outcome = nodes[0].execute_order(zone_order(true, "z1", None)).await;
    let Outcome::InForce { in_force, not_reached, .. } = outcome else { panic!("{outcome:?}") };
    assert_eq!(not_reached, [stopped]);
    assert_eq!(in_force.len(), 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn published_orders_with_a_higher_revision_win() {
    let nodes = ready_cluster(2).await;
    nodes[0].execute_order(zone_order(true, "z1", None)).await;
    let published = State { revision: Revision(7), ..State::default() };
    assert_eq!(nodes[1].offer_orders(published.clone(), &Source::Platform), Offer::Adopted);
    until("in force", async || nodes.iter().all(|node| *node.current().orders == published)).await;
    let stale = State { revision: Revision(1), ..State::default() };
    assert_eq!(nodes[0].offer_orders(stale, &Source::Platform), Offer::Older);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_older_document_is_not_adopted_and_an_invalid_one_is_reported() {
    let nodes = ready_cluster(3).await;
    nodes[1].offer_document(document(5), Source::Platform);
    until("revision 5", async || nodes.iter().all(|node| revision(node) == 5)).await;
    assert_eq!(nodes[2].offer_document(document(4), Source::Platform), Offer::Older);
    let invalid = Bytes::from_static(b"{}");
    let outcome = nodes[2].offer_document(invalid, Source::Platform);
    assert!(matches!(outcome, Offer::Invalid(_)), "{outcome:?}");
    assert_eq!(revision(&nodes[2]), 5);
    let fleet = nodes[0].status().await;
    let rejected: Vec<_> = fleet.reached.iter().map(|status| status.rejection.is_some()).collect();
    assert_eq!(rejected, [false, false, true]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_revision_with_two_contents_converges_and_is_reported() {
    let nodes = ready_cluster(3).await;
    let text = String::from_utf8(document(9).to_vec()).expect("the document is text");
    let other = Bytes::from(text.replace("\"share\": 1", "\"share\": 2"));
    nodes[0].offer_document(document(9), Source::Platform);
    nodes[2].offer_document(other, Source::Platform);
    until("one content", async || {
        let stamps: Vec<_> = nodes.iter().map(|node| node.current().document_stamp()).collect();
        stamps.iter().all(|stamp| *stamp == stamps[0] && stamp.revision == Revision(9))
    })
    .await;
    let fleet = nodes[0].status().await;
    assert!(fleet.reached.iter().any(|status| status.conflict.is_some()));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_document_of_another_environment_is_rejected() {
    let nodes = ready_cluster(2).await;
    let text = String::from_utf8(document(9).to_vec()).expect("the document is text");
    let other = Bytes::from(text.replace("trial", "production"));
    let outcome = nodes[0].offer_document(other, Source::Platform);
    assert!(matches!(outcome, Offer::Invalid(_)), "{outcome:?}");
    assert_eq!(revision(&nodes[0]), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_daemon_queries_its_peers_before_it_is_ready() {
    let nodes = ready_cluster(2).await;
    nodes[0].offer_document(document(8), Source::Platform);
    until("revision 8", async || nodes.iter().all(|node| revision(node) == 8)).await;
    let any = "127.0.0.1:0".parse().expect("the address is valid");
    let identity = Identity {
        host: name::Host::new("h9"),
        zone: name::Zone::new("z1"),
        incarnation: Incarnation::new(2_000_000, 9),
        caller_address: any,
        peer_address: any,
    };
    let seeds = vec![nodes[1].identity().peer_address];
    let fresh = start(identity, timing(), seeds).await;
    // The platform returns an older document to the new daemon.
    fresh.offer_document(document(3), Source::Platform);
    assert!(!fresh.ready());
    until("ready", async || fresh.ready()).await;
    assert_eq!(revision(&fresh), 8);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_notice_reaches_every_daemon_and_can_be_withdrawn() {
    let nodes = ready_cluster(3).await;
    let name = notice::Name { kind: "quarantine".into(), key: 7 };
    nodes[0].publish_notice(name.clone(), "two crashes".into(), Duration::from_secs(60));
    until("on all", async || nodes.iter().all(|node| node.has_notice(&name))).await;
    assert!(nodes[2].withdraw_notice(&name));
    until("on none", async || !nodes.iter().any(|node| node.has_notice(&name))).await;
}
