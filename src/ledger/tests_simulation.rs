//! Simulations of nodes and owners under faults. After a run, every time window of the admissions
//! is checked against the rate and the burst.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::simulation::{
    HOSTS, LedgerSimulation, NODES, NetworkFaults, SimulatedRequest, TestFault, rate,
};
use crate::config::model::RateEntry;

/// The time within which a change of the burst takes effect at all nodes.
const RATE_CHANGE_MS: u64 = 4_000;
/// The length of a run. Requests arrive within the first 12 s.
const RUN_DURATION_MS: u64 = 14_000;

/// The tokens that the rates allow up to `time`, without the burst.
fn allowed_millitokens(rates: &[(u64, RateEntry)], time: u64) -> u64 {
    let next = rates.iter().skip(1).map(|(at, _)| *at);
    let ends = next.chain([u64::MAX]);
    let spans = rates.iter().zip(ends);
    let tokens = spans.map(|((from, rate), end)| {
        time.min(end).saturating_sub(*from) * u64::from(rate.tokens_per_second)
    });
    tokens.sum()
}

/// The burst that a window starting at `time` may use: the largest of those in force then or
/// shortly before.
fn burst_millitokens_at(rates: &[(u64, RateEntry)], time: u64) -> u64 {
    let next = rates.iter().skip(1).map(|(at, _)| *at);
    let ends = next.chain([u64::MAX]);
    let in_force = rates
        .iter()
        .zip(ends)
        .filter(|((from, _), end)| *from <= time && *end >= time.saturating_sub(RATE_CHANGE_MS));
    let bursts = in_force.map(|((_, rate), _)| u64::from(rate.burst) * 1000);
    bursts.max().unwrap_or(0)
}

/// Describes a window in which more was admitted than rate × time + burst, if there is one.
fn limit_violation(simulation: &LedgerSimulation) -> Option<String> {
    let rates = &simulation.rates;
    for (first, start) in simulation.admitted.iter().enumerate() {
        let mut sum = 0;
        for end in &simulation.admitted[first..] {
            sum += end.counted * 1000;
            let limit = burst_millitokens_at(rates, start.at) + allowed_millitokens(rates, end.at)
                - allowed_millitokens(rates, start.at);
            if sum > limit {
                let (from, to) = (start.at, end.at);
                return Some(format!(
                    "admitted {sum} millitokens of {limit} from {from} to {to} ms"
                ));
            }
        }
    }
    None
}

fn request() -> impl Strategy<Value = SimulatedRequest> {
    // Half of the requests arrive in batches, between which the bucket refills.
    let batch = (1..6_u64, 0..200_u64).prop_map(|(batch, offset)| batch * 2_100 + offset);
    let at = prop_oneof![0..12_000_u64, batch];
    let time = (at, 0..NODES, 0..4_000_u64);
    // Most requests use only a part of their charge, some use more than it.
    let size = (prop_oneof![4 => 1..60_u64, 1 => 200..500_u64], 0..=110_u64);
    (time, size).prop_map(|((at, node, runs_for), (need, percent))| SimulatedRequest {
        at,
        node,
        need,
        used: need * percent / 100,
        runs_for,
    })
}

fn fault() -> impl Strategy<Value = (u64, TestFault)> {
    let kind = prop_oneof![
        (HOSTS..NODES).prop_map(TestFault::Restart),
        (0..NODES, 100..6_000_u64).prop_map(|(node, length)| TestFault::Pause(node, length)),
        Just(TestFault::OwnerCrash),
        (0..6_000_u64, 500..3_500_u64, 0..500_u64)
            .prop_map(|(pause, left, gap)| TestFault::OwnerStall { pause, left, gap }),
        Just(TestFault::Handover),
        (50..400_u64, 100..700_u64)
            .prop_map(|(per_second, burst)| TestFault::Rate(rate(per_second, burst))),
    ];
    (500..12_000_u64, kind)
}

fn network() -> impl Strategy<Value = NetworkFaults> {
    (0..150_u32, 0..150_u32, 0..400_u32).prop_map(|(lost, duplicated, late)| NetworkFaults {
        lost,
        duplicated,
        late,
    })
}

fn config() -> Config {
    Config {
        cases: 150,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against tokens that are available twice: spent late, refunded beyond what the
    /// bucket would hold, granted again after a retry, or still spent after a takeover.
    #[test]
    fn no_window_holds_more_than_rate_and_burst(
        seed in any::<u64>(),
        mut requests in prop::collection::vec(request(), 1..400),
        mut faults in prop::collection::vec(fault(), 0..5),
        network in network(),
        // One node may be cut off from the log, so that it sees a new owner late.
        lag in 0..3_000_u64,
    ) {
        requests.sort_by_key(|request| request.at);
        faults.sort_by_key(|(at, _)| *at);
        let mut simulation = LedgerSimulation::new(seed, rate(200, 500), network);
        simulation.lease_lags[NODES - 1] = lag;
        simulation.run(&requests, &faults, RUN_DURATION_MS);
        prop_assert_eq!(limit_violation(&simulation), None);
    }
}

/// A single token bucket without distribution, for comparison.
#[derive(Debug)]
struct ExactBucket {
    level: u64,
    updated: u64,
    rate: RateEntry,
}

impl ExactBucket {
    fn full(rate: RateEntry) -> Self {
        Self {
            level: u64::from(rate.burst) * 1000,
            updated: 0,
            rate,
        }
    }

    fn take(&mut self, now: u64, need: u64) -> bool {
        let refill = (now - self.updated) * u64::from(self.rate.tokens_per_second);
        self.level = (self.level + refill).min(u64::from(self.rate.burst) * 1000);
        self.updated = now;
        let fits = self.level >= need * 1000;
        if fits {
            self.level -= need * 1000;
        }
        fits
    }
}

/// Requests that arrive as soon as a single bucket with this rate allows them. `node` and `need`
/// choose the node and the tokens of each request by its index.
fn arrivals_within(
    rate: RateEntry,
    end: u64,
    node: impl Fn(u64) -> usize,
    need: impl Fn(u64) -> u64,
) -> Vec<SimulatedRequest> {
    let mut bucket = ExactBucket::full(rate);
    let mut requests = Vec::new();
    for at in 0..end {
        let count = requests.len() as u64;
        let need = need(count);
        if bucket.take(at, need) {
            requests.push(SimulatedRequest {
                at,
                node: node(count),
                need,
                used: need,
                runs_for: 40,
            });
        }
    }
    requests
}

/// Guards against refusals of a caller within its rate that depend on how its requests are spread
/// over the nodes, or on requests as large as the burst.
#[yare::parameterized(
    one_node = { |_| 3, |_| 20 },
    mostly_one_node = { |count| if count % 10 == 0 { count as usize / 10 % NODES } else { 4 }, |_| 20 },
    in_turns = { |count| count as usize % NODES, |_| 20 },
    moving = { |count| count as usize / 40 % NODES, |_| 5 },
    as_large_as_the_burst = { |count| count as usize % NODES, |_| 500 },
    small_and_large = { |count| count as usize % NODES, |count| if count % 50 == 49 { 500 } else { 4 } },
)]
fn a_caller_within_its_rate_is_not_refused(node: fn(u64) -> usize, need: fn(u64) -> u64) {
    let rate = rate(200, 500);
    let requests = arrivals_within(rate, 30_000, node, need);
    let mut simulation = LedgerSimulation::new(1, rate, NetworkFaults::default());
    simulation.run(&requests, &[], 32_000);
    assert_eq!(simulation.refused, []);
    assert_eq!(simulation.admitted.len(), requests.len());
    assert_eq!(limit_violation(&simulation), None);
}

fn new_request(at: u64, node: usize, need: u64, used: u64, runs_for: u64) -> SimulatedRequest {
    SimulatedRequest {
        at,
        node,
        need,
        used,
        runs_for,
    }
}

/// Guards against a refund of a long request that is lost, or credited beyond the burst.
#[test]
fn a_long_request_is_refunded_within_the_burst() {
    let rate = rate(100, 1_000);
    // The third request is admitted only if the first one is refunded.
    let requests = [
        new_request(0, 2, 900, 100, 4_000),
        new_request(1_000, 3, 180, 180, 10),
        new_request(4_100, 4, 950, 950, 10),
    ];
    let mut simulation = LedgerSimulation::new(1, rate, NetworkFaults::default());
    simulation.run(&requests, &[], 6_000);
    assert_eq!(simulation.refused, []);
    assert_eq!(simulation.admitted.len(), 3);
    assert_eq!(limit_violation(&simulation), None);
}

/// Guards against usage beyond the charge that is not subtracted from the bucket.
#[test]
fn overused_tokens_are_charged_to_later_requests() {
    let rate = rate(100, 500);
    let requests: Vec<SimulatedRequest> = (0..600)
        .map(|count| SimulatedRequest {
            at: count * 20,
            node: count as usize % NODES,
            need: 10,
            used: 30,
            runs_for: 30,
        })
        .collect();
    let mut simulation = LedgerSimulation::new(1, rate, NetworkFaults::default());
    simulation.run(&requests, &[], 13_000);
    let used: u64 = simulation
        .admitted
        .iter()
        .map(|request| request.counted + request.overused)
        .sum();
    // At most 4 s of admissions are not settled yet when the owner's level becomes negative.
    let limit = 500 + 12 * 100 + 4 * 100 * 2;
    assert!(used <= limit, "{used} tokens of {limit}");
}

/// Guards against a grant that the owner counts as spent immediately, although its response is
/// slow: the refill until the response arrives would be spent in addition to it.
#[test]
fn a_slow_grant_stays_outstanding_until_it_is_spent() {
    let requests = [
        new_request(0, 2, 500, 500, 5_000),
        new_request(1_700, 3, 300, 300, 5_000),
    ];
    let mut simulation = LedgerSimulation::new(1, rate(200, 500), NetworkFaults::default());
    simulation.slow_node = Some((2, 1_800));
    simulation.run(&requests, &[], 4_000);
    assert_eq!(simulation.admitted.len(), 1);
    assert_eq!(limit_violation(&simulation), None);
}

/// Guards against refusals of callers within their rate during a planned shutdown of the owner.
#[test]
fn a_handover_refuses_no_request_within_the_rate() {
    let rate = rate(200, 500);
    let requests = arrivals_within(rate, 20_000, |count| count as usize % NODES, |_| 20);
    let faults = [5_000, 10_000, 15_000].map(|at| (at, TestFault::Handover));
    let mut simulation = LedgerSimulation::new(1, rate, NetworkFaults::default());
    simulation.run(&requests, &faults, 22_000);
    assert_eq!(simulation.refused, []);
    assert_eq!(simulation.admitted.len(), requests.len());
    assert_eq!(limit_violation(&simulation), None);
}

/// Guards against an account far over its rate that causes a message for each request, and against
/// cached refusals that keep it below its rate.
#[test]
fn an_account_over_its_rate_gets_its_rate_without_a_message_for_each_request() {
    let rate = rate(200, 500);
    let mut grant_requests = Vec::new();
    for times in [5_u64, 20] {
        let count = 30 * 20 * times;
        let arrival =
            |index| new_request(index * 30_000 / count, index as usize % NODES, 10, 10, 40);
        let requests: Vec<SimulatedRequest> = (0..count).map(arrival).collect();
        let mut simulation = LedgerSimulation::new(1, rate, NetworkFaults::default());
        simulation.run(&requests, &[], 32_000);
        assert_eq!(limit_violation(&simulation), None);
        let admitted: u64 = simulation
            .admitted
            .iter()
            .map(|request| request.counted)
            .sum();
        let allowed = 500 + 30 * 200;
        assert!(admitted * 100 >= allowed * 95, "{admitted} of {allowed}");
        assert!(
            simulation.grant_requests < requests.len(),
            "{} grant requests",
            simulation.grant_requests
        );
        grant_requests.push(simulation.grant_requests);
    }
    // The second run has four times the requests, but the additional ones are refused from the
    // cache.
    assert!(
        grant_requests[1] * 2 <= grant_requests[0] * 3,
        "{grant_requests:?}"
    );
}

/// Guards against a successor that starts with tokens that the previous owner already granted.
#[test]
fn a_takeover_does_not_grant_tokens_of_the_previous_owner_again() {
    let requests = [
        new_request(0, 2, 500, 500, 50),
        new_request(5_000, 3, 300, 300, 50),
    ];
    let faults = [(100, TestFault::OwnerCrash)];
    let mut simulation = LedgerSimulation::new(1, rate(20, 500), NetworkFaults::default());
    simulation.run(&requests, &faults, 30_000);
    assert_eq!(limit_violation(&simulation), None);
    assert_eq!(simulation.admitted.len(), 1);
}

/// Guards against a successor that refills while a grant of the previous owner can still be spent.
/// The grant is requested just before the previous owner's last decision, by a node that does not
/// know the successor yet.
#[test]
fn a_successor_refills_only_after_the_last_grant_of_the_previous_owner() {
    let requests = [
        new_request(3_998, 2, 500, 500, 50),
        new_request(5_790, 3, 100, 100, 50),
    ];
    let stall = TestFault::OwnerStall {
        pause: 0,
        left: 4_000,
        gap: 0,
    };
    let mut simulation = LedgerSimulation::new(1, rate(200, 500), NetworkFaults::default());
    simulation.slow_node = Some((2, 1_800));
    simulation.lease_lags[2] = 3_000;
    simulation.run(&requests, &[(0, stall)], 10_000);
    assert_eq!(limit_violation(&simulation), None);
    assert_eq!(simulation.admitted.len(), 2);
}

/// Guards against refusals of callers within their rate after the owner's VM has crashed. The
/// tokens for the time without an owner are refilled later, and requests wait for them.
#[test]
fn a_takeover_refuses_no_request_within_the_rate() {
    let rate = rate(200, 500);
    let requests = arrivals_within(rate, 20_000, |count| 2 + count as usize % 3, |_| 20);
    let faults = [(5_000, TestFault::OwnerCrash)];
    let mut simulation = LedgerSimulation::new(1, rate, NetworkFaults::default());
    simulation.run(&requests, &faults, 32_000);
    assert_eq!(simulation.refused, []);
    assert_eq!(simulation.admitted.len(), requests.len());
    assert_eq!(limit_violation(&simulation), None);
}

/// Guards against a request as large as the burst that is starved after a takeover, because small
/// requests at other nodes use up the refill.
#[test]
fn a_takeover_does_not_starve_a_request_as_large_as_the_burst() {
    let rate = rate(200, 500);
    let large = [new_request(5_010, 2, 500, 500, 40)];
    let small =
        (0..600).map(|count| new_request(5_100 + count * 20, 3 + count as usize % 2, 2, 2, 40));
    let requests: Vec<_> = large.into_iter().chain(small).collect();
    let faults = [(5_000, TestFault::OwnerCrash)];
    let mut simulation = LedgerSimulation::new(1, rate, NetworkFaults::default());
    simulation.run(&requests, &faults, 32_000);
    assert_eq!(simulation.refused, []);
    assert_eq!(limit_violation(&simulation), None);
}
