use super::{at, ms};
use crate::dispatch::directory::TargetKey;
use crate::dispatch::ownership::{GroupMembership, PartitionCount, PartitionLease};

const TARGET: u64 = 3;

fn lease() -> PartitionLease {
    PartitionLease::new(PartitionCount::new(12), ms(2600), ms(1650))
}

fn membership(generation: u64, partitions: &[u32]) -> GroupMembership {
    GroupMembership {
        generation,
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
    assert!(may_order(&lease, 3900));
    assert!(!may_order(&lease, 4000));
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
