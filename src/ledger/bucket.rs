//! The token bucket of one account, at the owner of its partition.

use std::time::Duration;

use super::history::{HeadroomHistory, OverflowHistory};
use crate::clock::Timestamp;
use crate::config::model::RateEntry;

/// The buckets count in thousandths of a token, so that low rates accrue without rounding.
pub(crate) const MILLITOKENS_PER_TOKEN: i64 = 1000;

/// A token bucket that also tracks outstanding tokens: those granted to nodes and not yet reported
/// as spent.
///
/// Invariant: level + outstanding ≤ burst. This keeps tokens from being available twice, however
/// late a node spends its grant. The level is negative after requests that used more tokens than
/// they were charged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AccountBucket {
    pub(crate) rate: RateEntry,
    pub(crate) level: i64,
    pub(crate) outstanding: i64,
    /// The time up to which `level` includes the refill. It is in the future during the pause after
    /// a takeover.
    pub(crate) updated: Timestamp,
    pub(crate) headroom: HeadroomHistory,
    overflow: OverflowHistory,
}

impl AccountBucket {
    /// A bucket that holds `level` thousandths of a token and refills from `refill_from` on.
    pub(crate) fn new(rate: RateEntry, level: i64, refill_from: Timestamp) -> Self {
        Self::with_state(rate, level, 0, refill_from, HeadroomHistory::default())
    }

    /// A bucket with the state that another owner exported.
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

    /// Refills the bucket up to `now` and applies the configured rate. If the rate changed at an
    /// unknown time since the last update, the whole interval is refilled at the lower rate.
    pub(crate) fn refill(&mut self, now: Timestamp, rate: RateEntry) {
        let elapsed = i64::try_from(now.since(self.updated).as_millis()).unwrap_or(i64::MAX);
        let refill_rate = millitokens_per_ms(self.rate).min(millitokens_per_ms(rate));
        let refilled = self
            .level
            .saturating_add(elapsed.saturating_mul(refill_rate));
        self.level = refilled.min(self.burst() - self.outstanding);
        if refilled > self.level {
            self.overflow
                .record(now, refill_rate, refilled - self.level);
        }
        self.updated = self.updated.max(now);
        self.headroom.record(now, self.current_headroom());
        if rate != self.rate {
            self.rate = rate;
            self.level = self.level.min(self.burst() - self.outstanding);
            self.headroom.record(now, self.current_headroom());
        }
    }

    /// Moves `amount` from the level to the outstanding tokens.
    pub(crate) fn grant(&mut self, amount: i64) {
        self.level -= amount;
        self.outstanding += amount;
    }

    /// Moves `amount` that a node returned unspent from the outstanding tokens to the level.
    pub(crate) fn return_unspent(&mut self, amount: i64) {
        self.outstanding -= amount;
        self.level += amount;
    }

    /// Counts `amount` of a grant as spent at `spent`, which must not precede the actual spending.
    ///
    /// Refill that has overflowed since `spent` is credited, so that the level is the same as if
    /// the spending had been reported immediately.
    pub(crate) fn spend(&mut self, now: Timestamp, spent: Timestamp, amount: i64) {
        let headroom = self.headroom.min_since(spent);
        let credit = self.overflow.consume_since(spent, amount);
        self.outstanding -= amount;
        self.level += credit;
        self.headroom.raise_since(spent, headroom + amount - credit);
        self.headroom.record(now, self.current_headroom());
    }

    /// Counts `amount` of a grant as spent now, because its node did not report in time.
    pub(crate) fn expire(&mut self, now: Timestamp, amount: i64) {
        self.outstanding -= amount;
        self.headroom.record(now, self.current_headroom());
    }

    /// Credits `refund` of a charge made at `charged`, as if the charge had been smaller from the
    /// start, and returns the amount credited. The credit is limited to the minimum headroom since
    /// the charge, because anything beyond it would have overflowed the bucket.
    pub(crate) fn refund(&mut self, now: Timestamp, charged: Timestamp, refund: i64) -> i64 {
        let credit = refund.min(self.headroom.min_since(charged)).max(0);
        self.level += credit;
        self.headroom.lower_since(charged, credit);
        self.headroom.record(now, self.current_headroom());
        credit
    }

    /// Subtracts what a request used beyond its charge.
    pub(crate) fn debit(&mut self, now: Timestamp, overuse: i64) {
        self.level -= overuse;
        self.headroom.record(now, self.current_headroom());
    }

    /// How long the refill of `amount` takes, counted from the last update.
    pub(crate) fn refill_time(&self, amount: i64) -> Duration {
        let amount = amount.max(0).unsigned_abs();
        Duration::from_millis(amount.div_ceil(millitokens_per_ms(self.rate).unsigned_abs()))
    }

    pub(crate) fn burst(&self) -> i64 {
        millitokens(self.rate.burst.into())
    }

    fn current_headroom(&self) -> i64 {
        self.burst() - self.outstanding - self.level
    }
}

/// The rate in thousandths of a token per millisecond, which is numerically the rate in tokens per
/// second.
fn millitokens_per_ms(rate: RateEntry) -> i64 {
    let refill_rate = i64::try_from(u64::from(rate.tokens_per_second));
    refill_rate.unwrap_or(i64::MAX).max(1)
}

/// Converts tokens to thousandths of a token.
pub(crate) fn millitokens(tokens: u64) -> i64 {
    i64::try_from(tokens)
        .unwrap_or(i64::MAX)
        .saturating_mul(MILLITOKENS_PER_TOKEN)
}
