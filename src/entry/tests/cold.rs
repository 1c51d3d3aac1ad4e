use std::time::Duration;

use super::state::state_with_service;
use crate::dispatch::choice::{ChoiceRequest, TargetChoice};
use crate::dispatch::cold_start::{AskNumber, PermitGrant};
use crate::dispatch::directory::{HeldModel, TargetKey};
use crate::dispatch::tests::{at, report};
use crate::entry::state::EntryState;
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
