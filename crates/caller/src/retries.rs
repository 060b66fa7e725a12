//! The budget for retries of idempotent requests.

use std::sync::Arc;

use hyssop_document::{collections::Map, name, number::Tier};
use hyssop_policy::budget::Budget;
use hyssop_timer::Clock;
use parking_lot::Mutex;

/// Decides whether a request may be tried again.
pub trait Retries: Send + Sync {
    /// Notes a success.
    fn success(&self, pool: &name::Pool);

    /// Notes that a request was refused because of a full queue.
    fn shed(&self, pool: &name::Pool, tier: Tier);

    /// Takes one retry out of the budget, if there is one.
    fn take(&self, pool: &name::Pool, tier: Tier) -> bool;
}

/// A budget for each pool that is a share of its successes, and that pays for no retry into a pool
/// that is shedding.
#[derive(Debug)]
pub struct Share {
    clock: Arc<dyn Clock>,
    budgets: Mutex<Map<name::Pool, Budget>>,
}

impl Share {
    /// Full budgets.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self { clock, budgets: Mutex::default() }
    }

    fn with<T>(&self, pool: &name::Pool, change: impl FnOnce(&mut Budget) -> T) -> T {
        change(self.budgets.lock().entry(pool.clone()).or_default())
    }
}

impl Retries for Share {
    fn success(&self, pool: &name::Pool) {
        self.with(pool, Budget::record_success);
    }

    fn shed(&self, pool: &name::Pool, tier: Tier) {
        self.with(pool, |budget| budget.record_shed(tier, self.clock.now()));
    }

    fn take(&self, pool: &name::Pool, tier: Tier) -> bool {
        self.with(pool, |budget| budget.try_spend(tier, self.clock.now()))
    }
}
