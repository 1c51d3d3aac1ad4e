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
/// The shortest averaging time of the usual rate, which allows for a zone that always has more
/// traffic than others.
const MIN_USUAL_AVERAGING_S: f64 = 8.0;
/// The averaging time of the usual rate as a multiple of the interval between the reports of other
/// zones, which grows with the fleet.
const USUAL_INTERVALS: f64 = 2.5;
/// How many standard deviations of a request count are attributed to chance.
const SURGE_DEVIATIONS: f64 = 2.0;

/// The requests beyond `expected` that chance does not explain.
pub(crate) fn excess_over_chance(requests: f64, expected: f64, variance: f64) -> f64 {
    let chance = 1.0 + SURGE_DEVIATIONS * variance.sqrt();
    (requests - expected - chance).max(0.0)
}

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

    /// Updates the averages. `report_interval` is the interval between reports of other zones.
    pub(crate) fn update(&mut self, report_interval: Duration, now: Timestamp) {
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
        let usual_averaging = report_interval.as_secs_f64() * USUAL_INTERVALS;
        self.usual = average(self.usual, usual_averaging.max(MIN_USUAL_AVERAGING_S));
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
        let excess = excess_over_chance(requests(self.present), expected, expected);
        excess * cost / PRESENT_AVERAGING_S
    }
}
