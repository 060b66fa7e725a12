//! Hints about which backend server has the beginning of a prompt in its cache.

use std::collections::VecDeque;

use hyssop_document::{collections::Map, name};

/// The number of prefixes that are remembered.
const MAX_PREFIXES: usize = 4096;

/// Where requests with a prefix went last. Old ones are forgotten first.
#[derive(Debug, Default)]
pub(super) struct Prefixes {
    last_backend: Map<u64, name::Backend>,
    insertion_order: VecDeque<u64>,
}

impl Prefixes {
    pub(super) fn get(&self, prefix: u64) -> Option<&name::Backend> {
        self.last_backend.get(&prefix)
    }

    pub(super) fn insert(&mut self, prefix: u64, backend: name::Backend) {
        if self.last_backend.insert(prefix, backend).is_some() {
            return;
        }
        self.insertion_order.push_back(prefix);
        if self.insertion_order.len() > MAX_PREFIXES {
            let oldest = self.insertion_order.pop_front().expect("the order is not empty");
            self.last_backend.remove(&oldest);
        }
    }
}
