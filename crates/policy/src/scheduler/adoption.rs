//! Adopts requests that run on permits of other schedulers.

use std::time::{Duration, Instant};

use crate::{
    permit::{LimitHint, Running},
    queue::class_queue,
};

use super::{Scheduler, grants::Grant};

impl Scheduler {
    pub(super) fn adopt_one(&mut self, request: &Running, now: Instant) {
        let class = self.class_keys.get(&request.class).copied();
        if let Some(key) = class {
            self.classes[key.0].running += 1;
        }
        self.record_hints(&[self.limit_hint(request, class)], now);
        let position = self.backend_positions.get(&request.backend);
        let epoch = position.map(|&position| self.backends[position].tracker.epoch());
        let workspace = self.workspaces.get(&request.workspace);
        let grant = Grant {
            backend: request.backend.clone(),
            class,
            workspace: workspace.map(|workspace| workspace.key),
            share: workspace.map_or(1, |workspace| workspace.share),
            home: request.home.clone(),
            home_incarnation: request.home_incarnation,
            granted_at: now,
            latest_end: now + Duration::from_millis(request.remaining_ms),
            epoch,
            loaded: false,
            waited_in_time: None,
            suspect: request.suspect,
            prompt_tokens: request.prompt_tokens,
            cost_tokens: request.prompt_tokens.0 + request.output_tokens.0,
            last_progress: Some((request.output_tokens, now)),
        };
        if let Some(&position) = self.backend_positions.get(&grant.backend) {
            self.backends[position].adopt(&grant);
        }
        self.grants.insert(request.id, grant);
    }

    /// The limit at which a running request was granted.
    fn limit_hint(&self, request: &Running, class: Option<class_queue::Key>) -> LimitHint {
        let latest_end_ms = class.map_or(u64::MAX, |key| self.latest_end_ms(key));
        LimitHint {
            backend: request.backend.clone(),
            backend_incarnation: request.backend_incarnation,
            limit: request.limit,
            age_ms: latest_end_ms.saturating_sub(request.remaining_ms),
        }
    }

    /// The time after its grant at which a permit of a class is no longer counted.
    pub(super) fn latest_end_ms(&self, class: class_queue::Key) -> u64 {
        let max_running_ms = self.classes[class.0].model.max_running_ms;
        self.pool.as_ref().map_or(max_running_ms, |pool| pool.latest_end_ms.min(max_running_ms))
    }
}
