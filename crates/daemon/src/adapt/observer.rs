//! Records the measurements of a request's home in histograms and metrics.

use std::sync::Arc;

use hyssop_caller::{
    observer::{End, Measurement, Observer as CallerObserver},
    outcome::Kind,
};

use crate::{
    histogram::{self, Registry, Sample},
    metrics::Metrics,
};

/// Records each ended request.
#[derive(Debug)]
pub(crate) struct Observer {
    pub(crate) histograms: Arc<Registry>,
    pub(crate) metrics: Arc<Metrics>,
}

impl CallerObserver for Observer {
    fn on_end(&self, measurement: &Measurement) {
        let sample = sample(measurement);
        self.histograms.record(&measurement.class, &measurement.workspace, &sample);
        self.metrics.record_request(&measurement.class, &measurement.workspace, &sample);
        self.metrics.count("tokens", measurement.tokens.0);
        self.metrics.count("wasted_tokens", measurement.wasted_tokens.0);
        let dropped = measurement.dropped;
        self.metrics.count("dropped_parts", dropped.mismatched + dropped.repeated + dropped.gaps);
        self.metrics.count("retries", u64::from(measurement.attempts.saturating_sub(1)));
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
        End::Complete => histogram::End::Completed,
        End::Incomplete(Kind::Refused, _) => histogram::End::Refused,
        End::Incomplete(Kind::Unknown, _) => histogram::End::Unknown,
        End::Incomplete(Kind::Failed, _) => histogram::End::Failed,
    };
    Sample {
        end,
        first_token: measurement.first_token,
        complete: measurement.elapsed,
        on_target: end == histogram::End::Completed && measurement.on_time,
    }
}
