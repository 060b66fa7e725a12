//! Reads request bodies within limits on time, size and total memory.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::timeout,
};

use super::Limits;
use crate::outcome::{DEFAULT_RETRY_AFTER, Outcome, Reason};

/// The memory that one permit of the semaphore represents.
const UNIT_BYTES: usize = 1024;

/// The limit on the memory of all request bodies of a server.
#[derive(Debug, Clone)]
pub(super) struct MemoryLimit {
    units: Arc<Semaphore>,
}

/// Memory reserved for one body, released when dropped.
#[derive(Debug)]
struct Reservation {
    permit: Option<OwnedSemaphorePermit>,
    bytes: usize,
}

/// A body with its memory reservation.
#[derive(Debug)]
struct ReservedBody {
    bytes: BytesMut,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl MemoryLimit {
    pub(super) fn new(bytes: usize) -> Self {
        Self { units: Arc::new(Semaphore::new(bytes / UNIT_BYTES)) }
    }

    fn reservation(&self) -> Reservation {
        Reservation { permit: None, bytes: 0 }
    }

    /// Extends a reservation to `bytes`, or fails if not enough memory is free.
    fn extend(&self, reservation: &mut Reservation, bytes: usize) -> Result<(), Outcome> {
        let more =
            bytes.div_ceil(UNIT_BYTES).saturating_sub(reservation.bytes.div_ceil(UNIT_BYTES));
        let busy = || {
            let message = "the daemon holds too many requests";
            Outcome::refused(Reason::Busy, message).retry_after(DEFAULT_RETRY_AFTER)
        };
        let units = u32::try_from(more).map_err(|_| busy())?;
        let permit = Arc::clone(&self.units).try_acquire_many_owned(units).map_err(|_| busy())?;
        match &mut reservation.permit {
            Some(old) => old.merge(permit),
            none => *none = Some(permit),
        }
        reservation.bytes = reservation.bytes.max(bytes);
        Ok(())
    }
}

/// Reads a complete body. Its memory stays reserved until the last clone of the bytes is dropped.
pub(super) async fn body(
    incoming: Incoming,
    limits: &Limits,
    memory: &MemoryLimit,
) -> Result<Bytes, Outcome> {
    let slow = || Outcome::refused(Reason::SlowBody, "the body came too slowly");
    timeout(limits.body_timeout, collect(incoming, limits.max_body_bytes, memory))
        .await
        .map_err(|_| slow())?
}

async fn collect(
    mut incoming: Incoming,
    limit: usize,
    memory: &MemoryLimit,
) -> Result<Bytes, Outcome> {
    let too_large = || {
        let message = format!("a body has at most {limit} bytes");
        Outcome::refused(Reason::TooLarge, message)
    };
    let mut reservation = memory.reservation();
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
        memory.extend(&mut reservation, size)?;
        bytes.extend_from_slice(&data);
    }
    Ok(Bytes::from_owner(ReservedBody { bytes, _reservation: reservation }))
}
