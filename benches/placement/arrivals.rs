//! The simulated sites and their seeded arrivals, which are the same for every policy.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Step of the simulated time.
pub(crate) const STEP_MS: u64 = 5;
pub(crate) const ACCOUNTS: usize = 5;
/// Account 0 sends this many times the requests of each other account.
const HEAVY_FACTOR: usize = 5;
const ADAPTERS_PER_ACCOUNT: usize = 600;
/// Interval at which every account exchanges the popularity of one of its popular adapters with
/// that of a random adapter. This affects 21% of 3,000 adapters in an hour.
const POPULARITY_SHIFT_MS: u64 = 28_000;
const POPULAR_ADAPTERS: usize = 20;
/// Time until the first token.
const PREFILL_MS: u64 = 100;
/// Time between two tokens.
const TOKEN_MS: u64 = 54;
/// The period in which the targets of zone 0 are out of service with `--zone-out`.
pub(crate) const ZONE_OUTAGE_MS: std::ops::Range<u64> = 180_000..240_000;
/// Arrivals before this time load the first adapters and are not measured.
pub(crate) const WARM_UP_MS: u64 = 60_000;
pub(crate) const RUN_MS: u64 = 360_000;
pub(crate) const MAX_LOADS_IN_FLIGHT: usize = 8;
pub(crate) const MAX_WAIT_MS: u64 = 10_000;

#[derive(Debug)]
pub(crate) struct SimulatedSite {
    pub(crate) name: &'static str,
    pub(crate) targets: usize,
    pub(crate) loads_per_second: f64,
    pub(crate) adapter_slots: usize,
    pub(crate) request_limit: usize,
    pub(crate) zones: usize,
    pub(crate) zone_outage: bool,
    pub(crate) load: LoadProfile,
}

/// Length and frequency of the requests and popularity of the adapters.
#[derive(Debug, Clone)]
pub(crate) struct LoadProfile {
    pub(crate) name: &'static str,
    /// The exponent of the Zipf distribution of popularity within each account.
    zipf_exponent: f64,
    tokens: std::ops::RangeInclusive<u64>,
    /// The offered load as a fraction of the capacity of all targets.
    offered_load: f64,
}

impl LoadProfile {
    /// Long answers that keep the targets near their request limits: requests wait as much for the
    /// request limit as for loads.
    pub(crate) fn long() -> Self {
        Self {
            name: "long",
            zipf_exponent: 1.2,
            tokens: 50..=350,
            offered_load: 0.9,
        }
    }

    /// Short answers that keep the targets below their request limits, so that requests wait only
    /// for loads.
    pub(crate) fn short() -> Self {
        Self {
            name: "short",
            zipf_exponent: 1.5,
            tokens: 8..=39,
            offered_load: 0.3,
        }
    }

    fn mean_tokens(&self) -> f64 {
        (self.tokens.start() + self.tokens.end()) as f64 / 2.0
    }

    fn mean_hold_ms(&self) -> f64 {
        PREFILL_MS as f64 + self.mean_tokens() * TOKEN_MS as f64
    }
}

impl SimulatedSite {
    pub(crate) fn quito() -> Self {
        Self {
            name: "quito",
            targets: 12,
            loads_per_second: 4.0,
            adapter_slots: 8,
            request_limit: 8,
            zones: 3,
            zone_outage: false,
            load: LoadProfile::long(),
        }
    }

    pub(crate) fn austria() -> Self {
        Self {
            name: "austria",
            targets: 9,
            loads_per_second: 2.0,
            adapter_slots: 8,
            request_limit: 8,
            zones: 4,
            zone_outage: false,
            load: LoadProfile::long(),
        }
    }

    /// The tokens that all targets can generate in the measured time.
    pub(crate) fn capacity_tokens(&self) -> f64 {
        let request_capacity = (self.targets * self.request_limit) as f64;
        request_capacity * (RUN_MS - WARM_UP_MS) as f64 * self.load.mean_tokens()
            / self.load.mean_hold_ms()
    }

    /// The popularity above which an oracle that knows the distribution keeps an adapter loaded: as
    /// many adapters are above it as there are adapter slots.
    fn oracle_threshold(&self) -> f64 {
        let shares = (0..ACCOUNTS).map(|account| match account {
            0 => HEAVY_FACTOR as f64,
            _ => 1.0,
        });
        let ranks = 1..=ADAPTERS_PER_ACCOUNT;
        let mut popularities: Vec<f64> = shares
            .flat_map(|account_share| {
                ranks
                    .clone()
                    .map(move |rank| account_share * self.zipf_weight(rank))
            })
            .collect();
        popularities.sort_by(|a, b| b.total_cmp(a));
        popularities[self.targets * self.adapter_slots]
    }

    fn zipf_weight(&self, rank: usize) -> f64 {
        (rank as f64).powf(-self.load.zipf_exponent)
    }
}

#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    pub(crate) at: u64,
    pub(crate) account: usize,
    pub(crate) adapter: usize,
    pub(crate) tokens: u64,
    /// Whether an oracle that knows the popularities keeps the adapter loaded.
    pub(crate) kept_by_oracle: bool,
}

impl Arrival {
    /// How long the request runs.
    pub(crate) fn hold_ms(&self) -> u64 {
        PREFILL_MS + self.tokens * TOKEN_MS
    }

    pub(crate) fn is_measured(&self) -> bool {
        self.at >= WARM_UP_MS && self.at < RUN_MS - MAX_WAIT_MS
    }
}

/// How a request ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestOutcome {
    /// When the request started; `None` when it was refused.
    pub(crate) started: Option<u64>,
    /// Whether its adapter was loaded on its target before it arrived.
    pub(crate) adapter_hit: bool,
    /// Whether it waited for a load: its adapter was loaded on its target after it arrived, or it
    /// was refused while its adapter was loaded on no target.
    pub(crate) stalled: bool,
    /// Where the adapter was loaded when the request arrived.
    pub(crate) cause: StallCause,
}

/// Where the adapter of a request was loaded when the request arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum StallCause {
    /// Not loaded so far in the run.
    #[default]
    First,
    /// Loaded before and evicted.
    Evicted,
    /// A load was in flight for an earlier request.
    InFlight,
    /// Loaded on a target in service, but the target was at its request limit or evicted the
    /// adapter before the request started.
    Busy,
    /// Loaded only on targets of a zone out of service.
    ZoneOut,
}

/// Draws the arrivals of a run, in order of time.
pub(crate) fn arrivals(site: &SimulatedSite, seed: u64) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(seed);
    let weights = (1..=ADAPTERS_PER_ACCOUNT).map(|rank| site.zipf_weight(rank));
    let oracle_threshold = site.oracle_threshold();
    let mut sum = 0.0;
    let cumulative_weights: Vec<f64> = weights
        .map(|zipf_weight| {
            sum += zipf_weight;
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
    let request_capacity = (site.targets * site.request_limit) as f64;
    let requests_per_second =
        site.load.offered_load * request_capacity * 1000.0 / site.load.mean_hold_ms();
    let mut arrivals = Vec::new();
    let mut now = 0.0;
    let mut next_shift = POPULARITY_SHIFT_MS;
    while now < RUN_MS as f64 {
        now += -rng.random::<f64>().max(1e-12).ln() * 1000.0 / requests_per_second;
        while now as u64 >= next_shift {
            next_shift += POPULARITY_SHIFT_MS;
            for adapters in &mut ranks {
                let popular = rng.random_range(0..POPULAR_ADAPTERS);
                let other = rng.random_range(0..ADAPTERS_PER_ACCOUNT);
                adapters.swap(popular, other);
            }
        }
        let account_draw = rng.random_range(0..HEAVY_FACTOR + ACCOUNTS - 1);
        let account = account_draw.saturating_sub(HEAVY_FACTOR - 1);
        let draw = rng.random::<f64>() * sum;
        let rank = cumulative_weights.partition_point(|limit| *limit < draw);
        let rank = rank.min(ADAPTERS_PER_ACCOUNT - 1);
        let account_share = if account == 0 { HEAVY_FACTOR } else { 1 };
        arrivals.push(Arrival {
            at: now as u64,
            account,
            adapter: ranks[account][rank],
            tokens: rng.random_range(site.load.tokens.clone()),
            kept_by_oracle: account_share as f64 * site.zipf_weight(rank + 1) > oracle_threshold,
        });
    }
    arrivals
}

/// The simulated weight store, whose bandwidth the loads in flight share.
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

    /// Advances the loads by one time step and returns the completed ones.
    pub(crate) fn step(&mut self) -> Vec<T> {
        let progress = STEP_MS as f64 / self.loads.len().max(1) as f64;
        for (remaining, _) in &mut self.loads {
            *remaining -= progress;
        }
        let (completed, loading) = std::mem::take(&mut self.loads)
            .into_iter()
            .partition(|(remaining, _)| *remaining <= 0.0);
        self.loads = loading;
        let completed: Vec<(f64, T)> = completed;
        completed.into_iter().map(|(_, load)| load).collect()
    }
}
