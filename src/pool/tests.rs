//! Tests of the coordinator's placement rules, one event at a time.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use yare::parameterized;

use super::coordinator::PoolCoordinator;
use super::event::{
    AcquireKey, AcquireRequest, ListedGeneration, PoolAction, PoolAnswer, PoolConfig, PoolEvent,
    ReleaseOutcome, TargetReport, TargetSpec,
};
use crate::clock::Timestamp;
use crate::ids::{BootId, FencingToken, TokenCount};

pub(super) fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

pub(super) fn spec(zone: &str, in_service: bool) -> TargetSpec {
    TargetSpec {
        zone: zone.parse().unwrap(),
        in_service,
        adapter_slots: 2,
        request_limit: 4,
    }
}

pub(super) fn config(targets: &[(&str, TargetSpec)]) -> PoolConfig {
    let targets = targets.iter().cloned();
    PoolConfig {
        targets: targets
            .map(|(name, spec)| (name.parse().unwrap(), spec))
            .collect(),
        loads_in_flight: 2,
        loads_per_second: 4.0,
    }
}

pub(super) fn key(serial: u64) -> AcquireKey {
    AcquireKey {
        node: "entry-1".parse().unwrap(),
        boot: BootId::from(1),
        serial,
    }
}

pub(super) fn request(serial: u64, account: &str, adapter: &str, now: Timestamp) -> AcquireRequest {
    AcquireRequest {
        key: key(serial),
        account: account.parse().unwrap(),
        adapter: adapter.parse().unwrap(),
        tokens: TokenCount::new(100),
        prefix: None,
        suspect: false,
        avoid: None,
        deadline: now + Duration::from_secs(10),
    }
}

/// A probe report of a target that has had `adapters` loaded since before the takeover.
pub(super) fn report(asked_at: Timestamp, cold: bool, adapters: &[&str]) -> TargetReport {
    let generations = adapters.iter().map(|adapter| ListedGeneration {
        name: format!("{adapter}#1-{asked_at}").replace(' ', ""),
        adapter: Some(adapter.parse().unwrap()),
    });
    TargetReport {
        asked_at,
        boot: 1,
        cold,
        generations: generations.collect(),
    }
}

/// A coordinator after its takeover phase. `resident` has targets that answered a probe, each with
/// whether it is cold and the adapters that it has loaded.
pub(super) fn coordinator(
    targets: &[(&str, TargetSpec)],
    resident: &[(&str, bool, &[&str])],
) -> PoolCoordinator {
    let mut coordinator =
        PoolCoordinator::new(FencingToken::from(7), at(0), StdRng::seed_from_u64(1));
    coordinator.handle(at(0), PoolEvent::Configured(config(targets)));
    for (index, (name, cold, adapters)) in resident.iter().enumerate() {
        let report = report(at(1 + index as u64), *cold, adapters);
        let target = name.parse().unwrap();
        let report = Some(report);
        coordinator.handle(at(10), PoolEvent::Probed { target, report });
    }
    coordinator.handle(at(121_000), PoolEvent::Tick);
    coordinator
}

fn acquire(
    coordinator: &mut PoolCoordinator,
    now: u64,
    request: AcquireRequest,
) -> Vec<PoolAction> {
    coordinator.handle(at(now), PoolEvent::Acquire(request))
}

/// The target to which `actions` pin the request `serial`.
pub(super) fn pinned_to(actions: &[PoolAction], serial: u64) -> Option<String> {
    actions.iter().find_map(|action| match action {
        PoolAction::Answer {
            key: answered,
            answer: PoolAnswer::Pinned { target, .. },
        } if *answered == key(serial) => Some(target.to_string()),
        _ => None,
    })
}

/// Guards against a placement on a cold, busy or unsuitable target while a better one is free.
#[parameterized(
    the_only_resident_target = { &[("a", false, &["x@1"]), ("b", false, &["y@1"])], &[], Some("a") },
    not_another_version = { &[("a", false, &["x@2"]), ("b", false, &["x@1"])], &["x@1"], Some("b") },
    the_least_loaded = { &[("a", false, &["x@1", "y@1"]), ("b", false, &["x@1"])], &["y@1"], Some("b") },
    cold_targets_take_overflow_only = { &[("a", true, &["x@1"]), ("b", false, &["x@1", "y@1"])], &["y@1", "y@1"], Some("b") },
    overflow_goes_to_a_cold_target = { &[("a", true, &["x@1"]), ("b", false, &["x@1", "y@1"])], &["y@1", "y@1", "y@1", "y@1"], Some("a") },
    a_target_out_of_service_gets_nothing = { &[("out", false, &["x@1"]), ("a", false, &["y@1"])], &[], None },
    none_is_resident = { &[("a", false, &["y@1"])], &[], None },
)]
fn placement_prefers_suitable_targets(
    resident: &[(&str, bool, &[&str])],
    before: &[&str],
    expected: Option<&str>,
) {
    let targets = [
        ("a", spec("z1", true)),
        ("b", spec("z2", true)),
        ("out", spec("z3", false)),
    ];
    let mut coordinator = coordinator(&targets, resident);
    for (index, adapter) in before.iter().enumerate() {
        let request = request(100 + index as u64, "acme", adapter, at(121_000));
        acquire(&mut coordinator, 121_000, request);
    }
    let actions = acquire(
        &mut coordinator,
        121_000,
        request(1, "acme", "x@1", at(121_000)),
    );
    assert_eq!(pinned_to(&actions, 1).as_deref(), expected);
}

/// Guards against a second pin for a request whose answer was lost.
#[test]
fn a_repeated_acquire_gets_the_same_pin() {
    let targets = [("a", spec("z1", true))];
    let mut coordinator = coordinator(&targets, &[("a", false, &["x@1"])]);
    let request = request(1, "acme", "x@1", at(121_000));
    let first = acquire(&mut coordinator, 121_000, request.clone());
    let second = acquire(&mut coordinator, 121_300, request.clone());
    assert_eq!(first, second);
    assert_eq!(coordinator.pinned(), 1);
    let outcome = ReleaseOutcome::Cancelled;
    let key = request.key.clone();
    coordinator.handle(at(121_400), PoolEvent::Release { key, outcome });
    let late = acquire(&mut coordinator, 121_500, request);
    assert_eq!(pinned_to(&late, 1), None);
    assert_eq!(coordinator.pinned(), 0);
}

/// Guards against two requests on one target that are both suspected of crashing targets.
#[test]
fn a_target_runs_one_suspect_at_a_time() {
    let targets = [("a", spec("z1", true))];
    let mut coordinator = coordinator(&targets, &[("a", false, &["x@1"])]);
    let suspect = |serial| AcquireRequest {
        suspect: true,
        ..request(serial, "acme", "x@1", at(121_000))
    };
    let first = acquire(&mut coordinator, 121_000, suspect(1));
    let second = acquire(&mut coordinator, 121_000, suspect(2));
    let clear = acquire(
        &mut coordinator,
        121_000,
        request(3, "acme", "x@1", at(121_000)),
    );
    assert_eq!(pinned_to(&first, 1).as_deref(), Some("a"));
    assert_eq!(pinned_to(&second, 2), None);
    assert_eq!(pinned_to(&clear, 3).as_deref(), Some("a"));
}

/// Guards against a late answer to an older probe that marks a cold target warm or removes
/// generations that were loaded since.
#[test]
fn a_late_answer_to_an_older_probe_is_ignored() {
    let targets = [("a", spec("z1", true))];
    let mut coordinator = coordinator(&targets, &[("a", false, &["x@1"])]);
    let probed = |asked_at, cold| PoolEvent::Probed {
        target: "a".parse().unwrap(),
        report: Some(TargetReport {
            asked_at: at(asked_at),
            ..report(at(1), cold, &["x@1"])
        }),
    };
    let limit = |coordinator: &PoolCoordinator| coordinator.limits()[&"a".parse().unwrap()];
    assert_eq!(limit(&coordinator), 4);
    coordinator.handle(at(121_010), probed(121_005, true));
    assert_eq!(limit(&coordinator), 1);
    coordinator.handle(at(121_020), probed(121_001, false));
    let outcome = ReleaseOutcome::Completed {
        tokens: TokenCount::new(1),
        first_token: None,
    };
    let again = request(1, "acme", "x@1", at(121_030));
    let key = again.key.clone();
    acquire(&mut coordinator, 121_030, again);
    coordinator.handle(at(121_040), PoolEvent::Release { key, outcome });
    coordinator.handle(at(123_000), PoolEvent::Tick);
    assert_eq!(limit(&coordinator), 1);
}

/// Guards against a ramp that advances without healthy answers or stops before the normal limit.
#[test]
fn a_cold_target_doubles_its_limit_each_second_of_healthy_answers() {
    let targets = [("a", spec("z1", true))];
    let mut coordinator = coordinator(&targets, &[("a", true, &["x@1"])]);
    let probed = PoolEvent::Probed {
        target: "a".parse().unwrap(),
        report: Some(TargetReport {
            asked_at: at(121_001),
            cold: false,
            ..report(at(1), false, &["x@1"])
        }),
    };
    coordinator.handle(at(121_002), probed);
    let mut limits = Vec::new();
    for second in 0..4_u64 {
        let now = 122_000 + second * 1000;
        // Without an answer in this second, the limit stays.
        if second != 1 {
            let request = request(second + 1, "acme", "x@1", at(now));
            let key = request.key.clone();
            acquire(&mut coordinator, now, request);
            let outcome = ReleaseOutcome::Completed {
                tokens: TokenCount::new(1),
                first_token: None,
            };
            coordinator.handle(at(now + 100), PoolEvent::Release { key, outcome });
        }
        coordinator.handle(at(now + 999), PoolEvent::Tick);
        limits.push(coordinator.limits()[&"a".parse().unwrap()]);
    }
    assert_eq!(limits, [2, 2, 4, 4]);
}

/// Guards against requests that are sent to a target whose connections fail.
#[test]
fn two_connect_failures_suspend_a_target_until_a_probe_is_answered() {
    let targets = [("a", spec("z1", true))];
    let mut coordinator = coordinator(&targets, &[("a", false, &["x@1"])]);
    for serial in 1..=3 {
        let request = request(serial, "acme", "x@1", at(121_000));
        let key = request.key.clone();
        let actions = acquire(&mut coordinator, 121_000, request);
        assert_eq!(pinned_to(&actions, serial).is_some(), serial <= 2);
        let outcome = ReleaseOutcome::ConnectFailed;
        coordinator.handle(at(121_000), PoolEvent::Release { key, outcome });
    }
    let waiting = request(4, "acme", "x@1", at(121_000));
    acquire(&mut coordinator, 121_000, waiting);
    let answered = PoolEvent::Probed {
        target: "a".parse().unwrap(),
        report: Some(TargetReport {
            asked_at: at(121_500),
            ..report(at(1), false, &["x@1"])
        }),
    };
    let actions = coordinator.handle(at(121_510), answered);
    assert_eq!(pinned_to(&actions, 4).as_deref(), Some("a"));
    assert_eq!(coordinator.limits()[&"a".parse().unwrap()], 1);
}
