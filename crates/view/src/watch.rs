//! Which daemons watch the source, by signs of life that all daemons pass on.
//!
//! In a large fleet a daemon gets heartbeats of a watcher in turn with the others, far too rarely to
//! notice within a second that it is gone. So heartbeats carry the last sign of life of each watcher,
//! which reaches all daemons in two or three steps.

use std::time::{Duration, Instant};

use hyssop_document::collections::Map;
use rand::seq::SliceRandom as _;
use serde::{Deserialize, Serialize};

use crate::heartbeat::{Heartbeat, Phase, name_hash};

/// How long after its last sign of life a daemon counts as watching: eight heartbeat intervals within
/// a zone. With the time until another daemon has read the changes and told its peers it must stay
/// below the time in which departures of backend servers must be known, two seconds.
pub const WATCHER_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a watcher that is gone is remembered.
const WATCHER_TTL: Duration = Duration::from_secs(60);
/// The maximum number of watchers in one datagram. If there are more, a random sample is sent.
const MAX_WATCHER_ENTRIES: usize = 4;

/// A sign of life of a daemon that watches the source.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatcherEntry {
    /// The [`name_hash`] of the daemon's host.
    pub host_hash: u32,
    /// Grows with time, also over a restart of the daemon.
    pub beat: u64,
}

/// Whether other daemons watch the source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Watch {
    /// One does.
    Active,
    /// The last one that did has fallen silent. This says nothing about the source.
    Silent,
    /// None does, and none has done so without reporting that it can't any more.
    Ended,
}

#[derive(Debug, Clone, Copy)]
struct Sign {
    /// The last beat that was passed on, or 0.
    beat: u64,
    seen: Instant,
    /// When the daemon reported that it does not watch any more.
    ended: Option<Instant>,
}

/// The signs of life of watchers, by the hashes of their hosts' names.
#[derive(Debug, Default)]
pub struct Watchers {
    signs: Map<u32, Sign>,
}

impl Watchers {
    /// Records a heartbeat that arrived from its sender itself.
    pub fn record_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) {
        let host_hash = name_hash(heartbeat.host.as_str());
        if heartbeat.watches_source {
            let sign =
                self.signs.entry(host_hash).or_insert(Sign { beat: 0, seen: now, ended: None });
            (sign.seen, sign.ended) = (now, None);
        } else if heartbeat.phase == Phase::Ready
            && let Some(sign) = self.signs.get_mut(&host_hash)
            // A process that has started since then reports nothing about the source.
            && (sign.beat == 0 || heartbeat.started_ms() <= sign.beat)
        {
            sign.ended.get_or_insert(now);
        }
    }

    /// Records the signs of life that a peer passed on.
    pub fn record_entries(&mut self, entries: &[WatcherEntry], now: Instant) {
        for &WatcherEntry { host_hash, beat } in entries {
            let sign =
                self.signs.entry(host_hash).or_insert(Sign { beat: 0, seen: now, ended: None });
            if beat > sign.beat {
                *sign = Sign { beat, seen: now, ended: None };
            }
        }
    }

    /// The last signs of life, to be passed on.
    pub fn entries(&self, now: Instant) -> Vec<WatcherEntry> {
        let fresh = self.signs.iter().filter(|(_, sign)| sign.beat > 0 && sign.is_fresh(now));
        let entries = fresh.map(|(&host_hash, sign)| WatcherEntry { host_hash, beat: sign.beat });
        let mut entries: Vec<WatcherEntry> = entries.collect();
        // One place is left for the sender.
        if entries.len() >= MAX_WATCHER_ENTRIES {
            entries.shuffle(&mut rand::rng());
            entries.truncate(MAX_WATCHER_ENTRIES - 1);
        }
        entries
    }

    /// Whether a daemon watches the source. `liveness_timeout` applies where no daemon passes on its
    /// signs of life.
    pub fn is_watching(&self, host_hash: u32, liveness_timeout: Duration, now: Instant) -> bool {
        let sign = self.signs.get(&host_hash);
        sign.is_some_and(|sign| sign.is_watching(liveness_timeout, now))
    }

    /// Whether any daemon watches the source.
    pub fn watch(&self, liveness_timeout: Duration, now: Instant) -> Watch {
        if self.signs.values().any(|sign| sign.is_watching(liveness_timeout, now)) {
            return Watch::Active;
        }
        // One that ended while another one was watching has handed over.
        let last = self.signs.values().max_by_key(|sign| sign.ended.unwrap_or(sign.seen));
        match last {
            Some(Sign { ended: None, .. }) => Watch::Silent,
            _ => Watch::Ended,
        }
    }

    /// Forgets watchers that are gone for long.
    pub fn expire(&mut self, now: Instant) {
        self.signs.retain(|_, sign| now.duration_since(sign.seen) < WATCHER_TTL);
    }
}

impl Sign {
    fn is_fresh(&self, now: Instant) -> bool {
        self.ended.is_none() && now.duration_since(self.seen) <= WATCHER_TIMEOUT
    }

    fn is_watching(&self, liveness_timeout: Duration, now: Instant) -> bool {
        let timeout = if self.beat > 0 { WATCHER_TIMEOUT } else { liveness_timeout };
        self.ended.is_none() && now.duration_since(self.seen) <= timeout
    }
}
