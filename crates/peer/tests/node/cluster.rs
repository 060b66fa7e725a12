//! Permits, votes and operators' orders in a healthy cell.

use std::sync::Arc;

use crate::support::{cluster, completed_release, group, permit_request, until};
use hyssop_document::{
    name,
    number::Revision,
    order::{Order, Target},
};
use hyssop_peer::{PermitReply, order::Outcome};

fn zone_out(zone: &str) -> Order {
    Order { target: Target::Zone(name::Zone::new(zone)), out: true, if_revision: None }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn permits_are_granted_to_every_node() {
    let nodes = cluster(3).await;
    until("all ready", async || nodes.iter().all(|node| node.ready())).await;
    for node in &nodes {
        let reply = node.request_permit(permit_request(5000)).await;
        let PermitReply::Granted(permit) = reply else { panic!("{reply:?}") };
        assert_eq!(permit.group, group());
        assert_eq!(node.check_permit(&permit), Ok(()));
        node.release(completed_release(permit.id));
    }
    until("all released", async || {
        let fleet = nodes[0].status().await;
        assert_eq!(fleet.not_reached, []);
        fleet.reached.iter().flat_map(|status| &status.groups).all(|group| group.running == 0)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_scheduler_holds_all_votes() {
    let nodes = cluster(3).await;
    until("all votes at one scheduler", async || {
        let fleet = nodes[1].status().await;
        let groups: Vec<_> = fleet.reached.iter().flat_map(|status| &status.groups).collect();
        groups.iter().filter(|group| group.share.votes == 3 && group.share.hosts == 3).count() == 1
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_confirmed_order_is_in_force_on_all_daemons() {
    let nodes = cluster(3).await;
    until("all ready", async || nodes.iter().all(|node| node.ready())).await;
    until("all alive", async || nodes.iter().all(|node| node.view().alive.len() == 2)).await;
    let outcome = nodes[2].execute_order(zone_out("z1")).await;
    let Outcome::InForce { in_force, not_reached, .. } = outcome else { panic!("{outcome:?}") };
    assert_eq!(in_force.len(), 3);
    assert_eq!(not_reached, []);
    for node in &nodes {
        assert!(node.current().orders.zones_out.contains(&name::Zone::new("z1")));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 8)]
async fn one_of_many_concurrent_orders_on_one_host_is_applied() {
    let nodes = cluster(1).await;
    for revision in 0..200 {
        let orders = (0..8).map(|index| {
            let node = Arc::clone(&nodes[0]);
            let target = Target::Zone(name::Zone::new(&format!("z{}", 1 + index % 3)));
            let out = revision % 2 == 0;
            let order = Order { target, out, if_revision: Some(Revision(revision)) };
            tokio::spawn(async move { node.execute_order(order).await })
        });
        let outcomes = futures::future::join_all(orders.collect::<Vec<_>>()).await;
        let done =
            outcomes.into_iter().filter(|outcome| matches!(outcome, Ok(Outcome::InForce { .. })));
        assert_eq!(done.count(), 1, "revision {revision}");
    }
}
