//! The token bucket of one account.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::config::model::RateEntry;
use crate::ids::TokenCount;

/// A token bucket in thousandths of a token, so that small rates accrue without rounding.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AccountBucket {
    rate: RateEntry,
    /// Never above the burst.
    level_millis: u64,
    updated: Timestamp,
}

/// The answer to a charge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BucketAnswer {
    Charged,
    /// The level suffices after this time.
    Wait(Duration),
}

impl AccountBucket {
    /// A full bucket.
    pub(crate) fn new(rate: RateEntry, now: Timestamp) -> Self {
        Self {
            rate,
            level_millis: u64::from(rate.burst) * 1000,
            updated: now,
        }
    }

    /// Follows a change of the configured rate.
    pub(crate) fn set_rate(&mut self, rate: RateEntry, now: Timestamp) {
        self.refill(now);
        self.rate = rate;
        self.level_millis = self.level_millis.min(self.burst_millis());
    }

    /// Takes `need` tokens if the level allows it.
    pub(crate) fn charge(&mut self, now: Timestamp, need: TokenCount) -> BucketAnswer {
        self.refill(now);
        let need_millis = u64::from(need) * 1000;
        if self.level_millis >= need_millis {
            self.level_millis -= need_millis;
            return BucketAnswer::Charged;
        }
        let rate = u64::from(self.rate.tokens_per_second).max(1);
        BucketAnswer::Wait(Duration::from_millis(
            (need_millis - self.level_millis).div_ceil(rate),
        ))
    }

    fn burst_millis(&self) -> u64 {
        u64::from(self.rate.burst) * 1000
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = u64::try_from(now.since(self.updated).as_millis()).unwrap_or(0);
        let accrued = elapsed.saturating_mul(u64::from(self.rate.tokens_per_second));
        self.level_millis = self
            .level_millis
            .saturating_add(accrued)
            .min(self.burst_millis());
        self.updated = self.updated.max(now);
    }
}
