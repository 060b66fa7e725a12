//! The budget for retries of idempotent requests.

use hyssop_document::{collections::Map, name};
use parking_lot::Mutex;

/// Decides whether a request may be tried again.
pub trait Retries: Send + Sync {
    /// Notes a success.
    fn success(&self, pool: &name::Pool);

    /// Takes one retry out of the budget, if there is one.
    fn take(&self, pool: &name::Pool) -> bool;
}

/// The retries earned by one success.
const EARNED_PER_SUCCESS: f64 = 0.1;
/// The largest number of retries in hand.
const MAX_IN_HAND: f64 = 10.0;

/// A budget that is a share of the successes of each pool.
#[derive(Debug, Default)]
pub struct Share {
    in_hand: Mutex<Map<name::Pool, f64>>,
}

impl Retries for Share {
    fn success(&self, pool: &name::Pool) {
        let mut in_hand = self.in_hand.lock();
        let left = in_hand.entry(pool.clone()).or_insert(MAX_IN_HAND);
        *left = (*left + EARNED_PER_SUCCESS).min(MAX_IN_HAND);
    }

    fn take(&self, pool: &name::Pool) -> bool {
        let mut in_hand = self.in_hand.lock();
        let left = in_hand.entry(pool.clone()).or_insert(MAX_IN_HAND);
        let enough = *left >= 1.0;
        if enough {
            *left -= 1.0;
        }
        enough
    }
}
