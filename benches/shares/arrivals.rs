//! Seeded request arrivals and VM crashes, which are the same for every policy.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::baseline::TokenBucket;
use crate::{BURST, NODES, RATE, RUN_MILLIS};

/// Crash times; each crash affects a different VM.
const CRASH_MILLIS: [u64; 3] = [10_000, 25_000, 40_000];
/// Time from a crash until a new VM without state replaces the crashed one.
pub(crate) const REPLACEMENT_MILLIS: u64 = 5_000;
/// Range of the time from a crash to the claim of the new owner. The lease lasts 4 s from its last
/// renewal, which is up to 1 s old, and the claim is read up to 0.2 s later.
const CLAIM_DELAY_MILLIS: std::ops::Range<u64> = 3_000..4_200;

/// How the requests of an account arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ArrivalPattern {
    /// Evenly distributed over all nodes.
    Even,
    /// 90% at one node.
    Skewed,
    /// All at one node, as over one long connection; the node changes every 5 s.
    OneConnection,
    /// Small requests at all nodes, and every 10 s one request of the size of the burst.
    BurstSized,
    /// Evenly distributed over all nodes at five times the rate.
    OverRate,
}

pub(crate) const PATTERNS: [ArrivalPattern; 8] = [
    ArrivalPattern::Even,
    ArrivalPattern::Even,
    ArrivalPattern::Skewed,
    ArrivalPattern::Skewed,
    ArrivalPattern::OneConnection,
    ArrivalPattern::OneConnection,
    ArrivalPattern::BurstSized,
    ArrivalPattern::OverRate,
];

#[derive(Debug, Clone, Copy)]
pub(crate) struct BenchRequest {
    pub(crate) at: u64,
    pub(crate) account: usize,
    pub(crate) node: usize,
    pub(crate) reserved_tokens: u64,
    pub(crate) used_tokens: u64,
    pub(crate) run_millis: u64,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct VmCrash {
    pub(crate) at: u64,
    pub(crate) node: usize,
    /// When other nodes become the owners of the accounts of the crashed VM.
    pub(crate) claimed_at: u64,
}

impl VmCrash {
    pub(crate) fn all(seed: u64) -> Vec<Self> {
        let mut random = StdRng::seed_from_u64(seed ^ 0xc4a5);
        let crashes = CRASH_MILLIS.into_iter().enumerate();
        let crashes = crashes.map(|(node, at)| Self {
            at,
            node,
            claimed_at: at + random.random_range(CLAIM_DELAY_MILLIS),
        });
        crashes.collect()
    }

    fn is_down(&self, node: usize, now: u64) -> bool {
        self.node == node && (self.at..self.at + REPLACEMENT_MILLIS).contains(&now)
    }
}

/// The node that receives a request; the load balancer skips VMs that are down.
pub(crate) fn arrival_node(crashes: &[VmCrash], request: &BenchRequest) -> usize {
    let is_down = |node| crashes.iter().any(|crash| crash.is_down(node, request.at));
    match is_down(request.node) {
        true => (request.node + 1 + request.account % (NODES - 1)) % NODES,
        false => request.node,
    }
}

/// The VM that owns an account at the start of the run.
pub(crate) fn first_owner(account: usize) -> usize {
    account % NODES
}

/// Draws the arrivals of a run. The requests of every pattern except `OverRate` fit into an exact
/// token bucket even without refunds.
pub(crate) fn arrivals(seed: u64) -> Vec<BenchRequest> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for (account, pattern) in PATTERNS.into_iter().enumerate() {
        let mut bucket = TokenBucket::full(RATE, BURST);
        let home_node = random.random_range(0..NODES);
        for at in 0..RUN_MILLIS {
            // Requests have 100 tokens on average, so an account at its rate sends one in each
            // millisecond with a probability of `RATE` / 100,000.
            let rate_fraction = match pattern {
                ArrivalPattern::OverRate => 5.0,
                ArrivalPattern::BurstSized => 0.3,
                _ => 0.9,
            };
            let is_burst_sized = pattern == ArrivalPattern::BurstSized && at % 10_000 == 9_999;
            if !is_burst_sized && !random.random_bool(rate_fraction * RATE as f64 / 100_000.0) {
                continue;
            }
            let reserved_tokens = if is_burst_sized {
                BURST
            } else {
                random.random_range(20..=180)
            };
            let fits = bucket.take(at, reserved_tokens, 0).is_some();
            if pattern != ArrivalPattern::OverRate && !fits {
                continue;
            }
            let random_node = random.random_range(0..NODES);
            let node = match pattern {
                ArrivalPattern::Skewed if random.random_bool(0.9) => home_node,
                ArrivalPattern::OneConnection => (home_node + at as usize / 5_000) % NODES,
                _ => random_node,
            };
            requests.push(BenchRequest {
                at,
                account,
                node,
                reserved_tokens,
                used_tokens: reserved_tokens * random.random_range(30..=100) / 100,
                run_millis: random.random_range(50..2_000),
            });
        }
    }
    requests.sort_by_key(|request| request.at);
    requests
}
