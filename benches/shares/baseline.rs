//! The baseline policies: an equal static split over the nodes, and one global counter.

use crate::arrivals::{
    BenchRequest, PATTERNS, REPLACEMENT_MILLIS, VmCrash, arrival_node, first_owner,
};
use crate::{BURST, MAX_RATE_WAIT_MILLIS, NODES, PolicyResult, RATE};

/// A token bucket that counts in thousandths of a token. Its level may become negative, because a
/// request can take tokens up to `MAX_RATE_WAIT_MILLIS` before they are refilled.
#[derive(Debug, Clone)]
pub(crate) struct TokenBucket {
    rate: u64,
    burst: i64,
    level: i64,
    updated: u64,
}

impl TokenBucket {
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

    /// Takes `reserved_tokens` and returns the wait in milliseconds, or returns `None` if the wait
    /// exceeds `limit` or the tokens exceed the burst.
    pub(crate) fn take(&mut self, now: u64, reserved_tokens: u64, limit: u64) -> Option<u64> {
        self.refill(now);
        let reserved_tokens = reserved_tokens.cast_signed() * 1000;
        let missing = (reserved_tokens - self.level).max(0).cast_unsigned();
        let wait = missing.div_ceil(self.rate);
        if reserved_tokens > self.burst || wait > limit {
            return None;
        }
        self.level -= reserved_tokens;
        Some(wait)
    }

    fn refund(&mut self, now: u64, tokens: u64) {
        self.refill(now);
        self.level = (self.level + tokens.cast_signed() * 1000).min(self.burst);
    }
}

/// Runs the requests against token buckets that decide immediately. `bucket_of` returns the index
/// of a request's bucket.
fn run_buckets(
    requests: &[BenchRequest],
    mut buckets: Vec<TokenBucket>,
    bucket_of: impl Fn(&BenchRequest) -> usize,
    mut losses: Vec<BucketLoss>,
    messages_per_call: usize,
) -> PolicyResult {
    let mut result = PolicyResult::new();
    let mut pending_refunds: Vec<(u64, usize, u64)> = Vec::new();
    for request in requests {
        for loss in losses.extract_if(.., |loss| loss.at <= request.at) {
            let bucket = &mut buckets[loss.bucket];
            bucket.level = 0;
            bucket.updated = loss.refill_from;
            // The pending refunds of the lost bucket are lost as well.
            pending_refunds.retain(|refund| refund.1 != loss.bucket);
        }
        let due = pending_refunds.extract_if(.., |refund| refund.0 <= request.at);
        for (end, bucket, refund) in due.collect::<Vec<_>>() {
            let now = end.max(buckets[bucket].updated);
            buckets[bucket].refund(now, refund);
            result.messages += messages_per_call;
        }
        let index = bucket_of(request);
        result.messages += messages_per_call;
        // While the bucket has no owner, the request waits for the next owner.
        let decided_at = request.at.max(buckets[index].updated);
        match buckets[index].take(decided_at, request.reserved_tokens, MAX_RATE_WAIT_MILLIS) {
            Some(wait) => {
                let at = decided_at + wait;
                result.record_wait(request, at);
                result.admitted[request.account].push((at, request.used_tokens));
                if request.used_tokens < request.reserved_tokens {
                    let refund = request.reserved_tokens - request.used_tokens;
                    pending_refunds.push((at + request.run_millis, index, refund));
                }
            }
            None => result.refused[request.account] += 1,
        }
    }
    result.messages += messages_per_call * pending_refunds.len();
    result
}

/// Loss of a bucket whose VM crashes at `at`. The bucket is then empty and refills from
/// `refill_from` on.
#[derive(Debug, Clone, Copy)]
struct BucketLoss {
    at: u64,
    refill_from: u64,
    bucket: usize,
}

pub(crate) fn run_static_split(requests: &[BenchRequest], crashes: &[VmCrash]) -> PolicyResult {
    let node_bucket = TokenBucket::full(RATE / NODES as u64, BURST / NODES as u64);
    let buckets = vec![node_bucket; PATTERNS.len() * NODES];
    let accounts = 0..PATTERNS.len();
    let losses = accounts.flat_map(|account| {
        crashes.iter().map(move |crash| BucketLoss {
            at: crash.at,
            refill_from: crash.at + REPLACEMENT_MILLIS,
            bucket: account * NODES + crash.node,
        })
    });
    let losses = losses.collect();
    let bucket_of =
        |request: &BenchRequest| request.account * NODES + arrival_node(crashes, request);
    run_buckets(requests, buckets, bucket_of, losses, 0)
}

pub(crate) fn run_global_counter(requests: &[BenchRequest], crashes: &[VmCrash]) -> PolicyResult {
    let buckets = vec![TokenBucket::full(RATE, BURST); PATTERNS.len()];
    let accounts = 0..PATTERNS.len();
    let losses = accounts.flat_map(|account| {
        let owner_crashes = crashes
            .iter()
            .filter(move |crash| crash.node == first_owner(account));
        owner_crashes.map(move |crash| BucketLoss {
            at: crash.at,
            refill_from: crash.claimed_at,
            bucket: account,
        })
    });
    let losses = losses.collect();
    run_buckets(requests, buckets, |request| request.account, losses, 1)
}
