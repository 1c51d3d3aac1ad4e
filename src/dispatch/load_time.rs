//! The expected time of adapter loads, which tells the owner when to check for completion.

use std::time::Duration;

/// Expected time of a reload, which is a load of an adapter that the target held recently.
const WARM_LOAD_TIME: Duration = Duration::from_millis(26);
/// Initial time estimate of a weight store load while few run; measured times replace it.
const INITIAL_LOAD_TIME: Duration = Duration::from_millis(250);
/// The fraction of the expected load time after which the owner first checks for completion.
const FIRST_CHECK_FRACTION: f64 = 0.97;
/// The weight of the newest measurement in the moving average of load times.
const LOAD_TIME_WEIGHT: f64 = 0.3;
/// Factor on the expected load time when the first check finds the load already complete.
const EARLY_LOAD_FACTOR: f64 = 0.8;
/// Loads that took less time did not come from the weight store and are not measured.
const MIN_COLD_LOAD_TIME: Duration = Duration::from_millis(120);

/// The expected time of a load from the weight store, learned from completed loads.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadTime(Duration);

impl Default for LoadTime {
    fn default() -> Self {
        Self(INITIAL_LOAD_TIME)
    }
}

impl LoadTime {
    /// The time from a load's order to its first check. A reload needs no weight store.
    pub(crate) fn first_check(self, reload: bool) -> Duration {
        if reload {
            WARM_LOAD_TIME
        } else {
            self.0.mul_f64(FIRST_CHECK_FRACTION)
        }
    }

    /// Updates the expected time. If the first check finds the load complete, its actual duration
    /// is unknown and may be much shorter.
    pub(crate) fn record(&mut self, duration: Duration, checks: u32) {
        if duration < MIN_COLD_LOAD_TIME {
            return;
        }
        self.0 = match checks {
            0 => self.0.mul_f64(EARLY_LOAD_FACTOR).max(INITIAL_LOAD_TIME),
            _ => self.0.mul_f64(1.0 - LOAD_TIME_WEIGHT) + duration.mul_f64(LOAD_TIME_WEIGHT),
        };
    }
}
