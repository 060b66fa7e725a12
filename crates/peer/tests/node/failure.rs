//! Hand-over of a group when its scheduler is killed or leaves, and cancelled waits for permits.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyssop_document::{name, number::Incarnation};
use hyssop_peer::{Identity, Node, PermitReply, current::Source};
use hyssop_timer::Service;

use crate::support::{
    IdleBackends, cluster, completed_release, document, list, permit_request, timing, until,
};

/// Waits until a scheduler holds at least `votes` votes, and returns its host.
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

fn remove_node(nodes: &mut Vec<Arc<Node>>, host: &name::Host) -> Arc<Node> {
    let position = nodes.iter().position(|node| node.identity().host == *host);
    nodes.remove(position.expect("the host is one of the nodes"))
}

/// Whether `node` is granted a permit that may be used.
async fn gets_usable_permit(node: &Node) -> bool {
    let reply = node.request_permit(permit_request(5000)).await;
    match &reply {
        PermitReply::Granted(permit) => node.check_permit(permit).is_ok(),
        _ => panic!("{reply:?}"),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_next_scheduler_takes_over_when_one_is_killed() {
    let mut nodes = cluster(3).await;
    let host = scheduler(&nodes, 3).await;
    drop(remove_node(&mut nodes, &host));
    for node in &nodes {
        assert!(gets_usable_permit(node).await, "the permit can be used");
    }
    assert_ne!(scheduler(&nodes, 2).await, host);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_daemon_hands_its_groups_over() {
    let mut nodes = cluster(3).await;
    let host = scheduler(&nodes, 3).await;
    let leaving = remove_node(&mut nodes, &host);
    assert!(gets_usable_permit(&leaving).await, "the permit can be used");
    leaving.leave();
    until("handed over", async || leaving.handed_over()).await;
    until("all see it leave", async || {
        nodes.iter().all(|node| {
            node.view().alive.iter().any(|peer| peer.identity.host == host && peer.leaving)
        })
    })
    .await;
    for node in nodes.iter().chain([&leaving]) {
        assert!(gets_usable_permit(node).await, "the permit can be used");
    }
    // The new scheduler counts the permits that the leaving daemon still uses.
    assert_ne!(scheduler(&nodes, 3).await, host);
    until("all counted", async || {
        let fleet = nodes[0].status().await;
        let groups = fleet.reached.iter().flat_map(|status| &status.groups);
        groups.map(|group| group.running).max() == Some(4)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_dropped_wait_leaves_no_permit_counted() {
    let nodes = cluster(3).await;
    scheduler(&nodes, 3).await;
    // Waits are dropped before, during and after the grant of the permit.
    for number in 0..300u64 {
        let node = &nodes[number as usize % 3];
        let wait = std::time::Duration::from_micros(number * 7 % 900);
        let reply = tokio::time::timeout(wait, node.request_permit(permit_request(5000))).await;
        if let Ok(PermitReply::Granted(permit)) = reply {
            node.release(completed_release(permit.id));
        }
    }
    until("nothing is counted", async || {
        let fleet = nodes[0].status().await;
        let mut groups = fleet.reached.iter().flat_map(|status| &status.groups);
        groups.all(|group| group.running == 0 && group.waiting == 0)
    })
    .await;
}

/// The highest limit of a backend server at the scheduler on `host`.
async fn max_limit(nodes: &[Arc<Node>], host: &name::Host) -> u32 {
    let fleet = nodes[0].status().await;
    let status = fleet.reached.iter().find(|status| status.identity.host == *host);
    let groups = status.into_iter().flat_map(|status| &status.groups);
    groups.flat_map(|group| &group.backends).map(|backend| backend.limit).max().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_scheduler_starts_with_the_limits_that_homes_observed() {
    let mut nodes = cluster(3).await;
    let text = String::from_utf8(document(2).to_vec()).expect("the document is text");
    let colder = text.replace("\"cold_limit\": 4", "\"cold_limit\": 1");
    nodes[0].offer_document(colder.into(), Source::Platform);
    let host = scheduler(&nodes, 3).await;
    until("warm", async || {
        for node in &nodes {
            if let PermitReply::Granted(permit) = node.request_permit(permit_request(5000)).await {
                node.release(completed_release(permit.id));
            }
        }
        max_limit(&nodes, &host).await >= 3
    })
    .await;
    // A remaining daemon observes the limit in the permits that it is granted.
    let remaining = usize::from(nodes[0].identity().host == host);
    for _ in 0..4 {
        let PermitReply::Granted(permit) =
            nodes[remaining].request_permit(permit_request(5000)).await
        else {
            continue;
        };
        nodes[remaining].release(completed_release(permit.id));
    }
    drop(remove_node(&mut nodes, &host));
    let next = scheduler(&nodes, 2).await;
    assert!(
        max_limit(&nodes, &next).await >= 3,
        "the new scheduler treats every backend server as cold"
    );
}

async fn running(node: &Node) -> u64 {
    let fleet = node.status().await;
    fleet.reached.iter().flat_map(|status| &status.groups).map(|group| group.running).sum()
}

/// A process that ends right after a release takes it along, and where peers can't learn of the end by a
/// refused connection, the permit counts until its latest end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_release_is_sent_before_its_home_ends() {
    let mut nodes = Vec::new();
    for number in 1..=2 {
        let identity = Identity {
            host: name::Host::new(&format!("h{number}")),
            zone: name::Zone::new(&format!("z{number}")),
            incarnation: Incarnation::new(1_000_000, number),
            caller_address: SocketAddr::from(([127, 0, 0, 1], 0)),
            peer_address: SocketAddr::from(([127, 0, 0, 1], 0)),
        };
        let timer = Service::builder().resolution(Duration::from_millis(10)).start();
        let node = Node::builder(identity, timer, Arc::new(IdleBackends::default()))
            .timing(timing())
            .trust_refusals(false)
            .start();
        nodes.push(node.await.expect("a port is free"));
    }
    let hosts = list(1, &nodes);
    for node in &nodes {
        node.set_list(hosts.clone()).expect("the list is valid");
    }
    nodes[0].offer_document(document(1), Source::Platform);
    let at = scheduler(&nodes, 2).await;
    let host = nodes.iter().map(|node| node.identity().host.clone()).find(|host| *host != at);
    let home = remove_node(&mut nodes, &host.expect("there are two hosts"));
    let reply = home.request_permit(permit_request(5000)).await;
    let PermitReply::Granted(permit) = reply else { panic!("{reply:?}") };
    assert_eq!(running(&nodes[0]).await, 1);
    home.release(completed_release(permit.id));
    until("the release is sent", async || home.events_sent()).await;
    drop(home);
    until("no permit is counted", async || running(&nodes[0]).await == 0).await;
}
