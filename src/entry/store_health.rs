//! Whether the platform's store answers, for each of its uses.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::platform::store::StoreError;

/// The pause after a first failed call: a lost connection is opened anew at once.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause of one of many VMs, whose calls together would press a store that is coming
/// back; well below the trust in a configuration.
const FAILURE_PAUSE_MOST: Duration = Duration::from_millis(800);

/// Logs when one of the store's uses is lost and regained, and spaces the calls meanwhile.
#[derive(Debug)]
pub(crate) struct StoreHealth {
    use_name: &'static str,
    lost_at: Option<Timestamp>,
    /// Failed calls in a row.
    failures: u32,
}

impl StoreHealth {
    pub(crate) fn new(use_name: &'static str) -> Self {
        Self {
            use_name,
            lost_at: None,
            failures: 0,
        }
    }

    /// Notes how a call ended. Returns whether it is the first success after failures.
    pub(crate) fn note<T>(&mut self, called: &Result<T, StoreError>, now: Timestamp) -> bool {
        self.failures = match called {
            Ok(_) => 0,
            Err(_) => self.failures.saturating_add(1),
        };
        match (called, self.lost_at) {
            (Err(error), None) => {
                tracing::warn!(r#use = self.use_name, %error, "store: lost");
                self.lost_at = Some(now);
                false
            }
            (Ok(_), Some(lost_at)) => {
                let lost_ms = now.since(lost_at).as_millis() as u64;
                tracing::info!(r#use = self.use_name, lost_ms, "store: regained");
                self.lost_at = None;
                true
            }
            _ => false,
        }
    }

    /// The pause until the next call after a failed one.
    pub(crate) fn pause(&self, small_fleet: bool) -> Duration {
        if small_fleet {
            return FAILURE_PAUSE;
        }
        let doublings = self.failures.saturating_sub(1).min(8);
        (FAILURE_PAUSE * 2u32.pow(doublings)).min(FAILURE_PAUSE_MOST)
    }
}
