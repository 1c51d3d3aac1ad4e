//! Tests of the node's side: spending of grants, waiting requests and reports.

use std::time::Duration;

use super::node_limiter::{ChargeOutcome, ChargeStep, NodeLimiter};
use super::tests::{RATE, account, at, fence};
use super::wire::{GrantRequest, GrantResponse, LedgerKind, ReportResponse, UsageReport};
use crate::ids::BootId;

fn new_limiter() -> NodeLimiter {
    NodeLimiter::new(BootId::from(1), Duration::from_secs(10))
}

/// Queues a request for `need` tokens and returns its ticket.
fn wait(limiter: &mut NodeLimiter, now: u64, need: u64) -> u64 {
    match limiter.charge(at(now), &account(), 0, RATE, need) {
        ChargeStep::Waiting(ticket) => ticket,
        step @ ChargeStep::Done(_) => panic!("the charge was decided at once: {step:?}"),
    }
}

/// The grant request that a node sends at `now`.
fn sent_request(limiter: &mut NodeLimiter, now: u64, owner: u64) -> GrantRequest {
    let mut messages = limiter.poll(at(now), |_| Some(fence(owner)));
    match messages.pop() {
        Some((_, LedgerKind::GrantRequest(request))) => request,
        other => panic!("the node sent {other:?}"),
    }
}

fn response(request: &GrantRequest, owner: u64, granted: u64) -> LedgerKind {
    LedgerKind::GrantResponse(GrantResponse {
        account: request.account.clone(),
        id: request.id,
        fence: owner,
        granted,
        ..GrantResponse::default()
    })
}

/// Guards against spending a grant of an owner whose lease has ended.
#[test]
fn a_response_from_an_older_owner_is_ignored() {
    let mut limiter = new_limiter();
    wait(&mut limiter, 0, 10);
    let first = sent_request(&mut limiter, 0, 3);
    let retry = sent_request(&mut limiter, 5, 4);
    assert_eq!((retry.id, retry.fence), (first.id, 4));
    limiter.receive(at(10), &response(&first, 3, 10));
    assert_eq!(limiter.take_outcomes(), []);
    limiter.receive(at(11), &response(&retry, 4, 10));
    assert!(matches!(
        limiter.take_outcomes()[..],
        [(_, ChargeOutcome::Admitted { .. })]
    ));
}

/// Guards against spending a grant that the owner may already count as expired.
#[test]
fn a_grant_can_be_spent_for_2_s_from_the_sending_of_its_request() {
    let mut limiter = new_limiter();
    wait(&mut limiter, 0, 10);
    let first = sent_request(&mut limiter, 0, 1);
    limiter.receive(at(1_990), &response(&first, 1, 30));
    assert_eq!(limiter.take_outcomes().len(), 1);
    let step = limiter.charge(at(1_999), &account(), 0, RATE, 10);
    assert!(matches!(step, ChargeStep::Done(_)), "{step:?}");
    wait(&mut limiter, 2_000, 10);
}

/// Guards against spending a grant whose response arrives after its lifetime.
#[test]
fn a_response_later_than_2_s_admits_no_request() {
    let mut limiter = new_limiter();
    wait(&mut limiter, 0, 10);
    let first = sent_request(&mut limiter, 0, 1);
    limiter.receive(at(2_000), &response(&first, 1, 10));
    assert_eq!(limiter.take_outcomes(), []);
}

/// Guards against a small request that is admitted before an earlier, larger one.
#[test]
fn requests_of_an_account_are_served_in_order_of_arrival() {
    let mut limiter = new_limiter();
    let large = wait(&mut limiter, 0, 100);
    let small = wait(&mut limiter, 0, 1);
    let first = sent_request(&mut limiter, 0, 1);
    assert_eq!(first.needs, [100, 1]);
    limiter.receive(at(1), &response(&first, 1, 50));
    assert_eq!(limiter.take_outcomes(), []);
    // The cached tokens would suffice for this request.
    let late = wait(&mut limiter, 2, 1);
    let second = sent_request(&mut limiter, 2, 1);
    assert_eq!(second.needs, [50, 1, 1]);
    limiter.receive(at(3), &response(&second, 1, 52));
    let tickets: Vec<u64> = limiter.take_outcomes().iter().map(|(t, _)| *t).collect();
    assert_eq!(tickets, [large, small, late]);
}

fn shortage_response(request: &GrantRequest, wait_ms: u64) -> LedgerKind {
    LedgerKind::GrantResponse(GrantResponse {
        account: request.account.clone(),
        id: request.id,
        fence: 1,
        short_of: request.needs[0],
        wait_ms,
        ..GrantResponse::default()
    })
}

/// Guards against an account over its rate that causes a message for each request.
#[test]
fn a_refusal_is_cached_until_the_time_given() {
    let mut limiter = new_limiter();
    wait(&mut limiter, 0, 100);
    let first = sent_request(&mut limiter, 0, 1);
    limiter.receive(at(1), &shortage_response(&first, 400));
    limiter.poll(at(1), |_| Some(fence(1)));
    let retry_after = Duration::from_millis(400);
    assert_eq!(
        limiter.take_outcomes()[0].1,
        ChargeOutcome::OverRate { retry_after }
    );
    for now in 2..150 {
        let step = limiter.charge(at(now), &account(), 0, RATE, 100);
        let refused = matches!(step, ChargeStep::Done(ChargeOutcome::OverRate { .. }));
        assert!(refused, "{now}: {step:?}");
        assert_eq!(limiter.poll(at(now), |_| Some(fence(1))), []);
    }
    wait(&mut limiter, 401, 100);
    assert_eq!(sent_request(&mut limiter, 401, 1).needs, [100]);
}

/// Guards against a refusal despite a short wait, and against a wait without a limit.
#[test]
fn a_request_waits_up_to_250_ms_for_the_rate() {
    let mut limiter = new_limiter();
    wait(&mut limiter, 0, 20);
    let first = sent_request(&mut limiter, 0, 1);
    limiter.receive(at(0), &shortage_response(&first, 200));
    assert_eq!(limiter.poll(at(199), |_| Some(fence(1))), []);
    assert_eq!(limiter.take_outcomes(), []);
    let second = sent_request(&mut limiter, 200, 1);
    limiter.receive(at(201), &shortage_response(&second, 40));
    limiter.poll(at(240), |_| Some(fence(1)));
    assert_eq!(limiter.take_outcomes(), []);
    let third = sent_request(&mut limiter, 241, 1);
    limiter.receive(at(242), &shortage_response(&third, 30));
    limiter.poll(at(250), |_| Some(fence(1)));
    assert!(matches!(
        limiter.take_outcomes()[..],
        [(_, ChargeOutcome::OverRate { .. })]
    ));
}

/// Guards against refusing requests too early that wait for tokens lost in a takeover, and against
/// queuing requests that can't be served before their deadline.
#[test]
fn a_request_waits_up_to_its_deadline_while_its_account_catches_up() {
    let mut limiter = new_limiter();
    let first = wait(&mut limiter, 0, 100);
    let request = sent_request(&mut limiter, 0, 1);
    let LedgerKind::GrantResponse(mut response) = shortage_response(&request, 9_000) else {
        unreachable!("a shortage is a grant response");
    };
    response.catch_up_ms = 60_000;
    limiter.receive(at(1), &LedgerKind::GrantResponse(response));
    // It is ready after 9.5 s, which is within the deadline of 10 s.
    wait(&mut limiter, 2, 50);
    let late = limiter.charge(at(3), &account(), 0, RATE, 100);
    let refused = matches!(late, ChargeStep::Done(ChargeOutcome::OverRate { .. }));
    assert!(refused, "{late:?}");
    limiter.poll(at(9_000), |_| Some(fence(1)));
    assert_eq!(limiter.take_outcomes(), []);
    limiter.poll(at(10_000), |_| Some(fence(1)));
    assert_eq!(limiter.take_outcomes()[0].0, first);
}

/// Guards against refusals while the partition has no owner for a short time.
#[test]
fn a_charge_waits_for_an_owner_up_to_the_admission_deadline() {
    let mut limiter = new_limiter();
    let ticket = wait(&mut limiter, 0, 10);
    assert_eq!(limiter.poll(at(9_999), |_| None), []);
    assert_eq!(limiter.take_outcomes(), []);
    assert_eq!(limiter.poll(at(10_000), |_| None), []);
    assert_eq!(
        limiter.take_outcomes(),
        [(ticket, ChargeOutcome::Unavailable)]
    );
}

/// Guards against a refusal for the rate while the request waits because there is no owner.
#[test]
fn an_old_shortage_does_not_end_the_wait_for_an_owner() {
    let mut limiter = new_limiter();
    wait(&mut limiter, 0, 20);
    let first = sent_request(&mut limiter, 0, 1);
    limiter.receive(at(0), &shortage_response(&first, 200));
    assert_eq!(limiter.poll(at(9_999), |_| None), []);
    assert_eq!(limiter.take_outcomes(), []);
    limiter.poll(at(10_000), |_| None);
    assert_eq!(limiter.take_outcomes()[0].1, ChargeOutcome::Unavailable);
    wait(&mut limiter, 20_000, 20);
    assert_eq!(limiter.poll(at(20_300), |_| Some(fence(1))).len(), 1);
    assert_eq!(limiter.take_outcomes(), []);
}

/// Guards against losing settlements at a planned shutdown: reports are batched for 50 ms, and a
/// charge must be confirmed before its settlement is sent.
#[test]
fn a_node_that_shuts_down_reports_and_returns_grants_immediately() {
    let mut limiter = new_limiter();
    wait(&mut limiter, 0, 100);
    let request = sent_request(&mut limiter, 0, 1);
    limiter.receive(at(1), &response(&request, 1, 150));
    let (_, outcome) = limiter.take_outcomes()[0];
    let ChargeOutcome::Admitted { charge } = outcome else {
        panic!("{outcome:?}");
    };
    limiter.start_shutdown();
    let sent = limiter.poll(at(2), |_| Some(fence(1)));
    let [(_, LedgerKind::Report(first))] = &sent[..] else {
        panic!("{sent:?}");
    };
    assert_eq!((first.charges.len(), first.returns.len()), (1, 1));
    limiter.settle(at(3), charge, 40);
    assert!(!limiter.all_reported());
    let reported = |report: &UsageReport, charged_at| {
        LedgerKind::ReportResponse(ReportResponse {
            seq: report.seq,
            fence: 1,
            charged_at,
            ..ReportResponse::default()
        })
    };
    limiter.receive(at(4), &reported(first, vec![1]));
    assert!(!limiter.all_reported());
    let sent = limiter.poll(at(4), |_| Some(fence(1)));
    let [(_, LedgerKind::Report(second))] = &sent[..] else {
        panic!("{sent:?}");
    };
    assert_eq!(second.settlements[0].refund, 60);
    limiter.receive(at(5), &reported(second, Vec::new()));
    assert!(limiter.all_reported());
}
