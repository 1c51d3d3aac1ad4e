//! Tests for targets that report a generation as not loaded.

use super::event::{PoolAction, PoolEvent, ReleaseOutcome, TargetReport};
use super::tests::{at, coordinator, key, pinned_to, report, request, spec};

const ADMISSION_START_MS: u64 = 121_000;
/// The name of the generation that `report` lists for a probe sent at 1 ms.
const GENERATION_NAME: &str = "x@1#1-1ms";

fn acquire(serial: u64) -> PoolEvent {
    PoolEvent::Acquire(request(serial, "acme", "x@1", at(ADMISSION_START_MS)))
}

fn unloads(actions: &[PoolAction]) -> usize {
    let is_unload = |action: &&PoolAction| matches!(action, PoolAction::Unload { .. });
    actions.iter().filter(is_unload).count()
}

/// Guards against further requests to a target that has restarted without adapters, in the time
/// until the next probe.
#[test]
fn a_generation_reported_as_not_loaded_gets_no_further_pin() {
    let mut coordinator = coordinator(&[("a", spec("z1", true))], &[("a", false, &["x@1"])]);
    let actions = coordinator.handle(at(ADMISSION_START_MS), acquire(1));
    assert_eq!(pinned_to(&actions, 1).as_deref(), Some("a"));
    let outcome = ReleaseOutcome::NotLoaded;
    coordinator.handle(
        at(ADMISSION_START_MS + 1),
        PoolEvent::Release {
            key: key(1),
            outcome,
        },
    );
    let actions = coordinator.handle(at(ADMISSION_START_MS + 1), acquire(2));
    assert_eq!(pinned_to(&actions, 2), None);
    let generation = GENERATION_NAME.to_owned();
    let gone = PoolEvent::UnloadEnded {
        generation,
        gone: true,
    };
    let actions = coordinator.handle(at(ADMISSION_START_MS + 2), gone);
    let load = actions.iter().find_map(|action| match action {
        PoolAction::Load { adapter, .. } => Some(adapter.to_string()),
        _ => None,
    });
    assert_eq!(load.as_deref(), Some("x@1"), "{actions:?}");
}

/// Guards against an unload during a running request if a target wrongly reports the generation as
/// not loaded.
#[test]
fn a_generation_reported_as_not_loaded_is_drained_before_its_unload() {
    let mut coordinator = coordinator(&[("a", spec("z1", true))], &[("a", false, &["x@1"])]);
    coordinator.handle(at(ADMISSION_START_MS), acquire(1));
    coordinator.handle(at(ADMISSION_START_MS), acquire(2));
    let outcome = ReleaseOutcome::NotLoaded;
    let not_loaded = PoolEvent::Release {
        key: key(1),
        outcome,
    };
    assert_eq!(
        unloads(&coordinator.handle(at(ADMISSION_START_MS + 1), not_loaded)),
        0
    );
    let listed = |asked_at| PoolEvent::Probed {
        target: "a".parse().unwrap(),
        report: Some(TargetReport {
            asked_at: at(asked_at),
            ..report(at(1), false, &["x@1"])
        }),
    };
    let actions = coordinator.handle(at(ADMISSION_START_MS + 3), listed(ADMISSION_START_MS + 2));
    assert_eq!(unloads(&actions), 0);
    let outcome = ReleaseOutcome::Cancelled;
    let ended = PoolEvent::Release {
        key: key(2),
        outcome,
    };
    coordinator.handle(at(ADMISSION_START_MS + 4), ended);
    let actions = coordinator.handle(at(ADMISSION_START_MS + 6), listed(ADMISSION_START_MS + 5));
    assert_eq!(unloads(&actions), 1);
}
