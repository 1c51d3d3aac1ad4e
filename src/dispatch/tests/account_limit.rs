use std::time::Duration;

use super::account_fleet::{FleetShape, GROWN, LARGE, WIDE_BOUND, WideFleet};
use super::{at, ms};
use crate::clock::Timestamp;
use crate::dispatch::account_limit::{
    AccountLimit, AccountLimiter, AccountUsage, ChargeDecision, ChargeRoute, ChargeView,
    ReportScope, ReportSender,
};
use crate::ids::{AccountName, BootId, NodeName};

const RATE: f64 = 10_000.0;
const COST: f64 = 1_000.0;
const LIMIT: AccountLimit = AccountLimit {
    rate: RATE,
    burst: RATE,
};

fn account() -> AccountName {
    "big".parse().unwrap()
}

pub(super) fn node(index: usize) -> NodeName {
    format!("vm-{index}").parse().unwrap()
}

fn new_limiter(now: Timestamp) -> AccountLimiter {
    let mut limiter = AccountLimiter::new(false);
    limiter.set_limits([(account(), LIMIT)], now);
    limiter
}

/// Charges a request by this VM's copy of the bucket, as while no VM owns the account.
fn charge(limiter: &mut AccountLimiter, cost: f64, now: Timestamp) -> Result<ChargeView, Duration> {
    match limiter.charge(&account(), cost, ChargeRoute::Copy, now) {
        ChargeDecision::Charged(view) => Ok(view),
        ChargeDecision::Rejected(wait) => Err(wait),
        ChargeDecision::AwaitGrant => panic!("there is no owner to wait for"),
    }
}

fn own_usage(limiter: &mut AccountLimiter) -> AccountUsage {
    limiter.usage_report(ReportScope::OwnZone, true)[0].1
}

/// VMs that report to each other every 100 ms; each gets many times its share of the rate.
struct Fleet {
    vms: Vec<AccountLimiter>,
    boots: Vec<u64>,
    admitted: f64,
    now: u64,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let vms = (0..count).map(|_| new_limiter(at(0))).collect();
        Self {
            vms,
            boots: vec![1; count],
            admitted: 0.0,
            now: 0,
        }
    }

    /// Runs for `millis`; reports are delivered between VMs for which `is_connected` holds.
    fn run(&mut self, millis: u64, is_connected: impl Fn(usize, usize) -> bool) {
        for _ in 0..millis / 10 {
            self.now += 10;
            let now = at(self.now);
            for vm in &mut self.vms {
                if charge(vm, COST, now).is_ok() {
                    self.admitted += COST;
                }
            }
            if self.now.is_multiple_of(100) {
                self.report(&is_connected);
            }
        }
    }

    fn report(&mut self, is_connected: impl Fn(usize, usize) -> bool) {
        let usages: Vec<_> = self.vms.iter_mut().map(own_usage).collect();
        for (to, vm) in self.vms.iter_mut().enumerate() {
            for (from, usage) in usages.iter().enumerate() {
                if from != to && is_connected(from, to) {
                    let sender = ReportSender {
                        node: &node(from),
                        boot: BootId::from(self.boots[from]),
                        in_own_zone: true,
                        interval: ms(100),
                    };
                    vm.apply_peer_usage(&sender, &account(), *usage, at(self.now));
                }
            }
        }
    }

    fn restart(&mut self, index: usize) {
        self.vms[index] = new_limiter(at(self.now));
        self.boots[index] += 1;
    }
}

/// The required upper limit over a window: rate and burst plus ten percent, and a fixed slack.
fn bound(window: Duration) -> f64 {
    (RATE * window.as_secs_f64() + RATE) * 1.1 + 17_000.0
}

/// Guards against each VM granting an account its full rate.
#[test]
fn account_over_its_rate_is_limited_across_all_vms() {
    let mut fleet = Fleet::new(6);
    fleet.run(8_000, |_, _| true);
    assert!(fleet.admitted <= bound(ms(8_000)), "{}", fleet.admitted);
    assert!(fleet.admitted >= 0.9 * RATE * 8.0, "{}", fleet.admitted);
}

/// Guards against both halves of a network partition admitting the full rate.
#[test]
fn partitioned_halves_stay_within_the_rate_together() {
    let mut fleet = Fleet::new(6);
    fleet.run(4_000, |_, _| true);
    fleet.admitted = 0.0;
    fleet.run(8_000, |from, to| from / 3 == to / 3);
    assert!(fleet.admitted <= bound(ms(8_000)), "{}", fleet.admitted);
    assert!(fleet.admitted >= 0.6 * RATE * 8.0, "{}", fleet.admitted);
}

/// Guards against refusing an account for seconds after a rolling restart of the VMs: the totals of
/// a VM were subtracted again at each report.
#[test]
fn rolling_restart_neither_starves_the_account_nor_doubles_its_rate() {
    let mut fleet = Fleet::new(6);
    fleet.run(4_000, |_, _| true);
    fleet.admitted = 0.0;
    for index in 0..6 {
        fleet.restart(index);
        fleet.run(1_400, |_, _| true);
    }
    let window = ms(8_400);
    assert!(fleet.admitted <= bound(window), "{}", fleet.admitted);
    assert!(fleet.admitted >= 0.8 * RATE * 8.4, "{}", fleet.admitted);
}

/// Guards against a lower limit that takes effect only after the old burst is used up.
#[test]
fn lower_limit_takes_effect_at_once() {
    let mut limiter = AccountLimiter::new(true);
    limiter.set_limits([(account(), LIMIT)], at(0));
    let limit = AccountLimit {
        rate: 100.0,
        burst: 100.0,
    };
    limiter.set_limits([(account(), limit)], at(0));
    assert!(charge(&mut limiter, COST, at(0)).is_ok());
    let wait = charge(&mut limiter, COST, at(100)).unwrap_err();
    assert!(wait >= ms(5_000), "{wait:?}");
}

/// Guards against large requests that are never admitted because small ones keep the bucket low.
#[test]
fn large_request_is_admitted_when_part_of_its_cost_is_left() {
    let mut limiter = new_limiter(at(0));
    assert!(charge(&mut limiter, 8_000.0, at(1000)).is_ok());
    assert!(charge(&mut limiter, 5_000.0, at(1010)).is_ok());
    assert!(charge(&mut limiter, 1.0, at(1020)).is_err());
}

/// Guards against a refused request that stays charged.
#[test]
fn refund_restores_the_level() {
    let mut limiter = new_limiter(at(0));
    let view = charge(&mut limiter, 5_000.0, at(1000)).unwrap();
    limiter.refund(&account(), 5_000.0, &view);
    assert_eq!(
        own_usage(&mut limiter),
        AccountUsage {
            total: 0.0,
            ungranted: Some(0.0),
            level: RATE,
            recent: 0.0,
            is_level_learned: false,
        }
    );
}

/// Guards against refusing an account that uses half of its rate: with many VMs, each one sees few
/// of its requests, and two of them at one VM look like a surge at all VMs.
#[yare::parameterized(
    grown_1 = {GROWN, 1}, grown_2 = {GROWN, 77}, grown_3 = {GROWN, 4242},
    large_1 = {LARGE, 1}, large_2 = {LARGE, 77},
)]
fn account_at_half_of_its_rate_is_not_refused_by_many_vms(shape: FleetShape, seed: u64) {
    let mut fleet = WideFleet::new(shape, seed);
    fleet.run(0, 4_000, 0.5);
    fleet.reset_counts();
    fleet.run(4_000, 12_000, 0.5);
    let part = fleet.admitted / fleet.requested;
    assert!(part >= 0.99, "{part}");
}

/// Guards against a surge that many VMs admit before they have received each other's usage. With
/// 195 VMs each one sees too few requests of an account to notice a surge by itself.
#[yare::parameterized(
    grown_1 = {GROWN, 1, 4.2}, grown_2 = {GROWN, 77, 4.2}, grown_3 = {GROWN, 4242, 4.2},
    large_1 = {LARGE, 1, 4.2}, large_2 = {LARGE, 77, 4.2}, large_3 = {LARGE, 5, 8.0},
)]
fn surge_over_many_vms_stays_within_the_bound(shape: FleetShape, seed: u64, load: f64) {
    check_surge(shape, seed, (0.5, load));
}

/// Guards against the same in the first seconds of traffic, when all buckets are full and no VM
/// knows a usual rate of the others.
#[yare::parameterized(
    grown_1 = {GROWN, 1, 2.7}, grown_2 = {GROWN, 77, 4.2},
    large_1 = {LARGE, 1, 2.7}, large_2 = {LARGE, 77, 4.2}, large_3 = {LARGE, 5, 8.0},
)]
fn surge_after_silence_stays_within_the_bound(shape: FleetShape, seed: u64, load: f64) {
    check_surge(shape, seed, (0.0, load));
}

/// Raises the load of an account from one multiple of its rate to another, and checks the bound.
fn check_surge(shape: FleetShape, seed: u64, (before, load): (f64, f64)) {
    let mut fleet = WideFleet::new(shape, seed);
    fleet.run(0, 4_000, before);
    fleet.reset_counts();
    fleet.run(4_000, 12_000, load);
    assert!(fleet.admitted <= WIDE_BOUND, "{}", fleet.admitted);
    assert!(
        fleet.admitted >= 0.9 * WideFleet::RATE * 8.0,
        "{}",
        fleet.admitted
    );
}

/// Guards against buckets that start anew at each of many VMs when all of them are killed during a
/// surge: 81 buckets with a quarter of the burst are 20 bursts.
#[yare::parameterized(
    grown_1 = {GROWN, 1, 2.7}, grown_2 = {GROWN, 77, 4.2},
    large_1 = {LARGE, 1, 2.7}, large_2 = {LARGE, 77, 4.2},
)]
fn surge_across_a_restart_of_all_vms_stays_within_the_bound(
    shape: FleetShape,
    seed: u64,
    load: f64,
) {
    let mut fleet = WideFleet::new(shape, seed);
    fleet.run(0, 4_000, 0.5);
    fleet.reset_counts();
    fleet.run(4_000, 8_000, load);
    fleet.restart(9_500);
    fleet.run(9_500, 12_000, load);
    assert!(fleet.admitted <= WIDE_BOUND, "{}", fleet.admitted);
}

/// Guards against charging a peer that reports each second, but has not used the account, at its share
/// of the limit between its reports.
#[test]
fn idle_peer_counts_as_silent_only_after_its_report_interval() {
    let mut limiter = new_limiter(at(0));
    let peer = node(1);
    limiter.expect_peer(&peer, at(0));
    let sender = ReportSender {
        node: &peer,
        boot: BootId::from(1),
        in_own_zone: false,
        interval: ms(1_000),
    };
    limiter.mark_peer_reported(&sender, at(2_000));
    let view = charge(&mut limiter, COST, at(2_900)).unwrap();
    assert_eq!(view.silent_peers, 0);
    let view = charge(&mut limiter, COST, at(4_900)).unwrap();
    assert_eq!(view.silent_peers, 1);
}
