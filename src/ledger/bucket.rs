//! The token bucket of one account.

use std::time::Duration;

use super::history::{HeadroomHistory, OverflowHistory};
use crate::clock::Timestamp;
use crate::config::model::RateEntry;

/// Amounts in thousandths of a token, so that small rates accrue without rounding.
pub(crate) const MILLIS: i64 = 1000;

/// A token bucket that also counts tokens granted to nodes and not yet known to be spent.
///
/// Invariant: level + outstanding ≤ burst. Tokens are thus never available twice, however late a
/// node spends its grant. The level is negative after requests that used more than was charged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AccountBucket {
    pub(crate) rate: RateEntry,
    pub(crate) level: i64,
    pub(crate) outstanding: i64,
    /// The level includes the refill up to here. It lies ahead during the pause after a takeover.
    pub(crate) updated: Timestamp,
    pub(crate) headroom: HeadroomHistory,
    overflow: OverflowHistory,
}

impl AccountBucket {
    /// A bucket at `level` tokens that refills from `refill_from` on.
    pub(crate) fn new(rate: RateEntry, level: i64, refill_from: Timestamp) -> Self {
        Self::with_state(rate, level, 0, refill_from, HeadroomHistory::default())
    }

    /// A bucket in the state that another owner exported.
    pub(crate) fn with_state(
        rate: RateEntry,
        level: i64,
        outstanding: i64,
        updated: Timestamp,
        headroom: HeadroomHistory,
    ) -> Self {
        Self {
            rate,
            level,
            outstanding,
            updated,
            headroom,
            overflow: OverflowHistory::default(),
        }
    }

    /// Follows time and the configured rate. When the rate changed at an unknown moment since the
    /// last update, the time in between counts at the lower rate.
    pub(crate) fn refill(&mut self, now: Timestamp, rate: RateEntry) {
        let elapsed = i64::try_from(now.since(self.updated).as_millis()).unwrap_or(i64::MAX);
        let speed = speed_of(self.rate).min(speed_of(rate));
        let wanted = self.level.saturating_add(elapsed.saturating_mul(speed));
        self.level = wanted.min(self.burst() - self.outstanding);
        if wanted > self.level {
            self.overflow.note(now, speed, wanted - self.level);
        }
        self.updated = self.updated.max(now);
        self.headroom.note(now, self.headroom_now());
        if rate != self.rate {
            self.rate = rate;
            self.level = self.level.min(self.burst() - self.outstanding);
            self.headroom.note(now, self.headroom_now());
        }
    }

    /// Moves `amount` from the level to a node.
    pub(crate) fn grant(&mut self, amount: i64) {
        self.level -= amount;
        self.outstanding += amount;
    }

    /// Takes back `amount` that a node did not spend and will not spend.
    pub(crate) fn take_back(&mut self, amount: i64) {
        self.outstanding -= amount;
        self.level += amount;
    }

    /// Counts `amount` of a grant as spent at `spent`, which is not before it really was.
    ///
    /// The refill that found no room since then is credited, so that the level is what it would
    /// be had the report come at once.
    pub(crate) fn spend(&mut self, now: Timestamp, spent: Timestamp, amount: i64) {
        let least = self.headroom.least_since(spent);
        let credit = self.overflow.take_since(spent, amount);
        self.outstanding -= amount;
        self.level += credit;
        self.headroom.raise_since(spent, least + amount - credit);
        self.headroom.note(now, self.headroom_now());
    }

    /// Counts `amount` of a grant as spent now, since its node has not reported in time.
    pub(crate) fn expire(&mut self, now: Timestamp, amount: i64) {
        self.outstanding -= amount;
        self.headroom.note(now, self.headroom_now());
    }

    /// Gives back `refund` of a charge made at `charged`, as if the charge had been smaller from
    /// the start: never more than the least headroom since then.
    pub(crate) fn refund(&mut self, now: Timestamp, charged: Timestamp, refund: i64) -> i64 {
        let credit = refund.min(self.headroom.least_since(charged)).max(0);
        self.level += credit;
        self.headroom.lower_since(charged, credit);
        self.headroom.note(now, self.headroom_now());
        credit
    }

    /// Takes what a request used beyond its charge.
    pub(crate) fn debit(&mut self, now: Timestamp, extra: i64) {
        self.level -= extra;
        self.headroom.note(now, self.headroom_now());
    }

    /// How long the refill takes for `amount`, from the last update on.
    pub(crate) fn time_for(&self, amount: i64) -> Duration {
        let millis = amount.max(0).unsigned_abs();
        Duration::from_millis(millis.div_ceil(speed_of(self.rate).unsigned_abs()))
    }

    pub(crate) fn burst(&self) -> i64 {
        millis_of(self.rate.burst.into())
    }

    fn headroom_now(&self) -> i64 {
        self.burst() - self.outstanding - self.level
    }
}

/// Tokens per second are thousandths of a token per millisecond.
fn speed_of(rate: RateEntry) -> i64 {
    let speed = i64::try_from(u64::from(rate.tokens_per_second));
    speed.unwrap_or(i64::MAX).max(1)
}

/// Tokens in thousandths.
pub(crate) fn millis_of(tokens: u64) -> i64 {
    i64::try_from(tokens)
        .unwrap_or(i64::MAX)
        .saturating_mul(MILLIS)
}
