//! Generations that a target denies having.

use super::event::{PoolAction, PoolEvent, ReleaseOutcome, TargetReport};
use super::tests::{at, coordinator, key, pinned_to, report, request, spec};

const ADMITTED: u64 = 121_000;
/// The generation that `report` lists as of the first millisecond.
const NAME: &str = "x@1#1-1ms";

fn acquire(serial: u64) -> PoolEvent {
    PoolEvent::Acquire(request(serial, "acme", "x@1", at(ADMITTED)))
}

fn unloads(actions: &[PoolAction]) -> usize {
    let is_unload = |action: &&PoolAction| matches!(action, PoolAction::Unload { .. });
    actions.iter().filter(is_unload).count()
}

/// Guards against requests that follow each other to a target that restarted empty, until the
/// next probe notices.
#[test]
fn a_denied_generation_gets_no_further_pin() {
    let mut coordinator = coordinator(&[("a", spec("z1", true))], &[("a", false, &["x@1"])]);
    let actions = coordinator.handle(at(ADMITTED), acquire(1));
    assert_eq!(pinned_to(&actions, 1).as_deref(), Some("a"));
    let outcome = ReleaseOutcome::NotLoaded;
    coordinator.handle(
        at(ADMITTED + 1),
        PoolEvent::Release {
            key: key(1),
            outcome,
        },
    );
    let actions = coordinator.handle(at(ADMITTED + 1), acquire(2));
    assert_eq!(pinned_to(&actions, 2), None);
    let generation = NAME.to_owned();
    let gone = PoolEvent::UnloadEnded {
        generation,
        gone: true,
    };
    let actions = coordinator.handle(at(ADMITTED + 2), gone);
    let load = actions.iter().find_map(|action| match action {
        PoolAction::Load { adapter, .. } => Some(adapter.to_string()),
        _ => None,
    });
    assert_eq!(load.as_deref(), Some("x@1"), "{actions:?}");
}

/// Guards against an unload under a running request when a target denies a generation wrongly.
#[test]
fn a_denied_generation_is_not_unloaded_while_it_serves() {
    let mut coordinator = coordinator(&[("a", spec("z1", true))], &[("a", false, &["x@1"])]);
    coordinator.handle(at(ADMITTED), acquire(1));
    coordinator.handle(at(ADMITTED), acquire(2));
    let outcome = ReleaseOutcome::NotLoaded;
    let denied = PoolEvent::Release {
        key: key(1),
        outcome,
    };
    assert_eq!(unloads(&coordinator.handle(at(ADMITTED + 1), denied)), 0);
    let listed = |asked_at| PoolEvent::Probed {
        target: "a".parse().unwrap(),
        report: Some(TargetReport {
            asked_at: at(asked_at),
            ..report(at(1), false, &["x@1"])
        }),
    };
    let actions = coordinator.handle(at(ADMITTED + 3), listed(ADMITTED + 2));
    assert_eq!(unloads(&actions), 0);
    let outcome = ReleaseOutcome::Cancelled;
    let ended = PoolEvent::Release {
        key: key(2),
        outcome,
    };
    coordinator.handle(at(ADMITTED + 4), ended);
    let actions = coordinator.handle(at(ADMITTED + 6), listed(ADMITTED + 5));
    assert_eq!(unloads(&actions), 1);
}
