//! An account's usage in one availability zone, as an early sign of what other zones see.
//!
//! Load pattern: an account's callers surge in all zones at once. The VMs of a zone hear of each
//! other within half a second, and of other zones only after seconds.

use std::time::Duration;

use crate::clock::Timestamp;

/// The time between two updates of the averages; the reports of a zone arrive this often.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);
/// The averaging time of the present rate.
const PRESENT_AVERAGING_S: f64 = 0.6;
/// The averaging time of the usual rate, which allows for a zone that always has more traffic than
/// others; longer than two intervals between the reports of other zones.
const USUAL_AVERAGING_S: f64 = 8.0;
/// The standard deviations by which the present rate must exceed the usual one.
const SURGE_DEVIATIONS: f64 = 2.0;

/// Two moving averages of a zone's usage, in units per second.
#[derive(Debug)]
pub(crate) struct ZoneRate {
    /// Units used since the last update.
    recent_use: f64,
    updated_at: Timestamp,
    present: f64,
    usual: f64,
}

impl ZoneRate {
    pub(crate) fn new(now: Timestamp) -> Self {
        Self {
            recent_use: 0.0,
            updated_at: now,
            present: 0.0,
            usual: 0.0,
        }
    }

    /// Adds units that a VM of the zone has admitted.
    pub(crate) fn record(&mut self, units: f64) {
        self.recent_use += units;
    }

    pub(crate) fn update(&mut self, now: Timestamp) {
        let span = now.since(self.updated_at);
        if span < UPDATE_INTERVAL {
            return;
        }
        let span = span.as_secs_f64();
        let rate = self.recent_use / span;
        let average = |before: f64, averaging: f64| {
            let weight = 1.0 - (-span / averaging).exp();
            before + (rate - before) * weight
        };
        self.present = average(self.present, PRESENT_AVERAGING_S);
        self.usual = average(self.usual, USUAL_AVERAGING_S);
        self.recent_use = 0.0;
        self.updated_at = now;
    }

    /// The present rate beyond the usual one and beyond `reported`, the rate that the last reports of
    /// other zones let expect here, in units per second, less what chance explains for requests of
    /// `mean_cost` units.
    pub(crate) fn surge(&self, mean_cost: f64, reported: f64) -> f64 {
        let cost = mean_cost.max(1.0);
        let requests = |rate: f64| rate * PRESENT_AVERAGING_S / cost;
        let expected = requests(self.usual.max(reported));
        let chance = 1.0 + SURGE_DEVIATIONS * expected.sqrt();
        let excess = requests(self.present) - expected - chance;
        excess.max(0.0) * cost / PRESENT_AVERAGING_S
    }
}
