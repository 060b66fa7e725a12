//! Requests that ran on a backend server when it crashed.

use std::time::{Duration, Instant};

use hyssop_backend::blame::{Fingerprint, Record, Registry, Status};
use hyssop_document::{collections::Map, name::Backend};
use hyssop_view::heartbeat::Blame;

/// How long a blamed request is recorded. Callers repeat a request only within their deadlines.
const BLAME_TTL: Duration = Duration::from_secs(60);
/// Exchanges that failed within this time before the crash of their backend server was detected are
/// blamed for it.
const CRASH_WINDOW: Duration = Duration::from_millis(600);
/// The maximum number of blames in one heartbeat.
const MAX_BLAME_ENTRIES: usize = 12;

#[derive(Debug, Clone, Copy)]
struct FailedExchange {
    fingerprint: Fingerprint,
    at: Instant,
}

/// A daemon's records of requests that may have crashed backend servers.
#[derive(Debug)]
pub struct Suspects {
    registry: Registry,
    failures: Map<Backend, Vec<FailedExchange>>,
    /// The suspects of this daemon that run at each backend server.
    running: Map<Backend, Vec<Fingerprint>>,
}

impl Default for Suspects {
    fn default() -> Self {
        Self {
            registry: Registry::new(BLAME_TTL),
            failures: Map::default(),
            running: Map::default(),
        }
    }
}

impl Suspects {
    /// Whether a request is clear, suspect or quarantined.
    pub fn status(&self, fingerprint: Fingerprint, now: Instant) -> Status {
        self.registry.status(fingerprint, now)
    }

    /// Records that a suspect starts to run on `server`.
    pub fn record_start(&mut self, server: &Backend, fingerprint: Fingerprint) {
        self.running.entry(server.clone()).or_default().push(fingerprint);
    }

    /// Records that a suspect no longer runs on `server`.
    pub fn record_end(&mut self, server: &Backend, fingerprint: Fingerprint) {
        let Some(running) = self.running.get_mut(server) else { return };
        if let Some(at) = running.iter().position(|&other| other == fingerprint) {
            running.swap_remove(at);
        }
        if running.is_empty() {
            self.running.remove(server);
        }
    }

    /// The backend servers on which suspects of this daemon run.
    pub fn occupied_servers(&self) -> Vec<Backend> {
        self.running.keys().cloned().collect()
    }

    /// Records a failed exchange of a request with `server`.
    pub fn record_failure(&mut self, server: &Backend, fingerprint: Fingerprint, now: Instant) {
        let failures = self.failures.entry(server.clone()).or_default();
        failures.retain(|failure| now.duration_since(failure.at) <= CRASH_WINDOW);
        failures.push(FailedExchange { fingerprint, at: now });
    }

    /// Records a crash of `server`, and blames the requests whose exchanges with it have just
    /// failed. Returns these requests. The crash counts again for an earlier suspect only if no
    /// other suspect is among them.
    pub fn record_crash(&mut self, server: &Backend, now: Instant) -> Vec<(Fingerprint, Status)> {
        let failures = self.failures.remove(server).unwrap_or_default();
        let mut blamed: Vec<Fingerprint> = failures
            .iter()
            .filter(|failure| now.duration_since(failure.at) <= CRASH_WINDOW)
            .map(|failure| failure.fingerprint)
            .collect();
        blamed.sort_unstable();
        blamed.dedup();
        let suspects =
            |&&fingerprint: &&Fingerprint| self.registry.status(fingerprint, now) != Status::Clear;
        let solo = blamed.iter().filter(suspects).count() == 1;
        let mut statuses = Vec::new();
        for fingerprint in blamed {
            let suspect = self.registry.status(fingerprint, now) != Status::Clear;
            let record = self.registry.blame(fingerprint, solo && suspect, now);
            statuses.push((fingerprint, record.status()));
        }
        statuses
    }

    /// Applies the blames of a peer's heartbeat.
    pub fn merge(&mut self, blames: &[Blame], now: Instant) {
        for blame in blames {
            let fingerprint = Fingerprint(blame.fingerprint);
            let expires = now + Duration::from_millis(u64::from(blame.expires_in_ms));
            self.registry.merge(fingerprint, Record { crashes: blame.crashes, expires }, now);
        }
    }

    /// The blames to send to peers: the requests with the most crashes.
    pub fn blames(&self, now: Instant) -> Vec<Blame> {
        let records = self.registry.list(now).into_iter().take(MAX_BLAME_ENTRIES);
        let blame = |(fingerprint, record): (Fingerprint, Record)| {
            let expires_in_ms = record.expires.saturating_duration_since(now).as_millis() as u32;
            Blame { fingerprint: fingerprint.0, crashes: record.crashes, expires_in_ms }
        };
        records.map(blame).collect()
    }
}
