use std::time::Duration;

use super::{at, ms};
use crate::clock::Timestamp;
use crate::dispatch::account_limit::{AccountLimit, AccountLimiter, AccountUsage, ReportScope};
use crate::ids::{AccountName, BootId, NodeName};

const RATE: f64 = 10_000.0;
const COST: f64 = 1_000.0;

fn account() -> AccountName {
    "big".parse().unwrap()
}

fn node(index: usize) -> NodeName {
    format!("vm-{index}").parse().unwrap()
}

fn new_limiter(now: Timestamp) -> AccountLimiter {
    let mut limiter = AccountLimiter::default();
    let limit = AccountLimit {
        rate: RATE,
        burst: RATE,
    };
    limiter.set_limits([(account(), limit)], now);
    limiter
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
                if vm.charge(&account(), COST, now).is_ok() {
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
                    let peer = (&node(from), BootId::from(self.boots[from]));
                    vm.apply_peer_usage(peer, &account(), *usage, ms(100), at(self.now));
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
    let mut limiter = new_limiter(at(0));
    let limit = AccountLimit {
        rate: 100.0,
        burst: 100.0,
    };
    limiter.set_limits([(account(), limit)], at(0));
    assert!(limiter.charge(&account(), COST, at(0)).is_ok());
    let wait = limiter.charge(&account(), COST, at(100)).unwrap_err();
    assert!(wait >= ms(5_000), "{wait:?}");
}

/// Guards against large requests that are never admitted because small ones keep the bucket low.
#[test]
fn large_request_is_admitted_when_part_of_its_cost_is_left() {
    let mut limiter = new_limiter(at(0));
    assert!(limiter.charge(&account(), 8_000.0, at(1000)).is_ok());
    assert!(limiter.charge(&account(), 5_000.0, at(1010)).is_ok());
    assert!(limiter.charge(&account(), 1.0, at(1020)).is_err());
}

/// Guards against a refused request that stays charged.
#[test]
fn refund_restores_the_level() {
    let mut limiter = new_limiter(at(0));
    limiter.charge(&account(), 5_000.0, at(1000)).unwrap();
    limiter.refund(&account(), 5_000.0);
    assert_eq!(
        own_usage(&mut limiter),
        AccountUsage {
            total: 0.0,
            level: RATE
        }
    );
}

/// Many VMs in three zones, which report often within a zone and rarely to other zones. Requests
/// arrive at random VMs and vary in cost by a factor of ten.
struct WideFleet {
    vms: Vec<AccountLimiter>,
    random: u64,
    requested: f64,
    admitted: f64,
}

impl WideFleet {
    const VMS: usize = 81;
    const RATE: f64 = 100_000.0;
    /// The interval between reports within a zone.
    const NEAR_MS: u64 = 300;
    /// The interval between reports to other zones.
    const FAR_MS: u64 = 1_200;

    fn new(seed: u64) -> Self {
        let limit = AccountLimit {
            rate: Self::RATE,
            burst: Self::RATE,
        };
        let vm = |_| {
            let mut limiter = AccountLimiter::default();
            limiter.set_limits([(account(), limit)], at(0));
            limiter
        };
        Self {
            vms: (0..Self::VMS).map(vm).collect(),
            random: seed,
            requested: 0.0,
            admitted: 0.0,
        }
    }

    /// A pseudo-random number from 0 to 1.
    fn random(&mut self) -> f64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005);
        self.random = self.random.wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Runs from `from` to `to`, in milliseconds, at `load` times the rate.
    fn run(&mut self, from: u64, to: u64, load: f64) {
        const STEP_MS: u64 = 4;
        const MEAN_COST: f64 = 1_650.0;
        (self.requested, self.admitted) = (0.0, 0.0);
        for now in (from..to).step_by(STEP_MS as usize) {
            let mut expected = load * Self::RATE * STEP_MS as f64 / 1000.0 / MEAN_COST;
            while self.random() < expected {
                expected -= 1.0;
                let cost = 300.0 + 2_700.0 * self.random();
                let vm = (self.random() * Self::VMS as f64) as usize;
                self.requested += cost;
                if self.vms[vm].charge(&account(), cost, at(now)).is_ok() {
                    self.admitted += cost;
                }
            }
            self.report(now, STEP_MS);
        }
    }

    /// Each VM reports to its own zone and to the others at its own time offset.
    fn report(&mut self, now: u64, step_ms: u64) {
        for from in 0..Self::VMS {
            let offset = now + 13 * from as u64;
            let (near, far) = (offset % Self::NEAR_MS, offset % Self::FAR_MS);
            if near >= step_ms {
                continue;
            }
            let usage = own_usage(&mut self.vms[from]);
            for to in (0..Self::VMS).filter(|to| *to != from) {
                let same_zone = from % 3 == to % 3;
                if same_zone || far < step_ms {
                    let report_interval = ms(if same_zone {
                        Self::NEAR_MS
                    } else {
                        Self::FAR_MS
                    });
                    let peer = (&node(from), BootId::from(1));
                    self.vms[to].apply_peer_usage(
                        peer,
                        &account(),
                        usage,
                        report_interval,
                        at(now),
                    );
                }
            }
        }
    }
}

/// Guards against refusing an account that uses half of its rate: with many VMs, each one sees few
/// of its requests, and two of them at one VM look like a surge at all VMs.
#[yare::parameterized(first = {1}, second = {77}, third = {4242})]
fn account_at_half_of_its_rate_is_not_refused_by_many_vms(seed: u64) {
    let mut fleet = WideFleet::new(seed);
    fleet.run(0, 3_000, 0.5);
    fleet.run(3_000, 11_000, 0.5);
    let part = fleet.admitted / fleet.requested;
    assert!(part >= 0.99, "{part}");
}

/// Guards against a surge that many VMs admit before they have received each other's usage.
#[yare::parameterized(first = {1}, second = {77}, third = {4242})]
fn surge_over_many_vms_stays_within_the_bound(seed: u64) {
    let mut fleet = WideFleet::new(seed);
    fleet.run(0, 3_000, 0.5);
    fleet.run(3_000, 11_000, 4.2);
    let bound = (WideFleet::RATE * 8.0 + WideFleet::RATE) * 1.1 + 17_000.0;
    assert!(fleet.admitted <= bound, "{}", fleet.admitted);
    assert!(
        fleet.admitted >= 0.9 * WideFleet::RATE * 8.0,
        "{}",
        fleet.admitted
    );
}
