//! Tracks whether calls to the platform's store succeed, separately for each use of the store.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::platform::store::StoreError;

/// Delay after the first failed call. It is short because a lost connection can be reopened at
/// once.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The longest delay in a large fleet, whose retries together would overload a recovering store.
/// It is well below the time for which a configuration counts as confirmed.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Logs when calls for one use of the store start to fail and succeed again, and computes the retry
/// delay.
#[derive(Debug)]
pub(crate) struct StoreHealth {
    use_label: &'static str,
    failing_since: Option<Timestamp>,
    /// Consecutive failed calls.
    failures: u32,
}

impl StoreHealth {
    pub(crate) fn new(use_label: &'static str) -> Self {
        Self {
            use_label,
            failing_since: None,
            failures: 0,
        }
    }

    /// Records the result of a call. Returns whether it is the first success after failures.
    pub(crate) fn record<T>(&mut self, result: &Result<T, StoreError>, now: Timestamp) -> bool {
        self.failures = match result {
            Ok(_) => 0,
            Err(_) => self.failures.saturating_add(1),
        };
        match (result, self.failing_since) {
            (Err(error), None) => {
                tracing::warn!(r#use = self.use_label, %error, "store: calls are failing");
                self.failing_since = Some(now);
                false
            }
            (Ok(_), Some(failing_since)) => {
                let lost_ms = now.since(failing_since).as_millis() as u64;
                tracing::info!(
                    r#use = self.use_label,
                    lost_ms,
                    "store: calls succeed again"
                );
                self.failing_since = None;
                true
            }
            _ => false,
        }
    }

    /// The delay before the next call after a failed one, which doubles in a large fleet.
    pub(crate) fn retry_delay(&self, small_fleet: bool) -> Duration {
        if small_fleet {
            return FIRST_RETRY_DELAY;
        }
        let doublings = self.failures.saturating_sub(1).min(8);
        (FIRST_RETRY_DELAY * 2u32.pow(doublings)).min(MAX_RETRY_DELAY)
    }
}
