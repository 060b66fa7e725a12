//! Requests that a scheduler's task handles together.

use std::sync::Arc;

use bytes::Bytes;
use futures::future::join_all;
use hyssop_peer::{PermitReply, current::Source};

use crate::support::{completed_release, document, list, permit_request, start_node, timing};

/// More than the queue takes, and no more than the slots of both backend servers.
const REQUESTS: usize = 8;

/// After the process was suspended, all submissions that had arrived meanwhile were queued before the
/// free slots were granted: those beyond the limit of the queue were refused.
#[tokio::test(flavor = "current_thread")]
async fn no_request_of_a_backlog_is_refused_while_slots_are_free() {
    let node = start_node("h1", timing()).await;
    node.set_list(list(1, &[Arc::clone(&node)])).expect("the list is valid");
    let text = String::from_utf8(document(1).to_vec()).expect("the document is text");
    let text = text.replace(r#""warm_limit": 4"#, r#""warm_limit": 4, "queue_limit": 2"#);
    node.offer_document(Bytes::from(text), Source::Platform);
    let first = node.request_permit(permit_request(5_000)).await;
    let PermitReply::Granted(permit) = first else { panic!("{first:?}") };
    node.release(completed_release(permit.id));
    tokio::time::sleep(3 * timing().batch_interval).await;
    let backlog = (0..REQUESTS).map(|_| node.request_permit(permit_request(5_000)));
    for reply in join_all(backlog).await {
        assert!(matches!(reply, PermitReply::Granted(_)), "{reply:?}");
    }
}
