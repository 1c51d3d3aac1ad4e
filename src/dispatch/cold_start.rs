//! Limits the rate at which one entry VM sends requests to a cold target, which serves fewer
//! requests per second for a while, for example after its start.
//!
//! Load pattern: all targets of a zone return cold at the same time under full load, and all VMs,
//! few or many, see them empty at the same moment.

use std::time::Duration;

use crate::clock::Timestamp;

/// The most tokens that a bucket holds: sends that may follow each other without a pause.
const MAX_LEVEL: f64 = 1.5;
/// The fraction of the target's cold capacity that is used, because the VMs send at random times
/// and their sum varies.
const CAPACITY_UTILIZATION: f64 = 0.8;

/// A token bucket for one cold target. Its rate is the target's cold capacity divided by the number
/// of VMs.
#[derive(Debug)]
pub(crate) struct ColdLimiter {
    until: Timestamp,
    level: f64,
    refilled_at: Timestamp,
}

impl ColdLimiter {
    /// `phase` is a random number from 0 to 1. It is the initial level, so that the first sends of
    /// the VMs are spread over time like the later ones.
    pub(crate) fn new(remaining: Duration, phase: f64, now: Timestamp) -> Self {
        Self {
            until: now + remaining,
            level: phase,
            refilled_at: now,
        }
    }

    pub(crate) fn extend(&mut self, remaining: Duration, now: Timestamp) {
        self.until = self.until.max(now + remaining);
    }

    pub(crate) fn is_cold(&self, now: Timestamp) -> bool {
        now < self.until
    }

    /// Whether one more request may be sent now. `rate` is this VM's share in requests per second.
    pub(crate) fn may_send(&self, rate: f64, now: Timestamp) -> bool {
        !self.is_cold(now) || self.level_at(rate, now) >= 1.0
    }

    pub(crate) fn record_send(&mut self, rate: f64, now: Timestamp) {
        self.level = self.level_at(rate, now) - 1.0;
        self.refilled_at = now;
    }

    fn level_at(&self, rate: f64, now: Timestamp) -> f64 {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        (self.level + elapsed * rate * CAPACITY_UTILIZATION).min(MAX_LEVEL)
    }
}
