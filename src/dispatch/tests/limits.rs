use std::time::Duration;

use super::at;
use crate::dispatch::directory::TargetKey;
use crate::dispatch::retry_budget::{RetryBudget, RetryLimit};
use crate::dispatch::strikes::StrikeTable;

/// Guards against retries that double the load of a failing service: all VMs together stay within
/// the required ratio and slack.
#[test]
fn retries_of_all_vms_stay_within_the_shared_budget() {
    const VMS: usize = 6;
    let limit = RetryLimit {
        ratio: 0.2,
        window: Duration::from_secs(10),
        slack: 52.0,
    };
    let mut budgets: Vec<_> = (0..VMS).map(|_| RetryBudget::new(limit)).collect();
    let (mut requests, mut retries) = (0.0, 0.0);
    for tick in 0..100 {
        for budget in &mut budgets {
            budget.record_request(at(tick * 100));
            requests += 1.0;
            if budget.try_retry(VMS, at(tick * 100)) {
                retries += 1.0;
            }
        }
    }
    assert!(retries <= 0.2 * requests + 52.0, "{retries} of {requests}");
    assert!(retries >= 0.1 * requests, "{retries} of {requests}");
}

/// Guards against a request that takes one target after another out of service.
#[test]
fn request_that_crashes_its_targets_is_refused_by_all_vms() {
    let (mut one, mut other) = (StrikeTable::default(), StrikeTable::default());
    one.record_crash(7, target(1), at(0));
    one.record_crash(7, target(2), at(10));
    assert!(!one.is_refused(7, at(10)));
    one.record_crash(7, target(3), at(20));
    assert!(one.is_refused(7, at(20)));
    for (fingerprint, count) in one.recent_changes(at(100)) {
        other.merge_peer_count(fingerprint, count, at(100));
    }
    assert!(other.is_refused(7, at(100)) && !other.is_refused(8, at(100)));
    // The refusal ends some time after the last crash, since the targets may have been repaired.
    assert!(one.is_refused(7, at(70_000)) && !one.is_refused(7, at(600_020)));
}

/// Guards against refusing identical requests after a single crash of a target that ran many of
/// them; a soak test found this.
#[test]
fn one_crash_counts_once_however_many_requests_it_ended() {
    let mut strikes = StrikeTable::default();
    for now in 0..10 {
        strikes.record_crash(7, target(1), at(now));
    }
    assert!(!strikes.is_refused(7, at(10)));
    strikes.record_crash(7, target(1), at(4_000));
    strikes.record_crash(7, target(1), at(8_000));
    assert!(strikes.is_refused(7, at(8_000)));
}

/// Guards against accidental crashes that add up over many completed runs, on this VM or on others.
#[test]
fn completed_run_clears_the_strikes_of_all_vms() {
    let (mut one, mut other) = (StrikeTable::default(), StrikeTable::default());
    for index in 1..=3 {
        one.record_crash(7, target(index), at(0));
    }
    other.merge_peer_count(7, 3, at(0));
    one.clear(7, at(10));
    for (fingerprint, count) in one.recent_changes(at(100)) {
        other.merge_peer_count(fingerprint, count, at(100));
    }
    assert!(!one.is_refused(7, at(100)) && !other.is_refused(7, at(100)));
}

fn target(index: u64) -> TargetKey {
    TargetKey::from(index)
}

/// Guards against a request that crashes targets and is let in again while it keeps coming: each VM
/// then let it crash a target of its own before the counts met.
#[test]
fn request_that_keeps_coming_stays_refused() {
    let mut vms = [(); 8].map(|()| StrikeTable::default());
    for crash in 0..3 {
        let now = at(crash * 2_000);
        vms[crash as usize].record_crash(7, target(crash), now);
        let counts: Vec<_> = vms[crash as usize].recent_changes(now).collect();
        for vm in &mut vms {
            for (fingerprint, count) in &counts {
                vm.merge_peer_count(*fingerprint, *count, now);
            }
        }
    }
    for second in 4..600 {
        for vm in &vms {
            assert!(vm.is_refused(7, at(second * 1000)), "{second} s");
        }
    }
    // One further crash is enough for all VMs to refuse it again.
    let retry = at(620_000);
    assert!(vms.iter().all(|vm| !vm.is_refused(7, retry)));
    let count = vms[5].record_crash(7, target(9), retry);
    for vm in &mut vms {
        vm.merge_peer_count(7, count, retry);
        assert!(vm.is_refused(7, retry));
    }
    assert!(!vms[0].is_refused(7, at(2_000_000)));
}
