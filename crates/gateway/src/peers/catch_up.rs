//! Fetches the records that peers have and this daemon lacks.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use compact_str::CompactString;
use hyssop_view::{
    heartbeat::{Heartbeat, Phase},
    record::Position,
    sync::{self, Response},
};
use parking_lot::Mutex;

use crate::gateway::Gateway;

/// How long a peer may have a later position before its records are fetched. The source usually
/// reports a change to all its watchers within this time.
const CATCH_UP_DELAY: Duration = Duration::from_millis(250);
/// The maximum number of fetches of changes at a time: one more than needed, as a peer may be silent.
/// They share the link, so more of them would delay each other.
const MAX_CHANGE_FETCHES: usize = 2;
/// The pause between two attempts to fetch a large record.
const RECORD_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Decides by the heartbeats of peers what to fetch, and from whom.
pub(super) struct CatchUp {
    gateway: Arc<Gateway>,
    /// The port at which peers serve records.
    port: u16,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    lag: Option<Lag>,
    missing: Option<Missing>,
    change_fetches: usize,
    /// Since when a large record is awaited.
    awaited_since: Option<Instant>,
    record_fetch: RecordFetch,
}

/// How long peers have had a later position than this daemon.
#[derive(Debug, Clone, Copy)]
struct Lag {
    applied: Position,
    since: Instant,
}

/// A position of a peer that this daemon has not reached.
#[derive(Debug, Clone, Copy)]
struct Missing {
    position: Position,
    since: Instant,
}

#[derive(Debug, Default)]
enum RecordFetch {
    #[default]
    Idle,
    Running,
    Paused(Instant),
}

impl CatchUp {
    pub(super) fn new(gateway: Arc<Gateway>, port: u16) -> Self {
        Self { gateway, port, state: Arc::default() }
    }

    pub(super) fn on_heartbeat(&self, from: IpAddr, heartbeat: &Heartbeat, now: Instant) {
        // A daemon that leaves may not hear of changes any more.
        let watches = heartbeat.watches_source && heartbeat.phase == Phase::Ready;
        self.gateway.cache.on_peer_position(heartbeat.applied, watches, now);
        self.fetch_changes(from, heartbeat, now);
        self.fetch_awaited(from, heartbeat, now);
        self.update_records_behind(heartbeat.applied, now);
    }

    /// Measures for how long a peer has had a position that this daemon has not reached, or a large
    /// record that it lacks.
    fn update_records_behind(&self, known: Position, now: Instant) {
        let applied = self.gateway.cache.snapshot().applied;
        let mut state = self.state.lock();
        if state.missing.is_some_and(|missing| applied >= missing.position) {
            state.missing = None;
        }
        if known > applied {
            state.missing.get_or_insert(Missing { position: known, since: now });
        }
        let since = state.missing.map(|missing| missing.since);
        let since = since.into_iter().chain(state.awaited_since).min();
        let behind = since.map_or(Duration::ZERO, |since| now.duration_since(since));
        self.gateway.metrics.records_behind.set(behind.as_secs_f64());
    }

    /// Fetches the records of a peer that has had newer ones than this daemon for a while, or,
    /// after a suspension of this process, the records of a ready peer.
    fn fetch_changes(&self, from: IpAddr, heartbeat: &Heartbeat, now: Instant) {
        let cache = &self.gateway.cache;
        let applied = cache.snapshot().applied;
        let suspended = cache.is_suspended();
        let useful =
            if suspended { heartbeat.phase == Phase::Ready } else { heartbeat.applied > applied };
        if !useful {
            return;
        }
        let mut state = self.state.lock();
        let since = match state.lag {
            Some(lag) if lag.applied == applied => lag.since,
            _ => {
                state.lag = Some(Lag { applied, since: now });
                now
            }
        };
        // A daemon that watches the source waits for the source to report the change, as watchers
        // receive changes at about the same time. Others wait for a peer of the own zone, which is
        // cheaper to fetch from than a remote one. While the source is lost there is nothing to
        // wait for.
        let near = heartbeat.zone == self.gateway.settings.zone;
        let expected = applied != Position::default()
            && !suspended
            && (self.gateway.watches_source() || cache.is_source_up() && !near);
        let first = since == now && !expected;
        if !first && now.duration_since(since) < CATCH_UP_DELAY {
            return;
        }
        if state.change_fetches >= MAX_CHANGE_FETCHES {
            return;
        }
        state.change_fetches += 1;
        // Restarts the delay, so that the peers are asked in turn.
        state.lag = Some(Lag { applied, since: now });
        let fetch = self.fetch(from);
        let state = Arc::clone(&self.state);
        tokio::spawn(async move {
            fetch.changes(applied, suspended).await;
            state.lock().change_fetches -= 1;
        });
    }

    /// Fetches a large record that is awaited: from a peer of the own zone that watches the source,
    /// as it has the record, or after a while from any other.
    fn fetch_awaited(&self, from: IpAddr, heartbeat: &Heartbeat, now: Instant) {
        let mut state = self.state.lock();
        let Some((key, position, own)) = self.gateway.cache.awaited() else {
            state.awaited_since = None;
            return;
        };
        let since = *state.awaited_since.get_or_insert(now);
        let near = heartbeat.zone == self.gateway.settings.zone;
        // A daemon that watches the source waits for the source, as above.
        let preferred = near && heartbeat.watches_source && !self.gateway.watches_source();
        let is_due = match state.record_fetch {
            RecordFetch::Idle => true,
            RecordFetch::Running => false,
            RecordFetch::Paused(until) => now >= until,
        };
        let may_have_it = heartbeat.applied >= position;
        let waited = now.duration_since(since) >= CATCH_UP_DELAY;
        if !is_due || !may_have_it || !(preferred || waited) {
            return;
        }
        state.record_fetch = RecordFetch::Running;
        let fetch = self.fetch(from);
        let state = Arc::clone(&self.state);
        tokio::spawn(async move {
            let changed = fetch.record(key, own).await;
            state.lock().record_fetch = match changed {
                true => RecordFetch::Idle,
                false => RecordFetch::Paused(Instant::now() + RECORD_RETRY_PAUSE),
            };
        });
    }

    fn fetch(&self, peer: IpAddr) -> Fetch {
        Fetch { gateway: Arc::clone(&self.gateway), address: SocketAddr::new(peer, self.port) }
    }
}

/// A fetch from one peer.
struct Fetch {
    gateway: Arc<Gateway>,
    address: SocketAddr,
}

impl Fetch {
    /// Fetches the records after a position. `suspended` means that the state was marked as out of
    /// date, after a suspension, when the fetch began.
    async fn changes(&self, after: Position, suspended: bool) {
        let (peer, cache) = (self.address.ip(), &self.gateway.cache);
        let request = sync::fetch_changes(self.address, after);
        let Some((Response { content, bytes }, after_ms)) = self.measure(request, after).await
        else {
            return;
        };
        let (count, listed) = (content.records.len(), content.listing.is_some());
        let references = content.references.len();
        let changed = cache.apply_changes(content, Instant::now());
        tracing::info!(
            event = "records_from_peer", %peer, %after, count, references, listed, changed, bytes,
            after_ms
        );
        // The peer sent these records after this process resumed, so they are current.
        if suspended && cache.is_suspended() && cache.awaited().is_none() {
            cache.set_suspended(false);
            tracing::info!(event = "resumed", %peer);
        }
        if changed {
            self.gateway.reconfigure();
        }
    }

    /// Fetches a record if it is later than a position. Returns whether the state changed.
    async fn record(&self, key: CompactString, after: Position) -> bool {
        let peer = self.address.ip();
        let request = sync::fetch_record(self.address, key.clone(), after);
        let Some((Response { content, bytes }, after_ms)) = self.measure(request, after).await
        else {
            return false;
        };
        let position = content.position;
        let changed = self.gateway.cache.apply_awaited(content, Instant::now());
        tracing::info!(
            event = "record_from_peer", %peer, %key, %after, %position, changed, bytes, after_ms
        );
        if changed {
            self.gateway.reconfigure();
        }
        changed
    }

    /// Awaits a response. Returns it with the time that it took in ms.
    async fn measure<T>(
        &self,
        request: impl Future<Output = Result<Response<T>, sync::Error>>,
        after: Position,
    ) -> Option<(Response<T>, u64)> {
        let (began, running) = (Instant::now(), &self.gateway.metrics.record_fetches);
        let concurrent = running.inc() + 1;
        let result = request.await;
        running.dec();
        let after_ms = began.elapsed().as_millis() as u64;
        match result {
            Ok(response) => Some((response, after_ms)),
            // Peers may be busy, or may have restarted since their heartbeat.
            Err(error @ (sync::Error::Busy | sync::Error::Unavailable)) => {
                tracing::info!(
                    event = "records_not_fetched", peer = %self.address.ip(), %error, %after
                );
                None
            }
            Err(error) => {
                tracing::warn!(
                    event = "records_not_fetched", peer = %self.address.ip(), %error, %after,
                    after_ms, received_bytes = error.received_bytes(), concurrent
                );
                None
            }
        }
    }
}
