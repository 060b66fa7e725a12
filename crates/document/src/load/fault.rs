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

    /// Tells whether there was no fault.
    pub(super) fn into_result(mut self) -> Result<(), Vec<Fault>> {
        if self.dropped > 0 {
            let message = format!("{} more faults", self.dropped).into();
            self.kept.push(Fault { path: ROOT.into(), message });
        }
        if self.kept.is_empty() { Ok(()) } else { Err(self.kept) }
    }
}
