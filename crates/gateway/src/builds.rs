//! The builds that the backend servers of each pool had recently.

use std::time::{Duration, Instant};

use hyssop_document::{build::Build, collections::Map, name::Pool};

use crate::cache::MAX_LIFETIME;

/// How long a build is remembered after its last backend server left: as long as any stream.
const DEPARTED_BUILD_TTL: Duration = MAX_LIFETIME;

/// The builds that left pools.
#[derive(Debug, Default)]
pub struct DepartedBuilds {
    left_at: Map<Pool, Map<Build, Instant>>,
}

impl DepartedBuilds {
    /// Records that a backend server of `build` left the pool, or changed its build.
    pub fn record(&mut self, pool: &Pool, build: &Build, now: Instant) {
        self.left_at.entry(pool.clone()).or_default().insert(build.clone(), now);
    }

    /// When the last backend server of another build than `build` left the pool.
    pub fn last_other(&self, pool: &Pool, build: &Build) -> Option<Instant> {
        let builds = self.left_at.get(pool).into_iter().flatten();
        builds.filter(|&(left, _)| left != build).map(|(_, &at)| at).max()
    }

    /// Forgets the builds that left long ago.
    pub fn expire(&mut self, now: Instant) {
        for builds in self.left_at.values_mut() {
            builds.retain(|_, at| now.duration_since(*at) < DEPARTED_BUILD_TTL);
        }
        self.left_at.retain(|_, builds| !builds.is_empty());
    }
}
