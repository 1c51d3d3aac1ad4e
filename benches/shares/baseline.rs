//! The baselines: an equal static split, and one global counter.

use crate::arrivals::{BenchRequest, PATTERNS, REPLACE_MILLIS, VmCrash, arrival_node, first_owner};
use crate::{BURST, NODES, PolicyResult, RATE, WAIT_MILLIS};

/// A token bucket in thousandths that can promise tokens for up to 250 ms ahead.
#[derive(Debug, Clone)]
pub(crate) struct PlainBucket {
    rate: u64,
    burst: i64,
    level: i64,
    updated: u64,
}

impl PlainBucket {
    pub(crate) fn full(rate: u64, burst: u64) -> Self {
        let burst = burst.cast_signed() * 1000;
        Self {
            rate,
            burst,
            level: burst,
            updated: 0,
        }
    }

    fn refill(&mut self, now: u64) {
        let refill = ((now - self.updated) * self.rate).cast_signed();
        self.level = (self.level + refill).min(self.burst);
        self.updated = now;
    }

    /// Takes `need` tokens and tells the wait, if it is at most `limit` ms.
    pub(crate) fn take(&mut self, now: u64, need: u64, limit: u64) -> Option<u64> {
        self.refill(now);
        let need = need.cast_signed() * 1000;
        let missing = (need - self.level).max(0).cast_unsigned();
        let wait = missing.div_ceil(self.rate);
        if need > self.burst || wait > limit {
            return None;
        }
        self.level -= need;
        Some(wait)
    }

    fn refund(&mut self, now: u64, tokens: u64) {
        self.refill(now);
        self.level = (self.level + tokens.cast_signed() * 1000).min(self.burst);
    }
}

/// The result of buckets that decide at once. `bucket_of` chooses the bucket of a request.
fn run_buckets(
    requests: &[BenchRequest],
    mut buckets: Vec<PlainBucket>,
    bucket_of: impl Fn(&BenchRequest) -> usize,
    mut losses: Vec<BucketLoss>,
    messages_per_call: usize,
) -> PolicyResult {
    let mut result = PolicyResult::new();
    let mut ends: Vec<(u64, usize, u64)> = Vec::new();
    for request in requests {
        for loss in losses.extract_if(.., |loss| loss.at <= request.at) {
            let bucket = &mut buckets[loss.bucket];
            bucket.level = 0;
            bucket.updated = loss.back_at;
            // The refunds of the lost bucket's charges are lost too.
            ends.retain(|end| end.1 != loss.bucket);
        }
        let due = ends.extract_if(.., |end| end.0 <= request.at);
        for (end, bucket, refund) in due.collect::<Vec<_>>() {
            let now = end.max(buckets[bucket].updated);
            buckets[bucket].refund(now, refund);
            result.messages += messages_per_call;
        }
        let index = bucket_of(request);
        result.messages += messages_per_call;
        // A request waits for a bucket that has no owner.
        let asked = request.at.max(buckets[index].updated);
        match buckets[index].take(asked, request.need, WAIT_MILLIS) {
            Some(wait) => {
                let at = asked + wait;
                result.note_wait(request, at);
                result.admitted[request.account].push((at, request.used));
                if request.used < request.need {
                    let refund = request.need - request.used;
                    ends.push((at + request.runs_for, index, refund));
                }
            }
            None => result.refused[request.account] += 1,
        }
    }
    result.messages += messages_per_call * ends.len();
    result
}

/// A bucket whose VM crashes at `at`; it is empty and begins to refill at `back_at`.
#[derive(Debug, Clone, Copy)]
struct BucketLoss {
    at: u64,
    back_at: u64,
    bucket: usize,
}

pub(crate) fn run_static_split(requests: &[BenchRequest], crashes: &[VmCrash]) -> PolicyResult {
    let share = PlainBucket::full(RATE / NODES as u64, BURST / NODES as u64);
    let buckets = vec![share; PATTERNS.len() * NODES];
    let accounts = 0..PATTERNS.len();
    let losses = accounts.flat_map(|account| {
        crashes.iter().map(move |crash| BucketLoss {
            at: crash.at,
            back_at: crash.at + REPLACE_MILLIS,
            bucket: account * NODES + crash.node,
        })
    });
    let losses = losses.collect();
    let bucket_of = |one: &BenchRequest| one.account * NODES + arrival_node(crashes, one);
    run_buckets(requests, buckets, bucket_of, losses, 0)
}

pub(crate) fn run_global_counter(requests: &[BenchRequest], crashes: &[VmCrash]) -> PolicyResult {
    let buckets = vec![PlainBucket::full(RATE, BURST); PATTERNS.len()];
    let accounts = 0..PATTERNS.len();
    let losses = accounts.flat_map(|account| {
        let own = crashes
            .iter()
            .filter(move |crash| crash.node == first_owner(account));
        own.map(move |crash| BucketLoss {
            at: crash.at,
            back_at: crash.claimed_at,
            bucket: account,
        })
    });
    let losses = losses.collect();
    run_buckets(requests, buckets, |one| one.account, losses, 1)
}
