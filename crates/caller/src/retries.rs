//! Retry budgets of idempotent requests.

use std::sync::Arc;

use hyssop_document::{collections::Map, name, number::Tier};
use hyssop_policy::budget::Budget;
use hyssop_timer::Clock;
use parking_lot::Mutex;

/// Decides whether a request may be retried.
pub trait Retries: Send + Sync {
    /// Records a request that was completed.
    fn record_success(&self, pool: &name::Pool);

    /// Records a request that was refused because its queue is full.
    fn record_shed(&self, pool: &name::Pool, tier: Tier);

    /// Spends one retry of the pool's budget. Returns whether the budget allowed it.
    fn try_spend(&self, pool: &name::Pool, tier: Tier) -> bool;
}

/// One budget for each pool: a ratio of its successes, and no retry while the pool sheds load.
#[derive(Debug)]
pub struct PoolBudgets {
    clock: Arc<dyn Clock>,
    budgets: Mutex<Map<name::Pool, Budget>>,
}

impl PoolBudgets {
    /// Creates budgets that are full at first use.
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
