//! What running requests and their ends tell.

use std::time::Instant;

use hyssop_document::number::Tokens;

use crate::permit::{self, End, Release};

use super::{Scheduler, backend::Lesson, grants::Grant};

impl Scheduler {
    /// Takes note of all tokens that a running request has generated so far.
    ///
    /// An answer that has grown longer than estimated is counted against its workspace at once.
    pub fn progress(&mut self, id: permit::Id, tokens: Tokens, now: Instant) {
        let Some(grant) = self.grants.get_mut(id) else { return };
        let had = grant.tokens();
        let before = grant.output.replace((tokens, now));
        let arrived = grant.tokens().saturating_sub(had);
        let more = match grant.class {
            Some(class) if grant.tokens() > grant.cost => {
                let expected = self.classes[class.0].output(tokens, None);
                (grant.prompt.0 + expected).saturating_sub(grant.cost)
            }
            _ => 0,
        };
        grant.cost += more;
        if let (Some(class), Some(workspace), 1..) = (grant.class, grant.workspace, more) {
            self.queue.charge(class, workspace, grant.share, more as i64);
        }
        let Some(&position) = self.backend_positions.get(&grant.backend) else { return };
        let backend = &mut self.backends[position];
        backend.progress(arrived, more);
        if let Some((before, at)) = before.filter(|(had, _)| had.0 > 0 && arrived > 0) {
            let elapsed_ms = now.saturating_duration_since(at).as_secs_f64() * 1000.0;
            let gaps = tokens.0.saturating_sub(before.0).max(1);
            backend.speed.inter_token_ms.record(elapsed_ms / gaps as f64);
        }
    }

    /// Ends a permit.
    pub fn release(&mut self, release: &Release, now: Instant) {
        let Some(grant) = self.end(release.id, Some(release.end), now) else { return };
        self.settle(&grant, release);
        if release.end == End::Completed {
            self.budget.succeed();
        }
        let mut on_time = !release.late;
        let mut relative = None;
        if let Some(key) = grant.class {
            relative = self.classes[key.0].relative(release);
            on_time = self.classes[key.0].is_on_time(release);
            self.classes[key.0].learn(&grant, release, now);
        }
        let lesson = Lesson { on_time, relative, group: self.relative };
        if let Some(&position) = self.backend_positions.get(&grant.backend) {
            self.backends[position].learn(&grant, release, lesson, now);
        }
        self.compare_speeds();
    }

    /// Replaces the estimated tokens, which were counted against the workspace, by the true ones.
    fn settle(&mut self, grant: &Grant, release: &Release) {
        let (Some(class), Some(workspace)) = (grant.class, grant.workspace) else { return };
        let used = match release.end {
            End::NotDispatched | End::Refused503 => 0,
            _ => grant.prompt.0 + release.output_tokens.0,
        };
        self.queue.charge(class, workspace, grant.share, used as i64 - grant.cost as i64);
    }
}
