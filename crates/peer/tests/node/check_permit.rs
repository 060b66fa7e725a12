//! The check of a permit immediately before the first byte of the request is sent.

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

use crate::support::{
    IdleBackends, completed_release, document, list, permit_request, start_with, timing,
};

/// The system's clock plus an offset. A test increases the offset to simulate that the process was
/// suspended.
#[derive(Debug, Default)]
struct OffsetClock {
    offset_ms: AtomicU64,
}

impl Clock for OffsetClock {
    fn now(&self) -> Instant {
        Instant::now() + Duration::from_millis(self.offset_ms.load(Ordering::SeqCst))
    }
}

/// A node without peers, and a permit that may be used.
async fn node_with_permit() -> (Arc<Node>, Permit, Arc<OffsetClock>) {
    let any = "127.0.0.1:0".parse().expect("the address is valid");
    let identity = Identity {
        host: name::Host::new("h1"),
        zone: name::Zone::new("z1"),
        incarnation: Incarnation::new(1_000_000, 1),
        caller_address: any,
        peer_address: any,
    };
    let clock = Arc::new(OffsetClock::default());
    let dyn_clock: Arc<dyn Clock> = Arc::<OffsetClock>::clone(&clock);
    let timer = Service::builder().clock(dyn_clock).start();
    let load_source = Arc::new(IdleBackends::default());
    let node = start_with(identity, timing(), Vec::new(), load_source, timer).await;
    node.set_list(list(1, &[Arc::clone(&node)])).expect("the list is valid");
    node.offer_document(document(1), Source::Platform);
    let reply = node.request_permit(permit_request(5000)).await;
    let PermitReply::Granted(permit) = reply else { panic!("{reply:?}") };
    (node, permit, clock)
}

#[tokio::test]
async fn a_permit_of_another_scheduler_is_not_used() {
    let (node, mut permit, _) = node_with_permit().await;
    permit.id.scheduler = Incarnation::new(1_000_000, 2);
    assert_eq!(node.check_permit(&permit), Err(StalePermit::VoteEnded));
}

#[tokio::test]
async fn an_expired_permit_is_not_used() {
    let (node, mut permit, _) = node_with_permit().await;
    tokio::time::sleep(Duration::from_millis(5)).await;
    permit.granted_at_ms = 0;
    permit.use_timeout_ms = 0;
    assert_eq!(node.check_permit(&permit), Err(StalePermit::Expired));
}

#[tokio::test]
async fn a_permit_for_a_zone_out_of_service_is_not_used() {
    let (node, permit, _) = node_with_permit().await;
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
    let (node, mut permit, _) = node_with_permit().await;
    permit.address.set_port(9);
    assert_eq!(node.check_permit(&permit), Err(StalePermit::Removed));
}

// On one thread, no task of the node runs between the simulated pause and the check.
#[tokio::test(flavor = "current_thread")]
async fn no_permit_is_used_right_after_the_process_was_suspended() {
    let (node, permit, clock) = node_with_permit().await;
    clock.offset_ms.fetch_add(300, Ordering::SeqCst);
    assert_eq!(node.check_permit(&permit), Err(StalePermit::Paused));
}

/// A request that was submitted before its home had resynchronized got a permit that must not be used,
/// asked for the next one at once, and was refused after its last permit.
#[tokio::test(flavor = "current_thread")]
async fn a_permit_requested_after_the_process_was_suspended_is_used() {
    let (node, _, clock) = node_with_permit().await;
    for _ in 0..10 {
        let start = Instant::now();
        clock.offset_ms.fetch_add(300, Ordering::SeqCst);
        let reply = node.request_permit(permit_request(5000)).await;
        let PermitReply::Granted(permit) = reply else { panic!("{reply:?}") };
        // A busy machine may suspend the process once more before the check.
        let is_suspended_again = start.elapsed() > Duration::from_millis(250);
        let check = node.check_permit(&permit);
        assert!(check.is_ok() || is_suspended_again, "{check:?}");
        node.release(completed_release(permit.id));
    }
}
