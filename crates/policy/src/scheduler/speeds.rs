//! Compares the speeds of the backend servers of a group.

use crate::{estimate, straggler};

use super::Scheduler;

impl Scheduler {
    /// Updates the group's medians and the straggler state of each backend server.
    pub(super) fn compare_speeds(&mut self) {
        let inter_token_ms: Vec<_> =
            self.backends.iter().filter_map(|b| b.speed.inter_token_ms.reliable()).collect();
        let first_token_ms: Vec<_> =
            self.backends.iter().filter_map(|b| b.speed.first_token_ms.reliable()).collect();
        let first_token_ratios: Vec<_> =
            self.backends.iter().filter_map(|b| b.speed.first_token_ratio.reliable()).collect();
        self.first_token_ratio = estimate::median(first_token_ratios.iter().copied());
        self.inter_token_ms = estimate::median(inter_token_ms.iter().copied());
        self.first_token_ms = estimate::median(first_token_ms.iter().copied());
        let use_inter_token = inter_token_ms.len() >= straggler::MIN_MEASURED_SERVERS;
        let use_first_token = first_token_ratios.len() >= straggler::MIN_MEASURED_SERVERS;
        for backend in &mut self.backends {
            let was_straggler = backend.straggler.is_straggler();
            if use_inter_token {
                let own_ms = backend.speed.inter_token_ms.reliable();
                backend.straggler.update(own_ms, self.inter_token_ms);
            } else {
                let median_ratio = self.first_token_ratio.filter(|_| use_first_token);
                backend.straggler.update(backend.speed.first_token_ratio.reliable(), median_ratio);
            }
            if was_straggler != backend.straggler.is_straggler() {
                let (name, limit) = (&backend.model.name, backend.limit());
                log::info!("straggler backend={name} slow={} limit={limit}", !was_straggler);
            }
        }
    }
}
