//! Requests that crash each target that runs them.
//!
//! Load patterns: a caller repeats a request that crashes its target, at any VM, and takes one
//! target after another out of service; a target that crashes by itself breaks off many requests
//! that are the same, which must stay servable.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::dispatch::directory::TargetKey;

/// Crashes after which a request is refused, the users' bound. Fewer may be a coincidence of targets
/// that crash for another reason.
const STRIKE_LIMIT: u32 = 3;
/// How long a request is remembered.
const STRIKE_LIFETIME: Duration = Duration::from_secs(60);
/// Requests that a target breaks off within this time were ended by one crash: it is back after
/// seconds.
const CRASH_SPAN: Duration = Duration::from_secs(1);
/// How long a change is told to peers.
const TELL_TIME: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, Copy)]
struct StrikeCount {
    /// 0 after a good run.
    count: u32,
    /// The target of the last strike that this VM has seen, with its time.
    last_crash: Option<(TargetKey, Timestamp)>,
    changed_at: Timestamp,
}

impl StrikeCount {
    fn new(now: Timestamp) -> Self {
        Self {
            count: 0,
            last_crash: None,
            changed_at: now,
        }
    }
}

/// The crashes that requests have caused, by the requests' fingerprints.
#[derive(Debug, Default)]
pub(crate) struct StrikeTable {
    strikes: FastMap<u64, StrikeCount>,
}

impl StrikeTable {
    /// Whether no request is remembered, so that none needs a fingerprint.
    pub(crate) fn is_empty(&self) -> bool {
        self.strikes.is_empty()
    }

    /// A target broke off while it ran the request.
    pub(crate) fn note(&mut self, fingerprint: u64, target: TargetKey, now: Timestamp) -> u32 {
        self.strikes
            .retain(|_, strike| now.since(strike.changed_at) < STRIKE_LIFETIME);
        let strike = self.strikes.entry(fingerprint);
        let strike = strike.or_insert_with(|| StrikeCount::new(now));
        let same_crash = strike
            .last_crash
            .is_some_and(|(last, at)| last == target && now.since(at) < CRASH_SPAN);
        if !same_crash {
            strike.count += 1;
            strike.last_crash = Some((target, now));
            strike.changed_at = now;
        }
        strike.count
    }

    /// Takes in what a peer has counted; 0 means that the request ran to its end there.
    pub(crate) fn merge(&mut self, fingerprint: u64, count: u32, now: Timestamp) {
        if count == 0 {
            self.strikes.remove(&fingerprint);
            return;
        }
        let strike = self.strikes.entry(fingerprint);
        let strike = strike.or_insert_with(|| StrikeCount::new(now));
        if count > strike.count {
            strike.count = count;
            strike.changed_at = now;
        }
    }

    /// The request ran to its end.
    pub(crate) fn clear(&mut self, fingerprint: u64, now: Timestamp) {
        if let Some(strike) = self.strikes.get_mut(&fingerprint)
            && strike.count > 0
        {
            *strike = StrikeCount::new(now);
        }
    }

    pub(crate) fn is_refused(&self, fingerprint: u64, now: Timestamp) -> bool {
        let strike = self.strikes.get(&fingerprint);
        strike.is_some_and(|strike| {
            strike.count >= STRIKE_LIMIT && now.since(strike.changed_at) < STRIKE_LIFETIME
        })
    }

    /// Changes that peers may not know yet.
    pub(crate) fn recent(&self, now: Timestamp) -> impl Iterator<Item = (u64, u32)> {
        let recent = move |strike: &StrikeCount| now.since(strike.changed_at) < TELL_TIME;
        let strikes = self
            .strikes
            .iter()
            .filter(move |(_, strike)| recent(strike));
        strikes.map(|(fingerprint, strike)| (*fingerprint, strike.count))
    }
}
