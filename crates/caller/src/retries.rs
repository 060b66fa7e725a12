//! The budget for retries of idempotent requests.

use std::sync::Arc;

use hyssop_document::{collections::Map, name, number::Tier};
use hyssop_policy::budget::Budget;
use hyssop_timer::Clock;
use parking_lot::Mutex;

/// Decides whether a request may be tried again.
pub trait Retries: Send + Sync {
    /// Notes a success.
    fn record_success(&self, pool: &name::Pool);

    /// Notes that a request was refused because of a full queue.
    fn record_shed(&self, pool: &name::Pool, tier: Tier);

    /// Takes one retry out of the budget, if there is one.
    fn try_spend(&self, pool: &name::Pool, tier: Tier) -> bool;
}

/// A budget for each pool that is a share of its successes, and that pays for no retry into a pool
/// that is shedding.
#[derive(Debug)]
pub struct PoolBudgets {
    clock: Arc<dyn Clock>,
    budgets: Mutex<Map<name::Pool, Budget>>,
}

impl PoolBudgets {
    /// Full budgets.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self { clock, budgets: Mutex::default() }
    }

    fn update<T>(&self, pool: &name::Pool, apply: impl FnOnce(&mut Budget) -> T) -> T {
        apply(self.budgets.lock().entry(pool.clone()).or_default())
    }
}

impl Retries for PoolBudgets {
    fn record_success(&self, pool: &name::Pool) {
        self.update(pool, Budget::record_success);
    }

    fn record_shed(&self, pool: &name::Pool, tier: Tier) {
        self.update(pool, |budget| budget.record_shed(tier, self.clock.now()));
    }

    fn try_spend(&self, pool: &name::Pool, tier: Tier) -> bool {
        self.update(pool, |budget| budget.try_spend(tier, self.clock.now()))
    }
}
