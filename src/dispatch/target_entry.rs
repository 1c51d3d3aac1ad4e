//! One target as a VM sees it: its last report and what the VM's own requests have shown.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::dispatch::cold_start::ColdPeriod;
use crate::dispatch::directory::{TargetKey, TargetReport};
use crate::dispatch::target_limit::{RateStatement, TargetLimiter};
use crate::ids::{NodeName, TargetName};

/// The suspension after the first failed connection to a target; it doubles with each further
/// failure.
const MIN_SUSPENSION: Duration = Duration::from_millis(250);
/// The longest suspension, short enough to notice a restarted target soon.
const MAX_SUSPENSION: Duration = Duration::from_secs(2);
/// How long an owner's announcement that a target is unavailable stays valid; owners repeat it.
const OWNER_STATUS_LIFETIME: Duration = Duration::from_millis(3500);
/// The weight of the newest request in a target's failure rate, which averages about the last ten
/// requests.
const FAILURE_WEIGHT: f64 = 0.1;

/// A statement that a target is cold, or that it is not.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ColdStatement {
    pub(crate) started_ms: u64,
    /// The number of the report that the statement is from.
    pub(crate) sequence: u64,
    /// Zero if the target is warm.
    pub(crate) remaining: Duration,
}

impl ColdStatement {
    pub(super) fn of_report(report: &TargetReport) -> Self {
        Self {
            started_ms: report.started_ms,
            sequence: report.sequence,
            remaining: report.cold_remaining,
        }
    }

    /// Statements in the order in which they were made.
    fn order(&self) -> (u64, u64) {
        (self.started_ms, self.sequence)
    }
}

/// A target's last report and this VM's own observations of it.
#[derive(Debug)]
pub(crate) struct TargetEntry {
    pub(crate) key: TargetKey,
    pub(crate) name: TargetName,
    pub(crate) report: TargetReport,
    /// The last time in which the target was known to be cold.
    cold_period: Option<ColdPeriod>,
    /// A time in which the target may be cold though no report says so.
    presumed_cold: Option<ColdPeriod>,
    /// The newest statement about it, from a report or a peer.
    cold_stated: ColdStatement,
    /// Whether the process is known to be leaving, by its record or by its own responses.
    pub(super) is_leaving: bool,
    /// Set if the target is reclaimed: when it is gone, or a little later, as its record takes a while
    /// to arrive.
    departs_at: Option<Timestamp>,
    /// Set when the entry expired around a store outage: when the target will be removed.
    pub(super) removal_due_at: Option<Timestamp>,
    suspended_until: Timestamp,
    /// Until then the target wants no requests from this VM. Unlike a suspension, this also holds if
    /// no other target is available.
    paused_until: Timestamp,
    /// Set while the target states how many requests it takes from all VMs together.
    rate_limiter: Option<TargetLimiter>,
    /// When the target last stated no limit after it had stated one.
    limit_ended_at: Timestamp,
    /// Until then the owner's announcement that the target is unavailable is valid.
    unavailable_until: Timestamp,
    consecutive_failures: u32,
    /// The fraction of recent requests that failed, from 0 to 1.
    failure_rate: f64,
}

impl TargetEntry {
    pub(super) fn new(name: TargetName, report: TargetReport, now: Timestamp) -> Self {
        let cold_stated = ColdStatement::of_report(&report);
        let remaining = report.cold_remaining;
        let cold_period = (!remaining.is_zero()).then(|| ColdPeriod::new(remaining, now));
        let departs_at = report.departs_in.map(|left| now + left);
        Self {
            key: TargetKey::new(&name),
            name,
            report,
            cold_period,
            presumed_cold: None,
            cold_stated,
            is_leaving: false,
            departs_at,
            removal_due_at: None,
            suspended_until: now,
            paused_until: now,
            rate_limiter: None,
            limit_ended_at: Timestamp::default(),
            unavailable_until: now,
            consecutive_failures: 0,
            failure_rate: 0.0,
        }
    }

    /// The entry of a new process under the same name. A newer statement of a peer about that process
    /// holds.
    pub(super) fn restarted(&self, report: TargetReport, now: Timestamp) -> Self {
        let statement = ColdStatement::of_report(&report);
        let entry = Self::new(self.name.clone(), report, now);
        if statement.order() < self.cold_stated.order() {
            return Self {
                cold_period: self.cold_period,
                cold_stated: self.cold_stated,
                ..entry
            };
        }
        entry.with_recent_load(now)
    }

    /// Sets the start of the permits of a new entry to after the time in which VMs that know an earlier
    /// process under the same name, which was warm, may have sent to it.
    pub(super) fn with_recent_load(mut self, now: Timestamp) -> Self {
        self.cold_period = None;
        self.apply_cold(self.cold_stated, now);
        self
    }

    pub(crate) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// When a target that is reclaimed at short notice is gone.
    pub(crate) fn departs_at(&self) -> Option<Timestamp> {
        self.departs_at
    }

    /// Applies the time left in the last report; the earliest departure counts. Returns whether the
    /// target was not known to be reclaimed before.
    pub(super) fn update_departure(&mut self, now: Timestamp) -> bool {
        let Some(left) = self.report.departs_in else {
            return false;
        };
        let stated = now + left;
        let known = self.departs_at.replace(stated);
        self.departs_at = known.map(|known| known.min(stated)).or(self.departs_at);
        known.is_none()
    }

    pub(crate) fn is_suspended(&self, now: Timestamp) -> bool {
        now < self.suspended_until || now < self.unavailable_until
    }

    /// Set while the target serves few requests per second, or may do so.
    pub(crate) fn cold_period(&self, now: Timestamp) -> Option<ColdPeriod> {
        let stated = self.stated_cold_period(now);
        stated.or(self.presumed_cold.filter(|period| !period.is_over(now)))
    }

    fn stated_cold_period(&self, now: Timestamp) -> Option<ColdPeriod> {
        self.cold_period.filter(|period| !period.is_over(now))
    }

    /// Treats the target as cold for a while, whatever reports state. It had no requests before.
    pub(crate) fn presume_cold(&mut self, duration: Duration, now: Timestamp) {
        self.presumed_cold = Some(ColdPeriod::new(duration, now));
    }

    /// Applies a statement of a report or a peer unless a newer one is known. Returns whether the target
    /// has become cold or stays so for clearly longer than known. No statement shortens the time
    /// except a newer one that the target is warm.
    pub(crate) fn apply_cold(&mut self, statement: ColdStatement, now: Timestamp) -> bool {
        if statement.order() < self.cold_stated.order() {
            return false;
        }
        self.cold_stated = statement;
        let remaining = statement.remaining;
        if remaining.is_zero() {
            self.cold_period = None;
            return false;
        }
        let period = match self.cold_period(now) {
            Some(period) => period.extended(remaining, now),
            None => ColdPeriod::with_recent_load(remaining, now),
        };
        let known = self.stated_cold_period(now);
        self.cold_period = Some(period);
        known.is_none_or(|period| period.is_longer(remaining, now))
    }

    pub(crate) fn is_cold(&self, now: Timestamp) -> bool {
        self.cold_period(now).is_some()
    }

    /// The time for which the target wants no requests from this VM; zero if it takes them.
    pub(crate) fn pause_left(&self, now: Timestamp) -> Duration {
        self.paused_until.since(now)
    }

    /// Records that the target wants no requests from this VM for a while.
    pub(crate) fn pause(&mut self, duration: Duration, now: Timestamp) {
        self.paused_until = self.paused_until.max(now + duration);
    }

    pub(crate) fn rate_limiter(&self) -> Option<&TargetLimiter> {
        self.rate_limiter.as_ref()
    }

    /// Whether the rate that the target states, if any, leaves room for one more request.
    pub(crate) fn is_within_rate(&self, now: Timestamp) -> bool {
        let limiter = self.rate_limiter.as_ref();
        limiter.is_none_or(|limiter| limiter.may_send(now))
    }

    /// Counts a request that is sent to the target. Returns whether its rate is limited.
    pub(crate) fn record_send(&mut self, now: Timestamp) -> bool {
        let Some(limiter) = &mut self.rate_limiter else {
            return false;
        };
        limiter.record_send(now);
        true
    }

    /// Applies a statement of the target. Returns whether the rate is new.
    pub(crate) fn apply_stated_rate(&mut self, statement: RateStatement, now: Timestamp) -> bool {
        if statement.stated_at < self.limit_ended_at {
            return false;
        }
        let known = self.rate_limiter.as_ref().map(TargetLimiter::statement);
        match &mut self.rate_limiter {
            Some(limiter) => limiter.update(statement, now),
            None => {
                let phase = rand::random();
                self.rate_limiter = Some(TargetLimiter::new(statement, phase, now));
            }
        }
        known.is_none_or(|known| known.rate != statement.rate)
    }

    /// Ends the limit, because the response to a request sent at `sent_at` states none. Returns
    /// whether there was one; a statement since then holds.
    pub(crate) fn end_stated_rate(&mut self, sent_at: Timestamp, now: Timestamp) -> bool {
        let ended = |limiter: &mut TargetLimiter| limiter.statement().stated_at < sent_at;
        let is_ended = self.rate_limiter.take_if(ended).is_some();
        if is_ended {
            self.limit_ended_at = now;
        }
        is_ended
    }

    /// Applies what a peer knows of the target's limit: the target's statement and the requests that
    /// the peer has sent since it knows of it. Returns whether the rate is new.
    pub(crate) fn apply_peer_rate(
        &mut self,
        peer: &NodeName,
        statement: RateStatement,
        sent: u64,
        now: Timestamp,
    ) -> bool {
        let is_new = self.apply_stated_rate(statement, now);
        if let Some(limiter) = &mut self.rate_limiter {
            limiter.record_peer(peer, sent, now);
        }
        is_new
    }

    /// Applies the owner's announcement of whether the target is unavailable, that is refuses
    /// connections or holds no model.
    pub(crate) fn apply_owner_status(&mut self, unavailable: bool, now: Timestamp) {
        self.unavailable_until = if unavailable {
            now + OWNER_STATUS_LIFETIME
        } else {
            now
        };
    }

    /// Records a failed connection or an aborted response, and suspends the target.
    pub(crate) fn record_connection_failure(&mut self, now: Timestamp) {
        self.consecutive_failures += 1;
        let doublings = (self.consecutive_failures - 1).min(3);
        let suspension = (MIN_SUSPENSION * 2u32.pow(doublings)).min(MAX_SUSPENSION);
        self.suspended_until = now + suspension;
        self.record_outcome(false);
    }

    /// Records the outcome of a request that got a response; `success` is false for failures of the
    /// target itself.
    pub(crate) fn record_outcome(&mut self, success: bool) {
        if success {
            self.consecutive_failures = 0;
        }
        let failure = if success { 0.0 } else { 1.0 };
        self.failure_rate += (failure - self.failure_rate) * FAILURE_WEIGHT;
    }
}
