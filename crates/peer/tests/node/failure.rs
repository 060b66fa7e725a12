//! Ends of daemons: killed, leaving, cut off.

use std::sync::Arc;

use hyssop_document::name;
use hyssop_peer::{Node, PermitReply, current::Source};

use crate::support::{ask, cluster, completed, document, until};

/// The host that holds a whole or partial share of the group, once one does.
async fn scheduler(nodes: &[Arc<Node>], votes: u32) -> name::Host {
    let found = std::cell::RefCell::new(None);
    until("a scheduler", async || {
        let fleet = nodes[0].status().await;
        let mut reached = fleet.reached.iter();
        let holder = reached.find(|s| s.groups.iter().any(|group| group.share.votes >= votes));
        *found.borrow_mut() = holder.map(|status| status.identity.host.clone());
        found.borrow().is_some()
    })
    .await;
    found.into_inner().expect("it was found")
}

fn take(nodes: &mut Vec<Arc<Node>>, host: &name::Host) -> Arc<Node> {
    let position = nodes.iter().position(|node| node.identity().host == *host);
    nodes.remove(position.expect("the host is one of the nodes"))
}

async fn granted(node: &Node) -> bool {
    let verdict = node.request_permit(ask(5000)).await;
    match &verdict {
        PermitReply::Granted(permit) => node.check_permit(permit).is_ok(),
        _ => panic!("{verdict:?}"),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_next_scheduler_takes_over_when_one_is_killed() {
    let mut nodes = cluster(3).await;
    let host = scheduler(&nodes, 3).await;
    drop(take(&mut nodes, &host));
    for node in &nodes {
        assert!(granted(node).await, "the permit can be used");
    }
    assert_ne!(scheduler(&nodes, 2).await, host);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_daemon_hands_its_groups_over() {
    let mut nodes = cluster(3).await;
    let host = scheduler(&nodes, 3).await;
    let leaving = take(&mut nodes, &host);
    assert!(granted(&leaving).await, "the permit can be used");
    leaving.leave();
    until("handed over", async || leaving.handed_over()).await;
    until("all see it leave", async || {
        nodes.iter().all(|node| {
            node.view().alive.iter().any(|peer| peer.identity.host == host && peer.leaving)
        })
    })
    .await;
    for node in nodes.iter().chain([&leaving]) {
        assert!(granted(node).await, "the permit can be used");
    }
    // The new scheduler counts what the leaving daemon still runs.
    assert_ne!(scheduler(&nodes, 3).await, host);
    until("all counted", async || {
        let fleet = nodes[0].status().await;
        let groups = fleet.reached.iter().flat_map(|status| &status.groups);
        groups.map(|group| group.running).max() == Some(4)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_dropped_wait_leaves_nothing_counted() {
    let nodes = cluster(3).await;
    scheduler(&nodes, 3).await;
    // Waits are dropped at all stages: before, while and after the permit is granted.
    for number in 0..300u64 {
        let node = &nodes[number as usize % 3];
        let wait = std::time::Duration::from_micros(number * 7 % 900);
        let verdict = tokio::time::timeout(wait, node.request_permit(ask(5000))).await;
        if let Ok(PermitReply::Granted(permit)) = verdict {
            node.release(completed(permit.id));
        }
    }
    until("nothing is counted", async || {
        let fleet = nodes[0].status().await;
        let mut groups = fleet.reached.iter().flat_map(|status| &status.groups);
        groups.all(|group| group.running == 0 && group.waiting == 0)
    })
    .await;
}

/// The highest limit of a backend server at the scheduler that holds votes.
async fn limit(nodes: &[Arc<Node>], host: &name::Host) -> u32 {
    let fleet = nodes[0].status().await;
    let status = fleet.reached.iter().find(|status| status.identity.host == *host);
    let groups = status.into_iter().flat_map(|status| &status.groups);
    groups.flat_map(|group| &group.backends).map(|backend| backend.limit).max().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_scheduler_starts_with_the_limits_that_homes_remember() {
    let mut nodes = cluster(3).await;
    let text = String::from_utf8(document(2).to_vec()).expect("the document is text");
    let colder = text.replace("\"cold_limit\": 4", "\"cold_limit\": 1");
    nodes[0].offer_document(colder.into(), Source::Platform);
    let host = scheduler(&nodes, 3).await;
    until("warm", async || {
        for node in &nodes {
            if let PermitReply::Granted(permit) = node.request_permit(ask(5000)).await {
                node.release(completed(permit.id));
            }
        }
        limit(&nodes, &host).await >= 3
    })
    .await;
    // A permit that shows the limit to one that stays.
    let stays = usize::from(nodes[0].identity().host == host);
    for _ in 0..4 {
        let PermitReply::Granted(permit) = nodes[stays].request_permit(ask(5000)).await else {
            continue;
        };
        nodes[stays].release(completed(permit.id));
    }
    drop(take(&mut nodes, &host));
    let next = scheduler(&nodes, 2).await;
    assert!(limit(&nodes, &next).await >= 3, "the new scheduler takes every server for cold");
}
