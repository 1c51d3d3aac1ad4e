//! What a bucket remembers of its past, so that corrections that arrive late are exact.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Timestamp;

/// How far back a refund is credited; requests end long before.
const HEADROOM_SPAN: Duration = Duration::from_secs(600);
/// The most entries of a headroom history. Beyond it neighbours are merged, which credits less.
const HEADROOM_ENTRIES: usize = 256;
/// How long refill that found no room is remembered: as long as a grant counts as outstanding.
const OVERFLOW_SPAN: Duration = Duration::from_secs(4);
/// The most entries of an overflow history. Beyond it the oldest are dropped.
const OVERFLOW_ENTRIES: usize = 1024;

/// The least headroom of a bucket since each moment, as a monotonic stack.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct HeadroomHistory {
    /// From old to new, with a minimum that never falls: each is the least headroom since its
    /// time, in thousandths of a token.
    pub(crate) entries: VecDeque<(Timestamp, i64)>,
}

impl HeadroomHistory {
    /// Notes the headroom at `now`.
    pub(crate) fn note(&mut self, now: Timestamp, headroom: i64) {
        let mut since = now;
        while let Some(&(time, least)) = self.entries.back() {
            if least < headroom {
                break;
            }
            since = time;
            self.entries.pop_back();
        }
        self.entries.push_back((since, headroom));
        self.trim(now);
    }

    /// The least headroom since `time`; zero when that is not known any more.
    pub(crate) fn least_since(&self, time: Timestamp) -> i64 {
        let entry = self.entries.iter().rev().find(|(since, _)| *since <= time);
        entry.map_or(0, |(_, least)| *least)
    }

    /// States that the headroom since `time` was at least `least`.
    pub(crate) fn raise_since(&mut self, time: Timestamp, least: i64) {
        while self.entries.back().is_some_and(|(since, _)| *since > time) {
            self.entries.pop_back();
        }
        self.entries.push_back((time, least));
    }

    /// Takes `credit` from all headroom since `time`: the level was higher by that much.
    pub(crate) fn lower_since(&mut self, time: Timestamp, credit: i64) {
        let known = self.entries.partition_point(|(since, _)| *since <= time);
        let from = known.saturating_sub(1);
        for entry in self.entries.range_mut(from..) {
            entry.1 -= credit;
        }
        let lowered = self.entries.get(from).map_or(i64::MAX, |entry| entry.1);
        for entry in self.entries.range_mut(..from) {
            entry.1 = entry.1.min(lowered);
        }
    }

    fn trim(&mut self, now: Timestamp) {
        let is_old = |entry: &(Timestamp, i64)| now.since(entry.0) > HEADROOM_SPAN;
        while self.entries.get(1).is_some_and(is_old) {
            self.entries.pop_front();
        }
        if self.entries.len() > HEADROOM_ENTRIES {
            let mut index = 0;
            self.entries.retain(|_| {
                index += 1;
                index % 2 == 1
            });
        }
    }
}

/// Refill that found no room, because granted tokens that were already spent still counted as
/// outstanding.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct OverflowHistory {
    entries: VecDeque<OverflowEntry>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct OverflowEntry {
    /// The overflow ended here; it had run at `rate` until then.
    until: Timestamp,
    rate: i64,
    amount: i64,
}

impl OverflowEntry {
    fn since(&self, time: Timestamp) -> i64 {
        let elapsed = i64::try_from(self.until.since(time).as_millis()).unwrap_or(i64::MAX);
        self.amount.min(elapsed.saturating_mul(self.rate))
    }
}

impl OverflowHistory {
    pub(crate) fn note(&mut self, until: Timestamp, rate: i64, amount: i64) {
        self.entries.push_back(OverflowEntry {
            until,
            rate,
            amount,
        });
        while self.entries.len() > OVERFLOW_ENTRIES
            || self
                .entries
                .front()
                .is_some_and(|entry| until.since(entry.until) > OVERFLOW_SPAN)
        {
            self.entries.pop_front();
        }
    }

    /// Takes up to `limit` of the overflow since `time`, the oldest first.
    pub(crate) fn take_since(&mut self, time: Timestamp, limit: i64) -> i64 {
        let mut left = limit;
        for entry in &mut self.entries {
            let taken = entry.since(time).min(left);
            entry.amount -= taken;
            left -= taken;
        }
        self.entries.retain(|entry| entry.amount > 0);
        limit - left
    }
}
