//! Collects faults.

use compact_str::CompactString;

use super::{Fault, MAX_FAULTS, ROOT};

/// The faults found so far, of which only the first ones are kept.
#[derive(Default)]
pub(super) struct List {
    kept: Vec<Fault>,
    dropped: usize,
}

impl List {
    /// Adds a fault.
    pub(super) fn add(
        &mut self,
        path: impl Into<CompactString>,
        message: impl Into<CompactString>,
    ) {
        if self.kept.len() >= MAX_FAULTS {
            self.dropped += 1;
            return;
        }
        self.kept.push(Fault { path: path.into(), message: message.into() });
    }
}

impl From<List> for Vec<Fault> {
    fn from(mut list: List) -> Self {
        if list.dropped > 0 {
            let message = format!("{} more faults", list.dropped).into();
            list.kept.push(Fault { path: ROOT.into(), message });
        }
        list.kept
    }
}
