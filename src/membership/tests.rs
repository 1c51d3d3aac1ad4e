use std::time::Duration;

use super::table::{ConfirmedTail, FRESHNESS_LIMIT, OwnNode, PeerTable};
use super::wire::{Heartbeat, HeartbeatAnswer};
use crate::clock::Timestamp;
use crate::ids::{BootId, LogOffset};
use crate::log_service::{VmEntry, VmState};

const CLAIM_AGE: Duration = Duration::from_secs(30);
/// How long the table's own node has run at its time 0.
const START: u64 = 100_000;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(START + millis)
}

fn vm(name: &str) -> VmEntry {
    VmEntry {
        name: name.parse().unwrap(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".parse().unwrap(),
        state: VmState::Live,
    }
}

/// The table of node "a", which started `uptime` ms before its time 0; others are "b" and "c".
fn table_with_uptime(uptime: u64) -> PeerTable {
    let own = OwnNode {
        node: "a".parse().unwrap(),
        boot: BootId::from(1),
        address: None,
        started: Timestamp::from_millis(START - uptime),
        leaving: false,
        applied: LogOffset::from(7),
    };
    let mut table = PeerTable::new(own, CLAIM_AGE);
    table.set_list(["a", "b", "c"].map(vm).to_vec(), at(0));
    table
}

fn table() -> PeerTable {
    table_with_uptime(START)
}

fn peer(name: &str) -> Heartbeat {
    Heartbeat {
        node: name.to_owned(),
        boot: 2,
        uptime_ms: 1_000_000,
        applied: 7,
        ..Heartbeat::default()
    }
}

fn answer(peer: Heartbeat, promises: bool) -> HeartbeatAnswer {
    HeartbeatAnswer {
        own: Some(peer),
        promises,
        unknown: false,
    }
}

fn relayed(offset: u64, tail_age_ms: u64) -> HeartbeatAnswer {
    let tail = Some(offset);
    let own = Heartbeat {
        tail,
        tail_age_ms,
        ..peer("b")
    };
    answer(own, false)
}

fn is_fresh(table: &PeerTable, millis: u64) -> bool {
    table.is_fresh(at(millis), FRESHNESS_LIMIT)
}

/// Guards against a node that serves keys although its copy of them is old.
#[test]
fn a_confirmed_tail_is_fresh_for_3_s() {
    let mut table = table();
    assert!(!is_fresh(&table, 0));
    let offset = LogOffset::from(7);
    table.note_tail(ConfirmedTail {
        offset,
        at: at(100),
    });
    assert!(is_fresh(&table, 3100));
    assert!(!is_fresh(&table, 3101));
}

/// Guards against a relayed tail that counts as younger than it is.
#[test]
fn a_relayed_tail_counts_from_the_send_less_the_peers_own_age() {
    let mut table = table();
    table.accept_answer(at(1000), at(1300), &relayed(7, 600));
    assert!(is_fresh(&table, 3400));
    assert!(!is_fresh(&table, 3401));
}

/// Guards against a tail in a message that was on its way for an unknown time.
#[test]
fn a_peers_own_heartbeat_relays_no_tail() {
    let mut table = table();
    let ask = relayed(7, 0).own.unwrap();
    table.answer(at(1000), &ask);
    assert!(!is_fresh(&table, 1000));
}

/// Guards against a node that serves keys although it lacks records that are known to exist.
#[test]
fn a_node_behind_the_tail_is_not_fresh() {
    let mut table = table();
    table.accept_answer(at(1000), at(1010), &relayed(8, 0));
    assert!(!is_fresh(&table, 1010));
    table.note_applied(LogOffset::from(8));
    assert!(is_fresh(&table, 4000));
    assert!(!is_fresh(&table, 4001));
}

/// Guards against refusals in the short time between a change and its application.
#[test]
fn a_newer_tail_ends_no_freshness_that_an_older_one_gives() {
    let mut table = table();
    let offset = LogOffset::from(7);
    table.note_tail(ConfirmedTail { offset, at: at(0) });
    table.accept_answer(at(1000), at(1010), &relayed(8, 0));
    assert!(is_fresh(&table, 3000));
    assert!(!is_fresh(&table, 3001));
}

/// A node whose tail was confirmed at 0, while "b" and "c" answer each 500 ms from 2000 on.
fn in_outage(answers: impl Fn(&str, u64) -> HeartbeatAnswer) -> PeerTable {
    let mut table = table();
    let offset = LogOffset::from(7);
    table.note_tail(ConfirmedTail { offset, at: at(0) });
    for millis in (2000..10_000).step_by(500) {
        for name in ["b", "c"] {
            table.accept_answer(at(millis), at(millis + 10), &answers(name, millis));
        }
    }
    table
}

/// Guards against refusals while the log is down for all, and against freshness that outlasts
/// the promises.
#[test]
fn the_promises_of_all_keep_a_node_fresh_during_an_outage() {
    let table = in_outage(|name, _| answer(peer(name), true));
    assert!(is_fresh(&table, 10_000));
    assert!(!is_fresh(&table, 12_250));
}

/// Guards against a node that stays fresh although a peer reaches the log.
#[test]
fn a_peer_that_does_not_promise_ends_the_freshness() {
    let table = in_outage(|name, _| answer(peer(name), name == "b"));
    assert!(!is_fresh(&table, 10_000));
}

/// Guards against a break in which a record may have been appended unseen.
#[test]
fn promises_after_a_break_do_not_count() {
    let table = in_outage(|name, millis| {
        answer(peer(name), name == "b" || !(4000..7500).contains(&millis))
    });
    assert!(!is_fresh(&table, 10_000));
}

/// Guards against a node that misses a record which a peer still got before the outage.
#[test]
fn a_peer_that_applied_more_ends_the_freshness() {
    let ahead = |name: &str| Heartbeat {
        applied: 8,
        ..peer(name)
    };
    let table = in_outage(|name, _| answer(ahead(name), true));
    assert!(!is_fresh(&table, 10_000));
}

/// Guards against a configuration that only a restarted peer had applied, so that the others serve
/// without it during an outage. Found by the fault matrix: a planned stop while the log was down.
#[test]
fn a_restarted_peer_that_had_applied_more_ends_the_freshness() {
    let table = in_outage(|name, millis| {
        let mut peer = peer(name);
        if name == "b" && millis < 4_000 {
            peer.applied = 8;
        } else if name == "b" {
            peer.boot = 3;
            peer.uptime_ms = 100;
            peer.applied = 0;
        }
        answer(peer, true)
    });
    assert!(!is_fresh(&table, 10_000));
}

/// Guards against a peer's restart that hides a claim of its last process.
#[test]
fn a_restarted_old_peer_breaks_the_chain_of_promises() {
    let restarted = |name: &str, millis: u64| Heartbeat {
        boot: if millis < 5000 { 2 } else { 3 },
        ..peer(name)
    };
    let table = in_outage(|name, millis| answer(restarted(name, millis), true));
    assert!(!is_fresh(&table, 10_000));
}

/// Guards against a promise by a node that can append, or whose claim is still on its way.
#[test]
fn a_node_promises_only_without_log_and_open_claim() {
    let mut table = table();
    table.note_log_read(at(0), at(100));
    assert!(!table.answer(at(1500), &peer("b")).promises);
    assert!(!table.is_bound(at(1500)));
    table.note_claim(at(2500));
    assert!(!table.answer(at(2499), &peer("b")).promises);
    assert!(table.answer(at(2500), &peer("b")).promises);
    assert!(table.is_bound(at(5499)));
    assert!(!table.is_bound(at(5500)));
}

/// Guards against a claim by a node that a holder does not know of yet.
#[test]
fn a_young_node_claims_expired_leases_only_if_all_others_are_younger() {
    let age = CLAIM_AGE.as_millis() as u64;
    assert!(table_with_uptime(age).may_claim_expired(at(0)));
    let mut table = table_with_uptime(age - 1);
    assert!(!table.may_claim_expired(at(0)));
    let with_uptime = |name: &str, uptime_ms| Heartbeat {
        uptime_ms,
        ..peer(name)
    };
    table.accept_answer(at(0), at(0), &answer(with_uptime("b", 500), false));
    assert!(!table.may_claim_expired(at(0)));
    table.accept_answer(at(0), at(0), &answer(with_uptime("c", 500), false));
    assert!(table.may_claim_expired(at(0)));
    table.accept_answer(at(0), at(0), &answer(with_uptime("c", 90_000), false));
    assert!(!table.may_claim_expired(at(0)));
}
