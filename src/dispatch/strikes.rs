//! Requests that crash each target that runs them.
//!
//! Load pattern: a caller repeats a request that crashes its target, at any VM, and takes one
//! target after another out of service.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::collections::FastMap;

/// Crashes after which a request is refused, the users' bound. Fewer may be a coincidence of targets
/// that crash for another reason.
const STRIKE_LIMIT: u32 = 3;
/// How long a request is remembered.
const STRIKE_LIFETIME: Duration = Duration::from_secs(60);
/// How long a strike is told to peers.
const TELL_TIME: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, Copy)]
struct StrikeCount {
    count: u32,
    changed_at: Timestamp,
}

/// The crashes that requests have caused, by the requests' fingerprints.
#[derive(Debug, Default)]
pub(crate) struct StrikeTable {
    strikes: FastMap<u64, StrikeCount>,
}

impl StrikeTable {
    /// A target broke off while it ran the request.
    pub(crate) fn note(&mut self, fingerprint: u64, now: Timestamp) -> u32 {
        self.strikes
            .retain(|_, strike| now.since(strike.changed_at) < STRIKE_LIFETIME);
        let strike = StrikeCount {
            count: 0,
            changed_at: now,
        };
        let strike = self.strikes.entry(fingerprint).or_insert(strike);
        strike.count += 1;
        strike.changed_at = now;
        strike.count
    }

    /// Takes in what a peer has counted.
    pub(crate) fn merge(&mut self, fingerprint: u64, count: u32, now: Timestamp) {
        let strike = StrikeCount {
            count: 0,
            changed_at: now,
        };
        let strike = self.strikes.entry(fingerprint).or_insert(strike);
        if count > strike.count {
            *strike = StrikeCount {
                count,
                changed_at: now,
            };
        }
    }

    /// The request ran to its end.
    pub(crate) fn clear(&mut self, fingerprint: u64) {
        if !self.strikes.is_empty() {
            self.strikes.remove(&fingerprint);
        }
    }

    pub(crate) fn is_refused(&self, fingerprint: u64) -> bool {
        let strike = self.strikes.get(&fingerprint);
        strike.is_some_and(|strike| strike.count >= STRIKE_LIMIT)
    }

    /// Strikes that peers may not know yet.
    pub(crate) fn recent(&self, now: Timestamp) -> impl Iterator<Item = (u64, u32)> {
        let recent = move |strike: &StrikeCount| now.since(strike.changed_at) < TELL_TIME;
        let strikes = self
            .strikes
            .iter()
            .filter(move |(_, strike)| recent(strike));
        strikes.map(|(fingerprint, strike)| (*fingerprint, strike.count))
    }
}
