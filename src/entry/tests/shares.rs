//! Shares of limits over all VMs, of a VM that no longer hears the others.

use std::net::SocketAddr;
use std::time::Duration;

use super::state::state_with_service;
use crate::clock::Timestamp;
use crate::dispatch::choice::TargetChoice;
use crate::dispatch::choice_request::ChoiceRequest;
use crate::dispatch::directory::{HeldModel, TargetKey};
use crate::dispatch::tests::{at, report};
use crate::entry::state::EntryState;
use crate::ids::{NodeName, TargetName};

const PEERS: u16 = 5;
/// Later than the time after which silent peers are removed.
const CUT_OFF_MS: u64 = 20_000;

/// A VM that found its peers in the store, heard them once if `is_heard`, and then nothing until
/// `now`.
fn cut_off_state(is_heard: bool, now: Timestamp) -> EntryState {
    let mut state = state_with_service();
    for index in 1..=PEERS {
        let node: NodeName = format!("vm-{index}").parse().unwrap();
        let address = SocketAddr::from(([10, 0, 0, 1], index));
        state.add_registered_peer(&node, address, None, at(0));
        if is_heard {
            state.record_contact(&node, address, at(1));
        }
    }
    state.expire_peers(now);
    assert_eq!(state.peers.member_count(), 1);
    state
}

/// Guards against VMs that don't hear each other and each take the whole slack of a retry budget.
#[test]
fn retry_slack_stays_shared_by_vms_that_are_out_of_touch() {
    let now = at(CUT_OFF_MS);
    let mut state = cut_off_state(false, now);
    let service = "llm".parse().unwrap();
    let retries = (0..1000).filter(|_| state.take_retry(&service, now));
    let all = retries.count() * usize::from(PEERS + 1);
    let slack = state.settings.bounds.retry_slack;
    assert!(all as f64 <= slack, "{all} of {slack}");
}

/// Guards against VMs that don't hear each other and together open more connections to a target
/// than it accepts.
#[test]
fn connections_stay_shared_by_vms_that_are_out_of_touch() {
    let now = at(CUT_OFF_MS);
    let mut state = cut_off_state(true, now);
    let name: TargetName = "i-1".parse().unwrap();
    let target = TargetKey::new(&name);
    let mut held = report("z");
    held.models = vec![HeldModel {
        model: "m".parse().unwrap(),
        adapters: Vec::new(),
    }];
    state.apply_target(&name, Some(held), now);
    let (service, model) = ("llm".parse().unwrap(), "m".parse().unwrap());
    let request = ChoiceRequest {
        service: &service,
        model: Some(&model),
        adapter: None,
        excluded: &[],
        stalled: &[],
        waited: Duration::ZERO,
        software: None,
    };
    let mut sent = 0;
    while let TargetChoice::Send { .. } = state.choose(&request, now) {
        sent += 1;
        *state.own_loads.entry(target).or_default() += 1;
        assert!(sent < 100);
    }
    let max_connections = 10;
    let all = sent * (PEERS + 1);
    assert!((1..=max_connections).contains(&all), "{all}");
}

/// Guards against shares that stay small because of VMs that were replaced long ago, of which the store
/// keeps the records, and against shares that grow while a partition lasts.
#[yare::parameterized(
    registered = { false, 120, true },
    silent_for_minutes = { true, 1800, false },
    silent_for_hours = { true, 7200, true },
)]
fn vm_that_is_gone_loses_its_share_in_time(is_heard: bool, elapsed_s: u64, is_lost: bool) {
    let now = at(elapsed_s * 1000);
    let mut state = cut_off_state(is_heard, now);
    let service = "llm".parse().unwrap();
    let retries = (0..1000).filter(|_| state.take_retry(&service, now));
    assert_eq!(retries.count() > 30, is_lost);
}
