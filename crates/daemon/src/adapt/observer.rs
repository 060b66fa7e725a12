//! Measurements, from a request's home to histograms and metrics.

use std::sync::Arc;

use hyssop_caller::{
    observer::{End, Measure, Observer as Border},
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
    fn ended(&self, measure: &Measure) {
        let sample = sample(measure);
        self.histograms.record(&measure.class, &measure.workspace, &sample);
        self.metrics.request(&measure.class, &measure.workspace, &sample);
        self.metrics.add("tokens", measure.tokens.0);
        self.metrics.add("wasted_tokens", measure.wasted.0);
        let dropped = measure.dropped;
        self.metrics.add("dropped_parts", dropped.crossed + dropped.repeated + dropped.gaps);
        self.metrics.add("retries", u64::from(measure.attempts.saturating_sub(1)));
        log::debug!(
            "request ended class={} workspace={} pool={} end={} elapsed_ms={} tokens={} wasted={} \
             attempts={}",
            measure.class,
            measure.workspace,
            measure.pool,
            sample.end,
            measure.elapsed.as_millis(),
            measure.tokens,
            measure.wasted,
            measure.attempts,
        );
    }
}

fn sample(measure: &Measure) -> Sample {
    let end = match measure.end {
        End::Answered => histogram::End::Answered,
        End::Other(Kind::Refused, _) => histogram::End::Refused,
        End::Other(Kind::Unknown, _) => histogram::End::Unknown,
        End::Other(Kind::Failed, _) => histogram::End::Failed,
    };
    Sample {
        end,
        first_token: measure.first_token,
        complete: measure.elapsed,
        attained: end == histogram::End::Answered && measure.on_time,
    }
}
