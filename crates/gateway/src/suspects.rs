//! Requests that ran where a backend server died.

use std::time::{Duration, Instant};

use hyssop_backend::blame::{Fingerprint, Record, Registry, Standing};
use hyssop_document::{collections::Map, name::Backend};
use hyssop_view::heartbeat::Blame;

/// How long a suspect is remembered. Callers send a request again within their deadlines.
const REMEMBERED: Duration = Duration::from_secs(60);
/// Exchanges that broke within this time before a backend server was found dead are blamed.
const TOGETHER: Duration = Duration::from_millis(600);
/// The largest number of records in one heartbeat.
const TOLD: usize = 12;

#[derive(Debug, Clone, Copy)]
struct Break {
    fingerprint: Fingerprint,
    at: Instant,
}

/// What one daemon knows of requests that break backend servers.
#[derive(Debug)]
pub struct Suspects {
    registry: Registry,
    breaks: Map<Backend, Vec<Break>>,
    running: Map<Backend, Vec<Fingerprint>>,
}

impl Default for Suspects {
    fn default() -> Self {
        Self {
            registry: Registry::new(REMEMBERED),
            breaks: Map::default(),
            running: Map::default(),
        }
    }
}

impl Suspects {
    /// How a request stands.
    pub fn standing(&self, fingerprint: Fingerprint, now: Instant) -> Standing {
        self.registry.standing(fingerprint, now)
    }

    /// Takes that a suspect runs at `server`.
    pub fn started(&mut self, server: &Backend, fingerprint: Fingerprint) {
        self.running.entry(server.clone()).or_default().push(fingerprint);
    }

    /// Takes that a suspect does not run there any more.
    pub fn ended(&mut self, server: &Backend, fingerprint: Fingerprint) {
        let Some(running) = self.running.get_mut(server) else { return };
        if let Some(at) = running.iter().position(|&other| other == fingerprint) {
            running.swap_remove(at);
        }
        if running.is_empty() {
            self.running.remove(server);
        }
    }

    /// The backend servers at which suspects of this daemon run.
    pub fn occupied(&self) -> Vec<Backend> {
        self.running.keys().cloned().collect()
    }

    /// Takes that the exchange of a request broke at `server`.
    pub fn broke(&mut self, server: &Backend, fingerprint: Fingerprint, now: Instant) {
        let breaks = self.breaks.entry(server.clone()).or_default();
        breaks.retain(|known| now.duration_since(known.at) <= TOGETHER);
        breaks.push(Break { fingerprint, at: now });
    }

    /// Takes that `server` is dead: what broke there just now is blamed. Returns what was blamed.
    pub fn died(&mut self, server: &Backend, now: Instant) -> Vec<(Fingerprint, Standing)> {
        let breaks = self.breaks.remove(server).unwrap_or_default();
        let mut blamed: Vec<Fingerprint> = breaks
            .iter()
            .filter(|known| now.duration_since(known.at) <= TOGETHER)
            .map(|known| known.fingerprint)
            .collect();
        blamed.sort_unstable();
        blamed.dedup();
        let suspects = |&&fingerprint: &&Fingerprint| {
            self.registry.standing(fingerprint, now) != Standing::Clear
        };
        let solo = blamed.iter().filter(suspects).count() == 1;
        let mut standings = Vec::new();
        for fingerprint in blamed {
            let suspect = self.registry.standing(fingerprint, now) != Standing::Clear;
            let record = self.registry.blame(fingerprint, solo && suspect, now);
            standings.push((fingerprint, record.standing()));
        }
        standings
    }

    /// Takes what a peer knows.
    pub fn merge(&mut self, blames: &[Blame], now: Instant) {
        for blame in blames {
            let fingerprint = Fingerprint(blame.fingerprint);
            let expires = now + Duration::from_millis(u64::from(blame.expires_in_ms));
            self.registry.merge(fingerprint, Record { crashes: blame.crashes, expires }, now);
        }
    }

    /// What to tell peers: the records with the most crashes.
    pub fn told(&self, now: Instant) -> Vec<Blame> {
        let records = self.registry.list(now).into_iter().take(TOLD);
        let blame = |(fingerprint, record): (Fingerprint, Record)| {
            let expires_in_ms = record.expires.saturating_duration_since(now).as_millis() as u32;
            Blame { fingerprint: fingerprint.0, crashes: record.crashes, expires_in_ms }
        };
        records.map(blame).collect()
    }
}
