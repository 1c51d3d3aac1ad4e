//! The budget for retries, so that a failing target does not multiply the load on the others.

use std::sync::atomic::{AtomicU32, Ordering};

/// The most retries of one request.
pub(crate) const RETRIES_PER_REQUEST: usize = 2;
/// What a retry costs; a first try earns one, so that retries stay at 10% of first tries.
const RETRY_COST: u32 = 10;
/// The most that the budget holds: the requests in flight on one target when it fails.
const BUDGET_LIMIT: u32 = 16 * RETRY_COST;

/// A token bucket that first tries fill and retries empty.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    level: AtomicU32,
}

impl Default for RetryBudget {
    /// A full budget, so that a node that just started can retry.
    fn default() -> Self {
        Self {
            level: AtomicU32::new(BUDGET_LIMIT),
        }
    }
}

impl RetryBudget {
    /// Notes a first try.
    pub(crate) fn note_first_try(&self) {
        let add = |level: u32| Some((level + 1).min(BUDGET_LIMIT));
        let _ = self
            .level
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes the cost of a retry; `false` when the budget does not allow one.
    pub(crate) fn take_retry(&self) -> bool {
        let take = |level: u32| level.checked_sub(RETRY_COST);
        self.level
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }
}
