//! Histograms of response times by class and workspace.

use std::{fmt, str::FromStr};

use compact_str::CompactString;
use hyssop_document::name;
use serde::{Deserialize, Serialize};

/// Longer times are recorded as this time.
const MAX_TIME_MS: u64 = 24 * 60 * 60 * 1000;
/// Each power of two is divided into `1 << SUB_BUCKET_BITS` buckets.
const SUB_BUCKET_BITS: u32 = 5;

/// The histograms of all hosts that one daemon could reach.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The host that responded.
    pub answered_by: name::Host,
    /// Whether the requests of some listed hosts are missing because the hosts were not reached.
    pub partial: bool,
    /// The hosts whose requests are included.
    pub hosts: Vec<name::Host>,
    /// The listed hosts that were not reached.
    pub not_reached: Vec<name::Host>,
    /// One row for each class and workspace that sent requests.
    pub rows: Vec<Row>,
}

impl Report {
    /// Sums the rows of all reached hosts.
    pub fn from_hosts(
        answered_by: name::Host,
        reached: Vec<(name::Host, Vec<Row>)>,
        mut not_reached: Vec<name::Host>,
    ) -> Self {
        not_reached.sort();
        let partial = !not_reached.is_empty();
        let mut hosts = Vec::with_capacity(reached.len());
        let mut rows: Vec<Row> = Vec::new();
        for (host, host_rows) in reached {
            hosts.push(host);
            rows.extend(host_rows);
        }
        hosts.sort();
        Self { answered_by, partial, hosts, not_reached, rows: merge_rows(rows) }
    }
}

/// Keeps the `max` rows with the most requests and sums the other rows of each class.
///
/// Each sum is one more row, without a workspace, so that the result can have more than `max` rows.
pub fn limit_rows(mut rows: Vec<Row>, max: usize) -> Vec<Row> {
    if rows.len() <= max {
        return rows;
    }
    rows.sort_by(|a, b| {
        let names = (&a.class, &a.workspace).cmp(&(&b.class, &b.workspace));
        b.requests().cmp(&a.requests()).then(names)
    });
    for row in rows.iter_mut().skip(max) {
        row.workspace = None;
    }
    merge_rows(rows)
}

/// Selects rows of a report.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Filter {
    /// Selects only rows of this class.
    pub class: Option<name::Class>,
    /// Selects only rows of this workspace.
    pub workspace: Option<name::Workspace>,
}

/// The error of a query string that is not a filter.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum FilterError {
    /// The query has a parameter that is unknown.
    #[display("the parameter {_0:?} is unknown, known are class and workspace")]
    Unknown(#[error(not(source))] CompactString),
    /// The value of a parameter is not a valid name.
    #[display("{parameter}: {error}")]
    Name {
        /// The name of the parameter.
        parameter: &'static str,
        /// The error of its value.
        #[error(source)]
        error: name::Error,
    },
}

impl FromStr for Filter {
    type Err = FilterError;

    fn from_str(query: &str) -> Result<Self, FilterError> {
        let mut filter = Self::default();
        for (parameter, value) in form_urlencoded::parse(query.as_bytes()) {
            match &*parameter {
                "class" => filter.class = Some(parse("class", &value)?),
                "workspace" => filter.workspace = Some(parse("workspace", &value)?),
                other => return Err(FilterError::Unknown(other.into())),
            }
        }
        Ok(filter)
    }
}

fn parse<T: FromStr<Err = name::Error>>(
    parameter: &'static str,
    value: &str,
) -> Result<T, FilterError> {
    value.parse().map_err(|error| FilterError::Name { parameter, error })
}

impl fmt::Display for Filter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut query = form_urlencoded::Serializer::new(String::new());
        if let Some(class) = &self.class {
            query.append_pair("class", class.as_str());
        }
        if let Some(workspace) = &self.workspace {
            query.append_pair("workspace", workspace.as_str());
        }
        f.write_str(&query.finish())
    }
}

impl Filter {
    /// Whether the filter selects a row.
    pub fn matches(&self, row: &Row) -> bool {
        let class_matches = self.class.as_ref().is_none_or(|class| row.class == *class);
        let workspace_matches = self.workspace.is_none() || row.workspace == self.workspace;
        class_matches && workspace_matches
    }
}

/// Sums rows of the same class and workspace. The result is sorted by class and workspace.
fn merge_rows(mut rows: Vec<Row>) -> Vec<Row> {
    rows.sort_by(|a, b| (&a.class, &a.workspace).cmp(&(&b.class, &b.workspace)));
    let mut merged: Vec<Row> = Vec::with_capacity(rows.len());
    for row in rows {
        match merged.last_mut() {
            Some(last) if last.class == row.class && last.workspace == row.workspace => {
                last.add(&row);
            }
            _ => merged.push(row),
        }
    }
    merged
}

/// The requests of one class and one workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The class of the requests.
    pub class: name::Class,
    /// The workspace, or nothing for the sum of all workspaces without a row of their own.
    pub workspace: Option<name::Workspace>,
    /// The number of requests with a complete response.
    pub answered: u64,
    /// The number of requests with a complete response that met both targets of the class.
    pub on_target: u64,
    /// The number of requests that were refused without running.
    pub refused: u64,
    /// The number of requests with an unknown outcome, which may have run.
    pub unknown: u64,
    /// The number of requests that ran and failed.
    pub failed: u64,
    /// The times from the request to the first token or byte, in milliseconds.
    pub first_token: Histogram,
    /// The times from the request to the end of the response, in milliseconds.
    pub complete: Histogram,
}

impl Row {
    /// A row without requests.
    pub fn new(class: name::Class, workspace: Option<name::Workspace>) -> Self {
        Self {
            class,
            workspace,
            answered: 0,
            on_target: 0,
            refused: 0,
            unknown: 0,
            failed: 0,
            first_token: Histogram::default(),
            complete: Histogram::default(),
        }
    }

    /// The number of all requests, whatever their outcome.
    pub fn requests(&self) -> u64 {
        self.answered + self.refused + self.unknown + self.failed
    }

    /// Adds the counts of another row.
    pub fn add(&mut self, other: &Self) {
        self.answered += other.answered;
        self.on_target += other.on_target;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.failed += other.failed;
        self.first_token.add(&other.first_token);
        self.complete.add(&other.complete);
    }
}

/// A histogram of times.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Histogram {
    /// The non-empty buckets in ascending order of their bounds.
    pub buckets: Vec<Bucket>,
}

/// A bucket of a histogram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bucket {
    /// The inclusive upper bound in milliseconds.
    pub up_to_ms: u64,
    /// The number of times in the bucket.
    pub count: u64,
}

impl Histogram {
    /// Makes a histogram out of bounds and counts, in any order.
    pub fn new(buckets: impl IntoIterator<Item = (u64, u64)>) -> Self {
        let mut histogram = Self::default();
        for (up_to_ms, count) in buckets {
            histogram.add_count(up_to_ms, count);
        }
        histogram
    }

    /// Records a time. The bound of its bucket exceeds the time by at most 1/32.
    pub fn record_ms(&mut self, time_ms: u64) {
        self.add_count(bound_ms(time_ms), 1);
    }

    fn add_count(&mut self, up_to_ms: u64, count: u64) {
        if count == 0 {
            return;
        }
        match self.buckets.binary_search_by_key(&up_to_ms, |bucket| bucket.up_to_ms) {
            Ok(position) => self.buckets[position].count += count,
            Err(position) => self.buckets.insert(position, Bucket { up_to_ms, count }),
        }
    }

    /// Adds the counts of another histogram.
    pub fn add(&mut self, other: &Self) {
        let mut merged = Vec::with_capacity(self.buckets.len().max(other.buckets.len()));
        let mut own = self.buckets.iter().copied().peekable();
        for bucket in &other.buckets {
            while let Some(lower) = own.next_if(|own| own.up_to_ms < bucket.up_to_ms) {
                merged.push(lower);
            }
            let equal = own.next_if(|own| own.up_to_ms == bucket.up_to_ms);
            let count = bucket.count + equal.map_or(0, |equal| equal.count);
            merged.push(Bucket { up_to_ms: bucket.up_to_ms, count });
        }
        merged.extend(own);
        self.buckets = merged;
    }

    /// The number of recorded times.
    pub fn count(&self) -> u64 {
        self.buckets.iter().map(|bucket| bucket.count).sum()
    }

    /// A quantile in milliseconds, rounded up to the bound of its bucket.
    ///
    /// `per_mille` is the rank in thousandths. An empty histogram has no quantiles.
    pub fn quantile_ms(&self, per_mille: u64) -> Option<u64> {
        let rank = (self.count() * per_mille.min(1000)).div_ceil(1000).max(1);
        let mut cumulative = 0;
        for bucket in &self.buckets {
            cumulative += bucket.count;
            if cumulative >= rank {
                return Some(bucket.up_to_ms);
            }
        }
        None
    }
}

/// The upper bound of the bucket of a time.
///
/// Each power of two is divided into 32 buckets. Up to 64 ms, each millisecond has its own bucket.
fn bound_ms(time_ms: u64) -> u64 {
    let time_ms = time_ms.clamp(1, MAX_TIME_MS);
    let magnitude = (time_ms - 1).checked_ilog2().unwrap_or(0);
    let width = 1 << magnitude.saturating_sub(SUB_BUCKET_BITS);
    time_ms.next_multiple_of(width)
}
