//! Compares three policies for the rate limits on the same arrivals: grants from an owner, an
//! equal static split over the nodes, and one global counter asked for each request.
//!
//! Run with `cargo bench --bench shares -- --seed N`. Prints one JSON line for each policy. Time
//! is simulated; each message takes 1 ms.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use bluebellmux::shares::{
    AccountName, BootId, ChargeOutcome, ChargeStep, FencingToken, LedgerKind, NodeShares,
    PartitionOwner, RateEntry, Timestamp, TokenCount, TokenRate,
};
use clap::{Arg, Command, value_parser};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;

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

/// How the requests of an account arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ArrivalPattern {
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

const PATTERNS: [ArrivalPattern; 8] = [
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
struct BenchRequest {
    at: u64,
    account: usize,
    node: usize,
    need: u64,
    used: u64,
    runs_for: u64,
}

/// A token bucket in thousandths that can promise tokens for up to 250 ms ahead.
#[derive(Debug, Clone)]
struct PlainBucket {
    rate: u64,
    burst: i64,
    level: i64,
    updated: u64,
}

impl PlainBucket {
    fn full(rate: u64, burst: u64) -> Self {
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
    fn take(&mut self, now: u64, need: u64, limit: u64) -> Option<u64> {
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

/// What a policy did with the requests.
#[derive(Debug, Default)]
struct PolicyResult {
    messages: usize,
    /// The admissions of each account: time and used tokens.
    admitted: Vec<Vec<(u64, u64)>>,
    refused: Vec<usize>,
}

impl PolicyResult {
    fn new() -> Self {
        Self {
            messages: 0,
            admitted: vec![Vec::new(); PATTERNS.len()],
            refused: vec![0; PATTERNS.len()],
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
        let per_request = self.messages as f64 / requests.len() as f64;
        let line = json!({
            "policy": policy, "seed": seed, "requests_within_rate": within,
            "wrongful_refusals": wrongful,
            "wrongful_percent": round(wrongful as f64 * 100.0 / within as f64),
            "over_rate_requests": over_requests, "over_rate_tokens": over_tokens,
            "messages": self.messages, "messages_per_request": round(per_request),
            "tokens_over_limit": self.excess(),
        });
        println!("{line}");
    }
}

fn round(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}

/// Random arrivals. Those of all patterns but the last fit into an exact bucket without refunds.
fn arrivals(seed: u64) -> Vec<BenchRequest> {
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

/// The result of buckets that decide at once. `bucket_of` chooses the bucket of a request.
fn run_buckets(
    requests: &[BenchRequest],
    mut buckets: Vec<PlainBucket>,
    bucket_of: impl Fn(&BenchRequest) -> usize,
    messages_per_call: usize,
) -> PolicyResult {
    let mut result = PolicyResult::new();
    let mut ends: Vec<(u64, usize, u64)> = Vec::new();
    for request in requests {
        let due = ends.extract_if(.., |end| end.0 <= request.at);
        for (end, bucket, refund) in due.collect::<Vec<_>>() {
            let now = end.max(buckets[bucket].updated);
            buckets[bucket].refund(now, refund);
            result.messages += messages_per_call;
        }
        let index = bucket_of(request);
        result.messages += messages_per_call;
        match buckets[index].take(request.at, request.need, WAIT_MILLIS) {
            Some(wait) => {
                let at = request.at + wait;
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

fn run_static_split(requests: &[BenchRequest]) -> PolicyResult {
    let share = PlainBucket::full(RATE / NODES as u64, BURST / NODES as u64);
    let buckets = vec![share; PATTERNS.len() * NODES];
    run_buckets(requests, buckets, |one| one.account * NODES + one.node, 0)
}

fn run_global_counter(requests: &[BenchRequest]) -> PolicyResult {
    let buckets = vec![PlainBucket::full(RATE, BURST); PATTERNS.len()];
    run_buckets(requests, buckets, |one| one.account, 1)
}

/// The grants policy: each account is a partition of its own.
#[derive(Debug)]
struct GrantRun {
    now: u64,
    rate: RateEntry,
    names: Vec<AccountName>,
    nodes: Vec<NodeShares>,
    owners: Vec<PartitionOwner>,
    tickets: HashMap<(usize, u64), BenchRequest>,
    /// Running requests: end, node, charge, used tokens.
    running: Vec<(u64, usize, u64, u64)>,
    /// Messages under way: due time, node, partition, whether to the owner.
    under_way: VecDeque<(u64, usize, u32, bool, LedgerKind)>,
    result: PolicyResult,
}

impl GrantRun {
    fn new() -> Self {
        let limit = Duration::from_secs(10);
        let fence = FencingToken::default();
        let start = Timestamp::default();
        let names = (0..PATTERNS.len()).map(|index| format!("account-{index}"));
        Self {
            now: 0,
            rate: RateEntry {
                tokens_per_second: TokenRate::per_second(RATE),
                burst: TokenCount::new(BURST),
            },
            names: names.map(|name| name.parse().expect("valid")).collect(),
            nodes: (0..NODES as u64)
                .map(|boot| NodeShares::new(BootId::from(boot), limit))
                .collect(),
            owners: vec![PartitionOwner::after_claim(fence, start); PATTERNS.len()],
            tickets: HashMap::new(),
            running: Vec::new(),
            under_way: VecDeque::new(),
            result: PolicyResult::new(),
        }
    }

    fn clock(&self) -> Timestamp {
        Timestamp::from_millis(self.now)
    }

    fn run(mut self, requests: &[BenchRequest]) -> PolicyResult {
        let mut requests = requests.iter().peekable();
        while self.now < END_MILLIS {
            self.deliver();
            let now = self.clock();
            let due = self.running.extract_if(.., |one| one.0 <= self.now);
            for (_, node, charge, used) in due.collect::<Vec<_>>() {
                self.nodes[node].settle(now, charge, used);
            }
            while let Some(request) = requests.next_if(|one| one.at <= self.now) {
                let name = &self.names[request.account];
                let (now, partition) = (self.clock(), request.account as u32);
                let node = &mut self.nodes[request.node];
                match node.charge(now, name, partition, self.rate, request.need) {
                    ChargeStep::Done(outcome) => self.finish(*request, outcome),
                    ChargeStep::Waiting(ticket) => {
                        self.tickets.insert((request.node, ticket), *request);
                    }
                }
            }
            for index in 0..NODES {
                self.step_node(index);
            }
            self.now += 1;
        }
        self.result
    }

    fn step_node(&mut self, index: usize) {
        let now = self.clock();
        let messages = self.nodes[index].poll(now, |_| Some(FencingToken::default()));
        for (ticket, outcome) in self.nodes[index].take_outcomes() {
            if let Some(request) = self.tickets.remove(&(index, ticket)) {
                self.finish(request, outcome);
            }
        }
        self.result.messages += messages.len();
        let due = self.now + MESSAGE_MILLIS;
        for (partition, kind) in messages {
            self.under_way
                .push_back((due, index, partition, true, kind));
        }
    }

    fn deliver(&mut self) {
        let now = self.clock();
        while let Some((_, node, partition, to_owner, kind)) =
            self.under_way.pop_front_if(|message| message.0 <= self.now)
        {
            if !to_owner {
                self.nodes[node].receive(now, &kind);
                continue;
            }
            let owner = &mut self.owners[partition as usize];
            let answer = match &kind {
                LedgerKind::Ask(ask) => owner.grant(now, self.rate, ask).map(LedgerKind::Answer),
                LedgerKind::Report(report) => owner
                    .report(now, |_| Some(self.rate), report)
                    .map(LedgerKind::Reported),
                _ => None,
            };
            if let Some(answer) = answer {
                let due = self.now + MESSAGE_MILLIS;
                self.under_way
                    .push_back((due, node, partition, false, answer));
            }
        }
    }

    fn finish(&mut self, request: BenchRequest, outcome: ChargeOutcome) {
        let ChargeOutcome::Admitted { charge } = outcome else {
            self.result.refused[request.account] += 1;
            return;
        };
        self.result.admitted[request.account].push((self.now, request.used));
        let end = self.now + request.runs_for;
        self.running.push((end, request.node, charge, request.used));
    }
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
    let matches = Command::new("shares").arg(seed).arg(bench).get_matches();
    let seed = *matches
        .get_one::<u64>("seed")
        .expect("the seed has a default");
    let requests = arrivals(seed);
    let grants = GrantRun::new().run(&requests);
    grants.print("grants", seed, &requests);
    run_static_split(&requests).print("static_split", seed, &requests);
    run_global_counter(&requests).print("global_counter", seed, &requests);
}
