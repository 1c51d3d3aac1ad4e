use std::net::SocketAddr;

use super::{at, ms};
use crate::clock::Timestamp;
use crate::dispatch::directory::TargetKey;
use crate::dispatch::service_reach::ServiceReach;

/// The targets of the service.
const TARGETS: usize = 12;

fn peer_address() -> SocketAddr {
    "10.0.0.2:7600".parse().unwrap()
}

fn fail_targets(reach: &mut ServiceReach, targets: usize, tried_at: Timestamp) {
    for index in 0..targets {
        let name = format!("i-{index}").parse().unwrap();
        reach.record_failure(TargetKey::new(&name), tried_at);
    }
}

fn record_peer(reach: &mut ServiceReach, age_ms: u64, now: Timestamp) {
    let peer = "vm-2".parse().unwrap();
    reach.record_peer(peer, peer_address(), ms(age_ms), now);
}

/// Guards against taking a target that is silent for a moment, or has crashed, for a cut of this VM's
/// links, also if a peer has heard another target of its service since.
#[yare::parameterized(one = {1}, two = {2})]
fn few_silent_targets_are_no_cut(failed: usize) {
    let mut reach = ServiceReach::default();
    fail_targets(&mut reach, failed, at(1_000));
    record_peer(&mut reach, 10, at(1_400));
    assert!(reach.ways(TARGETS, at(1_400)).is_empty());
}

/// Guards against taking a service that has crashed for all VMs for a cut: a peer has heard it, but not
/// since this VM could not reach it.
#[test]
fn service_that_no_peer_reaches_is_no_cut() {
    let mut reach = ServiceReach::default();
    fail_targets(&mut reach, TARGETS, at(1_000));
    assert!(reach.ways(TARGETS, at(1_400)).is_empty());
    record_peer(&mut reach, 500, at(1_400));
    assert!(reach.ways(TARGETS, at(1_400)).is_empty());
}

/// Guards against a VM that goes on by itself while its peers reach all targets.
#[yare::parameterized(many = {TARGETS, 3}, few = {2, 2}, single = {1, 1})]
fn service_that_only_peers_reach_is_cut_off(targets: usize, failed: usize) {
    let mut reach = ServiceReach::default();
    fail_targets(&mut reach, failed, at(1_000));
    record_peer(&mut reach, 100, at(1_400));
    assert_eq!(reach.ways(targets, at(1_400)), [peer_address()]);
}

/// Guards against answers on connections from before a cut that hide it: new ones are refused.
#[test]
fn answers_on_old_connections_do_not_end_a_cut() {
    let mut reach = ServiceReach::default();
    fail_targets(&mut reach, 3, at(1_000));
    record_peer(&mut reach, 100, at(1_400));
    reach.record_answer(at(1_400));
    assert_eq!(reach.ways(TARGETS, at(1_400)), [peer_address()]);
    reach.record_connected(at(1_400));
    assert!(reach.ways(TARGETS, at(1_400)).is_empty());
}

/// Guards against forwarding to a peer that may have lost its way, or ended, since it stated one.
#[test]
fn old_statement_of_a_peer_is_not_used() {
    let mut reach = ServiceReach::default();
    fail_targets(&mut reach, 3, at(1_000));
    record_peer(&mut reach, 100, at(1_400));
    assert!(reach.ways(TARGETS, at(2_500)).is_empty());
}
