//! Histograms of times and counts of outcomes, for each class and workspace.
//!
//! The number of series is bounded: only names of the document in force can be recorded.

use std::{sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use hdrhistogram::Histogram;
use hyssop_document::{collections::Map, name};
use parking_lot::Mutex;

/// The longest time that a histogram tells apart, in milliseconds.
const MAX_MS: u64 = 3_600_000;
/// The significant decimal digits of a recorded time.
const SIGNIFICANT_DIGITS: u8 = 2;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display)]
pub enum End {
    /// The caller got the whole answer.
    #[display("answered")]
    Answered,
    /// The request was refused and did not run.
    #[display("refused")]
    Refused,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
    /// The request ran and failed.
    #[display("failed")]
    Failed,
}

/// What is recorded of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// How the request ended.
    pub end: End,
    /// The time to the first token or byte of the answer.
    pub first_token: Option<Duration>,
    /// The time to the end.
    pub complete: Duration,
    /// Whether the answer met the targets of its class.
    pub attained: bool,
}

/// Identifies a series.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Name {
    /// The class.
    pub class: name::Class,
    /// The workspace.
    pub workspace: name::Workspace,
}

/// The record of one class and workspace.
#[derive(Debug, Clone)]
pub struct Series {
    /// The times to the first token, in milliseconds.
    pub first_token_ms: Histogram<u64>,
    /// The times to the complete answer, in milliseconds.
    pub complete_ms: Histogram<u64>,
    /// The requests that were answered.
    pub answered: u64,
    /// The requests that were answered within the targets of their class.
    pub attained: u64,
    /// The requests that were refused.
    pub refused: u64,
    /// The requests that may have run.
    pub unknown: u64,
    /// The requests that ran and failed.
    pub failed: u64,
}

impl Default for Series {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_MS, SIGNIFICANT_DIGITS);
        let histogram = histogram.expect("the bounds are constants that fit each other");
        Self {
            first_token_ms: histogram.clone(),
            complete_ms: histogram,
            answered: 0,
            attained: 0,
            refused: 0,
            unknown: 0,
            failed: 0,
        }
    }
}

impl Series {
    fn record(&mut self, sample: &Sample) {
        match sample.end {
            End::Answered => self.answered += 1,
            End::Refused => self.refused += 1,
            End::Unknown => self.unknown += 1,
            End::Failed => self.failed += 1,
        }
        self.attained += u64::from(sample.attained);
        // Only answers have times: a refusal at once would make the histogram look better.
        if sample.end == End::Answered {
            self.complete_ms.saturating_record(millis(sample.complete));
            if let Some(first_token) = sample.first_token {
                self.first_token_ms.saturating_record(millis(first_token));
            }
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(MAX_MS).clamp(1, MAX_MS)
}

/// All series. Recording takes a lock of one series for a few instructions.
#[derive(Debug, Default)]
pub struct Book {
    series: ArcSwap<Map<Name, Arc<Mutex<Series>>>>,
    insert: Mutex<()>,
}

impl Book {
    /// Records the end of a request.
    ///
    /// The caller passes only names of the document in force, which bounds the number of series.
    pub fn record(&self, class: &name::Class, workspace: &name::Workspace, sample: &Sample) {
        let name = Name { class: class.clone(), workspace: workspace.clone() };
        let series = self.series.load().get(&name).cloned();
        let series = series.unwrap_or_else(|| self.insert(name));
        series.lock().record(sample);
    }

    /// Drops the series whose names `keep` refuses.
    pub fn retain(&self, keep: impl Fn(&Name) -> bool) {
        let _guard = self.insert.lock();
        let mut kept = Map::clone(&self.series.load());
        kept.retain(|name, _| keep(name));
        self.series.store(Arc::new(kept));
    }

    /// A copy of all series, in the order of their names.
    pub fn snapshot(&self) -> Vec<(Name, Series)> {
        let series = self.series.load();
        let mut rows: Vec<_> =
            series.iter().map(|(name, series)| (name.clone(), series.lock().clone())).collect();
        rows.sort_by(|a, b| a.0.cmp(&b.0));
        rows
    }

    fn insert(&self, name: Name) -> Arc<Mutex<Series>> {
        let _guard = self.insert.lock();
        if let Some(series) = self.series.load().get(&name) {
            return Arc::clone(series);
        }
        let mut next = Map::clone(&self.series.load());
        let series = Arc::new(Mutex::new(Series::default()));
        next.insert(name, Arc::clone(&series));
        self.series.store(Arc::new(next));
        series
    }
}
