//! Compares the speeds of the backend servers of a group.

use crate::{estimate, straggler};

use super::Scheduler;

impl Scheduler {
    /// Compares the speeds of all backend servers and finds stragglers.
    pub(super) fn compare_speeds(&mut self) {
        let inter: Vec<_> =
            self.backends.iter().filter_map(|b| b.speed.inter_token_ms.settled()).collect();
        let first: Vec<_> =
            self.backends.iter().filter_map(|b| b.speed.first_token_ms.settled()).collect();
        self.inter_token_ms = estimate::median(inter.iter().copied());
        self.first_token_ms = estimate::median(first.iter().copied());
        let by_tokens = inter.len() >= straggler::LEAST_MEASURED;
        let by_first = first.len() >= straggler::LEAST_MEASURED;
        for backend in &mut self.backends {
            let was = backend.verdict.is_straggler();
            if by_tokens {
                let own = backend.speed.inter_token_ms.settled();
                backend.verdict.update(own, self.inter_token_ms);
            } else {
                let median = self.first_token_ms.filter(|_| by_first);
                backend.verdict.update(backend.speed.first_token_ms.settled(), median);
            }
            if was != backend.verdict.is_straggler() {
                let (name, limit) = (&backend.model.name, backend.limit());
                log::info!("straggler backend={name} slow={} limit={limit}", !was);
            }
        }
    }
}
