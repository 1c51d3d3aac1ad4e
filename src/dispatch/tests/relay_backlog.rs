use super::position;
use crate::dispatch::directory::{DeferredRemoval, TargetKey};
use crate::dispatch::relay_backlog::{FoundChange, RelayBacklog, RelayPart};

fn key() -> TargetKey {
    TargetKey::new(&"i-1".parse().unwrap())
}

/// A change at an offset, which is also its record.
fn found(offset: u64, is_deferred: bool) -> FoundChange<u64> {
    FoundChange {
        record: offset,
        position: position(offset),
        deferred: is_deferred.then(key),
    }
}

fn part(claimed: &[u64], until: u64, unclaimed: &[u64]) -> RelayPart<u64> {
    RelayPart {
        claimed: claimed.to_vec(),
        until: position(until),
        unclaimed: unclaimed.to_vec(),
    }
}

/// Guards against a reader that claims to have relayed a removal that it defers: the other VMs ignore
/// the removal in the relays of the other readers and send requests to the target for up to 45 s.
#[test]
fn nothing_is_claimed_from_a_deferred_removal_on() {
    let mut backlog = RelayBacklog::default();
    let mut read = |changes: Vec<FoundChange<u64>>, until, removal| {
        backlog.take_part(changes, position(until), |_| removal)
    };
    let pending = DeferredRemoval::Pending;
    let changes = vec![found(3, false), found(5, true), found(7, false)];
    assert_eq!(read(changes, 10, pending), part(&[3], 5, &[7]));
    // Changes that were sent without a claim are not repeated until they can be claimed.
    assert_eq!(
        read(vec![found(12, false)], 15, pending),
        part(&[], 5, &[12])
    );
    assert_eq!(read(Vec::new(), 16, pending), part(&[], 5, &[]));
    let last = read(vec![found(17, false)], 20, DeferredRemoval::Done);
    assert_eq!(last, part(&[5, 7, 12, 17], 20, &[]));
    assert_eq!(read(Vec::new(), 22, pending), part(&[], 22, &[]));
}

/// Guards against a removal that is relayed although the target has registered again.
#[test]
fn cancelled_removal_is_not_relayed() {
    let mut backlog = RelayBacklog::default();
    let changes = vec![found(5, true), found(7, false)];
    let read_until = position(10);
    let sent = backlog.take_part(changes, read_until, |_| DeferredRemoval::Cancelled);
    assert_eq!(sent, part(&[7], 10, &[]));
}
