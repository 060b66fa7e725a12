//! Progress and release of running requests.

use std::time::Instant;

use hyssop_document::number::Tokens;

use crate::permit::{self, End, Release};

use super::{Scheduler, backend::Sample, grants::Grant};

impl Scheduler {
    /// Records the total number of output tokens of a running request.
    ///
    /// When a response becomes longer than estimated, the additional tokens are charged to its
    /// workspace at once.
    pub fn record_progress(&mut self, id: permit::Id, tokens: Tokens, now: Instant) {
        let Some(grant) = self.grants.get_mut(id) else { return };
        let previous_tokens = grant.current_tokens();
        let previous = grant.last_progress.replace((tokens, now));
        let arrived = grant.current_tokens().saturating_sub(previous_tokens);
        let added_cost = match grant.class {
            Some(class) if grant.current_tokens() > grant.cost_tokens => {
                let expected = self.classes[class.0].expected_output_tokens(tokens, None);
                (grant.prompt_tokens.0 + expected).saturating_sub(grant.cost_tokens)
            }
            _ => 0,
        };
        grant.cost_tokens += added_cost;
        if let (Some(class), Some(workspace), 1..) = (grant.class, grant.workspace, added_cost) {
            self.queue.charge(class, workspace, grant.share, added_cost as i64);
        }
        let Some(&position) = self.backend_positions.get(&grant.backend) else { return };
        let backend = &mut self.backends[position];
        backend.record_progress(arrived, added_cost);
        if let Some((previous, at)) =
            previous.filter(|(previous_tokens, _)| previous_tokens.0 > 0 && arrived > 0)
        {
            let elapsed_ms = now.saturating_duration_since(at).as_secs_f64() * 1000.0;
            let gaps = tokens.0.saturating_sub(previous.0).max(1);
            backend.speed.inter_token_ms.record(elapsed_ms / gaps as f64);
        }
    }

    /// Ends a permit and updates the estimates from its use.
    pub fn release(&mut self, release: &Release, now: Instant) {
        let Some(grant) = self.end_permit(release.id, Some(release.end), now) else { return };
        self.settle_cost(&grant, release);
        if release.end == End::Completed {
            self.budget.record_success();
        }
        let mut on_time = !release.late;
        let mut first_token_ratio = None;
        if let Some(key) = grant.class {
            first_token_ratio = self.classes[key.0].first_token_ratio(release);
            on_time = self.classes[key.0].is_on_time(release);
            self.classes[key.0].record_release(&grant, release, now);
        }
        let sample = Sample { on_time, first_token_ratio, group_median: self.first_token_ratio };
        if let Some(&position) = self.backend_positions.get(&grant.backend) {
            self.backends[position].record_release(&grant, release, sample, now);
        }
        self.compare_speeds();
    }

    /// Replaces the estimated tokens charged to the workspace by the actual number.
    fn settle_cost(&mut self, grant: &Grant, release: &Release) {
        let (Some(class), Some(workspace)) = (grant.class, grant.workspace) else { return };
        let used_tokens = match release.end {
            End::NotDispatched | End::Refused503 => 0,
            _ => grant.prompt_tokens.0 + release.output_tokens.0,
        };
        self.queue.charge(
            class,
            workspace,
            grant.share,
            used_tokens as i64 - grant.cost_tokens as i64,
        );
    }
}
