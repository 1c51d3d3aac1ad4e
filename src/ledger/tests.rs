//! Tests of the token buckets and of the owner's side: grants, reports, takeovers and handovers.

use std::time::Duration;

use super::bucket::{AccountBucket, millitokens};
use super::owner::PartitionOwner;
use super::wire::{ChargeItem, GrantPart, GrantRequest, ReturnItem, SettlementItem, UsageReport};
use crate::clock::Timestamp;
use crate::config::model::RateEntry;
use crate::ids::{AccountName, FencingToken, TokenCount, TokenRate};

pub(super) const RATE: RateEntry = RateEntry {
    tokens_per_second: TokenRate::per_second(100),
    burst: TokenCount::new(500),
};

pub(super) fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

pub(super) fn fence(token: u64) -> FencingToken {
    FencingToken::from(token)
}

pub(super) fn account() -> AccountName {
    "acme".parse().expect("a valid name")
}

fn full_bucket() -> AccountBucket {
    AccountBucket::new(RATE, millitokens(500), at(0))
}

fn full_owner() -> PartitionOwner {
    PartitionOwner::after_claim(fence(0), at(0))
}

fn grant_request(id: u64, need: u64, prefetch: u64) -> GrantRequest {
    GrantRequest {
        account: "acme".to_owned(),
        boot: 1,
        id,
        needs: vec![need],
        prefetch,
        fence: 0,
    }
}

fn charge_item(grant: u64, tokens: u64, refund: i64) -> ChargeItem {
    ChargeItem {
        account: "acme".to_owned(),
        elapsed_ms: 0,
        parts: vec![GrantPart { grant, tokens }],
        refund,
    }
}

fn report(seq: u64, charges: Vec<ChargeItem>) -> UsageReport {
    UsageReport {
        boot: 1,
        seq,
        charges,
        ..UsageReport::default()
    }
}

/// The tokens that a grant request could get at `now`.
fn level(owner: &PartitionOwner, now: u64) -> u64 {
    let mut copy = owner.clone();
    let needs = vec![1; 600];
    let request = GrantRequest {
        needs,
        boot: 9,
        id: now,
        fence: copy.fence.into(),
        ..grant_request(0, 0, 0)
    };
    let response = copy
        .grant(at(now), RATE, &request)
        .expect("the owner responds");
    response.granted
}

/// Guards against a bucket that accrues more than its burst while it is idle.
#[test]
fn an_idle_bucket_holds_no_more_than_its_burst() {
    let mut bucket = full_bucket();
    bucket.refill(at(60_000), RATE);
    assert_eq!(bucket.level, millitokens(500));
    bucket.grant(millitokens(500));
    assert_eq!(
        bucket.refill_time(millitokens(1)),
        Duration::from_millis(10)
    );
}

/// Guards against a refund that is credited although the bucket was full since the charge.
#[test]
fn a_refund_is_limited_by_the_least_headroom_since_the_charge() {
    let mut bucket = full_bucket();
    bucket.grant(millitokens(300));
    bucket.spend(at(0), at(0), millitokens(300));
    bucket.refill(at(2_000), RATE);
    bucket.grant(millitokens(400));
    bucket.spend(at(2_000), at(2_000), millitokens(400));
    // The minimum headroom was 100, just before the second charge.
    assert_eq!(
        bucket.refund(at(2_000), at(0), millitokens(200)),
        millitokens(100)
    );
    assert_eq!(bucket.refund(at(2_000), at(0), millitokens(50)), 0);
}

/// Guards against losing refill because spending is reported late.
#[test]
fn a_late_report_credits_the_refill_that_overflowed() {
    let mut bucket = full_bucket();
    bucket.grant(millitokens(400));
    bucket.refill(at(1_000), RATE);
    assert_eq!(bucket.level, millitokens(100));
    bucket.spend(at(1_000), at(200), millitokens(400));
    assert_eq!(bucket.level, millitokens(180));
}

/// Guards against an owner that sees a lower rate late and refills at the higher one until then.
#[test]
fn time_before_a_noticed_rate_change_counts_at_the_lower_rate() {
    let lower = RateEntry {
        tokens_per_second: TokenRate::per_second(10),
        ..RATE
    };
    let mut bucket = AccountBucket::new(RATE, 0, at(0));
    bucket.refill(at(4_000), lower);
    assert_eq!(bucket.level, millitokens(40));
    bucket.refill(at(5_000), RATE);
    assert_eq!(bucket.level, millitokens(50));
}

/// Guards against usage beyond the charge that is not debited.
#[test]
fn a_request_that_used_more_than_its_charge_leaves_a_negative_level() {
    let mut owner = full_owner();
    owner.grant(at(0), RATE, &grant_request(1, 500, 0));
    owner.apply_report(
        at(0),
        |_| Some(RATE),
        &report(1, vec![charge_item(1, 500, -200)]),
    );
    let response = owner.grant(at(0), RATE, &grant_request(2, 100, 0));
    assert_eq!(response.expect("the owner responds").wait_ms, 3_000);
    assert_eq!(level(&owner, 2_000), 0);
    assert_eq!(level(&owner, 2_500), 50);
}

/// Guards against a retried grant request that is granted twice.
#[test]
fn a_repeated_grant_request_gets_the_same_response_for_10_s() {
    let mut owner = full_owner();
    let first = owner.grant(at(0), RATE, &grant_request(1, 200, 0));
    assert_eq!(owner.grant(at(300), RATE, &grant_request(1, 200, 0)), first);
    assert_eq!(
        owner.accounts[&account()].bucket.outstanding,
        millitokens(200)
    );
    let short = owner.grant(at(300), RATE, &grant_request(2, 450, 0));
    assert_eq!(
        owner.grant(at(9_999), RATE, &grant_request(1, 200, 0)),
        first
    );
    assert_eq!(
        owner.grant(at(10_300), RATE, &grant_request(2, 450, 0)),
        short
    );
    assert_ne!(
        owner.grant(at(10_301), RATE, &grant_request(2, 450, 0)),
        short
    );
}

/// Guards against granting a delayed grant request after its sender has abandoned it.
#[test]
fn a_grant_request_that_arrives_after_its_return_is_not_granted() {
    let mut owner = full_owner();
    let mut abandoned = report(1, Vec::new());
    abandoned.returns.push(ReturnItem {
        account: "acme".to_owned(),
        grant: 1,
    });
    owner.apply_report(at(0), |_| Some(RATE), &abandoned);
    let response = owner.grant(at(1), RATE, &grant_request(1, 200, 0));
    assert_eq!(response.expect("the owner responds").granted, 0);
    assert_eq!(level(&owner, 1), 500);
}

/// Guards against a repeated report that credits a refund twice.
#[test]
fn a_repeated_report_is_applied_once() {
    let mut owner = full_owner();
    owner.grant(at(0), RATE, &grant_request(1, 400, 0));
    owner.apply_report(
        at(0),
        |_| Some(RATE),
        &report(1, vec![charge_item(1, 400, 0)]),
    );
    let settlement = SettlementItem {
        account: "acme".to_owned(),
        epoch: 0,
        charged_at: 1,
        refund: 100,
    };
    let mut ended = report(2, Vec::new());
    ended.settlements.push(settlement);
    let first = owner.apply_report(at(1), |_| Some(RATE), &ended);
    let again = owner.apply_report(at(1), |_| Some(RATE), &ended);
    assert_eq!(first, again);
    assert_eq!(level(&owner, 1), 200);
}

/// Guards against refunding tokens that were granted by an owner that crashed.
#[test]
fn a_charge_that_the_owner_does_not_know_is_not_refunded() {
    let mut owner = PartitionOwner::after_claim(fence(7), at(0));
    let unknown = UsageReport {
        fence: 7,
        ..report(1, vec![charge_item(1, 100, 100)])
    };
    let response = owner.apply_report(at(4_200), |_| Some(RATE), &unknown);
    assert_eq!(response.expect("the owner responds").charged_at, [0]);
    assert_eq!(level(&owner, 4_200), 200);
}

/// Guards against dating a charge too early when the node's clock runs fast.
#[test]
fn the_time_since_an_admission_is_shortened_by_the_clock_margin() {
    let mut owner = full_owner();
    owner.grant(at(0), RATE, &grant_request(1, 500, 0));
    let mut item = charge_item(1, 500, 0);
    item.elapsed_ms = 961;
    let response = owner.apply_report(at(1_000), |_| Some(RATE), &report(1, vec![item]));
    // The reported 961 ms less one millisecond and a sixteenth are 900 ms.
    assert_eq!(response.expect("the owner responds").charged_at, [100]);
    assert_eq!(level(&owner, 1_000), 90);
}

/// Guards against memory that grows with each restart of a node.
#[test]
fn reports_of_ended_processes_are_dropped_after_10_min() {
    let mut owner = full_owner();
    for boot in 0..3 {
        let first = UsageReport {
            boot,
            ..report(1, Vec::new())
        };
        owner.apply_report(at(boot * 400_000), |_| Some(RATE), &first);
    }
    assert_eq!(owner.reports.len(), 2);
}

/// Guards against a prefetch that leaves too few tokens for the other nodes.
#[test]
fn a_prefetch_is_granted_only_from_the_upper_half_of_the_bucket() {
    let mut owner = full_owner();
    let response = owner.grant(at(0), RATE, &grant_request(1, 100, 400));
    assert_eq!(response.expect("the owner responds").granted, 250);
    let response = owner.grant(at(0), RATE, &grant_request(2, 50, 400));
    assert_eq!(response.expect("the owner responds").granted, 50);
}

/// Guards against refilling tokens that a node may still spend, and against losing them for good
/// after a node has crashed.
#[test]
fn an_unreported_grant_is_outstanding_for_4_s() {
    let mut owner = full_owner();
    owner.grant(at(0), RATE, &grant_request(1, 500, 0));
    assert_eq!(level(&owner, 3_999), 0);
    assert_eq!(level(&owner, 4_000), 0);
    // The level refills from the expiry on.
    owner.grant(at(4_000), RATE, &grant_request(2, 500, 0));
    assert_eq!(level(&owner, 5_000), 100);
}

/// Guards against a successor that grants tokens that nodes may still spend from the previous
/// owner's grants.
#[test]
fn a_successor_starts_at_level_zero_and_refills_after_2200_ms() {
    let mut owner = PartitionOwner::after_claim(fence(7), at(10_000));
    let mut first = grant_request(1, 100, 0);
    first.fence = 7;
    let response = owner.grant(at(10_000), RATE, &first);
    let response = response.expect("the owner responds");
    assert_eq!((response.granted, response.takeover_pause_ms), (0, 2_200));
    assert_eq!((response.wait_ms, response.catch_up_ms), (3_200, 62_200));
    assert_eq!(level(&owner, 12_199), 0);
    assert_eq!(level(&owner, 12_200), 0);
    // The tokens of the first request are reserved for its node.
    assert_eq!(level(&owner, 13_290), 9);
    assert_eq!(level(&owner, 14_200), 200);
}

/// Guards against a handover that loses a grant, a response, a report or the headroom.
#[test]
fn a_handover_transfers_the_exact_state() {
    let mut owner = full_owner();
    owner.grant(at(1_000), RATE, &grant_request(1, 300, 0));
    let charged = report(1, vec![charge_item(1, 200, 0)]);
    owner.apply_report(at(1_000), |_| Some(RATE), &charged);
    let bytes = owner.export(at(1_500));
    let mut successor =
        PartitionOwner::import(&bytes, fence(3), at(77)).expect("the exported state is valid");
    assert_eq!(successor.epoch, owner.epoch);
    assert_eq!(successor.responses, owner.responses);
    assert_eq!(successor.reports, owner.reports);
    let (old, new) = (&owner.accounts[&account()], &successor.accounts[&account()]);
    assert_eq!(old.grants, new.grants);
    assert_eq!(old.bucket.outstanding, new.bucket.outstanding);
    assert_eq!(old.bucket.headroom, new.bucket.headroom);
    assert_eq!(level(&successor, 77), level(&owner, 1_500));
    assert_eq!(level(&successor, 577), level(&owner, 2_000));
    let again = successor.grant(at(80), RATE, &grant_request(1, 300, 0));
    assert_eq!(again.expect("the owner responds").granted, 300);
    assert!(PartitionOwner::import(&bytes, fence(0), at(77)).is_none());
}
