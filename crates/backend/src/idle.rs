//! Idle connections that idempotent requests may use again.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use hyssop_document::collections::Map;
use parking_lot::Mutex;

use crate::connection::Link;

/// The idle connections kept for each backend server.
const MAX_IDLE_PER_BACKEND: usize = 8;
/// The time for which an idle connection is kept.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);

/// The idle connections of a client.
#[derive(Debug, Default)]
pub(crate) struct Idle {
    links: Mutex<Map<SocketAddr, Vec<(Link, Instant)>>>,
}

impl Idle {
    /// Takes the connection that was used last.
    pub(crate) fn take(&self, address: SocketAddr) -> Option<Link> {
        let now = Instant::now();
        let mut links = self.links.lock();
        let list = links.get_mut(&address)?;
        list.retain(|(link, since)| now.duration_since(*since) < MAX_IDLE_TIME && link.is_open());
        let link = list.pop().map(|(link, _)| link);
        if list.is_empty() {
            links.remove(&address);
        }
        link
    }

    pub(crate) fn put(&self, address: SocketAddr, link: Link) {
        let mut links = self.links.lock();
        let list = links.entry(address).or_default();
        if list.len() < MAX_IDLE_PER_BACKEND {
            list.push((link, Instant::now()));
        }
    }
}
