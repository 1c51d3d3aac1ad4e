//! A budget for retries. It keeps a failing target from multiplying the load on the others.

use std::sync::atomic::{AtomicU32, Ordering};

pub(crate) const MAX_RETRIES_PER_REQUEST: usize = 2;
/// The cost of a retry. A first attempt earns one token, so that retries stay at 10% of
/// first attempts.
const RETRY_COST_TOKENS: u32 = 10;
/// The capacity of the budget. It covers one retry of each of the 16 requests in flight on a
/// target that fails.
const BUDGET_CAPACITY_TOKENS: u32 = 16 * RETRY_COST_TOKENS;

/// A token bucket that first attempts fill and retries drain.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    tokens: AtomicU32,
}

impl Default for RetryBudget {
    /// A full budget, so that a node that just started can retry.
    fn default() -> Self {
        Self {
            tokens: AtomicU32::new(BUDGET_CAPACITY_TOKENS),
        }
    }
}

impl RetryBudget {
    /// Adds the token that a first attempt earns.
    pub(crate) fn record_first_attempt(&self) {
        let earn = |tokens: u32| Some((tokens + 1).min(BUDGET_CAPACITY_TOKENS));
        let _ = self
            .tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, earn);
    }

    /// Takes the cost of a retry. Returns `false` if the budget does not cover it.
    pub(crate) fn try_take_retry(&self) -> bool {
        let spend = |tokens: u32| tokens.checked_sub(RETRY_COST_TOKENS);
        self.tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, spend)
            .is_ok()
    }
}
