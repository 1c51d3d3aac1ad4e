//! The seeded arrivals of requests and the crashes of VMs, the same for every policy.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::baseline::PlainBucket;
use crate::{BURST, NODES, RATE, RUN_MILLIS};

/// When VMs crash, each another one.
const CRASH_MILLIS: [u64; 3] = [10_000, 25_000, 40_000];
/// How long after a crash an empty VM takes the place.
pub(crate) const REPLACE_MILLIS: u64 = 5_000;
/// The range of the time from a crash to the successor's claim: the lease lasts 4 s from its last
/// renewal, which is up to 1 s old, and the claim is read up to 0.2 s later.
const CLAIM_MILLIS: std::ops::Range<u64> = 3_000..4_200;

/// How the requests of an account arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ArrivalPattern {
    /// At all nodes alike.
    Even,
    /// Nine of ten at one node.
    Skewed,
    /// At one node, as over one long connection; another one every 5 s.
    OneConnection,
    /// Small ones at all nodes, and each 10 s one as large as the burst.
    BurstSized,
    /// At all nodes, at five times the rate.
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
    pub(crate) need: u64,
    pub(crate) used: u64,
    pub(crate) runs_for: u64,
}

/// One VM's crash.
#[derive(Debug, Clone, Copy)]
pub(crate) struct VmCrash {
    pub(crate) at: u64,
    pub(crate) node: usize,
    /// When other nodes become owners of its accounts.
    pub(crate) claimed_at: u64,
}

impl VmCrash {
    pub(crate) fn all(seed: u64) -> Vec<Self> {
        let mut random = StdRng::seed_from_u64(seed ^ 0xc4a5);
        let crashes = CRASH_MILLIS.into_iter().enumerate();
        let crashes = crashes.map(|(node, at)| Self {
            at,
            node,
            claimed_at: at + random.random_range(CLAIM_MILLIS),
        });
        crashes.collect()
    }

    fn is_down(&self, node: usize, now: u64) -> bool {
        self.node == node && (self.at..self.at + REPLACE_MILLIS).contains(&now)
    }
}

/// The node at which a request arrives: the load balancer skips a VM that is down.
pub(crate) fn arrival_node(crashes: &[VmCrash], request: &BenchRequest) -> usize {
    let is_down = |node| crashes.iter().any(|crash| crash.is_down(node, request.at));
    match is_down(request.node) {
        true => (request.node + 1 + request.account % (NODES - 1)) % NODES,
        false => request.node,
    }
}

/// The VM that owns an account at first.
pub(crate) fn first_owner(account: usize) -> usize {
    account % NODES
}

/// Random arrivals. Those of all patterns but the last fit into an exact bucket without refunds.
pub(crate) fn arrivals(seed: u64) -> Vec<BenchRequest> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for (account, pattern) in PATTERNS.into_iter().enumerate() {
        let mut bucket = PlainBucket::full(RATE, BURST);
        let home = random.random_range(0..NODES);
        for at in 0..RUN_MILLIS {
            // Requests have 100 tokens on average.
            let load = match pattern {
                ArrivalPattern::OverRate => 5.0,
                ArrivalPattern::BurstSized => 0.3,
                _ => 0.9,
            };
            let is_large = pattern == ArrivalPattern::BurstSized && at % 10_000 == 9_999;
            if !is_large && !random.random_bool(load * RATE as f64 / 100_000.0) {
                continue;
            }
            let need = if is_large {
                BURST
            } else {
                random.random_range(20..=180)
            };
            let fits = bucket.take(at, need, 0).is_some();
            if pattern != ArrivalPattern::OverRate && !fits {
                continue;
            }
            let any = random.random_range(0..NODES);
            let node = match pattern {
                ArrivalPattern::Skewed if random.random_bool(0.9) => home,
                ArrivalPattern::OneConnection => (home + at as usize / 5_000) % NODES,
                _ => any,
            };
            requests.push(BenchRequest {
                at,
                account,
                node,
                need,
                used: need * random.random_range(30..=100) / 100,
                runs_for: random.random_range(50..2_000),
            });
        }
    }
    requests.sort_by_key(|request| request.at);
    requests
}
