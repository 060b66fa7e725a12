//! Evidence that a segment of prompts crashes backend servers.
//!
//! For requests that differ in everything but one segment, and arrive at any daemon. When a backend
//! server crashes, the segments of all requests that had just begun there are suspects. A sound
//! segment soon belongs to a request that survives, which exonerates it; one at fault never does.
//! A rare segment may be quarantined by chance, so single requests are let through later on.
//! The module does no I/O and takes the time as an argument.

use std::{
    cmp::Reverse,
    time::{Duration, Instant},
};

use hyssop_document::collections::Map;
use rand::{
    Rng,
    seq::{IndexedRandom as _, SliceRandom as _},
};

use crate::blame::Fingerprint;

/// The number of crashes without a survivor after which a segment is quarantined.
pub const QUARANTINE_CRASHES: usize = 3;
/// The same for a segment that has survived before: a popular one has three crashes in a row now and
/// then, while one at fault has no survivors.
pub const SURVIVOR_QUARANTINE_CRASHES: usize = 5;
/// The time from the last of these crashes to the quarantine, in which peers can report survivors.
const QUARANTINE_DELAY: Duration = Duration::from_millis(500);
/// Crashes that are closer together count as one: many backend servers may crash at once for a
/// reason of their own, before any request can survive.
const MIN_CRASH_SPACING: Duration = Duration::from_millis(300);
/// How long a response runs before its request has survived. A request that had run for less is a
/// suspect when its backend server crashes.
pub const SURVIVAL_TIME: Duration = Duration::from_secs(1);
/// How long a segment that is not quarantined is recorded after the last crash or survivor.
const SUSPECT_TTL: Duration = Duration::from_secs(60);
/// How long a quarantined segment is recorded after the last crash.
const QUARANTINE_TTL: Duration = Duration::from_secs(900);
/// How long after the last crash one request with a quarantined segment may run, to find out whether
/// the segment is sound after all. Multiplied by [`TRIAL_DELAY_FACTOR`] for each further crash.
const TRIAL_DELAY: Duration = Duration::from_secs(10);
const TRIAL_DELAY_FACTOR: u32 = 3;
/// The maximum number of crashes on record for a segment.
const MAX_CRASHES: usize = 6;
/// The maximum number of segments on record, and of recent survivors in one half of
/// [`SURVIVOR_TTL`].
const MAX_SEGMENTS: usize = 4_096;
/// How long survivors are recorded for crashes that other daemons report later.
const SURVIVOR_TTL: Duration = Duration::from_secs(10);
/// How long after a crash or an exoneration a segment is news for peers.
const NEWS_TTL: Duration = Duration::from_secs(10);
/// The maximum number of quarantined segments in one sample for peers.
const MAX_QUARANTINED_SAMPLES: usize = 2;
/// The maximum number of other segments that one sample for peers has because of their crashes,
/// exonerated or not.
const MAX_SUSPECT_SAMPLES: usize = 3;

/// Identifies the crash of one incarnation of a backend server, the same in all daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub struct CrashId(pub u32);

/// A crash at which a request with the segment had just begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// Which backend server crashed.
    pub id: CrashId,
    /// When the crash was noticed.
    pub at: Instant,
}

/// What is known about one segment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evidence {
    /// The crashes that count, at most six.
    pub crashes: Vec<Crash>,
    /// When a request with the segment last survived.
    pub survived_at: Option<Instant>,
    /// When this daemon last let a request run although the segment is quarantined.
    tried_at: Option<Instant>,
    /// When a survivor last made up for crashes.
    exonerated_at: Option<Instant>,
    /// The number of these crashes, as far as this daemon and its peers have counted them.
    exonerated_crashes: usize,
}

impl Evidence {
    /// Whether requests with the segment must not run.
    pub fn is_quarantined(&self, now: Instant) -> bool {
        let mut times: Vec<Instant> = self.crashes.iter().map(|crash| crash.at).collect();
        times.sort_unstable();
        let decisive = times.get(self.quarantine_crashes() - 1);
        decisive.is_some_and(|&at| now.saturating_duration_since(at) >= QUARANTINE_DELAY)
    }

    fn quarantine_crashes(&self) -> usize {
        match self.survived_at {
            None => QUARANTINE_CRASHES,
            Some(_) => SURVIVOR_QUARANTINE_CRASHES,
        }
    }

    /// Creates evidence from what a peer reports.
    pub fn new(crashes: Vec<Crash>, survived_at: Option<Instant>) -> Self {
        Self { crashes, survived_at, ..Self::default() }
    }

    fn is_trial_due(&self, now: Instant) -> bool {
        let further_crashes = self.crashes.len().saturating_sub(self.quarantine_crashes());
        let delay = TRIAL_DELAY * TRIAL_DELAY_FACTOR.pow(further_crashes as u32);
        let last = self.last_crash().max(self.tried_at);
        last.is_none_or(|last| now.saturating_duration_since(last) >= delay)
    }

    fn add_crash(&mut self, crash: Crash) {
        if self.survived_at.is_some_and(|at| at >= crash.at) {
            self.exonerated_at = self.exonerated_at.max(self.survived_at);
            self.exonerated_crashes = self.exonerated_crashes.max(1);
            return;
        }
        let counted = self.crashes.iter().any(|other| {
            let spacing = other.at.max(crash.at).duration_since(other.at.min(crash.at));
            other.id == crash.id || spacing < MIN_CRASH_SPACING
        });
        if !counted && self.crashes.len() < MAX_CRASHES {
            self.crashes.push(crash);
        }
    }

    fn add_survival(&mut self, at: Instant) {
        self.survived_at = self.survived_at.max(Some(at));
        let crashes = self.crashes.len();
        self.crashes.retain(|crash| crash.at > at);
        let exonerated = crashes - self.crashes.len();
        if exonerated > 0 {
            self.exonerated_at = self.exonerated_at.max(Some(at));
            self.exonerated_crashes = exonerated;
        }
    }

    fn last_crash(&self) -> Option<Instant> {
        self.crashes.iter().map(|crash| crash.at).max()
    }

    fn last_change(&self) -> Option<Instant> {
        self.last_crash().max(self.survived_at)
    }

    fn is_news(&self, now: Instant) -> bool {
        let news = self.last_crash().max(self.exonerated_at);
        news.is_some_and(|at| now.saturating_duration_since(at) <= NEWS_TTL)
    }

    fn is_expired(&self, now: Instant) -> bool {
        let ttl = if self.is_quarantined(now) { QUARANTINE_TTL } else { SUSPECT_TTL };
        self.last_change().is_none_or(|at| now.saturating_duration_since(at) > ttl)
    }
}

/// The last survivor of each segment within [`SURVIVOR_TTL`], in two halves of that time.
#[derive(Debug, Default)]
struct Survivors {
    current: Map<Fingerprint, Instant>,
    previous: Map<Fingerprint, Instant>,
    current_since: Option<Instant>,
}

impl Survivors {
    fn record(&mut self, segment: Fingerprint, now: Instant) {
        let since = *self.current_since.get_or_insert(now);
        if now.saturating_duration_since(since) > SURVIVOR_TTL / 2
            || self.current.len() >= MAX_SEGMENTS
        {
            self.previous = std::mem::take(&mut self.current);
            self.current_since = Some(now);
        }
        self.current.insert(segment, now);
    }

    fn last(&self, segment: Fingerprint) -> Option<Instant> {
        self.current.get(&segment).or_else(|| self.previous.get(&segment)).copied()
    }
}

/// The evidence of one daemon, merged with that of its peers.
#[derive(Debug, Default)]
pub struct Registry {
    segments: Map<Fingerprint, Evidence>,
    survivors: Survivors,
}

impl Registry {
    /// Whether requests with the segment must not run.
    pub fn is_quarantined(&self, segment: Fingerprint, now: Instant) -> bool {
        let evidence = self.segments.get(&segment);
        evidence.is_some_and(|evidence| evidence.is_quarantined(now) && !evidence.is_expired(now))
    }

    /// Whether one request with a quarantined segment may run now. If so, the next call returns
    /// false until the delay has passed again. Only one daemon of the fleet may ask.
    pub fn begin_trial(&mut self, segment: Fingerprint, now: Instant) -> bool {
        let evidence = self.segments.get_mut(&segment);
        let Some(evidence) = evidence.filter(|evidence| evidence.is_trial_due(now)) else {
            return false;
        };
        evidence.tried_at = Some(now);
        true
    }

    /// Records a crash at which a request with the segment had just begun. Returns the evidence.
    pub fn record_crash(&mut self, segment: Fingerprint, crash: Crash, now: Instant) -> &Evidence {
        let evidence = self.entry(segment, now);
        evidence.add_crash(crash);
        evidence
    }

    /// Records that a request with the segment survived.
    pub fn record_survival(&mut self, segment: Fingerprint, now: Instant) {
        self.survivors.record(segment, now);
        if let Some(evidence) = self.segments.get_mut(&segment) {
            evidence.add_survival(now);
        }
    }

    /// Adds a peer's evidence.
    pub fn merge(&mut self, segment: Fingerprint, other: &Evidence, now: Instant) {
        let evidence = self.entry(segment, now);
        if let Some(at) = other.survived_at {
            evidence.add_survival(at);
        }
        for &crash in &other.crashes {
            evidence.add_crash(crash);
        }
        if evidence.crashes.is_empty() {
            // The peer must learn of the survivor, the sooner the more crashes it counts.
            evidence.exonerated_crashes = evidence.exonerated_crashes.max(other.crashes.len());
        }
    }

    /// The number of segments on record.
    pub fn len(&self) -> usize {
        self.segments.len()
    }

    /// Whether no segment is on record.
    pub fn is_empty(&self) -> bool {
        self.segments.is_empty()
    }

    /// At most `count` pieces of evidence for a peer: some quarantined segments, the suspects with
    /// the most crashes, and random ones of those that are news.
    pub fn sample(
        &self,
        count: usize,
        rng: &mut impl Rng,
        now: Instant,
    ) -> Vec<(Fingerprint, &Evidence)> {
        let live = self.segments.iter().filter(|(_, evidence)| !evidence.is_expired(now));
        let live = live.map(|(segment, evidence)| (*segment, evidence));
        let (mut sample, mut others): (Vec<_>, Vec<_>) =
            live.partition(|(_, evidence)| evidence.is_quarantined(now));
        // The order of the map differs between runs.
        sample.sort_unstable_by_key(|(segment, _)| segment.0);
        others.sort_unstable_by_key(|(segment, _)| segment.0);
        sample.shuffle(rng);
        sample.truncate(MAX_QUARANTINED_SAMPLES);
        others.retain(|(_, evidence)| evidence.is_news(now));
        others.shuffle(rng);
        others.sort_by_key(|(_, evidence)| {
            Reverse(evidence.crashes.len().max(evidence.exonerated_crashes))
        });
        let rest = others.split_off(others.len().min(MAX_SUSPECT_SAMPLES));
        sample.extend(others);
        sample.extend(rest.sample(rng, count.saturating_sub(sample.len())).copied());
        sample.truncate(count);
        sample
    }

    fn entry(&mut self, segment: Fingerprint, now: Instant) -> &mut Evidence {
        if self.segments.len() >= MAX_SEGMENTS && !self.segments.contains_key(&segment) {
            self.evict(now);
        }
        let survived_at = self.survivors.last(segment);
        let evidence = self.segments.entry(segment).or_default();
        if let Some(at) = survived_at {
            evidence.add_survival(at);
        }
        evidence
    }

    /// Removes what has expired, or else the segment with the fewest crashes.
    fn evict(&mut self, now: Instant) {
        self.segments.retain(|_, evidence| !evidence.is_expired(now));
        if self.segments.len() < MAX_SEGMENTS {
            return;
        }
        let weakest = self.segments.iter();
        let weakest =
            weakest.min_by_key(|(_, evidence)| (evidence.crashes.len(), evidence.last_change()));
        if let Some(segment) = weakest.map(|(segment, _)| *segment) {
            self.segments.remove(&segment);
        }
    }
}
