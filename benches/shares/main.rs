//! Compares three rate limit policies on the same arrivals: grants from an owner, an equal static
//! split over the nodes, and one global counter that is queried for each request.
//!
//! Run with `cargo bench --bench shares -- --seed N`. Prints one JSON line for each policy. Time is
//! simulated, and each message takes 1 ms. With `--crashes`, VMs that each own some of the accounts
//! crash one after the other and are replaced.

mod arrivals;
mod baseline;
mod grants;

use clap::{Arg, Command, value_parser};
use serde_json::json;

use arrivals::{ArrivalPattern, BenchRequest, PATTERNS, VmCrash, arrivals};
use baseline::{run_global_counter, run_static_split};
use grants::GrantSimulation;

const NODES: usize = 6;
/// Rate limit of each account in tokens per second.
const RATE: u64 = 6_000;
/// Burst limit of each account in tokens.
const BURST: u64 = 12_000;
const RUN_MILLIS: u64 = 60_000;
/// End of the simulation, which leaves the last requests time to end.
const END_MILLIS: u64 = RUN_MILLIS + 3_000;
const MESSAGE_MILLIS: u64 = 1;
/// Longest wait of a request for the rate limit, the same for all policies.
const MAX_RATE_WAIT_MILLIS: u64 = 250;
/// Longest wait of a request for the owner of its account, the same for all policies.
const MAX_OWNER_WAIT_MILLIS: u64 = 10_000;

/// The admissions, refusals, waits and messages of one policy's run.
#[derive(Debug, Default)]
struct PolicyResult {
    messages: usize,
    /// Time and used tokens of each admission, by account.
    admitted: Vec<Vec<(u64, u64)>>,
    refused: Vec<usize>,
    /// The waits of the admitted requests of accounts within their rate, in milliseconds.
    waits: Vec<u64>,
}

impl PolicyResult {
    fn new() -> Self {
        Self {
            messages: 0,
            admitted: vec![Vec::new(); PATTERNS.len()],
            refused: vec![0; PATTERNS.len()],
            waits: Vec::new(),
        }
    }

    fn record_wait(&mut self, request: &BenchRequest, admitted_at: u64) {
        if PATTERNS[request.account] != ArrivalPattern::OverRate {
            self.waits.push(admitted_at - request.at);
        }
    }

    /// The maximum number of tokens by which an account exceeded rate × time + burst in any window.
    fn tokens_over_limit(&mut self) -> u64 {
        let mut largest_excess = 0;
        for admitted in &mut self.admitted {
            admitted.sort_unstable();
            // Balances are in thousandths of a token.
            let (mut sum, mut lowest_balance) = (0_i64, i64::MAX);
            for (at, used_tokens) in admitted {
                let allowed = (*at * RATE).cast_signed();
                lowest_balance = lowest_balance.min(sum - allowed);
                sum += used_tokens.cast_signed() * 1000;
                largest_excess = largest_excess
                    .max(sum - allowed - lowest_balance - (BURST * 1000).cast_signed());
            }
        }
        largest_excess.cast_unsigned().div_ceil(1000)
    }

    fn print(mut self, policy: &str, seed: u64, requests: &[BenchRequest]) {
        let is_over_rate = |account: usize| PATTERNS[account] == ArrivalPattern::OverRate;
        let over_rate_requests = requests
            .iter()
            .filter(|request| is_over_rate(request.account))
            .count();
        let requests_within_rate = requests.len() - over_rate_requests;
        let refused = self.refused.iter().enumerate();
        let wrongful: usize = refused
            .filter(|(account, _)| !is_over_rate(*account))
            .map(|(_, count)| count)
            .sum();
        // The last account is the only one over its rate.
        let over_rate_admissions = self.admitted[PATTERNS.len() - 1].iter();
        let over_rate_tokens: u64 = over_rate_admissions
            .map(|(_, used_tokens)| used_tokens)
            .sum();
        self.waits.sort_unstable();
        let long_waits = self
            .waits
            .iter()
            .filter(|wait| **wait > MAX_RATE_WAIT_MILLIS);
        let long_waits = long_waits.count();
        let per_request = self.messages as f64 / requests.len() as f64;
        let metrics = json!({
            "policy": policy, "seed": seed, "requests_within_rate": requests_within_rate,
            "wrongful_refusals": wrongful,
            "wrongful_percent":
                round_to_thousandth(wrongful as f64 * 100.0 / requests_within_rate as f64),
            "over_rate_requests": over_rate_requests, "over_rate_tokens": over_rate_tokens,
            "messages": self.messages, "messages_per_request": round_to_thousandth(per_request),
            "tokens_over_limit": self.tokens_over_limit(),
            "waited_over_250_ms": long_waits, "longest_wait_ms": self.waits.last(),
        });
        println!("{metrics}");
    }
}

fn round_to_thousandth(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}

fn main() {
    let seed = Arg::new("seed")
        .long("seed")
        .default_value("1")
        .value_parser(value_parser!(u64));
    // Cargo passes `--bench` to every bench.
    let bench = Arg::new("bench")
        .long("bench")
        .action(clap::ArgAction::SetTrue);
    let crashes = Arg::new("crashes")
        .long("crashes")
        .action(clap::ArgAction::SetTrue);
    let command = Command::new("shares").arg(seed).arg(bench).arg(crashes);
    let matches = command.get_matches();
    let seed = *matches
        .get_one::<u64>("seed")
        .expect("the seed has a default");
    let crashes = match matches.get_flag("crashes") {
        true => VmCrash::all(seed),
        false => Vec::new(),
    };
    let requests = arrivals(seed);
    let grants = GrantSimulation::new(crashes.clone()).run(&requests);
    grants.print("grants", seed, &requests);
    run_static_split(&requests, &crashes).print("static_split", seed, &requests);
    run_global_counter(&requests, &crashes).print("global_counter", seed, &requests);
}
