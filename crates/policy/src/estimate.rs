//! Estimates from completed requests.

/// The minimum number of samples before an estimate is used.
pub const MIN_SAMPLES: u32 = 8;

/// The number of samples at which a histogram halves its counts, so that old samples fade.
const MAX_HISTOGRAM_SAMPLES: u32 = 2048;

const HISTOGRAM_BUCKETS: usize = 64;

/// A histogram with two buckets for each power of two, in which old samples fade.
#[derive(Debug, Clone)]
pub struct Histogram {
    counts: [u32; HISTOGRAM_BUCKETS],
    total: u32,
}

impl Default for Histogram {
    fn default() -> Self {
        Self { counts: [0; HISTOGRAM_BUCKETS], total: 0 }
    }
}

impl Histogram {
    /// Adds a sample.
    pub fn record(&mut self, value: u64) {
        self.counts[bucket_index(value)] += 1;
        self.total += 1;
        if self.total >= MAX_HISTOGRAM_SAMPLES {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    /// The value below which `fraction` of the samples lie, once there are [`MIN_SAMPLES`].
    pub fn quantile(&self, fraction: f64) -> Option<u64> {
        self.quantile_above(0, fraction)
    }

    /// The expected value of a sample that is known to be at least `minimum`.
    ///
    /// The estimate of a response's length thus grows while the response streams. If no sample is
    /// as long, the response is expected to grow by half.
    pub fn expected_above(&self, minimum: u64) -> Option<u64> {
        if self.total < MIN_SAMPLES {
            return None;
        }
        let first_bucket = bucket_index(minimum);
        let count: u64 = self.counts[first_bucket..].iter().map(|&count| u64::from(count)).sum();
        if count == 0 {
            return Some(minimum + minimum / 2);
        }
        let sum: u64 = (first_bucket..HISTOGRAM_BUCKETS)
            .map(|index| u64::from(self.counts[index]) * bucket_midpoint(index))
            .sum();
        Some((sum / count).max(minimum))
    }

    fn quantile_above(&self, first_bucket: usize, fraction: f64) -> Option<u64> {
        if self.total < MIN_SAMPLES {
            return None;
        }
        let rank = (f64::from(self.total) * fraction).ceil() as u32;
        let mut cumulative = 0;
        (first_bucket..HISTOGRAM_BUCKETS).find_map(|index| {
            cumulative += self.counts[index];
            (cumulative >= rank.max(1)).then(|| bucket_midpoint(index))
        })
    }
}

fn bucket_index(value: u64) -> usize {
    let position = 2.0 * ((value + 1) as f64).log2();
    (position as usize).min(HISTOGRAM_BUCKETS - 1)
}

fn bucket_midpoint(bucket: usize) -> u64 {
    let exponent = (bucket as f64 + 0.5) / 2.0;
    (exponent.exp2() - 1.0).round() as u64
}

/// The weight of a new sample once there are enough samples for a moving average.
const MIN_SAMPLE_WEIGHT: f64 = 0.1;

/// A sample counts as at most this multiple of the average, which limits the effect of an outlier.
const MAX_SAMPLE_FACTOR: f64 = 4.0;

/// A moving average that limits the effect of outliers.
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
        let sample = sample.min(self.value * MAX_SAMPLE_FACTOR + 1.0);
        // The first samples have equal weights, so that the very first one does not dominate.
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.value += weight * (sample - self.value);
    }

    /// The average, if there is any sample.
    pub fn get(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.value)
    }

    /// The average, if there are at least [`MIN_SAMPLES`].
    pub fn reliable(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.value)
    }
}

/// The measured speed of one backend server.
#[derive(Debug, Clone, Copy, Default)]
pub struct Speed {
    /// The time to the first token, in milliseconds.
    pub first_token_ms: Average,
    /// The time to the first token, divided by the typical time of the request's class.
    pub first_token_ratio: Average,
    /// The time between tokens, in milliseconds.
    pub inter_token_ms: Average,
}

/// A time to the first token above this multiple of the baseline is an outlier.
const OUTLIER_FACTOR: f64 = 4.0;

/// The number of consecutive outliers after which a backend server is treated as cold.
const MIN_CONSECUTIVE_OUTLIERS: u32 = 5;

/// Detects when the time to the first token of a backend server drifts from its own baseline.
#[derive(Debug, Clone, Copy, Default)]
pub struct DriftDetector {
    baseline: Average,
    outliers: u32,
}

impl DriftDetector {
    /// Adds a time to the first token, divided by the typical time of the request's class. Returns
    /// true once it has drifted from the baseline.
    ///
    /// If `group_median` is high too, the cause is the load of the group and not this backend
    /// server.
    pub fn record(&mut self, first_token_ratio: f64, group_median: Option<f64>) -> bool {
        let Some(baseline) = self.baseline.reliable() else {
            self.baseline.record(first_token_ratio);
            return false;
        };
        let only_this_server =
            group_median.is_none_or(|group_median| first_token_ratio > 2.0 * group_median);
        if first_token_ratio <= baseline * OUTLIER_FACTOR || !only_this_server {
            self.outliers = 0;
            self.baseline.record(first_token_ratio);
            return false;
        }
        self.outliers += 1;
        if self.outliers < MIN_CONSECUTIVE_OUTLIERS {
            return false;
        }
        *self = Self::default();
        true
    }
}

/// The upper median of `values`, or `None` if there are none.
pub fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<_> = values.collect();
    if values.is_empty() {
        return None;
    }
    let middle = values.len() / 2;
    let (_, value, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*value)
}
