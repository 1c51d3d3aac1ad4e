//! The rate at which one entry VM sends requests to a cold target.
//!
//! Load pattern: a zone's targets return cold together under full load, and all VMs, few or many,
//! see them empty at the same moment.

use std::time::Duration;

use crate::clock::Timestamp;

/// Sends that may follow each other at once.
const COLD_BURST: f64 = 1.5;
/// The part of the bearable rate that is used: VMs send at random times, whose sum varies.
const COLD_USE: f64 = 0.8;

/// A token bucket for one cold target: the target's bearable rate by the number of VMs.
#[derive(Debug)]
pub(crate) struct ColdStart {
    until: Timestamp,
    level: f64,
    refilled_at: Timestamp,
}

impl ColdStart {
    /// `phase` is a random number from 0 to 1, so that the VMs' first sends are spread like their
    /// later ones.
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

    /// Whether the target bears one more request now. `rate` is this VM's part per second.
    pub(crate) fn may_send(&self, rate: f64, now: Timestamp) -> bool {
        !self.is_cold(now) || self.level_at(rate, now) >= 1.0
    }

    pub(crate) fn note_send(&mut self, rate: f64, now: Timestamp) {
        self.level = self.level_at(rate, now) - 1.0;
        self.refilled_at = now;
    }

    fn level_at(&self, rate: f64, now: Timestamp) -> f64 {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        (self.level + elapsed * rate * COLD_USE).min(COLD_BURST)
    }
}
