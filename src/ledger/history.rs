//! The recent history of a bucket, from which late reports and refunds are credited exactly.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Timestamp;

/// How far back a refund can be credited. Requests take far less time than this.
const HEADROOM_RETENTION: Duration = Duration::from_secs(600);
/// A longer headroom history drops every other entry, which can only lower later refunds.
const MAX_HEADROOM_ENTRIES: usize = 256;
/// How long overflow is kept: the time for which a grant counts as outstanding.
const OVERFLOW_RETENTION: Duration = Duration::from_secs(4);
/// A longer overflow history drops its oldest entries.
const MAX_OVERFLOW_ENTRIES: usize = 1024;

/// The minimum headroom of a bucket since each point in time, as a monotonic stack. The headroom is
/// the burst less the level and the outstanding tokens.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct HeadroomHistory {
    /// Oldest first. Each entry is a time and the minimum headroom since then, in thousandths of a
    /// token; the minimum never decreases from one entry to the next.
    pub(crate) entries: VecDeque<(Timestamp, i64)>,
}

impl HeadroomHistory {
    pub(crate) fn record(&mut self, now: Timestamp, headroom: i64) {
        let mut since = now;
        while let Some(&(time, minimum)) = self.entries.back() {
            if minimum < headroom {
                break;
            }
            since = time;
            self.entries.pop_back();
        }
        self.entries.push_back((since, headroom));
        self.trim(now);
    }

    /// The minimum headroom since `time`, or zero if the history does not reach back that far.
    pub(crate) fn min_since(&self, time: Timestamp) -> i64 {
        let entry = self.entries.iter().rev().find(|(since, _)| *since <= time);
        entry.map_or(0, |(_, minimum)| *minimum)
    }

    /// Replaces the history since `time`: the headroom since then was at least `minimum`.
    pub(crate) fn raise_since(&mut self, time: Timestamp, minimum: i64) {
        while self.entries.back().is_some_and(|(since, _)| *since > time) {
            self.entries.pop_back();
        }
        self.entries.push_back((time, minimum));
    }

    /// Subtracts `credit` from the headroom since `time`, because a credit raised the level by that
    /// amount from `time` on.
    pub(crate) fn lower_since(&mut self, time: Timestamp, credit: i64) {
        let preceding = self.entries.partition_point(|(since, _)| *since <= time);
        let from = preceding.saturating_sub(1);
        for entry in self.entries.range_mut(from..) {
            entry.1 -= credit;
        }
        let lowered = self.entries.get(from).map_or(i64::MAX, |entry| entry.1);
        for entry in self.entries.range_mut(..from) {
            entry.1 = entry.1.min(lowered);
        }
    }

    fn trim(&mut self, now: Timestamp) {
        let is_old = |entry: &(Timestamp, i64)| now.since(entry.0) > HEADROOM_RETENTION;
        while self.entries.get(1).is_some_and(is_old) {
            self.entries.pop_front();
        }
        if self.entries.len() > MAX_HEADROOM_ENTRIES {
            let mut index = 0;
            self.entries.retain(|_| {
                index += 1;
                index % 2 == 1
            });
        }
    }
}

/// Refill that overflowed the bucket. It is credited later if the bucket was full only because
/// spent tokens still counted as outstanding.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct OverflowHistory {
    entries: VecDeque<OverflowEntry>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct OverflowEntry {
    /// The end of an interval in which `amount` overflowed, at `rate` per millisecond.
    until: Timestamp,
    rate: i64,
    amount: i64,
}

impl OverflowEntry {
    fn overflow_since(&self, time: Timestamp) -> i64 {
        let elapsed = i64::try_from(self.until.since(time).as_millis()).unwrap_or(i64::MAX);
        self.amount.min(elapsed.saturating_mul(self.rate))
    }
}

impl OverflowHistory {
    pub(crate) fn record(&mut self, until: Timestamp, rate: i64, amount: i64) {
        self.entries.push_back(OverflowEntry {
            until,
            rate,
            amount,
        });
        while self.entries.len() > MAX_OVERFLOW_ENTRIES
            || self
                .entries
                .front()
                .is_some_and(|entry| until.since(entry.until) > OVERFLOW_RETENTION)
        {
            self.entries.pop_front();
        }
    }

    /// Removes up to `limit` of the overflow since `time`, oldest first, and returns the amount
    /// removed.
    pub(crate) fn consume_since(&mut self, time: Timestamp, limit: i64) -> i64 {
        let mut remaining = limit;
        for entry in &mut self.entries {
            let taken = entry.overflow_since(time).min(remaining);
            entry.amount -= taken;
            remaining -= taken;
        }
        self.entries.retain(|entry| entry.amount > 0);
        limit - remaining
    }
}
