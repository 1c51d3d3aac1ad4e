//! Limits the rate of requests to a target that states how many it takes from all entry VMs together.
//!
//! Load pattern: most targets of a service are rate-limited at the same time and state a fraction of
//! what they usually get, while their callers go on as before; every VM, few or many, has requests for the
//! same target. A VM tells the others of each request to such a target at once, so that each one
//! counts the requests of all.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::ids::{NodeName, RequestRate};

/// The time for which unused requests are kept.
const BURST_TIME: Duration = Duration::from_millis(500);
/// The time after which requests that were sent beyond the rate are forgotten at the latest.
const DEBT_TIME: Duration = Duration::from_secs(2);
/// The rate at which a target that states less gets requests from all VMs together: only its
/// responses show that it takes more again.
const MIN_RATE_PER_S: f64 = 0.25;

/// A target's statement of the rate that it takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RateStatement {
    pub(crate) rate: RequestRate,
    /// When the target made it.
    pub(crate) stated_at: Timestamp,
}

/// This VM's copy of a target's token bucket, which all VMs share.
#[derive(Debug)]
pub(crate) struct TargetLimiter {
    statement: RateStatement,
    /// The requests that may be sent now. Negative after requests of which this VM heard late.
    level: f64,
    refilled_at: Timestamp,
    /// The requests that this VM has sent since it knows of the limit.
    own_sent: u64,
    /// The same of each peer, as far as this VM has heard.
    peer_sent: FastMap<NodeName, u64>,
}

impl TargetLimiter {
    /// `phase` is a random number from 0 to 1. It is the initial level, so that the VMs, which learn
    /// of the limit at the same moment, don't all send their next request together.
    pub(crate) fn new(statement: RateStatement, phase: f64, now: Timestamp) -> Self {
        Self {
            statement,
            level: phase,
            refilled_at: now,
            own_sent: 0,
            peer_sent: FastMap::default(),
        }
    }

    pub(crate) fn statement(&self) -> RateStatement {
        self.statement
    }

    pub(crate) fn own_sent(&self) -> u64 {
        self.own_sent
    }

    /// Applies a statement unless a newer one is known.
    pub(crate) fn update(&mut self, statement: RateStatement, now: Timestamp) {
        if statement.stated_at >= self.statement.stated_at {
            self.refill(now);
            self.statement = statement;
        }
    }

    pub(crate) fn may_send(&self, now: Timestamp) -> bool {
        self.level_at(now) >= 1.0
    }

    pub(crate) fn record_send(&mut self, now: Timestamp) {
        self.own_sent += 1;
        self.take(1, now);
    }

    /// Records that a peer has sent `sent` requests since it knows of the limit.
    pub(crate) fn record_peer(&mut self, peer: &NodeName, sent: u64, now: Timestamp) {
        let known = self.peer_sent.insert(peer.clone(), sent).unwrap_or(0);
        // The peer has started again if it has sent fewer than before.
        let new = if sent >= known { sent - known } else { sent };
        self.take(new, now);
    }

    fn take(&mut self, requests: u64, now: Timestamp) {
        self.refill(now);
        let max_debt = (self.rate() * DEBT_TIME.as_secs_f64()).max(1.0);
        self.level = (self.level - requests as f64).max(-max_debt);
    }

    fn refill(&mut self, now: Timestamp) {
        self.level = self.level_at(now);
        self.refilled_at = now;
    }

    fn rate(&self) -> f64 {
        self.statement.rate.as_f64().max(MIN_RATE_PER_S)
    }

    fn capacity(&self) -> f64 {
        (self.rate() * BURST_TIME.as_secs_f64()).max(1.0)
    }

    fn level_at(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        (self.level + elapsed * self.rate()).min(self.capacity())
    }
}
