//! Measurements, from a request's home to histograms and metrics.

use std::sync::Arc;

use hyssop_caller::{
    observer::{End, Measurement, Observer as Border},
    outcome::Kind,
};

use crate::{
    histogram::{self, Registry, Sample},
    metrics::Metrics,
};

/// Records measurements.
#[derive(Debug)]
pub(crate) struct Observer {
    pub(crate) histograms: Arc<Registry>,
    pub(crate) metrics: Arc<Metrics>,
}

impl Border for Observer {
    fn on_end(&self, measurement: &Measurement) {
        let sample = sample(measurement);
        self.histograms.record(&measurement.class, &measurement.workspace, &sample);
        self.metrics.request(&measurement.class, &measurement.workspace, &sample);
        self.metrics.add("tokens", measurement.tokens.0);
        self.metrics.add("wasted_tokens", measurement.wasted_tokens.0);
        let dropped = measurement.dropped;
        self.metrics.add("dropped_parts", dropped.mismatched + dropped.repeated + dropped.gaps);
        self.metrics.add("retries", u64::from(measurement.attempts.saturating_sub(1)));
        log::debug!(
            "request ended class={} workspace={} pool={} end={} elapsed_ms={} tokens={} wasted={} \
             attempts={}",
            measurement.class,
            measurement.workspace,
            measurement.pool,
            sample.end,
            measurement.elapsed.as_millis(),
            measurement.tokens,
            measurement.wasted_tokens,
            measurement.attempts,
        );
    }
}

fn sample(measurement: &Measurement) -> Sample {
    let end = match measurement.end {
        End::Complete => histogram::End::Answered,
        End::Incomplete(Kind::Refused, _) => histogram::End::Refused,
        End::Incomplete(Kind::Unknown, _) => histogram::End::Unknown,
        End::Incomplete(Kind::Failed, _) => histogram::End::Failed,
    };
    Sample {
        end,
        first_token: measurement.first_token,
        complete: measurement.elapsed,
        attained: end == histogram::End::Answered && measurement.on_time,
    }
}
