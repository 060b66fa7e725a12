//! Requests that ran on a backend server when it crashed, and the segments of their prompts.

use std::time::{Duration, Instant};

use hyssop_backend::{
    blame::{Fingerprint, Record, Registry, Status},
    evidence::{Crash, CrashId, Evidence, Registry as SegmentRegistry},
};
use hyssop_document::{collections::Map, name::Backend};
use hyssop_view::heartbeat::{Blame, CrashEntry, EvidenceEntry};

/// How long a blamed request is recorded. Callers repeat a request only within their deadlines.
const BLAME_TTL: Duration = Duration::from_secs(60);
/// Exchanges that failed within this time before the crash of their backend server was detected are
/// blamed for it.
const CRASH_WINDOW: Duration = Duration::from_millis(600);
/// The maximum number of blames in one heartbeat.
const MAX_BLAME_ENTRIES: usize = 12;
/// The maximum number of segments in one heartbeat.
const MAX_EVIDENCE_ENTRIES: usize = 6;

#[derive(Debug, Clone, Copy)]
struct FailedExchange {
    fingerprint: Fingerprint,
    at: Instant,
}

/// A segment of a request that had just begun when its exchange failed.
#[derive(Debug, Clone, Copy)]
struct FailedSegment {
    segment: Fingerprint,
    crash: CrashId,
    at: Instant,
}

/// A daemon's records of requests that may have crashed backend servers.
#[derive(Debug)]
pub struct Suspects {
    registry: Registry,
    failures: Map<Backend, Vec<FailedExchange>>,
    /// The suspects of this daemon that run at each backend server.
    running: Map<Backend, Vec<Fingerprint>>,
    segments: SegmentRegistry,
    failed_segments: Map<Backend, Vec<FailedSegment>>,
}

impl Default for Suspects {
    fn default() -> Self {
        Self {
            registry: Registry::new(BLAME_TTL),
            failures: Map::default(),
            running: Map::default(),
            segments: SegmentRegistry::default(),
            failed_segments: Map::default(),
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

    /// The first of the segments whose requests must not run, if there is one.
    pub fn quarantined_segment(
        &self,
        segments: &[Fingerprint],
        now: Instant,
    ) -> Option<Fingerprint> {
        segments.iter().copied().find(|&segment| self.segments.is_quarantined(segment, now))
    }

    /// Whether a request with these segments, one of which is in quarantine, may run to try that one. See
    /// [`SegmentRegistry::begin_trial`].
    pub fn begin_trial(
        &mut self,
        segment: Fingerprint,
        segments: &[Fingerprint],
        now: Instant,
    ) -> bool {
        let mut others = segments.iter().filter(|&&other| other != segment);
        let is_alone = !others.any(|&other| self.segments.is_quarantined(other, now));
        is_alone && self.segments.begin_trial(segment, now)
    }

    /// Records a failed exchange with `server` of a request that had just begun. `crash` identifies
    /// the crash of the server, if that is the cause.
    pub fn record_failed_segments(
        &mut self,
        server: &Backend,
        crash: CrashId,
        segments: &[Fingerprint],
        now: Instant,
    ) {
        let failed = self.failed_segments.entry(server.clone()).or_default();
        failed.retain(|failed| now.duration_since(failed.at) <= CRASH_WINDOW);
        failed.extend(segments.iter().map(|&segment| FailedSegment { segment, crash, at: now }));
    }

    /// Records a crash of `server` for the segments of the requests that had just begun there.
    /// Returns these segments, each with the number of crashes that count.
    pub fn record_segment_crash(
        &mut self,
        server: &Backend,
        now: Instant,
    ) -> Vec<(Fingerprint, usize)> {
        let failed = self.failed_segments.remove(server).unwrap_or_default();
        let recent = failed.iter().filter(|failed| now.duration_since(failed.at) <= CRASH_WINDOW);
        let mut crashes: Vec<_> = recent.map(|failed| (failed.segment, failed.crash)).collect();
        crashes.sort_unstable();
        crashes.dedup();
        let crashes = crashes.into_iter().map(|(segment, id)| {
            let evidence = self.segments.record_crash(segment, Crash { id, at: now }, now);
            (segment, evidence.crashes.len())
        });
        crashes.collect()
    }

    /// Records that a request with these segments ran long enough not to be the cause of a crash.
    pub fn record_survival(&mut self, segments: &[Fingerprint], now: Instant) {
        for &segment in segments {
            self.segments.record_survival(segment, now);
        }
    }

    /// Applies the evidence of a peer's heartbeat.
    pub fn merge_evidence(&mut self, entries: &[EvidenceEntry], now: Instant) {
        let at = |ms_ago| now.checked_sub(Duration::from_millis(u64::from(ms_ago))).unwrap_or(now);
        for entry in entries {
            let crashes = entry.crashes.iter();
            let crashes =
                crashes.map(|crash| Crash { id: CrashId(crash.id), at: at(crash.ms_ago) });
            let evidence = Evidence::new(crashes.collect(), entry.survived_ms_ago.map(at));
            self.segments.merge(Fingerprint(entry.segment), &evidence, now);
        }
    }

    /// The evidence to send to peers.
    pub fn evidence(&self, now: Instant) -> Vec<EvidenceEntry> {
        let ms_ago = |at: Instant| now.saturating_duration_since(at).as_millis() as u32;
        let sample = self.segments.sample(MAX_EVIDENCE_ENTRIES, &mut rand::rng(), now);
        let entries = sample.into_iter().map(|(segment, evidence)| EvidenceEntry {
            segment: segment.0,
            crashes: evidence
                .crashes
                .iter()
                .map(|crash| CrashEntry { id: crash.id.0, ms_ago: ms_ago(crash.at) })
                .collect(),
            survived_ms_ago: evidence.survived_at.map(ms_ago),
        });
        entries.collect()
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
