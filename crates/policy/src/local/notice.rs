//! What backend servers have asked of this daemon.
//!
//! For releases: a backend server says in its responses that it leaves, before its published record
//! does. It gets no new requests, whatever its record says, until another incarnation starts.

use std::time::{Duration, Instant};

use hyssop_document::{collections::Map, name::Backend};

/// How long the departure of an incarnation is remembered. Its record is gone long before.
const LEAVING_TTL: Duration = Duration::from_secs(600);

#[derive(Debug, Clone, Copy)]
struct Leaving {
    incarnation: u64,
    at: Instant,
}

/// The requests of backend servers to one daemon.
#[derive(Debug, Default)]
pub struct Notices {
    leaving: Map<Backend, Leaving>,
}

impl Notices {
    /// Records that an incarnation of a backend server leaves. Returns whether that is new.
    pub fn record_leaving(&mut self, server: &Backend, incarnation: u64, now: Instant) -> bool {
        if self.is_leaving(server, incarnation) {
            return false;
        }
        self.leaving.insert(server.clone(), Leaving { incarnation, at: now });
        true
    }

    /// Whether an incarnation of a backend server leaves, or a later one does.
    pub fn is_leaving(&self, server: &Backend, incarnation: u64) -> bool {
        self.leaving.get(server).is_some_and(|leaving| leaving.incarnation >= incarnation)
    }

    /// Forgets what has expired. Of a backend server that publishes no incarnation, the departure is
    /// forgotten once it is not known any more.
    pub fn expire(&mut self, is_known: impl Fn(&Backend) -> bool, now: Instant) {
        self.leaving.retain(|server, leaving| {
            let is_recent = now.duration_since(leaving.at) < LEAVING_TTL;
            is_recent && (leaving.incarnation > 0 || is_known(server))
        });
    }
}
