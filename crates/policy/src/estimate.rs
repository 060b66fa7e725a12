//! Estimates learned from requests that ended.

/// The number of samples before an estimate is used.
pub const LEAST_SAMPLES: u32 = 8;

/// The number of samples at which a histogram forgets half of them.
const HISTOGRAM_SAMPLES: u32 = 2048;

const BUCKETS: usize = 64;

/// A histogram with two buckets for each power of two, which slowly forgets.
#[derive(Debug, Clone)]
pub struct Histogram {
    counts: [u32; BUCKETS],
    total: u32,
}

impl Default for Histogram {
    fn default() -> Self {
        Self { counts: [0; BUCKETS], total: 0 }
    }
}

impl Histogram {
    /// Adds a sample.
    pub fn record(&mut self, value: u64) {
        self.counts[bucket(value)] += 1;
        self.total += 1;
        if self.total >= HISTOGRAM_SAMPLES {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    /// The value below which the part `q` of the samples lies, once there are enough samples.
    pub fn quantile(&self, q: f64) -> Option<u64> {
        self.quantile_above(0, q)
    }

    /// The expected value of a sample that is known to be at least `least`.
    ///
    /// So the estimate of an answer's length grows while the answer streams. Beyond all samples the
    /// answer is expected to grow by half.
    pub fn expected(&self, least: u64) -> Option<u64> {
        if self.total < LEAST_SAMPLES {
            return None;
        }
        let first = bucket(least);
        let count: u64 = self.counts[first..].iter().map(|&count| u64::from(count)).sum();
        if count == 0 {
            return Some(least + least / 2);
        }
        let sum: u64 =
            (first..BUCKETS).map(|index| u64::from(self.counts[index]) * middle(index)).sum();
        Some((sum / count).max(least))
    }

    fn quantile_above(&self, first: usize, q: f64) -> Option<u64> {
        if self.total < LEAST_SAMPLES {
            return None;
        }
        let wanted = (f64::from(self.total) * q).ceil() as u32;
        let mut seen = 0;
        (first..BUCKETS).find_map(|index| {
            seen += self.counts[index];
            (seen >= wanted.max(1)).then(|| middle(index))
        })
    }
}

fn bucket(value: u64) -> usize {
    let position = 2.0 * ((value + 1) as f64).log2();
    (position as usize).min(BUCKETS - 1)
}

fn middle(bucket: usize) -> u64 {
    let exponent = (bucket as f64 + 0.5) / 2.0;
    (exponent.exp2() - 1.0).round() as u64
}

/// The part of the distance to a new sample that an average moves.
const WEIGHT: f64 = 0.1;

/// A sample counts as at most this multiple of the average, so that one outlier moves it little.
const LARGEST_STEP: f64 = 4.0;

/// A moving average that outliers move little.
#[derive(Debug, Clone, Copy, Default)]
pub struct Average {
    value: f64,
    samples: u32,
}

impl Average {
    /// Adds a sample.
    pub fn record(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.value = sample;
            return;
        }
        let sample = sample.min(self.value * LARGEST_STEP + 1.0);
        // The first samples count alike, so that the first one alone does not decide for long.
        let weight = WEIGHT.max(1.0 / f64::from(self.samples));
        self.value += weight * (sample - self.value);
    }

    /// The average, if there is a sample.
    pub fn get(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.value)
    }

    /// The average, if there are at least [`LEAST_SAMPLES`].
    pub fn settled(&self) -> Option<f64> {
        (self.samples >= LEAST_SAMPLES).then_some(self.value)
    }
}

/// The speed of one backend server.
#[derive(Debug, Clone, Copy, Default)]
pub struct Speed {
    /// The time to the first token, in milliseconds.
    pub first_token_ms: Average,
    /// The time to the first token, divided by what is usual for the class of the request.
    pub relative: Average,
    /// The time between tokens, in milliseconds.
    pub inter_token_ms: Average,
}

/// A first token is suspect if it takes this multiple of the usual time.
const SUSPECT_FACTOR: f64 = 4.0;

/// The number of suspect first tokens in a row after which a backend server counts as cold.
const SUSPECTS_IN_ROW: u32 = 5;

/// Watches whether the time to the first token leaves its own history.
#[derive(Debug, Clone, Copy, Default)]
pub struct Drift {
    usual: Average,
    suspects: u32,
}

impl Drift {
    /// Adds a time to the first token, divided by what is usual for the class of the request. Returns
    /// whether the history was left.
    ///
    /// `group` is the group's median. While the whole group is slow, the cause is its load and not
    /// this backend server.
    pub fn record(&mut self, relative: f64, group: Option<f64>) -> bool {
        let Some(usual) = self.usual.settled() else {
            self.usual.record(relative);
            return false;
        };
        let alone = group.is_none_or(|group| relative > 2.0 * group);
        if relative <= usual * SUSPECT_FACTOR || !alone {
            self.suspects = 0;
            self.usual.record(relative);
            return false;
        }
        self.suspects += 1;
        if self.suspects < SUSPECTS_IN_ROW {
            return false;
        }
        *self = Self::default();
        true
    }
}

/// The median of some values.
pub fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<_> = values.collect();
    if values.is_empty() {
        return None;
    }
    let middle = values.len() / 2;
    let (_, value, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*value)
}
