//! The backend servers that may get a request.

use hyssop_document::name::Backend;

use crate::local::{
    affinity::{self, Speed},
    reservation,
    server::Load,
};

/// The maximum fraction of the candidates that is excluded because of overdue requests. One rack,
/// or the servers with a faulty release, are about 15 %.
const MAX_OVERDUE_RATIO: f64 = 0.2;

/// A backend server that may get a request.
#[derive(Debug)]
pub(super) struct Candidate {
    pub(super) name: Backend,
    pub(super) hash: u32,
    pub(super) slots: u32,
    /// The speed by which shared prefixes are divided.
    pub(super) speed: Speed,
    /// Whether the first event of a request of this daemon is overdue.
    pub(super) overdue: bool,
    /// The load of all daemons.
    pub(super) load: Load,
    /// Whether other daemons can't reach it.
    pub(super) unreachable: bool,
    /// Whether the engine is reserved for decode-heavy requests.
    pub(super) reserved: bool,
    /// Whether its build may get the request.
    pub(super) of_build: bool,
}

impl Candidate {
    /// How high the engine ranks for a shared prefix.
    pub(super) fn score(&self, prefix: u64) -> f64 {
        affinity::score(self.hash, prefix, self.speed.share())
    }

    pub(super) fn has_room(&self) -> bool {
        f64::from(self.load.running) < f64::from(self.slots) * reservation::MAX_FILL_RATIO
    }
}

/// Excludes backend servers that other daemons can't reach, as long as they are the minority.
///
/// For crashes of many backend servers at once: each daemon would otherwise find out by itself. If
/// most are reported, the peers that report them are cut off, and not the backend servers.
pub(super) fn exclude_unreachable(candidates: &mut Vec<Candidate>) {
    let unreachable = candidates.iter().filter(|candidate| candidate.unreachable).count();
    if unreachable * 2 < candidates.len() {
        candidates.retain(|candidate| !candidate.unreachable);
    }
}

/// Excludes backend servers with overdue requests, as long as they are few.
///
/// For engines that don't respond to some of their requests while their health checks pass. If many
/// are overdue, load is the cause, and excluding them would overload the others.
pub(super) fn exclude_overdue(candidates: &mut Vec<Candidate>) {
    let overdue = candidates.iter().filter(|candidate| candidate.overdue).count();
    let limit = (candidates.len() as f64 * MAX_OVERDUE_RATIO).max(1.0);
    if overdue < candidates.len() && overdue as f64 <= limit {
        candidates.retain(|candidate| !candidate.overdue);
    }
}

/// The mean number of prompt tokens that wait for prefill at one of the candidates.
pub(super) fn mean_pending_tokens(candidates: &[Candidate]) -> f64 {
    let pending: f64 = candidates.iter().map(|c| f64::from(c.load.pending_tokens)).sum();
    pending / candidates.len().max(1) as f64
}
