//! The table of open connections.
//!
//! When it is full, a new connection takes the place of the oldest one on which no request runs, so
//! that connections which are only held open keep nobody out.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

#[derive(Debug)]
struct Place {
    running: AtomicUsize,
    evicted: CancellationToken,
}

#[derive(Debug, Default)]
struct Inner {
    next: u64,
    places: BTreeMap<u64, Arc<Place>>,
}

/// The table of open connections.
#[derive(Debug)]
pub(super) struct Table {
    inner: Arc<Mutex<Inner>>,
    limit: usize,
}

impl Table {
    pub(super) fn new(limit: usize) -> Self {
        Self { inner: Arc::default(), limit }
    }

    /// A seat for a new connection, if there is one.
    pub(super) fn seat(&self) -> Option<Seat> {
        let mut inner = self.inner.lock();
        if inner.places.len() >= self.limit {
            let idle = |place: &Place| place.running.load(Ordering::Acquire) == 0;
            let oldest = inner.places.iter().find(|(_, place)| idle(place)).map(|(id, _)| *id)?;
            if let Some(place) = inner.places.remove(&oldest) {
                place.evicted.cancel();
            }
        }
        let id = inner.next;
        inner.next += 1;
        let place =
            Arc::new(Place { running: AtomicUsize::new(0), evicted: CancellationToken::new() });
        inner.places.insert(id, Arc::clone(&place));
        Some(Seat { id, place, inner: Arc::clone(&self.inner) })
    }
}

/// The place of one connection. It is free again when the seat is dropped.
#[derive(Debug)]
pub(super) struct Seat {
    id: u64,
    place: Arc<Place>,
    inner: Arc<Mutex<Inner>>,
}

impl Seat {
    /// Waits until the place was given to another connection.
    pub(super) async fn evicted(&self) {
        self.place.evicted.cancelled().await;
    }

    /// Marks a request as running until the guard is dropped.
    pub(super) fn run(&self) -> Running {
        self.place.running.fetch_add(1, Ordering::AcqRel);
        Running { place: Arc::clone(&self.place) }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.inner.lock().places.remove(&self.id);
    }
}

/// A request that runs on a connection.
#[derive(Debug)]
pub(super) struct Running {
    place: Arc<Place>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.place.running.fetch_sub(1, Ordering::AcqRel);
    }
}
