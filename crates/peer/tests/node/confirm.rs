//! The check of a permit immediately before the first byte goes out.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use hyssop_document::{
    name,
    number::Incarnation,
    order::{Order, Target},
};
use hyssop_peer::{Identity, Node, PermitReply, current::Source, node::StalePermit};
use hyssop_policy::permit::Permit;
use hyssop_timer::{Clock, Service};

use crate::support::{Idle, ask, document, list, start_with, timing};

/// The system's clock, which a test moves on to show a stop of the process.
#[derive(Debug, Default)]
struct Jumping {
    ahead_ms: AtomicU64,
}

impl Clock for Jumping {
    fn now(&self) -> Instant {
        Instant::now() + Duration::from_millis(self.ahead_ms.load(Ordering::SeqCst))
    }
}

/// A node that is alone, and a permit that may be used.
async fn granted() -> (Arc<Node>, Permit, Arc<Jumping>) {
    let any = "127.0.0.1:0".parse().expect("the address is valid");
    let identity = Identity {
        host: name::Host::new("h1"),
        zone: name::Zone::new("z1"),
        incarnation: Incarnation::new(1_000_000, 1),
        caller_address: any,
        peer_address: any,
    };
    let clock = Arc::new(Jumping::default());
    let dyn_clock: Arc<dyn Clock> = Arc::<Jumping>::clone(&clock);
    let timer = Service::builder().clock(dyn_clock).start();
    let loads = Arc::new(Idle::default());
    let node = start_with(identity, timing(), Vec::new(), loads, timer).await;
    node.set_list(list(1, &[Arc::clone(&node)])).expect("the list is valid");
    node.offer_document(document(1), Source::Platform);
    let verdict = node.request_permit(ask(5000)).await;
    let PermitReply::Granted(permit) = verdict else { panic!("{verdict:?}") };
    (node, permit, clock)
}

#[tokio::test]
async fn a_permit_of_another_scheduler_is_not_used() {
    let (node, mut permit, _) = granted().await;
    permit.id.scheduler = Incarnation::new(1_000_000, 2);
    assert_eq!(node.check_permit(&permit), Err(StalePermit::VoteEnded));
}

#[tokio::test]
async fn a_permit_is_not_used_late() {
    let (node, mut permit, _) = granted().await;
    tokio::time::sleep(Duration::from_millis(5)).await;
    permit.granted_at_ms = 0;
    permit.use_timeout_ms = 0;
    assert_eq!(node.check_permit(&permit), Err(StalePermit::Expired));
}

#[tokio::test]
async fn a_permit_for_a_zone_that_went_out_is_not_used() {
    let (node, permit, _) = granted().await;
    for (zone, backend) in [("z1", "b1"), ("z2", "b2")] {
        let target = Target::Zone(name::Zone::new(zone));
        node.execute_order(Order {
            target,
            out: permit.backend.as_str() == backend,
            if_revision: None,
        })
        .await;
    }
    assert_eq!(node.check_permit(&permit), Err(StalePermit::ZoneOut));
}

#[tokio::test]
async fn a_permit_for_a_removed_backend_server_is_not_used() {
    let (node, mut permit, _) = granted().await;
    permit.address.set_port(9);
    assert_eq!(node.check_permit(&permit), Err(StalePermit::Removed));
}

// On one thread no task of the node runs between the stop and the check.
#[tokio::test(flavor = "current_thread")]
async fn no_permit_is_used_right_after_a_stop_of_the_process() {
    let (node, permit, clock) = granted().await;
    clock.ahead_ms.fetch_add(300, Ordering::SeqCst);
    assert_eq!(node.check_permit(&permit), Err(StalePermit::Paused));
}
