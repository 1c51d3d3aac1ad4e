use rand::{RngExt, SeedableRng};

use super::{at, ms};
use crate::dispatch::directory::TargetKey;
use crate::dispatch::ownership::{
    GroupGeneration, GroupMembership, PartitionCount, PartitionLease,
};
use crate::ids::{DutyName, StoreEra};

const TARGET: u64 = 3;

fn lease() -> PartitionLease {
    PartitionLease::new(PartitionCount::new(12), ms(2600), ms(1650))
}

fn membership(generation: u64, partitions: &[u32]) -> GroupMembership {
    membership_in(0, generation, partitions)
}

fn membership_in(era: u64, number: u64, partitions: &[u32]) -> GroupMembership {
    GroupMembership {
        generation: GroupGeneration::new(StoreEra::from(era), number),
        partitions: partitions.to_vec(),
    }
}

fn may_order(lease: &PartitionLease, now: u64) -> bool {
    lease.token_for(TargetKey::from(TARGET), at(now)).is_some()
}

/// Guards against orders from two owners of a target in quick succession, and against a wait that
/// starts again with each renewal.
#[test]
fn new_owner_waits_once_and_not_after_renewals() {
    let mut lease = lease();
    lease.renew(membership(4, &[3]), at(0), at(10));
    assert!(!may_order(&lease, 1600));
    lease.renew(membership(4, &[3]), at(900), at(910));
    assert!(may_order(&lease, 1700));
    lease.renew(membership(5, &[3, 4]), at(1800), at(1810));
    assert!(may_order(&lease, 1820));
    let token = lease.token_for(TargetKey::from(TARGET), at(1820));
    assert_eq!(token.map(u64::from), Some(5));
}

/// Guards against orders from a VM that was frozen or cut off while another one took over.
#[test]
fn expired_lease_permits_no_orders() {
    let mut lease = lease();
    lease.renew(membership(4, &[3]), at(0), at(10));
    lease.renew(membership(4, &[3]), at(1800), at(2100));
    assert!(may_order(&lease, 3200));
    assert!(!may_order(&lease, 3400));
    lease.renew(membership(9, &[3]), at(6000), at(6010));
    assert!(
        !may_order(&lease, 6020),
        "another VM may have held the partition in between"
    );
}

/// Guards against orders after the partition was assigned to another VM.
#[test]
fn partition_missing_from_a_renewal_is_released() {
    let mut lease = lease();
    lease.renew(membership(4, &[3]), at(0), at(10));
    lease.renew(membership(5, &[]), at(1800), at(1810));
    assert!(!may_order(&lease, 1820));
}

/// Guards against two owners that act at the same time: the store may move a partition at any
/// moment, while the VM that held it is cut off and still relies on its last renewal. Each holder
/// renews at its own times, loses some renewals, and learns of a move with its next one. A process
/// that restarts keeps its membership, also in a partition that it had just received, and knows
/// what it has recorded.
#[yare::parameterized(first = {1}, second = {2}, third = {3}, fourth = {4}, fifth = {5}, sixth = {6}, seventh = {7})]
fn two_vms_never_act_for_a_partition_at_the_same_time(seed: u64) {
    const STEP_MS: u64 = 10;
    const RENEWAL_MS: u64 = 500;
    let mut random = rand::rngs::SmallRng::seed_from_u64(seed);
    for _ in 0..200 {
        let mut leases = [lease(), lease()];
        let mut next_renewal = [0, random.random_range(0..RENEWAL_MS)];
        let mut cut_until = [0; 2];
        let (mut holder, mut generation) = (0, 1);
        let mut acted_at: [Option<u64>; 2] = [None; 2];
        let mut recorded = [None, None];
        for now in (0..12_000).step_by(STEP_MS as usize) {
            if random.random_bool(0.003) {
                (holder, generation) = (1 - holder, generation + 1);
            }
            for vm in 0..2 {
                if random.random_bool(0.002) {
                    leases[vm] = lease();
                    next_renewal[vm] = now;
                    if let Some(record) = recorded[vm].clone() {
                        leases[vm].inherit(record);
                    }
                }
                if random.random_bool(0.003) {
                    cut_until[vm] = now + random.random_range(0..4_000);
                }
                if now >= next_renewal[vm] {
                    next_renewal[vm] = now + RENEWAL_MS;
                    if now >= cut_until[vm] {
                        let held: &[u32] = if holder == vm { &[3] } else { &[] };
                        // The store may have handled the join long before its response arrives.
                        let sent_at = now.saturating_sub(random.random_range(0..200));
                        leases[vm].renew(membership(generation, held), at(sent_at), at(now));
                    }
                }
                if let Some(record) = leases[vm].unrecorded_entitlement(at(now)) {
                    leases[vm].mark_recorded(record.clone());
                    recorded[vm] = Some(record);
                }
                if may_order(&leases[vm], now) {
                    acted_at[vm] = Some(now);
                }
            }
            let both = acted_at.map(|time| time == Some(now));
            assert_ne!(both, [true, true], "seed {seed}, at {now} ms");
        }
    }
}

/// Guards against seconds without loads after a restart of all VMs, in which each waits as long as
/// a VM that takes over from another one.
#[test]
fn restarted_owner_acts_at_once_while_no_partition_has_moved() {
    let mut before = lease();
    before.renew(membership(4, &[3]), at(0), at(10));
    assert_eq!(before.unrecorded_entitlement(at(1000)), None);
    for step in 1..4 {
        before.renew(membership(4, &[3]), at(500 * step), at(500 * step + 10));
    }
    let record = before.unrecorded_entitlement(at(1700)).unwrap();
    before.mark_recorded(record.clone());
    assert_eq!(before.unrecorded_entitlement(at(1710)), None);
    let mut restarted = lease();
    restarted.inherit(record.clone());
    restarted.renew(membership(4, &[3, 5]), at(2400), at(2410));
    assert_eq!(restarted.active_partitions(at(2410)), [3]);
    let mut moved = lease();
    moved.inherit(record.clone());
    moved.renew(membership(5, &[3]), at(2400), at(2410));
    assert!(!may_order(&moved, 2410), "the partition may have been away");
    let mut late = lease();
    late.inherit(record);
    late.renew(membership(3, &[]), at(2400), at(2410));
    late.renew(membership(4, &[3]), at(2900), at(2910));
    assert!(!may_order(&late, 2910), "only the first renewal inherits");
}

/// Guards against a pause of all loads whenever VMs join and leave the group in quick succession:
/// with 195 VMs, a rolling restart stopped loads for five seconds.
#[test]
fn owner_continues_through_changes_of_other_members() {
    let mut lease = lease();
    lease.renew(membership(4, &[3]), at(0), at(10));
    for (step, generation) in [(1, 4), (2, 4), (3, 4), (4, 4), (5, 9), (6, 13)] {
        lease.renew(
            membership(generation, &[3]),
            at(500 * step),
            at(500 * step + 10),
        );
    }
    assert!(may_order(&lease, 3020));
}

/// Guards against a pause of loads after a single late renewal, although the unchanged generation
/// shows that no other VM was given the partition.
#[test]
fn late_renewal_without_a_change_continues_at_once() {
    let mut lease = lease();
    lease.renew(membership(4, &[3]), at(0), at(10));
    assert!(!may_order(&lease, 3000));
    lease.renew(membership(4, &[3]), at(3000), at(3010));
    assert!(may_order(&lease, 3020));
}

/// Guards against orders with a token that is lower than an earlier one, or that another VM used
/// before: a store that comes back from a copy gives out generations again.
#[test]
fn tokens_rise_although_a_restored_store_gives_out_lower_generations() {
    let mut lease = lease();
    let token = |lease: &PartitionLease, now| lease.token_for(TargetKey::from(TARGET), at(now));
    lease.renew(membership_in(1, 40, &[3]), at(0), at(10));
    lease.renew(membership_in(1, 40, &[3]), at(1500), at(1510));
    let before = token(&lease, 1700).unwrap();
    lease.renew(membership_in(2, 12, &[3]), at(2000), at(2010));
    lease.renew(membership_in(2, 12, &[3]), at(3500), at(3510));
    assert!(token(&lease, 3700).unwrap() > before);
    let duty: DutyName = "usage_report".parse().unwrap();
    let partition = PartitionCount::new(12).partition_of_duty(&duty);
    lease.renew(membership_in(2, 13, &[partition]), at(4000), at(4010));
    lease.renew(membership_in(2, 13, &[partition]), at(5500), at(5510));
    assert!(lease.duty_grant(&duty, at(5700)).unwrap().acquired > before);
}

/// Guards against two owners that act at the same time: what the copy lacks may have moved the
/// partition to another VM, also if the generation seems to be the same or the next one.
#[yare::parameterized(lower = {3}, same = {4}, next = {5}, higher = {9})]
fn owner_waits_after_the_store_was_restored(number: u64) {
    let mut lease = lease();
    lease.renew(membership_in(1, 4, &[3]), at(0), at(10));
    lease.renew(membership_in(1, 4, &[3]), at(1500), at(1510));
    assert!(may_order(&lease, 1700));
    lease.renew(membership_in(2, number, &[3]), at(2000), at(2010));
    assert!(!may_order(&lease, 2020));
    lease.renew(membership_in(2, number, &[3]), at(3000), at(3010));
    assert!(may_order(&lease, 3700));
}

/// Guards against a restarted owner that acts at once although the partition may have moved, and
/// against a record that the restored store lacks for good.
#[test]
fn entitlement_of_an_earlier_era_is_void_and_recorded_again() {
    let mut before = lease();
    before.renew(membership_in(1, 4, &[3]), at(0), at(10));
    before.renew(membership_in(1, 4, &[3]), at(1500), at(1510));
    let record = before.unrecorded_entitlement(at(1700)).unwrap();
    before.mark_recorded(record.clone());
    let mut restarted = lease();
    restarted.inherit(record);
    restarted.renew(membership_in(2, 4, &[3]), at(2400), at(2410));
    assert!(!may_order(&restarted, 2420));
    before.renew(membership_in(2, 4, &[3]), at(2400), at(2410));
    before.renew(membership_in(2, 4, &[3]), at(3900), at(3910));
    assert!(before.unrecorded_entitlement(at(4200)).is_some());
}
