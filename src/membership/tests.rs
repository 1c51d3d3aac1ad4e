use std::time::Duration;

use super::table::{ConfirmedTail, FRESHNESS_LIMIT, LocalNode, PeerTable};
use super::wire::{Heartbeat, HeartbeatAnswer};
use crate::clock::Timestamp;
use crate::ids::{BootId, LogOffset};
use crate::platform_client::{VmEntry, VmState};

const CLAIM_AGE: Duration = Duration::from_secs(30);
/// The uptime of the local node at time 0 of the tests, in milliseconds.
const UPTIME_AT_ZERO_MS: u64 = 100_000;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(UPTIME_AT_ZERO_MS + millis)
}

fn vm(name: &str) -> VmEntry {
    VmEntry {
        name: name.parse().unwrap(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".parse().unwrap(),
        state: VmState::Live,
    }
}

/// The peer table of node "a", which started `uptime` ms before time 0, with the peers "b" and "c".
fn table_with_uptime(uptime: u64) -> PeerTable {
    let local = LocalNode {
        node: "a".parse().unwrap(),
        boot: BootId::from(1),
        address: None,
        started: Timestamp::from_millis(UPTIME_AT_ZERO_MS - uptime),
        leaving: false,
        applied: LogOffset::from(7),
    };
    let mut table = PeerTable::new(local, CLAIM_AGE);
    table.set_vm_list(["a", "b", "c"].map(vm).to_vec(), at(0));
    table
}

fn table() -> PeerTable {
    table_with_uptime(UPTIME_AT_ZERO_MS)
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

fn answer(peer: Heartbeat, promises_no_claim: bool) -> HeartbeatAnswer {
    HeartbeatAnswer {
        sender: Some(peer),
        promises_no_claim,
        boot_unknown: false,
    }
}

fn relayed(offset: u64, tail_age_ms: u64) -> HeartbeatAnswer {
    let tail = Some(offset);
    let sender = Heartbeat {
        tail,
        tail_age_ms,
        ..peer("b")
    };
    answer(sender, false)
}

fn is_fresh(table: &PeerTable, millis: u64) -> bool {
    table.is_fresh(at(millis), FRESHNESS_LIMIT)
}

/// Guards against a node that accepts API keys although its configuration may be out of date.
#[test]
fn a_node_is_fresh_for_3_s_after_a_confirmed_tail() {
    let mut table = table();
    assert!(!is_fresh(&table, 0));
    let offset = LogOffset::from(7);
    table.record_tail(ConfirmedTail {
        offset,
        confirmed_at: at(100),
    });
    assert!(is_fresh(&table, 3100));
    assert!(!is_fresh(&table, 3101));
}

/// Guards against a relayed tail that is taken for newer than it is: its age counts from when the
/// heartbeat was sent and includes the age that the peer reports.
#[test]
fn the_age_of_a_relayed_tail_includes_its_age_at_the_peer() {
    let mut table = table();
    table.apply_answer(at(1000), at(1300), &relayed(7, 600));
    assert!(is_fresh(&table, 3400));
    assert!(!is_fresh(&table, 3401));
}

/// Guards against use of a tail from a message that may have been delayed for any time.
#[test]
fn a_tail_in_a_received_heartbeat_is_ignored() {
    let mut table = table();
    let request = relayed(7, 0).sender.unwrap();
    table.answer_heartbeat(at(1000), &request);
    assert!(!is_fresh(&table, 1000));
}

/// Guards against a node that accepts API keys although it has not applied records that are known
/// to exist.
#[test]
fn a_node_behind_the_tail_is_not_fresh() {
    let mut table = table();
    table.apply_answer(at(1000), at(1010), &relayed(8, 0));
    assert!(!is_fresh(&table, 1010));
    table.record_applied(LogOffset::from(8));
    assert!(is_fresh(&table, 4000));
    assert!(!is_fresh(&table, 4001));
}

/// Guards against refused requests in the short time between the append of a record and its
/// application.
#[test]
fn an_unapplied_newer_tail_does_not_end_freshness() {
    let mut table = table();
    let offset = LogOffset::from(7);
    table.record_tail(ConfirmedTail {
        offset,
        confirmed_at: at(0),
    });
    table.apply_answer(at(1000), at(1010), &relayed(8, 0));
    assert!(is_fresh(&table, 3000));
    assert!(!is_fresh(&table, 3001));
}

/// The table of a node whose tail was confirmed at 0 and which receives answers from "b" and "c"
/// every 500 ms from 2000 on.
fn table_after_log_outage(answers: impl Fn(&str, u64) -> HeartbeatAnswer) -> PeerTable {
    let mut table = table();
    let offset = LogOffset::from(7);
    table.record_tail(ConfirmedTail {
        offset,
        confirmed_at: at(0),
    });
    for millis in (2000..10_000).step_by(500) {
        for name in ["b", "c"] {
            table.apply_answer(at(millis), at(millis + 10), &answers(name, millis));
        }
    }
    table
}

/// Guards against refused requests while no node can reach the log, and against freshness that
/// outlasts the promises.
#[test]
fn promises_of_all_peers_keep_a_node_fresh_during_a_log_outage() {
    let table = table_after_log_outage(|name, _| answer(peer(name), true));
    assert!(is_fresh(&table, 10_000));
    assert!(!is_fresh(&table, 12_250));
}

/// Guards against a node that stays fresh although a peer can reach the log and append to it.
#[test]
fn a_peer_without_a_promise_ends_freshness() {
    let table = table_after_log_outage(|name, _| answer(peer(name), name == "b"));
    assert!(!is_fresh(&table, 10_000));
}

/// Guards against a gap between promises, in which a peer may have appended a record.
#[test]
fn promises_after_a_gap_do_not_count() {
    let table = table_after_log_outage(|name, millis| {
        answer(peer(name), name == "b" || !(4000..7500).contains(&millis))
    });
    assert!(!is_fresh(&table, 10_000));
}

/// Guards against a node that lacks a record which a peer received before the outage.
#[test]
fn a_peer_with_more_applied_records_ends_freshness() {
    let with_more_records = |name: &str| Heartbeat {
        applied: 8,
        ..peer(name)
    };
    let table = table_after_log_outage(|name, _| answer(with_more_records(name), true));
    assert!(!is_fresh(&table, 10_000));
}

/// Guards against nodes that serve an old configuration during an outage of the log after the only
/// node with a newer one restarted. The fault matrix found it with a planned stop during an outage.
#[test]
fn records_applied_before_a_peers_restart_still_count() {
    let table = table_after_log_outage(|name, millis| {
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

/// Guards against a restart of a peer that hides a claim which its previous process appended.
#[test]
fn a_restart_of_an_old_peer_ends_its_promise_period() {
    let restarted = |name: &str, millis: u64| Heartbeat {
        boot: if millis < 5000 { 2 } else { 3 },
        ..peer(name)
    };
    let table = table_after_log_outage(|name, millis| answer(restarted(name, millis), true));
    assert!(!is_fresh(&table, 10_000));
}

/// Guards against a promise by a node that can reach the log or whose claim may still be appended.
#[test]
fn a_node_promises_only_without_a_log_and_without_a_pending_claim() {
    let mut table = table();
    table.record_log_read(at(0), at(100));
    assert!(
        !table
            .answer_heartbeat(at(1500), &peer("b"))
            .promises_no_claim
    );
    assert!(!table.is_bound_by_promise(at(1500)));
    table.record_pending_claim(at(2500));
    assert!(
        !table
            .answer_heartbeat(at(2499), &peer("b"))
            .promises_no_claim
    );
    assert!(
        table
            .answer_heartbeat(at(2500), &peer("b"))
            .promises_no_claim
    );
    assert!(table.is_bound_by_promise(at(5499)));
    assert!(!table.is_bound_by_promise(at(5500)));
}

/// Guards against a claim by a node that the lease holder does not know yet.
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
    table.apply_answer(at(0), at(0), &answer(with_uptime("b", 500), false));
    assert!(!table.may_claim_expired(at(0)));
    table.apply_answer(at(0), at(0), &answer(with_uptime("c", 500), false));
    assert!(table.may_claim_expired(at(0)));
    table.apply_answer(at(0), at(0), &answer(with_uptime("c", 90_000), false));
    assert!(!table.may_claim_expired(at(0)));
}
