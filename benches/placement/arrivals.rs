//! The sites and their seeded arrivals, the same for every policy.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The step of simulated time in milliseconds.
pub(crate) const STEP_MS: u64 = 5;
pub(crate) const ACCOUNTS: usize = 5;
/// Account 0 sends this many times the share of each other account.
const HEAVY_FACTOR: usize = 5;
const ADAPTERS_PER_ACCOUNT: usize = 600;
/// Every account swaps one of its popular adapters for a random one this often: 21% of 3,000
/// adapters in an hour.
const SHIFT_MS: u64 = 28_000;
const POPULAR: usize = 20;
/// The time before the first token and between two tokens.
const PREFILL_MS: u64 = 100;
const TOKEN_MS: u64 = 54;
/// While this part of the run passes, the targets of zone 0 are out of service with `--zone-out`.
pub(crate) const ZONE_OUT_MS: std::ops::Range<u64> = 180_000..240_000;
/// The time that counts, after the time in which caches fill.
pub(crate) const WARM_UP_MS: u64 = 60_000;
pub(crate) const RUN_MS: u64 = 360_000;
pub(crate) const LOADS_IN_FLIGHT: usize = 8;
pub(crate) const WAIT_LIMIT_MS: u64 = 10_000;

#[derive(Debug)]
pub(crate) struct Site {
    pub(crate) name: &'static str,
    pub(crate) targets: usize,
    pub(crate) loads_per_second: f64,
    pub(crate) adapter_slots: usize,
    pub(crate) places: usize,
    pub(crate) zones: usize,
    pub(crate) zone_out: bool,
    pub(crate) load: Load,
}

/// What the requests are like.
#[derive(Debug, Clone)]
pub(crate) struct Load {
    pub(crate) name: &'static str,
    /// The exponent of the Zipf distribution of popularity within each account.
    zipf_exponent: f64,
    tokens: std::ops::RangeInclusive<u64>,
    /// The offered load as a part of what all places together can serve.
    offered: f64,
}

impl Load {
    /// Long answers that fill the places: waiting for a place weighs as much as loads.
    pub(crate) fn long() -> Self {
        Self {
            name: "long",
            zipf_exponent: 1.2,
            tokens: 50..=350,
            offered: 0.9,
        }
    }

    /// Short answers that leave places free, so that only loads make requests wait.
    pub(crate) fn short() -> Self {
        Self {
            name: "short",
            zipf_exponent: 1.5,
            tokens: 8..=39,
            offered: 0.3,
        }
    }

    fn mean_tokens(&self) -> f64 {
        (self.tokens.start() + self.tokens.end()) as f64 / 2.0
    }

    fn mean_hold_ms(&self) -> f64 {
        PREFILL_MS as f64 + self.mean_tokens() * TOKEN_MS as f64
    }
}

impl Site {
    pub(crate) fn quito() -> Self {
        Self {
            name: "quito",
            targets: 12,
            loads_per_second: 4.0,
            adapter_slots: 8,
            places: 8,
            zones: 3,
            zone_out: false,
            load: Load::long(),
        }
    }

    pub(crate) fn austria() -> Self {
        Self {
            name: "austria",
            targets: 9,
            loads_per_second: 2.0,
            adapter_slots: 8,
            places: 8,
            zones: 4,
            zone_out: false,
            load: Load::long(),
        }
    }

    /// The tokens that all places together serve in the time that counts.
    pub(crate) fn capacity_tokens(&self) -> f64 {
        let places = (self.targets * self.places) as f64;
        places * (RUN_MS - WARM_UP_MS) as f64 * self.load.mean_tokens() / self.load.mean_hold_ms()
    }

    /// The popularity that the adapters which just fit into all slots have, by a choice that
    /// knows the distribution.
    fn oracle_limit(&self) -> f64 {
        let shares = (0..ACCOUNTS).map(|account| match account {
            0 => HEAVY_FACTOR as f64,
            _ => 1.0,
        });
        let ranks = 1..=ADAPTERS_PER_ACCOUNT;
        let mut popularities: Vec<f64> = shares
            .flat_map(|share| ranks.clone().map(move |rank| share * self.weight(rank)))
            .collect();
        popularities.sort_by(|a, b| b.total_cmp(a));
        popularities[self.targets * self.adapter_slots]
    }

    fn weight(&self, rank: usize) -> f64 {
        (rank as f64).powf(-self.load.zipf_exponent)
    }
}

#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    pub(crate) at: u64,
    pub(crate) account: usize,
    pub(crate) adapter: usize,
    pub(crate) tokens: u64,
    /// Whether a choice that knows the popularities would keep the adapter loaded.
    pub(crate) kept_by_oracle: bool,
}

impl Arrival {
    /// The time that the request occupies a place.
    pub(crate) fn hold_ms(&self) -> u64 {
        PREFILL_MS + self.tokens * TOKEN_MS
    }

    pub(crate) fn counts(&self) -> bool {
        self.at >= WARM_UP_MS && self.at < RUN_MS - WAIT_LIMIT_MS
    }
}

/// How a request ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Outcome {
    /// When it got its place; `None` when it was refused.
    pub(crate) started: Option<u64>,
    /// Whether its adapter was on its target before it arrived.
    pub(crate) hit: bool,
    /// Whether it waited for a load: its adapter came to its target after it arrived, or it was
    /// refused while its adapter was on no target.
    pub(crate) stalled: bool,
    /// Where the adapter was when the request arrived.
    pub(crate) cause: StallCause,
}

/// Where the adapter of a request was at its arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum StallCause {
    /// Never loaded in the run.
    #[default]
    First,
    /// Loaded before and evicted.
    Evicted,
    /// A load was in flight for an earlier request.
    InFlight,
    /// Loaded on a target in service: its places were taken or it was evicted before the start.
    Busy,
    /// Loaded on targets of the zone out of service only.
    ZoneOut,
}

/// The arrivals of a site, by time.
pub(crate) fn arrivals(site: &Site, seed: u64) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(seed);
    let weights = (1..=ADAPTERS_PER_ACCOUNT).map(|rank| site.weight(rank));
    let oracle_limit = site.oracle_limit();
    let mut sum = 0.0;
    let cumulated: Vec<f64> = weights
        .map(|weight| {
            sum += weight;
            sum
        })
        .collect();
    let mut ranks: Vec<Vec<usize>> = (0..ACCOUNTS)
        .map(|account| {
            (0..ADAPTERS_PER_ACCOUNT)
                .map(|i| account * ADAPTERS_PER_ACCOUNT + i)
                .collect()
        })
        .collect();
    let places = (site.targets * site.places) as f64;
    let per_second = site.load.offered * places * 1000.0 / site.load.mean_hold_ms();
    let mut arrivals = Vec::new();
    let mut now = 0.0;
    let mut next_shift = SHIFT_MS;
    while now < RUN_MS as f64 {
        now += -rng.random::<f64>().max(1e-12).ln() * 1000.0 / per_second;
        while now as u64 >= next_shift {
            next_shift += SHIFT_MS;
            for adapters in &mut ranks {
                let popular = rng.random_range(0..POPULAR);
                let other = rng.random_range(0..ADAPTERS_PER_ACCOUNT);
                adapters.swap(popular, other);
            }
        }
        let share = rng.random_range(0..HEAVY_FACTOR + ACCOUNTS - 1);
        let account = share.saturating_sub(HEAVY_FACTOR - 1);
        let draw = rng.random::<f64>() * sum;
        let rank = cumulated.partition_point(|limit| *limit < draw);
        let rank = rank.min(ADAPTERS_PER_ACCOUNT - 1);
        let share = if account == 0 { HEAVY_FACTOR } else { 1 };
        arrivals.push(Arrival {
            at: now as u64,
            account,
            adapter: ranks[account][rank],
            tokens: rng.random_range(site.load.tokens.clone()),
            kept_by_oracle: share as f64 * site.weight(rank + 1) > oracle_limit,
        });
    }
    arrivals
}

/// The weight store: its loads in flight share its bandwidth.
#[derive(Debug)]
pub(crate) struct WeightStore<T> {
    load_ms: f64,
    loads: Vec<(f64, T)>,
}

impl<T> WeightStore<T> {
    pub(crate) fn new(loads_per_second: f64) -> Self {
        Self {
            load_ms: 1000.0 / loads_per_second,
            loads: Vec::new(),
        }
    }

    pub(crate) fn start(&mut self, load: T) {
        self.loads.push((self.load_ms, load));
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.loads.len()
    }

    /// Lets one step of time pass; returns the loads that are complete.
    pub(crate) fn step(&mut self) -> Vec<T> {
        let part = STEP_MS as f64 / self.loads.len().max(1) as f64;
        for (left, _) in &mut self.loads {
            *left -= part;
        }
        let (done, loading) = std::mem::take(&mut self.loads)
            .into_iter()
            .partition(|(left, _)| *left <= 0.0);
        self.loads = loading;
        let done: Vec<(f64, T)> = done;
        done.into_iter().map(|(_, load)| load).collect()
    }
}
