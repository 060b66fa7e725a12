//! Reading of bodies within limits.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::timeout,
};

use super::Limits;
use crate::outcome::{Outcome, Reason, SOON};

/// The unit in which memory is counted.
const UNIT_BYTES: usize = 1024;

/// The memory for all bodies of a server.
#[derive(Debug, Clone)]
pub(super) struct Memory {
    units: Arc<Semaphore>,
}

/// A part of the memory, free again when it is dropped.
#[derive(Debug)]
struct Held {
    permit: Option<OwnedSemaphorePermit>,
    bytes: usize,
}

/// A body with the memory that it takes.
#[derive(Debug)]
struct Counted {
    bytes: BytesMut,
    _held: Held,
}

impl AsRef<[u8]> for Counted {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Memory {
    pub(super) fn new(bytes: usize) -> Self {
        Self { units: Arc::new(Semaphore::new(bytes / UNIT_BYTES)) }
    }

    fn hold(&self) -> Held {
        Held { permit: None, bytes: 0 }
    }

    /// Extends what is held to `bytes`, if there is so much.
    fn extend(&self, held: &mut Held, bytes: usize) -> Result<(), Outcome> {
        let more = bytes.div_ceil(UNIT_BYTES).saturating_sub(held.bytes.div_ceil(UNIT_BYTES));
        let busy = || {
            let message = "the daemon holds too many requests";
            Outcome::refused(Reason::Busy, message).retry_after(SOON)
        };
        let units = u32::try_from(more).map_err(|_| busy())?;
        let permit = Arc::clone(&self.units).try_acquire_many_owned(units).map_err(|_| busy())?;
        match &mut held.permit {
            Some(old) => old.merge(permit),
            none => *none = Some(permit),
        }
        held.bytes = held.bytes.max(bytes);
        Ok(())
    }
}

/// Reads a body whole. Its memory counts until the last copy of the bytes is dropped.
pub(super) async fn body(
    incoming: Incoming,
    limits: &Limits,
    memory: &Memory,
) -> Result<Bytes, Outcome> {
    let slow = || Outcome::refused(Reason::SlowBody, "the body came too slowly");
    timeout(limits.body_time, collect(incoming, limits.body_bytes, memory))
        .await
        .map_err(|_| slow())?
}

async fn collect(mut incoming: Incoming, limit: usize, memory: &Memory) -> Result<Bytes, Outcome> {
    let too_large = || {
        let message = format!("a body has at most {limit} bytes");
        Outcome::refused(Reason::TooLarge, message)
    };
    let mut held = memory.hold();
    if incoming.size_hint().lower() > limit as u64 {
        return Err(too_large());
    }
    let mut bytes = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let malformed = |_| Outcome::refused(Reason::Malformed, "the body broke off");
        let Ok(data) = frame.map_err(malformed)?.into_data() else { continue };
        let size = bytes.len() + data.len();
        if size > limit {
            return Err(too_large());
        }
        memory.extend(&mut held, size)?;
        bytes.extend_from_slice(&data);
    }
    Ok(Bytes::from_owner(Counted { bytes, _held: held }))
}
