//! Compares three policies for the rate limits on the same arrivals: grants from an owner, an
//! equal static split over the nodes, and one global counter asked for each request.
//!
//! Run with `cargo bench --bench shares -- --seed N`. Prints one JSON line for each policy. Time
//! is simulated; each message takes 1 ms. With `--crashes` VMs crash one after the other, each
//! the owner of some accounts, and are replaced.

mod arrivals;
mod baseline;
mod grants;

use clap::{Arg, Command, value_parser};
use serde_json::json;

use arrivals::{ArrivalPattern, BenchRequest, PATTERNS, VmCrash, arrivals};
use baseline::{run_global_counter, run_static_split};
use grants::GrantRun;

const NODES: usize = 6;
/// In tokens per second and tokens, for each account.
const RATE: u64 = 6_000;
const BURST: u64 = 12_000;
const RUN_MILLIS: u64 = 60_000;
/// Time for the last requests to end.
const END_MILLIS: u64 = RUN_MILLIS + 3_000;
const MESSAGE_MILLIS: u64 = 1;
/// The longest wait for the rate, the same for all policies.
const WAIT_MILLIS: u64 = 250;
/// The longest wait for an owner, the same for all policies.
const OWNER_WAIT_MILLIS: u64 = 10_000;

/// What a policy did with the requests.
#[derive(Debug, Default)]
struct PolicyResult {
    messages: usize,
    /// The admissions of each account: time and used tokens.
    admitted: Vec<Vec<(u64, u64)>>,
    refused: Vec<usize>,
    /// How long the admitted requests of accounts within their rate waited.
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

    fn note_wait(&mut self, request: &BenchRequest, admitted_at: u64) {
        if PATTERNS[request.account] != ArrivalPattern::OverRate {
            self.waits.push(admitted_at - request.at);
        }
    }

    /// The most tokens above rate × time + burst in any window of any account.
    fn excess(&mut self) -> u64 {
        let mut worst = 0;
        for admitted in &mut self.admitted {
            admitted.sort_unstable();
            let (mut sum, mut least) = (0_i64, i64::MAX);
            for (at, used) in admitted {
                let allowed = (*at * RATE).cast_signed();
                least = least.min(sum - allowed);
                sum += used.cast_signed() * 1000;
                worst = worst.max(sum - allowed - least - (BURST * 1000).cast_signed());
            }
        }
        worst.cast_unsigned().div_ceil(1000)
    }

    fn print(mut self, policy: &str, seed: u64, requests: &[BenchRequest]) {
        let is_over = |account: usize| PATTERNS[account] == ArrivalPattern::OverRate;
        let over_requests = requests.iter().filter(|one| is_over(one.account)).count();
        let within = requests.len() - over_requests;
        let refused = self.refused.iter().enumerate();
        let wrongful: usize = refused
            .filter(|(account, _)| !is_over(*account))
            .map(|(_, count)| count)
            .sum();
        let over_admitted = self.admitted[PATTERNS.len() - 1].iter();
        let over_tokens: u64 = over_admitted.map(|(_, used)| used).sum();
        self.waits.sort_unstable();
        let waited = self.waits.iter().filter(|wait| **wait > WAIT_MILLIS);
        let waited = waited.count();
        let per_request = self.messages as f64 / requests.len() as f64;
        let line = json!({
            "policy": policy, "seed": seed, "requests_within_rate": within,
            "wrongful_refusals": wrongful,
            "wrongful_percent": round(wrongful as f64 * 100.0 / within as f64),
            "over_rate_requests": over_requests, "over_rate_tokens": over_tokens,
            "messages": self.messages, "messages_per_request": round(per_request),
            "tokens_over_limit": self.excess(),
            "waited_over_250_ms": waited, "longest_wait_ms": self.waits.last(),
        });
        println!("{line}");
    }
}

fn round(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}

fn main() {
    let seed = Arg::new("seed")
        .long("seed")
        .default_value("1")
        .value_parser(value_parser!(u64));
    // Cargo passes --bench to every bench.
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
    let grants = GrantRun::new(crashes.clone()).run(&requests);
    grants.print("grants", seed, &requests);
    run_static_split(&requests, &crashes).print("static_split", seed, &requests);
    run_global_counter(&requests, &crashes).print("global_counter", seed, &requests);
}
