//! Tracks which backend server probably has the beginning of a prompt in its prefix cache.

use std::collections::VecDeque;

use hyssop_document::{collections::Map, name};

/// The maximum number of prefixes in the table.
const MAX_PREFIXES: usize = 4096;

/// The backend server that was last granted a request with a prefix. The prefix added first is
/// evicted first.
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
