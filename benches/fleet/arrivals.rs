//! Seeded arrivals: a Poisson process with Zipf-distributed adapters whose popularity shifts at
//! half time.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::RunOptions;
use crate::site::Scenario;

/// The account that sends five times its rate in the scenario `noisy`.
pub(crate) const NOISY_ACCOUNT: usize = 0;
/// Factor by which the noisy account exceeds its share of the requests.
const NOISY_FACTOR: f64 = 5.0;
/// Each account's share of the requests when no account is noisy.
const ACCOUNT_SHARES: [f64; 5] = [0.35, 0.3, 0.2, 0.1, 0.05];
/// Exponent of the Zipf distribution of adapter popularity.
const ZIPF_EXPONENT: f64 = 1.5;

/// Number of adapters that become the most popular ones at half time, ahead of the previous ones.
const NEWLY_POPULAR_ADAPTERS: usize = 15;

#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    pub(crate) at: Duration,
    pub(crate) account: usize,
    pub(crate) adapter: usize,
    pub(crate) tokens: u64,
    /// A random number that, modulo the number of ready entry VMs, selects the entry VM.
    pub(crate) node: usize,
    pub(crate) id: String,
}

impl Arrival {
    /// The prompt; its `tokens=N` sets how many tokens the engine generates.
    pub(crate) fn prompt(&self) -> String {
        format!("swap {} bottles tokens={}", self.adapter, self.tokens)
    }

    /// The tokens charged to the account: the four words of the prompt and the generated tokens.
    pub(crate) fn charged_tokens(&self) -> u64 {
        4 + self.tokens
    }
}

#[derive(Debug)]
pub(crate) struct ArrivalPlan<'a> {
    options: &'a RunOptions,
    random: StdRng,
    /// Cumulative Zipf weights by rank.
    cumulative_weights: Vec<f64>,
}

impl<'a> ArrivalPlan<'a> {
    pub(crate) fn new(options: &'a RunOptions) -> Self {
        let mut sum = 0.0;
        let weights = (1..=options.size.adapters).map(|rank| {
            sum += (rank as f64).powf(-ZIPF_EXPONENT);
            sum
        });
        let cumulative_weights = weights.collect();
        Self {
            options,
            random: StdRng::seed_from_u64(options.seed),
            cumulative_weights,
        }
    }

    /// All arrivals of the run in order of time.
    pub(crate) fn arrivals(mut self) -> Vec<Arrival> {
        let noisy = self.options.scenario == Scenario::Noisy;
        let noisy_extra_share = ACCOUNT_SHARES[NOISY_ACCOUNT] * (NOISY_FACTOR - 1.0);
        let rate_factor = if noisy { 1.0 + noisy_extra_share } else { 1.0 };
        let rate = self.options.requests_per_second * rate_factor;
        let mut at = 0.0;
        let mut arrivals = Vec::new();
        loop {
            let draw: f64 = self.random.random();
            at -= (1.0 - draw).ln() / rate;
            if at >= (self.options.warmup + self.options.duration).as_secs_f64() {
                return arrivals;
            }
            let arrival = self.arrival(Duration::from_secs_f64(at), arrivals.len(), noisy);
            arrivals.push(arrival);
        }
    }

    fn arrival(&mut self, at: Duration, index: usize, noisy: bool) -> Arrival {
        let shifted = at > self.options.warmup + self.options.duration / 2;
        let rank = self.draw_rank();
        let adapters = self.options.size.adapters;
        let adapter = if shifted {
            (rank + adapters - NEWLY_POPULAR_ADAPTERS) % adapters
        } else {
            rank
        };
        let account = self.draw_account(noisy);
        Arrival {
            at,
            account,
            // The adapter number modulo `ACCOUNTS` is the account that owns the adapter.
            adapter: adapter / ACCOUNTS * ACCOUNTS + account,
            tokens: self.random.random_range(8..40),
            node: self.random.random_range(0..1_000_000),
            id: format!("bench-{}-{index}", self.options.seed),
        }
    }

    fn draw_rank(&mut self) -> usize {
        let total = self.cumulative_weights.last().copied().unwrap_or(1.0);
        let draw = self.random.random::<f64>() * total;
        self.cumulative_weights
            .partition_point(|sum| *sum < draw)
            .min(self.options.size.adapters - 1)
    }

    fn draw_account(&mut self, noisy: bool) -> usize {
        let mut shares = ACCOUNT_SHARES;
        if noisy {
            shares[NOISY_ACCOUNT] *= NOISY_FACTOR;
        }
        let mut draw = self.random.random::<f64>() * shares.iter().sum::<f64>();
        for (account, share) in shares.iter().enumerate() {
            if draw < *share {
                return account;
            }
            draw -= share;
        }
        shares.len() - 1
    }
}

/// The rate limit of an account in tokens per second: its share of the load plus a margin of 60%.
pub(crate) fn account_rate(request_rate: f64, account: usize) -> u64 {
    const MEAN_TOKENS: f64 = 28.0;
    const RATE_MARGIN: f64 = 1.6;
    (request_rate * ACCOUNT_SHARES[account] * MEAN_TOKENS * RATE_MARGIN).ceil() as u64
}

/// The burst limit of an account in tokens: four seconds of its rate, at least 1,000.
pub(crate) fn account_burst(request_rate: f64, account: usize) -> u64 {
    (account_rate(request_rate, account) * 4).max(1000)
}

pub(crate) const ACCOUNTS: usize = ACCOUNT_SHARES.len();
