use std::time::Duration;

use super::state::state_with_service;
use crate::collections::FastSet;
use crate::dispatch::choice::TargetChoice;
use crate::dispatch::choice_request::ChoiceRequest;
use crate::dispatch::cold_start::{AskNumber, PermitGrant, PermitSchedule, PermitTerms};
use crate::dispatch::directory::{HeldModel, TargetKey, TargetReport};
use crate::dispatch::ownership::TenureSpan;
use crate::dispatch::tests::{at, report};
use crate::entry::cold_reports::apply_statements;
use crate::entry::follow::ReaderRole;
use crate::entry::state::EntryState;
use crate::entry::targets::read_interval;
use crate::entry::wire::ColdTarget;
use crate::ids::TargetName;

fn choose(state: &EntryState, now: u64) -> TargetChoice {
    let service = "llm".parse().unwrap();
    let model = "m".parse().unwrap();
    let adapter = "m/a".parse().unwrap();
    let request = ChoiceRequest {
        service: &service,
        model: Some(&model),
        adapter: Some(&adapter),
        excluded: &[],
        stalled: &[],
        waited: Duration::ZERO,
        software: None,
    };
    state.choose(&request, at(now))
}

/// Guards against a load of an adapter on another target while the target that holds it is cold and
/// may take the request, and against requests to a cold target without a permit.
#[test]
fn request_waits_for_a_permit_for_the_cold_target_that_holds_its_adapter() {
    let mut state = state_with_service();
    let names: [TargetName; 2] = ["i-1", "i-2"].map(|name| name.parse().unwrap());
    let [holder, other] = [&names[0], &names[1]].map(TargetKey::new);
    let held = |adapters: &[&str]| HeldModel {
        model: "m".parse().unwrap(),
        adapters: adapters
            .iter()
            .map(|name| (name.parse().unwrap(), 1))
            .collect(),
    };
    let mut cold = report("z");
    cold.models = vec![held(&["m/a"])];
    cold.cold_remaining = Duration::from_secs(9);
    let mut empty = report("z");
    empty.models = vec![held(&[])];
    state.apply_target(&names[0], Some(cold), at(0));
    state.apply_target(&names[1], Some(empty), at(0));
    assert_eq!(choose(&state, 10), TargetChoice::WaitForPermit(holder));
    let ask = |state: &mut EntryState, number: u64, delays: Vec<Duration>, now| {
        let number = AskNumber::from(number);
        state.permits.add_waiting(holder);
        assert_eq!(state.permits.begin_ask(holder, number, at(now)), Some(1));
        state.permits.remove_waiting(holder);
        let retry_after = Duration::from_millis(200);
        let grant = PermitGrant {
            delays,
            retry_after,
        };
        assert!(state.permits.apply_answer(holder, number, &grant, at(now)));
    };
    ask(&mut state, 1, Vec::new(), 10);
    assert_eq!(choose(&state, 20), TargetChoice::Load(other));
    ask(&mut state, 2, vec![Duration::from_millis(50)], 210);
    assert_eq!(choose(&state, 220), TargetChoice::WaitForPermit(holder));
    let send = |choice| matches!(choice, TargetChoice::Send { target, .. } if target == holder);
    assert!(send(choose(&state, 260)));
    assert!(state.permits.take(holder, at(260)).is_some());
    assert_eq!(choose(&state, 260), TargetChoice::WaitForPermit(holder));
    assert!(send(choose(&state, 9_000)), "it is warm");
}

/// Guards against a cold time that a peer has learned of and that ends with a report from before.
#[test]
fn peers_statement_holds_against_older_reports() {
    let mut state = state_with_service();
    let name: TargetName = "i-1".parse().unwrap();
    let key = TargetKey::new(&name);
    let apply = |state: &mut EntryState, sequence, now| {
        let mut warm = report("z");
        warm.sequence = sequence;
        state.apply_target(&name, Some(warm), at(now));
        state.directory.get(key).unwrap().is_cold(at(now))
    };
    assert!(!apply(&mut state, 3, 0));
    let statement = |sequence, remaining_ms| ColdTarget {
        target: key.into(),
        started_ms: report("z").started_ms,
        sequence,
        remaining_ms,
    };
    let peer = "peer".parse().unwrap();
    let unknown = ColdTarget {
        target: 9,
        ..statement(5, 3_000)
    };
    apply_statements(&mut state, &peer, &[unknown, statement(5, 3_000)], at(100));
    assert!(apply(&mut state, 4, 200));
    // A later report of the same cold time ends it no earlier, nor does a statement that comes late.
    apply_statements(&mut state, &peer, &[statement(6, 100)], at(300));
    apply_statements(&mut state, &peer, &[statement(5, 9_000)], at(400));
    assert!(state.directory.get(key).unwrap().is_cold(at(3_099)));
    assert!(!state.directory.get(key).unwrap().is_cold(at(3_100)));
    assert!(!apply(&mut state, 7, 500));
}

/// Guards against the load of all VMs on the targets of a zone that is taken back, which have become
/// cold without traffic, while their reports are still on the way.
#[test]
fn targets_of_a_zone_that_is_taken_back_count_as_cold_at_first() {
    let mut state = state_with_service();
    let name: TargetName = "i-1".parse().unwrap();
    let key = TargetKey::new(&name);
    let mut holder = report("z");
    holder.models = vec![HeldModel {
        model: "m".parse().unwrap(),
        adapters: vec![("m/a".parse().unwrap(), 1)],
    }];
    let apply = |state: &mut EntryState, sequence, now| {
        let sequenced = TargetReport {
            sequence,
            ..holder.clone()
        };
        state.apply_target(&name, Some(sequenced), at(now));
    };
    apply(&mut state, 1, 0);
    let sends = |state: &EntryState, now| matches!(choose(state, now), TargetChoice::Send { .. });
    assert!(sends(&state, 100));
    let zones = FastSet::from_iter(["z".parse().unwrap()]);
    state.set_evacuated_zones(zones, at(1_000));
    assert_eq!(choose(&state, 1_000), TargetChoice::Unavailable);
    state.set_evacuated_zones(FastSet::default(), at(9_000));
    let drain_time = state.settings.bounds.drain_time.as_millis() as u64;
    for passed in [0, 500, drain_time - 1] {
        // This report may be from before the target became cold.
        apply(&mut state, 2, 9_000 + passed);
        let choice = choose(&state, 9_000 + passed);
        assert_eq!(choice, TargetChoice::WaitForPermit(key), "{passed} ms");
    }
    assert!(sends(&state, 9_000 + drain_time));
}

/// Guards against a target that turns cold under full load and gets it for up to 0.8 s, because a few
/// VMs read the store as rarely as each VM of a large fleet, and against calls that this adds to the
/// store's.
#[test]
fn few_vms_read_the_store_often_and_many_no_more_often_than_before() {
    let longest = read_interval(ReaderRole::Reader, 195);
    let calls_per_s = |members: usize| {
        let interval = read_interval(ReaderRole::Standalone, members);
        members as f64 / interval.as_secs_f64()
    };
    for members in 1..=12 {
        let interval = read_interval(ReaderRole::Standalone, members);
        // The first of the VMs reads within this time on average.
        let to_first = interval / members as u32;
        assert!(
            to_first <= Duration::from_millis(134),
            "{members}: {to_first:?}"
        );
        assert!(interval <= longest);
        let most = calls_per_s(6).max(members as f64 / longest.as_secs_f64());
        assert!(calls_per_s(members) <= most, "{members}");
    }
}

/// Guards against a record of a restarted target that replaces what a later report has stated, and
/// ends the second in which other VMs may have sent to it without permits.
#[test]
fn record_of_a_restarted_target_keeps_a_newer_cold_statement() {
    let mut state = state_with_service();
    let name: TargetName = "i-1".parse().unwrap();
    let key = TargetKey::new(&name);
    state.apply_target(&name, Some(report("z")), at(0));
    let statement = ColdTarget {
        target: key.into(),
        started_ms: report("z").started_ms + 1,
        sequence: 5,
        remaining_ms: 3_000,
    };
    let peer = "peer".parse().unwrap();
    apply_statements(&mut state, &peer, &[statement], at(100));
    let mut restarted = report("z");
    restarted.started_ms += 1;
    restarted.sequence = 1;
    restarted.cold_remaining = Duration::from_millis(500);
    state.apply_target(&name, Some(restarted), at(200));
    assert!(state.directory.get(key).unwrap().is_cold(at(3_099)));
}

/// Guards against permits for a restarted target in the second in which the VMs that took it for the
/// warm process before may have sent to it.
#[test]
fn restarted_target_gets_no_permit_for_a_second() {
    let mut state = state_with_service();
    let name: TargetName = "i-1".parse().unwrap();
    let key = TargetKey::new(&name);
    state.apply_target(&name, Some(report("z")), at(0));
    let mut restarted = report("z");
    restarted.started_ms += 1;
    restarted.cold_remaining = Duration::from_secs(3);
    state.apply_target(&name, Some(restarted), at(10_000));
    let terms = PermitTerms {
        rate: 8.0,
        tenure: TenureSpan {
            from: at(1),
            until: at(60_000),
        },
        period: state.directory.get(key).unwrap().cold_period(at(10_000)),
        draw: 0.5,
    };
    let grant = PermitSchedule::default().grant(8, terms, at(10_000));
    assert_eq!(grant.delays, Vec::new());
}

/// Guards against permits for a target that is added again under the name of a warm one that was removed,
/// in the second in which VMs that have not read the removal may have sent to it.
#[test]
fn target_that_is_added_again_gets_no_permit_for_a_second() {
    let mut state = state_with_service();
    let name: TargetName = "i-1".parse().unwrap();
    let key = TargetKey::new(&name);
    state.apply_target(&name, Some(report("z")), at(0));
    state.apply_target(&name, None, at(9_900));
    let mut again = report("z");
    again.started_ms += 1;
    again.cold_remaining = Duration::from_secs(3);
    state.apply_target(&name, Some(again), at(10_000));
    let terms = PermitTerms {
        rate: 8.0,
        tenure: TenureSpan {
            from: at(1),
            until: at(60_000),
        },
        period: state.directory.get(key).unwrap().cold_period(at(10_000)),
        draw: 0.5,
    };
    let grant = |now| PermitSchedule::default().grant(1, terms, at(now)).delays;
    assert_eq!(grant(10_000), []);
    assert_eq!(grant(10_600), [Duration::from_millis(400)]);
}
