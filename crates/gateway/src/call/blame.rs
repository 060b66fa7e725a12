//! Calls that may crash the backend servers that run them.

use std::{sync::Arc, time::Instant};

use hyssop_backend::{
    blame::Status,
    evidence::{CrashId, SURVIVAL_TIME},
};
use hyssop_policy::local::decider::End;
use hyssop_view::heartbeat::name_hash;

use super::{Call, Error, Exchange, MIN_TIME_LEFT};
use crate::{intake::elapsed_ms, record::Server};

impl Call {
    /// Whether the request is a suspect, or `None` if it must not run.
    pub(super) fn blame_status(&self, now: Instant) -> Option<Status> {
        let (status, segment) = {
            let suspects = self.gateway.suspects.lock();
            let status = suspects.status(self.fingerprint, now);
            (status, suspects.quarantined_segment(&self.segments, now))
        };
        if status == Status::Quarantined {
            return None;
        }
        let Some(segment) = segment else { return Some(status) };
        let is_trial = self.gateway.decider.lock().is_responsible_for(segment.0)
            && self.gateway.suspects.lock().begin_trial(segment, &self.segments, now);
        let event = if is_trial { "segment_tried" } else { "segment_refused" };
        tracing::info!(event, id = %self.meta.id, %segment);
        is_trial.then_some(status)
    }

    /// Records that the request ran long enough not to be the cause of a crash.
    pub(crate) fn record_survival(&self) {
        if !self.segments.is_empty() {
            self.gateway.suspects.lock().record_survival(&self.segments, Instant::now());
        }
    }

    /// Records a failed exchange in the log, the decider and the records of crash suspects, and
    /// excludes its backend server for this call.
    pub(crate) fn record_failure(&mut self, exchange: &mut Exchange, error: &Error) {
        let server = Arc::clone(&exchange.server);
        tracing::info!(
            event = "broken", id = %self.meta.id, server = %server.name, attempt = self.tries,
            fault = %error, after_ms = elapsed_ms(self.arrived), last_event = self.last_event_id,
            reused = exchange.is_reused(), silent_ms = exchange.server_silent_ms(),
            begun_ms = exchange.begun_for().map(|begun| begun.as_millis() as u64)
        );
        let timeout = matches!(error, Error::Late(_));
        exchange.finish(if timeout && self.time_left() < MIN_TIME_LEFT {
            End::Abandoned
        } else {
            End::Failed
        });
        self.demand.excluded.push(server.name.clone());
        self.demand.record_run();
        if error.may_be_crash() {
            let now = Instant::now();
            let mut suspects = self.gateway.suspects.lock();
            suspects.record_failure(&server.name, self.fingerprint, now);
            if exchange.begun_for().is_none_or(|begun| begun < SURVIVAL_TIME) {
                let crash = crash_id(&server);
                suspects.record_failed_segments(&server.name, crash, &self.segments, now);
            }
            drop(suspects);
            let gateway = Arc::clone(&self.gateway);
            tokio::spawn(async move { gateway.probe_server(&server).await });
        }
    }
}

/// Identifies the crash of a backend server, the same in all daemons.
fn crash_id(server: &Server) -> CrashId {
    let incarnation = server.started_ms.unwrap_or(0);
    CrashId(name_hash(&compact_str::format_compact!("{}@{incarnation}", server.name)))
}
