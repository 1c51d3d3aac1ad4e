use std::time::Duration;

use super::{at, ms};
use crate::clock::Timestamp;
use crate::dispatch::allowance::{AccountAllowances, AccountLimit, AccountUse};
use crate::ids::{AccountName, BootId, NodeName};

const RATE: f64 = 10_000.0;
const COST: f64 = 1_000.0;

fn account() -> AccountName {
    "big".parse().unwrap()
}

fn node(index: usize) -> NodeName {
    format!("vm-{index}").parse().unwrap()
}

fn allowances(now: Timestamp) -> AccountAllowances {
    let mut allowances = AccountAllowances::default();
    let limit = AccountLimit {
        rate: RATE,
        burst: RATE,
    };
    allowances.set_limits([(account(), limit)], now);
    allowances
}

fn own_use(allowances: &mut AccountAllowances) -> AccountUse {
    allowances.report_uses(true)[0].1
}

/// VMs that report to each other each 100 ms; each is asked for many times its part of the rate.
struct Fleet {
    vms: Vec<AccountAllowances>,
    boots: Vec<u64>,
    admitted: f64,
    now: u64,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let vms = (0..count).map(|_| allowances(at(0))).collect();
        Self {
            vms,
            boots: vec![1; count],
            admitted: 0.0,
            now: 0,
        }
    }

    /// Runs for `millis`, with reports between the VMs for which `hears` holds.
    fn run(&mut self, millis: u64, hears: impl Fn(usize, usize) -> bool) {
        for _ in 0..millis / 10 {
            self.now += 10;
            let now = at(self.now);
            for vm in &mut self.vms {
                if vm.charge(&account(), COST, now).is_ok() {
                    self.admitted += COST;
                }
            }
            if self.now.is_multiple_of(100) {
                self.report(&hears);
            }
        }
    }

    fn report(&mut self, hears: impl Fn(usize, usize) -> bool) {
        let uses: Vec<_> = self.vms.iter_mut().map(own_use).collect();
        for (to, vm) in self.vms.iter_mut().enumerate() {
            for (from, used) in uses.iter().enumerate() {
                if from != to && hears(from, to) {
                    let peer = (&node(from), BootId::from(self.boots[from]));
                    vm.note_peer(peer, &account(), *used, at(self.now));
                }
            }
        }
    }

    fn restart(&mut self, index: usize) {
        self.vms[index] = allowances(at(self.now));
        self.boots[index] += 1;
    }
}

/// The users' bound over a window: rate and burst with a tenth more, and a fixed slack.
fn bound(window: Duration) -> f64 {
    (RATE * window.as_secs_f64() + RATE) * 1.1 + 17_000.0
}

/// Guards against an account that gets its rate once from each VM.
#[test]
fn account_over_its_rate_stays_within_it_over_all_vms() {
    let mut fleet = Fleet::new(6);
    fleet.run(8_000, |_, _| true);
    assert!(fleet.admitted <= bound(ms(8_000)), "{}", fleet.admitted);
    assert!(fleet.admitted >= 0.9 * RATE * 8.0, "{}", fleet.admitted);
}

/// Guards against two halves of a partition that each admit the whole rate.
#[test]
fn partitioned_halves_stay_within_the_rate_together() {
    let mut fleet = Fleet::new(6);
    fleet.run(4_000, |_, _| true);
    fleet.admitted = 0.0;
    fleet.run(8_000, |from, to| from / 3 == to / 3);
    assert!(fleet.admitted <= bound(ms(8_000)), "{}", fleet.admitted);
    assert!(fleet.admitted >= 0.6 * RATE * 8.0, "{}", fleet.admitted);
}

/// Guards against a fleet that refuses an account for seconds after VMs were restarted in turn:
/// the totals of a VM were once subtracted again at each report.
#[test]
fn restarts_in_turn_neither_starve_the_account_nor_double_its_rate() {
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

/// Guards against a lower limit that is only felt after the old burst is used up.
#[test]
fn lower_limit_takes_effect_at_once() {
    let mut allowances = allowances(at(0));
    let limit = AccountLimit {
        rate: 100.0,
        burst: 100.0,
    };
    allowances.set_limits([(account(), limit)], at(0));
    assert!(allowances.charge(&account(), COST, at(0)).is_ok());
    let wait = allowances.charge(&account(), COST, at(100)).unwrap_err();
    assert!(wait >= ms(5_000), "{wait:?}");
}

/// Guards against large requests that never pass because small ones keep the bucket low.
#[test]
fn large_request_passes_when_a_part_of_its_cost_is_left() {
    let mut allowances = allowances(at(0));
    assert!(allowances.charge(&account(), 8_000.0, at(1000)).is_ok());
    assert!(allowances.charge(&account(), 5_000.0, at(1010)).is_ok());
    assert!(allowances.charge(&account(), 1.0, at(1020)).is_err());
}

/// Guards against a refused request that stays charged.
#[test]
fn refund_restores_the_level() {
    let mut allowances = allowances(at(0));
    allowances.charge(&account(), 5_000.0, at(1000)).unwrap();
    allowances.refund(&account(), 5_000.0);
    assert_eq!(
        own_use(&mut allowances),
        AccountUse {
            total: 0.0,
            level: RATE
        }
    );
}
