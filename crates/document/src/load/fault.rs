//! A bounded list of faults.

use compact_str::CompactString;

use super::{Fault, MAX_FAULTS, ROOT};

/// Keeps the first [`MAX_FAULTS`] faults and counts the others.
#[derive(Default)]
pub(super) struct List {
    kept: Vec<Fault>,
    dropped: usize,
}

impl List {
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
