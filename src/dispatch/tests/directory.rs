use super::{at, ms, report};
use crate::collections::FastSet;
use crate::dispatch::directory::{DeferredRemoval, DirectoryChange, TargetDirectory, TargetKey};
use crate::ids::TargetName;

fn name() -> TargetName {
    "i-1".parse().unwrap()
}

fn directory() -> TargetDirectory {
    let mut directory = TargetDirectory::default();
    let change = directory.apply(&name(), Some(report("a")), at(0));
    assert_eq!(change, DirectoryChange::Added);
    directory
}

/// Guards against a newer report being undone by one that arrives out of order or comes from an
/// earlier process.
#[test]
fn stale_reports_are_ignored() {
    let mut directory = directory();
    let mut leaving = report("a");
    (leaving.sequence, leaving.leaving) = (5, true);
    assert_eq!(
        directory.apply(&name(), Some(leaving), at(10)),
        DirectoryChange::Leaving
    );
    assert_eq!(
        directory.apply(&name(), Some(report("a")), at(20)),
        DirectoryChange::None
    );
    let mut restarted = report("a");
    (restarted.started_ms, restarted.sequence) = (9, 1);
    assert_eq!(
        directory.apply(&name(), Some(restarted), at(30)),
        DirectoryChange::Restarted
    );
    let mut old = report("a");
    old.sequence = 99;
    assert_eq!(
        directory.apply(&name(), Some(old), at(40)),
        DirectoryChange::None
    );
    let entry = directory.get(TargetKey::new(&name())).unwrap();
    assert!(directory.is_open(entry, at(40)));
}

/// Guards against losing all targets because their entries expired during a store outage.
#[test]
fn entry_that_expired_in_an_outage_may_return_within_two_seconds() {
    let mut directory = directory();
    directory.mark_store_recovered(at(1000));
    assert_eq!(
        directory.apply(&name(), None, at(1010)),
        DirectoryChange::RemovalDeferred
    );
    let key = TargetKey::new(&name());
    assert_eq!(directory.deferred_removal(key), DeferredRemoval::Pending);
    assert!(directory.expire(at(2900)).is_empty());
    assert_eq!(directory.expire(at(3100)), [key]);
    assert_eq!(directory.deferred_removal(key), DeferredRemoval::Done);
}

/// Guards against requests to a target whose removal was deferred and is due, in a VM that reads no
/// further records for a while.
#[test]
fn deferred_removal_takes_effect_without_a_further_record() {
    let mut directory = directory();
    let key = TargetKey::new(&name());
    directory.mark_store_recovered(at(1000));
    directory.apply(&name(), None, at(1010));
    let is_open = |directory: &TargetDirectory, millis| {
        directory.is_open(directory.get(key).unwrap(), at(millis))
    };
    assert!(is_open(&directory, 2900));
    assert!(!is_open(&directory, 3000));
    let mut returned = report("a");
    returned.sequence = 2;
    directory.apply(&name(), Some(returned), at(2950));
    assert!(is_open(&directory, 3000));
    assert_eq!(directory.deferred_removal(key), DeferredRemoval::Cancelled);
}

/// Guards against requests to a target that was removed while the store is reachable.
#[test]
fn removed_entry_is_deleted_at_once_without_an_outage() {
    let mut directory = directory();
    assert_eq!(
        directory.apply(&name(), None, at(10)),
        DirectoryChange::Removed
    );
    assert!(directory.get(TargetKey::new(&name())).is_none());
}

/// Guards against keeping a target that a complete list lacks.
#[test]
fn targets_missing_from_a_complete_list_are_removed() {
    let mut directory = directory();
    directory.retain_listed(&FastSet::default(), at(10));
    assert_eq!(directory.targets().count(), 0);
}

/// Guards against trying a broken target with each request, and against never trying it again.
#[test]
fn failed_connections_suspend_a_target_for_a_while() {
    let mut directory = directory();
    let entry = directory.get_mut(TargetKey::new(&name())).unwrap();
    entry.record_connection_failure(at(0));
    assert!(entry.is_suspended(at(200)) && !entry.is_suspended(at(250)));
    for _ in 0..10 {
        entry.record_connection_failure(at(1000));
    }
    assert!(entry.is_suspended(at(2900)) && !entry.is_suspended(at(3000)));
    entry.record_outcome(true);
    entry.record_connection_failure(at(5000));
    assert!(!entry.is_suspended(at(5000) + ms(250)));
}

/// Guards against a late report adding a removed target again. The report may be newer than the
/// last one that this VM had read: of 69 VMs, one sent requests to a target that all had removed.
/// Also guards against a target that can never be added again.
#[test]
fn removed_target_returns_only_after_a_restart_or_a_delay() {
    let mut directory = directory();
    directory.apply(&name(), None, at(10));
    let mut newer = report("a");
    newer.sequence += 5;
    for late in [report("a"), newer.clone()] {
        let change = directory.apply(&name(), Some(late), at(1_500));
        assert_eq!(change, DirectoryChange::None);
    }
    let mut restarted = report("a");
    restarted.started_ms += 1;
    let change = directory.apply(&name(), Some(restarted), at(1_600));
    assert_eq!(change, DirectoryChange::Added);
    directory.apply(&name(), None, at(2_000));
    newer.started_ms += 1;
    let change = directory.apply(&name(), Some(newer), at(5_100));
    assert_eq!(change, DirectoryChange::Added);
}

/// Guards against each VM detecting an unavailable target by a failed request of its own, and
/// against a target that stays unavailable after its recovery.
#[test]
fn owner_status_suspends_and_restores_a_target() {
    let mut directory = directory();
    let entry = directory.get_mut(TargetKey::new(&name())).unwrap();
    entry.apply_owner_status(true, at(0));
    assert!(entry.is_suspended(at(3_400)) && !entry.is_suspended(at(3_500)));
    entry.apply_owner_status(true, at(3_000));
    entry.apply_owner_status(false, at(3_100));
    assert!(!entry.is_suspended(at(3_100)));
}

/// Guards against reopening a target that has stated itself that it is leaving, by later reports of
/// the same process or by adding it again after its removal, and against closing its next process.
#[test]
fn target_that_states_that_it_leaves_stays_closed_until_its_next_process() {
    let mut directory = directory();
    let key = TargetKey::new(&name());
    let is_open = |directory: &TargetDirectory| {
        let entry = directory.get(key);
        entry.is_some_and(|entry| directory.is_open(entry, at(40_000)))
    };
    assert!(directory.record_leaving(key, 1, at(10)));
    assert!(!directory.record_leaving(key, 1, at(20)));
    let mut ready = report("a");
    ready.sequence = 7;
    directory.apply(&name(), Some(ready.clone()), at(1_000));
    assert!(!is_open(&directory));
    directory.apply(&name(), None, at(2_000));
    ready.sequence = 9;
    directory.apply(&name(), Some(ready), at(30_000));
    directory.expire(at(30_000));
    assert!(!is_open(&directory));
    let mut next = report("a");
    next.started_ms = 2;
    directory.apply(&name(), Some(next), at(31_000));
    assert!(is_open(&directory));
    assert!(!directory.record_leaving(key, 1, at(32_000)));
    assert!(is_open(&directory));
}

/// Guards against a reader that keeps a leaving record to itself because it knew of the target's
/// leaving from a response.
#[test]
fn leaving_record_is_a_change_also_after_a_response_has_stated_it() {
    let mut directory = directory();
    directory.record_leaving(TargetKey::new(&name()), 1, at(10));
    let mut leaving = report("a");
    (leaving.sequence, leaving.leaving) = (2, true);
    let change = directory.apply(&name(), Some(leaving), at(20));
    assert_eq!(change, DirectoryChange::Leaving);
}

/// Guards against new work for a target that is about to be reclaimed, against a departure that
/// other VMs are not told of because the target was already leaving, and against one that moves to a
/// later time.
#[test]
fn reclaimed_target_is_closed_and_departs_once() {
    let mut directory = directory();
    let key = TargetKey::new(&name());
    let mut leaving = report("a");
    (leaving.sequence, leaving.leaving) = (2, true);
    let change = directory.apply(&name(), Some(leaving.clone()), at(10));
    assert_eq!(change, DirectoryChange::Leaving);
    assert!(!directory.is_reclaimed(key));
    for (sequence, now, expected) in [
        (3, 1000, DirectoryChange::Leaving),
        (4, 1500, DirectoryChange::Updated),
    ] {
        (leaving.sequence, leaving.departs_in) = (sequence, Some(ms(2000)));
        let change = directory.apply(&name(), Some(leaving.clone()), at(now));
        assert_eq!(change, expected);
    }
    let entry = directory.get(key).unwrap();
    assert_eq!(entry.departs_at(), Some(at(3000)));
    assert!(!directory.is_open(entry, at(1600)));
    let mut restarted = report("a");
    restarted.started_ms = 9;
    directory.apply(&name(), Some(restarted), at(4000));
    assert!(!directory.is_reclaimed(key));
}

/// Guards against VMs that take a target for warm because the readers of the store did not tell them
/// of a second cold time, which began during the first.
#[test]
fn longer_cold_time_is_a_change_that_concerns_all_vms() {
    let mut directory = directory();
    let mut apply = |sequence, remaining, now| {
        let mut cold = report("a");
        (cold.sequence, cold.cold_remaining) = (sequence, ms(remaining));
        directory.apply(&name(), Some(cold), at(now))
    };
    assert_eq!(apply(2, 3_000, 1_000), DirectoryChange::Cold);
    // The next report of the same cold time, read with a little more delay.
    assert_eq!(apply(3, 2_000, 2_200), DirectoryChange::Updated);
    assert_eq!(apply(4, 3_000, 3_000), DirectoryChange::Cold);
    assert!(DirectoryChange::Cold.is_urgent());
    assert_eq!(apply(5, 2_000, 4_000), DirectoryChange::Updated);
}

/// Guards against requests to a target that is gone, because the store came back from a copy without its
/// removal and with a report that this VM had not read.
#[test]
fn removed_target_in_a_restored_list_is_added_only_by_a_later_report() {
    let mut directory = directory();
    directory.apply(&name(), None, at(1000));
    let mut listed = report("a");
    listed.sequence = 9;
    directory.outdate_restored(&name(), &listed);
    for now in [9_000, 14_000, 40_000] {
        let change = directory.apply(&name(), Some(listed.clone()), at(now));
        assert_eq!(change, DirectoryChange::None);
        directory.expire(at(now));
    }
    let mut later = listed;
    later.sequence = 10;
    let change = directory.apply(&name(), Some(later), at(40_500));
    assert_eq!(change, DirectoryChange::Added);
}
