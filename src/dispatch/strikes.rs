//! Detects requests that crash every target that runs them.
//!
//! Load patterns: a caller repeats a crashing request through any VM and takes one target after
//! another out of service; a target that crashes for its own reasons aborts many identical
//! requests, which must still be served afterwards.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::dispatch::directory::TargetKey;

/// Crashes after which a request is refused, as the service requirements state. Fewer may be a
/// coincidence, because targets also crash for other reasons.
const MAX_STRIKES: u32 = 3;
/// How long a request is refused after its last crash. It may keep coming, and whether it still
/// crashes targets can't be known without a further crash.
const REFUSAL_TIME: Duration = Duration::from_secs(600);
/// How long a request that was refused is remembered after that. One further crash is enough to
/// refuse it again.
const PROBATION_TIME: Duration = Duration::from_secs(600);
/// How long fewer crashes are remembered after the last change.
const STRIKE_LIFETIME: Duration = Duration::from_secs(60);
/// Aborts of the same request by one target within this time count as a single crash, since a
/// target takes seconds to restart.
const CRASH_WINDOW: Duration = Duration::from_secs(1);
/// How long a changed count is included in messages to peers.
const GOSSIP_DURATION: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, Copy)]
struct StrikeCount {
    /// 0 after the request has completed.
    count: u32,
    /// The target and time of the last crash observed by this VM.
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

    /// The crashes that still count.
    fn count_at(&self, now: Timestamp) -> u32 {
        let age = now.since(self.changed_at);
        match self.count {
            MAX_STRIKES.. if age < REFUSAL_TIME => self.count,
            MAX_STRIKES.. if age < REFUSAL_TIME + PROBATION_TIME => MAX_STRIKES - 1,
            0..MAX_STRIKES if age < STRIKE_LIFETIME => self.count,
            _ => 0,
        }
    }

    fn is_expired(&self, now: Timestamp) -> bool {
        self.count_at(now) == 0 && now.since(self.changed_at) >= STRIKE_LIFETIME
    }
}

/// Crash counts by request fingerprint.
#[derive(Debug, Default)]
pub(crate) struct StrikeTable {
    strikes: FastMap<u64, StrikeCount>,
}

impl StrikeTable {
    /// Whether no request is tracked, in which case fingerprints need not be computed.
    pub(crate) fn is_empty(&self) -> bool {
        self.strikes.is_empty()
    }

    /// Records that `target` failed while it ran the request, and returns the request's crash
    /// count.
    pub(crate) fn record_crash(
        &mut self,
        fingerprint: u64,
        target: TargetKey,
        now: Timestamp,
    ) -> u32 {
        self.strikes.retain(|_, strike| !strike.is_expired(now));
        let strike = self.strikes.entry(fingerprint);
        let strike = strike.or_insert_with(|| StrikeCount::new(now));
        let same_crash = strike
            .last_crash
            .is_some_and(|(last, at)| last == target && now.since(at) < CRASH_WINDOW);
        if !same_crash {
            strike.count = strike.count_at(now) + 1;
            strike.last_crash = Some((target, now));
            strike.changed_at = now;
        }
        strike.count
    }

    /// Merges a peer's crash count. A count of 0 means that the request completed on that peer.
    pub(crate) fn merge_peer_count(&mut self, fingerprint: u64, count: u32, now: Timestamp) {
        if count == 0 {
            self.strikes.remove(&fingerprint);
            return;
        }
        let strike = self.strikes.entry(fingerprint);
        let strike = strike.or_insert_with(|| StrikeCount::new(now));
        if count > strike.count_at(now) {
            strike.count = count;
            strike.changed_at = now;
        }
    }

    /// Resets the count of a request that has completed.
    pub(crate) fn clear(&mut self, fingerprint: u64, now: Timestamp) {
        if let Some(strike) = self.strikes.get_mut(&fingerprint)
            && strike.count > 0
        {
            *strike = StrikeCount::new(now);
        }
    }

    pub(crate) fn is_refused(&self, fingerprint: u64, now: Timestamp) -> bool {
        let strike = self.strikes.get(&fingerprint);
        strike.is_some_and(|strike| strike.count_at(now) >= MAX_STRIKES)
    }

    /// Counts that changed recently, which peers may not have received yet.
    pub(crate) fn recent_changes(&self, now: Timestamp) -> impl Iterator<Item = (u64, u32)> {
        let recent = move |strike: &StrikeCount| now.since(strike.changed_at) < GOSSIP_DURATION;
        let strikes = self
            .strikes
            .iter()
            .filter(move |(_, strike)| recent(strike));
        strikes.map(|(fingerprint, strike)| (*fingerprint, strike.count))
    }
}
