//! Reads the bodies of callers' requests into memory, within the limits.

use std::{error::Error, sync::Arc, time::Duration};

use bytes::BytesMut;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::{
    body::{Body as _, Incoming},
    header::EXPECT,
    http::request::Parts,
};
use tokio::time::timeout;

use crate::{
    call::{BufferedBody, Reservation},
    environment::Limits,
    gateway::Gateway,
    refusal::{Reason, Refusal},
};

/// How long the rest of the body of a refused request is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum size of that rest.
const MAX_DISCARD_BYTES: usize = 16 << 20;

/// Reads a body. Its memory is reserved before it arrives if its length is declared, else as it
/// arrives.
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
    let mut reservation = Reservation::new(Arc::clone(gateway));
    let out_of_memory = Refusal::temporary(Reason::Memory, retry_after);
    let declared = body.size_hint().exact().unwrap_or(0);
    if declared > limits.max_body_bytes as u64 {
        return Err(Refusal::new(Reason::TooLarge));
    }
    if !reservation.grow_to(declared as usize) {
        return Err(out_of_memory);
    }
    let mut limited = Limited::new(body, limits.max_body_bytes);
    let mut bytes = BytesMut::with_capacity(declared as usize);
    while let Some(frame) = limited.frame().await {
        let frame = frame.map_err(|error| {
            if error.is::<LengthLimitError>() {
                return Refusal::new(Reason::TooLarge);
            }
            tracing::info!(event = "body_not_read", %error);
            Refusal::new(Reason::Malformed)
        })?;
        let Ok(data) = frame.into_data() else { continue };
        if !reservation.grow_to(bytes.len() + data.len()) {
            return Err(out_of_memory);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(BufferedBody::new(reservation, bytes.freeze()))
}

/// Reads and discards the rest of the body of a refused request, while the refusal is written. Closing
/// a connection with unread bytes resets it, and a caller that is still sending would not read the
/// refusal. One that waits for `100 Continue` is not asked for its body, as the refusal goes first.
/// Returns whether the connection stays open for further requests.
pub(crate) fn discard(head: &Parts, body: Incoming) -> bool {
    if body.is_end_stream() {
        return true;
    }
    tokio::spawn(async move {
        let mut body = Limited::new(body, MAX_DISCARD_BYTES);
        let read = async {
            while let Some(frame) = body.frame().await {
                frame?;
            }
            Ok::<_, Box<dyn Error + Send + Sync>>(())
        };
        // The connection is closed then, but the caller has had time to read the refusal.
        match timeout(DISCARD_TIMEOUT, read).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => tracing::debug!(event = "body_not_discarded", %error),
            Err(error) => tracing::debug!(event = "body_not_discarded", %error),
        }
    });
    // What follows may be the body or, from a caller that waited in vain, the next request.
    !head.headers.contains_key(EXPECT)
}
