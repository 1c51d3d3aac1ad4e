//! The node's side: grants that it spends, and requests that wait for them.

use std::time::Duration;

use super::node_shares::{ChargeOutcome, ChargeStep, NodeShares};
use super::tests::{RATE, account, at, fence};
use super::wire::{GrantAnswer, GrantAsk, LedgerKind, ReportAnswer, ShareReport};
use crate::ids::BootId;

fn new_shares() -> NodeShares {
    NodeShares::new(BootId::from(1), Duration::from_secs(10))
}

fn wait(shares: &mut NodeShares, now: u64, need: u64) -> u64 {
    match shares.charge(at(now), &account(), 0, RATE, need) {
        ChargeStep::Waiting(ticket) => ticket,
        step @ ChargeStep::Done(_) => panic!("the charge was decided at once: {step:?}"),
    }
}

/// The one ask that a node sends at `now`.
fn sent_ask(shares: &mut NodeShares, now: u64, owner: u64) -> GrantAsk {
    let mut messages = shares.poll(at(now), |_| Some(fence(owner)));
    match messages.pop() {
        Some((_, LedgerKind::Ask(ask))) => ask,
        other => panic!("the node sent {other:?}"),
    }
}

fn answer(ask: &GrantAsk, owner: u64, granted: u64) -> LedgerKind {
    LedgerKind::Answer(GrantAnswer {
        account: ask.account.clone(),
        id: ask.id,
        fence: owner,
        granted,
        ..GrantAnswer::default()
    })
}

/// Guards against a grant of an owner whose lease has ended.
#[test]
fn an_answer_from_an_older_owner_is_ignored() {
    let mut shares = new_shares();
    wait(&mut shares, 0, 10);
    let first = sent_ask(&mut shares, 0, 3);
    let retry = sent_ask(&mut shares, 5, 4);
    assert_eq!((retry.id, retry.fence), (first.id, 4));
    shares.receive(at(10), &answer(&first, 3, 10));
    assert_eq!(shares.take_outcomes(), []);
    shares.receive(at(11), &answer(&retry, 4, 10));
    assert!(matches!(
        shares.take_outcomes()[..],
        [(_, ChargeOutcome::Admitted { .. })]
    ));
}

/// Guards against a node that spends a grant which the owner may count as spent already.
#[test]
fn a_grant_is_spent_for_2_s_from_the_sending_of_its_ask() {
    let mut shares = new_shares();
    wait(&mut shares, 0, 10);
    let first = sent_ask(&mut shares, 0, 1);
    shares.receive(at(1_990), &answer(&first, 1, 30));
    assert_eq!(shares.take_outcomes().len(), 1);
    let step = shares.charge(at(1_999), &account(), 0, RATE, 10);
    assert!(matches!(step, ChargeStep::Done(_)), "{step:?}");
    wait(&mut shares, 2_000, 10);
}

/// Guards against a late answer that is spent after the owner wrote it off.
#[test]
fn an_answer_later_than_2_s_admits_nobody() {
    let mut shares = new_shares();
    wait(&mut shares, 0, 10);
    let first = sent_ask(&mut shares, 0, 1);
    shares.receive(at(2_000), &answer(&first, 1, 10));
    assert_eq!(shares.take_outcomes(), []);
}

/// Guards against a later, smaller request that overtakes an earlier one.
#[test]
fn requests_of_an_account_are_served_in_their_order() {
    let mut shares = new_shares();
    let large = wait(&mut shares, 0, 100);
    let small = wait(&mut shares, 0, 1);
    let first = sent_ask(&mut shares, 0, 1);
    assert_eq!(first.needs, [100, 1]);
    shares.receive(at(1), &answer(&first, 1, 50));
    assert_eq!(shares.take_outcomes(), []);
    // The cached tokens would suffice for this one.
    let late = wait(&mut shares, 2, 1);
    let second = sent_ask(&mut shares, 2, 1);
    assert_eq!(second.needs, [50, 1, 1]);
    shares.receive(at(3), &answer(&second, 1, 52));
    let tickets: Vec<u64> = shares.take_outcomes().iter().map(|(t, _)| *t).collect();
    assert_eq!(tickets, [large, small, late]);
}

fn shortage(ask: &GrantAsk, wait_ms: u64) -> LedgerKind {
    LedgerKind::Answer(GrantAnswer {
        account: ask.account.clone(),
        id: ask.id,
        fence: 1,
        short_of: ask.needs[0],
        wait_ms,
        ..GrantAnswer::default()
    })
}

/// Guards against an account over its rate that costs a message for each request.
#[test]
fn a_refusal_is_cached_until_the_time_given() {
    let mut shares = new_shares();
    wait(&mut shares, 0, 100);
    let first = sent_ask(&mut shares, 0, 1);
    shares.receive(at(1), &shortage(&first, 400));
    shares.poll(at(1), |_| Some(fence(1)));
    let retry_after = Duration::from_millis(400);
    assert_eq!(
        shares.take_outcomes()[0].1,
        ChargeOutcome::OverRate { retry_after }
    );
    for now in 2..150 {
        let step = shares.charge(at(now), &account(), 0, RATE, 100);
        let refused = matches!(step, ChargeStep::Done(ChargeOutcome::OverRate { .. }));
        assert!(refused, "{now}: {step:?}");
        assert_eq!(shares.poll(at(now), |_| Some(fence(1))), []);
    }
    wait(&mut shares, 401, 100);
    assert_eq!(sent_ask(&mut shares, 401, 1).needs, [100]);
}

/// Guards against a short wait that is refused, and against a wait without an end.
#[test]
fn a_request_waits_up_to_250_ms_for_the_rate() {
    let mut shares = new_shares();
    wait(&mut shares, 0, 20);
    let first = sent_ask(&mut shares, 0, 1);
    shares.receive(at(0), &shortage(&first, 200));
    assert_eq!(shares.poll(at(199), |_| Some(fence(1))), []);
    assert_eq!(shares.take_outcomes(), []);
    let second = sent_ask(&mut shares, 200, 1);
    shares.receive(at(201), &shortage(&second, 40));
    shares.poll(at(240), |_| Some(fence(1)));
    assert_eq!(shares.take_outcomes(), []);
    let third = sent_ask(&mut shares, 241, 1);
    shares.receive(at(242), &shortage(&third, 30));
    shares.poll(at(250), |_| Some(fence(1)));
    assert!(matches!(
        shares.take_outcomes()[..],
        [(_, ChargeOutcome::OverRate { .. })]
    ));
}

/// Guards against a wait for tokens lost by a takeover that ends early, and against requests that
/// wait although they can't be served before their deadline.
#[test]
fn a_request_waits_up_to_its_deadline_while_its_account_catches_up() {
    let mut shares = new_shares();
    let first = wait(&mut shares, 0, 100);
    let asked = sent_ask(&mut shares, 0, 1);
    let LedgerKind::Answer(mut answer) = shortage(&asked, 9_000) else {
        unreachable!("a shortage is an answer");
    };
    answer.catch_up_ms = 60_000;
    shares.receive(at(1), &LedgerKind::Answer(answer));
    // Ready after 9.5 s: within the deadline of 10 s.
    wait(&mut shares, 2, 50);
    let late = shares.charge(at(3), &account(), 0, RATE, 100);
    let refused = matches!(late, ChargeStep::Done(ChargeOutcome::OverRate { .. }));
    assert!(refused, "{late:?}");
    shares.poll(at(9_000), |_| Some(fence(1)));
    assert_eq!(shares.take_outcomes(), []);
    shares.poll(at(10_000), |_| Some(fence(1)));
    assert_eq!(shares.take_outcomes()[0].0, first);
}

/// Guards against a refusal while the partition only changes its owner.
#[test]
fn a_charge_waits_for_an_owner_up_to_the_admission_deadline() {
    let mut shares = new_shares();
    let ticket = wait(&mut shares, 0, 10);
    assert_eq!(shares.poll(at(9_999), |_| None), []);
    assert_eq!(shares.take_outcomes(), []);
    assert_eq!(shares.poll(at(10_000), |_| None), []);
    assert_eq!(
        shares.take_outcomes(),
        [(ticket, ChargeOutcome::Unavailable)]
    );
}

/// Guards against a refusal for the rate, while the wait is due to a missing owner.
#[test]
fn an_old_shortage_does_not_end_the_wait_for_an_owner() {
    let mut shares = new_shares();
    wait(&mut shares, 0, 20);
    let first = sent_ask(&mut shares, 0, 1);
    shares.receive(at(0), &shortage(&first, 200));
    assert_eq!(shares.poll(at(9_999), |_| None), []);
    assert_eq!(shares.take_outcomes(), []);
    shares.poll(at(10_000), |_| None);
    assert_eq!(shares.take_outcomes()[0].1, ChargeOutcome::Unavailable);
    wait(&mut shares, 20_000, 20);
    assert_eq!(shares.poll(at(20_300), |_| Some(fence(1))).len(), 1);
    assert_eq!(shares.take_outcomes(), []);
}

/// Guards against settlements that a planned stop loses, since reports are gathered for 50 ms and
/// a charge must be known before its settlement is sent.
#[test]
fn a_stopping_node_reports_and_returns_at_once() {
    let mut shares = new_shares();
    wait(&mut shares, 0, 100);
    let asked = sent_ask(&mut shares, 0, 1);
    shares.receive(at(1), &answer(&asked, 1, 150));
    let (_, outcome) = shares.take_outcomes()[0];
    let ChargeOutcome::Admitted { charge } = outcome else {
        panic!("{outcome:?}");
    };
    shares.stop();
    let sent = shares.poll(at(2), |_| Some(fence(1)));
    let [(_, LedgerKind::Report(first))] = &sent[..] else {
        panic!("{sent:?}");
    };
    assert_eq!((first.charges.len(), first.returns.len()), (1, 1));
    shares.settle(at(3), charge, 40);
    assert!(!shares.is_reported());
    let reported = |report: &ShareReport, charged_at| {
        LedgerKind::Reported(ReportAnswer {
            seq: report.seq,
            fence: 1,
            charged_at,
            ..ReportAnswer::default()
        })
    };
    shares.receive(at(4), &reported(first, vec![1]));
    assert!(!shares.is_reported());
    let sent = shares.poll(at(4), |_| Some(fence(1)));
    let [(_, LedgerKind::Report(second))] = &sent[..] else {
        panic!("{sent:?}");
    };
    assert_eq!(second.settles[0].refund, 60);
    shares.receive(at(5), &reported(second, Vec::new()));
    assert!(shares.is_reported());
}
