//! Latency histograms and outcome counts by class and workspace.
//!
//! The number of series is bounded. Requests of further workspaces are combined by class.

use std::{sync::Arc, time::Duration};

use hyssop_document::{collections::Map, name};
use hyssop_operator::histogram::Row;
use parking_lot::Mutex;

/// The maximum number of series, not counting those that combine further workspaces.
const MAX_SERIES: usize = 20_000;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display)]
pub enum End {
    /// The caller received the complete response.
    #[display("answered")]
    Completed,
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

/// The measurements of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// How the request ended.
    pub end: End,
    /// The time to the first token or byte of the response.
    pub first_token: Option<Duration>,
    /// The time to the end of the request.
    pub complete: Duration,
    /// Whether the response met the targets of the class.
    pub on_target: bool,
}

/// The key of a series.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct SeriesKey {
    class: name::Class,
    /// `None` for the series that combines the workspaces beyond [`MAX_SERIES`].
    workspace: Option<name::Workspace>,
}

/// All series. The lock of the map is never held while a row is updated or copied.
#[derive(Debug, Default)]
pub struct Registry {
    series: Mutex<Map<SeriesKey, Arc<Mutex<Row>>>>,
}

impl Registry {
    /// Records the end of a request.
    pub fn record(&self, class: &name::Class, workspace: &name::Workspace, sample: &Sample) {
        update(&mut self.series(class, workspace).lock(), sample);
    }

    /// A copy of all series, in arbitrary order.
    pub fn rows(&self) -> Vec<Row> {
        let series: Vec<_> = self.series.lock().values().map(Arc::clone).collect();
        series.iter().map(|row| row.lock().clone()).collect()
    }

    fn series(&self, class: &name::Class, workspace: &name::Workspace) -> Arc<Mutex<Row>> {
        let mut key = SeriesKey { class: class.clone(), workspace: Some(workspace.clone()) };
        let mut series = self.series.lock();
        if series.len() >= MAX_SERIES && !series.contains_key(&key) {
            key.workspace = None;
        }
        let row = || Row::new(key.class.clone(), key.workspace.clone());
        let found = series.entry(key.clone()).or_insert_with(|| Arc::new(Mutex::new(row())));
        Arc::clone(found)
    }
}

fn update(row: &mut Row, sample: &Sample) {
    match sample.end {
        End::Completed => row.answered += 1,
        End::Refused => row.refused += 1,
        End::Unknown => row.unknown += 1,
        End::Failed => row.failed += 1,
    }
    row.on_target += u64::from(sample.on_target);
    // Only completed requests are in the histograms: immediate refusals would lower the latencies.
    if sample.end == End::Completed {
        row.complete.record_ms(millis(sample.complete));
        if let Some(first_token) = sample.first_token {
            row.first_token.record_ms(millis(first_token));
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
