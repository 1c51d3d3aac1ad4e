use super::at;
use crate::dispatch::account_grants::{
    AccountGrant, AskNumber, GrantAsk, GrantOutlook, GrantQueue, OwnedBucket,
};
use crate::dispatch::account_limit::AccountLimit;

const LIMIT: AccountLimit = AccountLimit {
    rate: 10_000.0,
    burst: 10_000.0,
};

fn number(number: u64) -> AskNumber {
    AskNumber::from(number)
}

fn granted(units: f64) -> AccountGrant {
    AccountGrant {
        units,
        retry_after: None,
    }
}

fn ask(wanted: f64, ahead: f64) -> GrantAsk {
    GrantAsk {
        wanted,
        first: wanted,
        ahead,
        returned: 0.0,
    }
}

/// Guards against units that are lost when the requests for which they were granted don't come.
#[test]
fn unused_units_are_returned_with_the_next_ask() {
    let mut queue = GrantQueue::default();
    queue.add_waiting(1_000.0);
    queue.begin_ask(number(1), 0.0, at(0)).unwrap();
    assert!(queue.apply_answer(number(1), granted(1_600.0), at(2)));
    assert_eq!(queue.spend(1_000.0, at(2)), GrantOutlook::Spent);
    queue.remove_waiting(1);
    // The grant has ended.
    assert_eq!(queue.spend(500.0, at(600)), GrantOutlook::Open);
    queue.add_waiting(500.0);
    let ask = queue.begin_ask(number(2), 0.0, at(600)).unwrap();
    assert_eq!((ask.wanted, ask.returned), (500.0, 600.0));
}

/// Guards against requests that wait for an owner that doesn't answer until their time limit.
#[test]
fn owner_that_does_not_answer_counts_as_unresponsive() {
    let mut queue = GrantQueue::default();
    queue.add_waiting(1_000.0);
    assert!(queue.begin_ask(number(1), 0.0, at(0)).is_some());
    assert!(queue.begin_ask(number(2), 0.0, at(20)).is_none());
    assert!(queue.begin_ask(number(2), 0.0, at(40)).is_some());
    assert_eq!(queue.spend(1_000.0, at(140)), GrantOutlook::Open);
    assert_eq!(queue.spend(1_000.0, at(150)), GrantOutlook::Unresponsive);
    // A late answer ends that.
    assert!(queue.apply_answer(number(1), granted(1_000.0), at(160)));
    assert_eq!(queue.spend(1_000.0, at(160)), GrantOutlook::Spent);
}

/// Guards against units that are used twice because a datagram is repeated.
#[test]
fn repeated_answer_grants_nothing() {
    let mut queue = GrantQueue::default();
    queue.add_waiting(1_000.0);
    queue.begin_ask(number(1), 0.0, at(0)).unwrap();
    assert!(queue.apply_answer(number(1), granted(1_000.0), at(2)));
    assert!(!queue.apply_answer(number(1), granted(1_000.0), at(3)));
    assert_eq!(queue.spend(1_000.0, at(3)), GrantOutlook::Spent);
    assert_eq!(queue.spend(1_000.0, at(3)), GrantOutlook::Open);
}

/// Guards against asking the owner for each request of an account that it has rejected.
#[test]
fn rejected_vm_rejects_without_asking_until_the_time_given() {
    let mut queue = GrantQueue::default();
    queue.add_waiting(1_000.0);
    queue.begin_ask(number(1), 0.0, at(0)).unwrap();
    let rejected = AccountGrant {
        units: 0.0,
        retry_after: Some(super::ms(300)),
    };
    assert!(queue.apply_answer(number(1), rejected, at(2)));
    let outlook = queue.spend(1_000.0, at(102));
    assert_eq!(outlook, GrantOutlook::Rejected(super::ms(200)));
    assert!(queue.begin_ask(number(2), 0.0, at(102)).is_none());
    assert_eq!(queue.spend(1_000.0, at(302)), GrantOutlook::Open);
}

/// Guards against units in advance that starve the requests of other VMs.
#[test]
fn units_in_advance_leave_half_of_the_burst() {
    let mut bucket = OwnedBucket::new(at(0), LIMIT.burst);
    let grant = bucket.grant(ask(1_000.0, 9_000.0), LIMIT, 0.5);
    assert_eq!(grant, granted(5_000.0));
    let grant = bucket.grant(ask(1_000.0, 9_000.0), LIMIT, 0.5);
    assert_eq!(grant, granted(1_000.0));
}

/// Guards against a bucket that is overdrawn by more than one request.
#[test]
fn overdrawn_bucket_grants_nothing_and_spreads_the_next_asks() {
    let mut bucket = OwnedBucket::new(at(0), 500.0);
    let grant = bucket.grant(ask(1_000.0, 0.0), LIMIT, 0.5);
    assert_eq!(grant, granted(1_000.0));
    let rejections = [(); 3].map(|()| bucket.grant(ask(1_000.0, 0.0), LIMIT, 0.5));
    assert!(rejections.iter().all(|grant| grant.units == 0.0));
    let delays = rejections.map(|grant| grant.retry_after.unwrap());
    assert!(delays.is_sorted() && delays[0] < delays[2], "{delays:?}");
}
