//! Histograms of times and counts of outcomes, for each class and workspace.
//!
//! The number of series is bounded. Requests of further workspaces are counted together by class.

use std::{sync::Arc, time::Duration};

use hyssop_document::{collections::Map, name};
use hyssop_operator::histogram::Row;
use parking_lot::Mutex;

/// The largest number of series, without those for further workspaces.
const MAX_SERIES: usize = 20_000;

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
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Name {
    class: name::Class,
    /// None once there are too many series.
    workspace: Option<name::Workspace>,
}

/// All series. A lock is held for a few instructions, and never while rows are copied.
#[derive(Debug, Default)]
pub struct Registry {
    series: Mutex<Map<Name, Arc<Mutex<Row>>>>,
}

impl Registry {
    /// Records the end of a request.
    pub fn record(&self, class: &name::Class, workspace: &name::Workspace, sample: &Sample) {
        add(&mut self.series(class, workspace).lock(), sample);
    }

    /// A copy of all series, in no order.
    pub fn rows(&self) -> Vec<Row> {
        let series: Vec<_> = self.series.lock().values().map(Arc::clone).collect();
        series.iter().map(|row| row.lock().clone()).collect()
    }

    fn series(&self, class: &name::Class, workspace: &name::Workspace) -> Arc<Mutex<Row>> {
        let mut name = Name { class: class.clone(), workspace: Some(workspace.clone()) };
        let mut series = self.series.lock();
        if series.len() >= MAX_SERIES && !series.contains_key(&name) {
            name.workspace = None;
        }
        let row = || Row::new(name.class.clone(), name.workspace.clone());
        let found = series.entry(name.clone()).or_insert_with(|| Arc::new(Mutex::new(row())));
        Arc::clone(found)
    }
}

fn add(row: &mut Row, sample: &Sample) {
    match sample.end {
        End::Answered => row.answered += 1,
        End::Refused => row.refused += 1,
        End::Unknown => row.unknown += 1,
        End::Failed => row.failed += 1,
    }
    row.on_target += u64::from(sample.attained);
    // Only answers have times: a refusal at once would make the histogram look better.
    if sample.end == End::Answered {
        row.complete.record_ms(millis(sample.complete));
        if let Some(first_token) = sample.first_token {
            row.first_token.record_ms(millis(first_token));
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
