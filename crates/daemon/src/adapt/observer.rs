//! Records the measurements of a request's home in histograms and metrics.

use std::sync::Arc;

use hyssop_caller::{
    observer::{End, Measure, Observer as CallerObserver},
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
    fn ended(&self, measure: &Measure) {
        let sample = sample(measure);
        self.histograms.record(&measure.class, &measure.workspace, &sample);
        self.metrics.record_request(&measure.class, &measure.workspace, &sample);
        self.metrics.count("tokens", measure.tokens.0);
        self.metrics.count("wasted_tokens", measure.wasted.0);
        let dropped = measure.dropped;
        self.metrics.count("dropped_parts", dropped.crossed + dropped.repeated + dropped.gaps);
        self.metrics.count("retries", u64::from(measure.attempts.saturating_sub(1)));
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
        End::Answered => histogram::End::Completed,
        End::Other(Kind::Refused, _) => histogram::End::Refused,
        End::Other(Kind::Unknown, _) => histogram::End::Unknown,
        End::Other(Kind::Failed, _) => histogram::End::Failed,
    };
    Sample {
        end,
        first_token: measure.first_token,
        complete: measure.elapsed,
        on_target: end == histogram::End::Completed && measure.on_time,
    }
}
