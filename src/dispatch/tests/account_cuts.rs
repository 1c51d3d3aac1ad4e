//! Account limits of many VMs where estimates of each other's use fail: VMs that are cut off, rates of few
//! requests, and requests that all come to one VM.

use super::account_fleet::{FleetShape, LARGE, LENDWELL, WideFleet, bound_at_rate};

const SURGE_AT: u64 = 4_000;

/// Guards against VMs that are cut off from all others and each spend what is left of the burst.
#[yare::parameterized(
    few = {LENDWELL, 10, 4.0}, third = {LENDWELL, 20, 4.0}, third_at_twice = {LENDWELL, 20, 2.0},
    large = {LARGE, 65, 4.0},
)]
fn vms_that_are_cut_off_stay_within_the_bound(shape: FleetShape, isolated: usize, load: f64) {
    check_cut(WideFleet::new(shape, 1).with_owners(), isolated, load);
}

/// Guards against the same without owners, as by default.
#[yare::parameterized(
    few = {LENDWELL, 10, 4.0}, third = {LENDWELL, 20, 4.0}, third_at_twice = {LENDWELL, 20, 2.0},
    large = {LARGE, 65, 4.0},
)]
fn copies_that_are_cut_off_stay_within_the_bound(shape: FleetShape, isolated: usize, load: f64) {
    check_cut(WideFleet::new(shape, 1), isolated, load);
}

fn check_cut(mut fleet: WideFleet, isolated: usize, load: f64) {
    fleet.run(0, SURGE_AT, 0.55);
    fleet.isolate(0..isolated, true);
    fleet.run(SURGE_AT, 10_000, load);
    fleet.isolate(0..isolated, false);
    fleet.run(10_000, 18_000, load);
    let ((most, from), bound) = (fleet.most_in_window(), bound_at_rate(WideFleet::RATE));
    assert!(most <= bound, "{most} of {bound} from {from}");
}

/// Guards against many VMs that each admit a request of an account whose rate is a few requests a
/// second, and reject it for seconds after that.
#[yare::parameterized(
    grown = {LENDWELL, 4_200.0, 240_000.0}, large = {LARGE, 10_000.0, 240_000.0},
    large_low = {LARGE, 4_200.0, 120_000.0}, large_higher = {LARGE, 30_000.0, 120_000.0},
)]
fn low_rate_holds_over_many_vms(shape: FleetShape, rate: f64, load: f64) {
    check_low_rate(WideFleet::new(shape, 1).with_owners(), rate, load);
}

/// Guards against the same without owners, as by default.
#[yare::parameterized(
    grown = {LENDWELL, 4_200.0, 240_000.0}, large = {LARGE, 10_000.0, 240_000.0},
    large_low = {LARGE, 4_200.0, 120_000.0}, large_higher = {LARGE, 30_000.0, 120_000.0},
)]
fn low_rate_holds_over_many_copies(shape: FleetShape, rate: f64, load: f64) {
    check_low_rate(WideFleet::new(shape, 1), rate, load);
}

fn check_low_rate(mut fleet: WideFleet, rate: f64, load: f64) {
    fleet.run(0, SURGE_AT, load / WideFleet::RATE);
    fleet.set_rate(rate, SURGE_AT);
    fleet.run(SURGE_AT, 30_000, load / WideFleet::RATE);
    // A lower limit binds after one window.
    let (most, from) = fleet.most_in_window_since(SURGE_AT + 8_000);
    let bound = bound_at_rate(rate);
    assert!(most <= bound, "{most} of {bound} from {from}");
    let served = fleet.admitted_in(SURGE_AT + 8_000, 30_000) / (18.0 * rate);
    assert!(served >= 0.9, "{served} of the rate");
}

/// Guards against taking the requests of an account that all come to one VM for a surge at all VMs, and
/// rejecting them within the rate.
#[yare::parameterized(grown = {LENDWELL, 1}, large = {LARGE, 77})]
fn account_at_one_vm_is_not_rejected_within_its_rate(shape: FleetShape, seed: u64) {
    check_one_vm(WideFleet::new(shape, seed).with_owners());
}

/// Guards against the same without owners, as by default.
#[yare::parameterized(grown = {LENDWELL, 1}, large = {LARGE, 77})]
fn account_at_one_copy_is_not_rejected_within_its_rate(shape: FleetShape, seed: u64) {
    check_one_vm(WideFleet::new(shape, seed));
}

fn check_one_vm(mut fleet: WideFleet) {
    fleet.only_vm = Some(3);
    fleet.run(0, SURGE_AT, 0.9);
    fleet.reset_counts();
    fleet.run(SURGE_AT, 12_000, 0.9);
    let rejected = fleet.rejected() / fleet.requested;
    assert!(rejected <= 0.01, "{rejected} of all units");
}

/// The owner of the only account of a [`WideFleet`].
const OWNER: usize = 5;

/// Guards against a bucket that is lost or counted twice when the account's owner ends in a surge, and
/// another one or a new process takes over with what it has heard.
#[yare::parameterized(
    grown_early = {LENDWELL, 400, 1_000}, grown = {LENDWELL, 1_200, 1_000},
    grown_late = {LENDWELL, 2_800, 3_000}, large = {LARGE, 1_200, 1_000},
)]
fn end_of_the_owner_in_a_surge_stays_within_the_bound(shape: FleetShape, after: u64, down: u64) {
    let mut fleet = WideFleet::new(shape, 1).with_owners();
    let (killed_at, back_at) = (SURGE_AT + after, SURGE_AT + after + down);
    fleet.run(0, SURGE_AT, 0.55);
    fleet.run(SURGE_AT, killed_at, 4.2);
    fleet.kill([OWNER]);
    fleet.run(killed_at, back_at, 4.2);
    fleet.restart_some([OWNER], back_at);
    fleet.run(back_at, 18_000, 4.2);
    let ((most, from), bound) = (fleet.most_in_window(), bound_at_rate(WideFleet::RATE));
    assert!(most <= bound, "{most} of {bound} from {from}");
}

/// Guards against VMs that each use the whole bucket, or reject all requests, while the owner stands
/// still.
#[yare::parameterized(surge = {4.2}, usual = {0.55})]
fn owner_that_stands_still_neither_opens_nor_closes_the_account(load: f64) {
    let mut fleet = WideFleet::new(LENDWELL, 1).with_owners();
    fleet.run(0, SURGE_AT, 0.55);
    fleet.reset_counts();
    fleet.stall_clocks([OWNER], Some(SURGE_AT));
    fleet.run(SURGE_AT, SURGE_AT + 1_500, load);
    fleet.stall_clocks([OWNER], None);
    fleet.run(SURGE_AT + 1_500, 14_000, load);
    let ((most, from), bound) = (fleet.most_in_window(), bound_at_rate(WideFleet::RATE));
    assert!(most <= bound, "{most} of {bound} from {from}");
    let rejected = fleet.rejected() / WideFleet::RATE;
    println!("rejected {rejected} seconds of the rate");
    if load < 1.0 {
        assert!(rejected <= 0.5, "{rejected} seconds of the rate");
    }
}

/// Guards against buckets that each of many VMs starts with, while the owner starts with its own, and
/// against an account that is closed until the owner's first refill.
#[yare::parameterized(
    grown = {LENDWELL, 1, 1_200}, grown_late = {LENDWELL, 77, 2_800}, large = {LARGE, 5, 1_200},
)]
fn restart_of_all_vms_with_owners_stays_within_the_bound(shape: FleetShape, seed: u64, after: u64) {
    for is_inherited in [false, true] {
        let mut fleet = WideFleet::new(shape, seed).with_owners();
        if is_inherited {
            fleet = fleet.without_takeover();
        }
        let killed_at = SURGE_AT + after;
        let back_at = killed_at + 1_000;
        fleet.run(0, SURGE_AT, 0.55);
        fleet.run(SURGE_AT, killed_at, 4.2);
        fleet.kill(0..shape.vms);
        fleet.run(killed_at, back_at, 4.2);
        fleet.restart(back_at);
        fleet.run(back_at, 18_000, 4.2);
        let ((most, from), bound) = (fleet.most_in_window(), bound_at_rate(WideFleet::RATE));
        println!("{most} of {bound} from {from}, {is_inherited}");
        assert!(most <= bound, "{most} of {bound} from {from}");
        let first = fleet.admitted_in(back_at, back_at + 500);
        assert!(first > 0.0, "nothing in the first half second");
    }
}

/// Guards against VMs that take lost reports for a cut, and reject an account within its rate, although
/// the owner answers them: reports between zones are lost for seconds while links are full.
#[yare::parameterized(grown = {LENDWELL, 1}, large = {LARGE, 77})]
fn lost_reports_of_other_zones_reject_nothing_within_the_rate(shape: FleetShape, seed: u64) {
    let mut fleet = WideFleet::new(shape, seed).with_owners();
    fleet.run(0, SURGE_AT, 0.55);
    fleet.reset_counts();
    fleet.lose_far_reports(true);
    fleet.run(SURGE_AT, 14_000, 0.55);
    let rejected = fleet.rejected() / fleet.requested;
    assert!(rejected <= 0.01, "{rejected} of all units");
}
