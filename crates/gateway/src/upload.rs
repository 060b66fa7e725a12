//! Reads the bodies of callers' requests into memory, within the limits.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::{
    body::{Body as _, Incoming},
    header::EXPECT,
    http::request::Parts,
};
use tokio::time::timeout;

use crate::{
    call::BufferedBody,
    environment::Limits,
    gateway::Gateway,
    refusal::{Reason, Refusal},
};

/// How long the rest of the body of a refused request is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum size of that rest.
const MAX_DISCARD_BYTES: usize = 16 << 20;

/// Reads a body.
///
/// # Errors
///
/// Refuses a body that is too large, for which the memory is used up, or that is malformed.
pub(crate) async fn read(
    gateway: &Arc<Gateway>,
    body: &mut Incoming,
    limits: &Limits,
    retry_after: Duration,
) -> Result<BufferedBody, Refusal> {
    if body.is_end_stream() {
        return Ok(BufferedBody::empty(Arc::clone(gateway)));
    }
    let declared = body.size_hint().exact().unwrap_or(0);
    if declared > limits.max_body_bytes as u64 {
        return Err(Refusal::new(Reason::TooLarge));
    }
    let buffered = gateway.body_bytes.load(Ordering::Relaxed);
    if buffered + declared as usize > gateway.settings.body_memory_bytes {
        return Err(Refusal::temporary(Reason::Memory, retry_after));
    }
    let collected = Limited::new(body, limits.max_body_bytes).collect().await;
    match collected {
        Ok(collected) => Ok(BufferedBody::new(Arc::clone(gateway), collected.to_bytes())),
        Err(error) if error.is::<LengthLimitError>() => Err(Refusal::new(Reason::TooLarge)),
        Err(error) => {
            tracing::info!(event = "body_not_read", %error);
            Err(Refusal::new(Reason::Malformed))
        }
    }
}

/// Reads and discards the rest of the body of a refused request, while the refusal is written. Closing
/// a connection with unread bytes resets it, and a caller that is still sending would not read the
/// refusal. One that waits for `100 Continue` is not asked for its body.
pub(crate) fn discard(head: &Parts, body: Incoming) {
    if body.is_end_stream() || head.headers.contains_key(EXPECT) {
        return;
    }
    tokio::spawn(timeout(DISCARD_TIMEOUT, async move {
        let mut body = Limited::new(body, MAX_DISCARD_BYTES);
        // The caller has its answer, so nothing is lost with an error.
        while let Some(Ok(_)) = body.frame().await {}
    }));
}
