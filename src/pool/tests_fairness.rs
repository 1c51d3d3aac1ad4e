//! Tests of the accounts' shares under contention, of loads, evictions and takeovers, and a
//! snapshot of a whole session.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use yare::parameterized;

use super::coordinator::PoolCoordinator;
use super::event::{
    AcquireKey, AcquireRequest, NodeReport, PoolAction, PoolAnswer, PoolEvent, RefusalReason,
    ReleaseOutcome, ReportedPin,
};
use super::tests::{at, config, coordinator, key, pinned_to, report, request, spec};
use crate::ids::{BootId, FencingToken, TokenCount};

/// The tokens served to three accounts whose queues are never empty and that share a target with
/// four slots.
fn served_tokens(seed: u64) -> BTreeMap<String, u64> {
    let mut spec = spec("z1", true);
    spec.adapter_slots = 3;
    let resident: &[&str] = &["x@1", "y@1", "z@1"];
    let mut coordinator = coordinator(&[("a", spec)], &[("a", false, resident)]);
    let mut rng = StdRng::seed_from_u64(seed);
    let accounts = [("big", "x@1", 10), ("mid", "y@1", 2), ("small", "z@1", 2)];
    let mut served: BTreeMap<String, u64> = BTreeMap::new();
    let mut waiting: BTreeMap<AcquireKey, (String, u64)> = BTreeMap::new();
    let mut running: Vec<(AcquireKey, u64)> = Vec::new();
    let (mut serial, mut now) = (0, 121_000);
    for _ in 0..1000 {
        now += 10;
        let mut actions = Vec::new();
        for (account, adapter, length) in accounts {
            while waiting.values().filter(|(name, _)| name == account).count() < length {
                serial += 1;
                let tokens = rng.random_range(10..400);
                let mut request = request(serial, account, adapter, at(now));
                request.tokens = TokenCount::new(tokens);
                request.deadline = at(now) + Duration::from_secs(60);
                waiting.insert(request.key.clone(), (account.to_owned(), tokens));
                actions.extend(coordinator.handle(at(now), PoolEvent::Acquire(request)));
            }
        }
        if !running.is_empty() {
            let index = rng.random_range(0..running.len());
            let (key, tokens) = running.swap_remove(index);
            let outcome = ReleaseOutcome::Completed {
                tokens: TokenCount::new(tokens),
                first_token: None,
            };
            actions.extend(coordinator.handle(at(now), PoolEvent::Release { key, outcome }));
        }
        for action in actions {
            if let PoolAction::Answer { key, answer } = action {
                let (account, tokens) = waiting.remove(&key).unwrap();
                if let PoolAnswer::Pinned { .. } = answer {
                    *served.entry(account).or_default() += tokens;
                    running.push((key, tokens));
                }
            }
        }
    }
    served
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 16, failure_persistence: None, ..Default::default() })]

    /// Guards against an account that starves the others because it has five times as many requests
    /// waiting.
    #[test]
    fn accounts_with_waiting_work_get_equal_shares(seed in any::<u64>()) {
        let served = served_tokens(seed);
        let share = served.values().sum::<u64>() as f64 / 3.0;
        for (account, tokens) in &served {
            let part = *tokens as f64 / share;
            prop_assert!((0.95..1.05).contains(&part), "{account} got {part} of its share");
        }
    }
}

/// Guards against an account whose many missing adapters take all loads.
#[test]
fn loads_take_turns_between_accounts() {
    let mut coordinator = coordinator(
        &[("a", spec("z1", true)), ("b", spec("z1", true))],
        &[("a", false, &["v@1"]), ("b", false, &["w@1"])],
    );
    let mut loads = Vec::new();
    let mut collect = |actions: Vec<PoolAction>| {
        for action in actions {
            if let PoolAction::Load { adapter, .. } = action {
                loads.push(adapter.to_string());
            }
        }
    };
    for serial in 0..20 {
        let request = request(serial, "big", &format!("many-{serial}@1"), at(121_000));
        collect(coordinator.handle(at(121_000), PoolEvent::Acquire(request)));
    }
    let request = request(90, "small", "one@1", at(121_000));
    collect(coordinator.handle(at(121_000), PoolEvent::Acquire(request)));
    collect(coordinator.handle(at(121_300), PoolEvent::Tick));
    assert_eq!(loads.len(), 2, "{loads:?}");
    assert!(loads.contains(&"one@1".to_owned()), "{loads:?}");
}

/// Guards against a failed load that is repeated at once, on the same target, or without end.
#[test]
fn a_failing_load_backs_off_and_gives_up() {
    let targets = [("a", spec("z1", true)), ("b", spec("z2", true))];
    let mut coordinator = coordinator(&targets, &[("a", false, &["v@1"]), ("b", false, &["w@1"])]);
    let mut request = request(1, "acme", "x@1", at(121_000));
    request.deadline = at(160_000);
    let mut loads = Vec::new();
    let mut refused = None;
    let mut events = vec![PoolEvent::Acquire(request)];
    for step in 0..400 {
        let now = 121_000 + step * 25;
        events.push(PoolEvent::Tick);
        let actions: Vec<PoolAction> = std::mem::take(&mut events)
            .into_iter()
            .flat_map(|event| coordinator.handle(at(now), event))
            .collect();
        for action in actions {
            match action {
                PoolAction::Load {
                    target, generation, ..
                } => {
                    loads.push((now, target.to_string()));
                    let loaded = false;
                    events.push(PoolEvent::LoadEnded { generation, loaded });
                }
                PoolAction::Unload { generation, .. } => {
                    let gone = true;
                    events.push(PoolEvent::UnloadEnded { generation, gone });
                }
                PoolAction::Answer { answer, .. } => refused = Some((now, answer)),
                PoolAction::Probe { .. } => {}
            }
        }
        if refused.is_some() {
            break;
        }
    }
    let pauses: Vec<u64> = loads.windows(2).map(|pair| pair[1].0 - pair[0].0).collect();
    assert_eq!(loads.len(), 3, "{loads:?}");
    assert!(pauses[0] >= 250 && pauses[1] >= 500, "{loads:?}");
    assert_ne!(loads[0].1, loads[1].1, "{loads:?}");
    let (_, answer) = refused.unwrap();
    assert!(matches!(
        answer,
        PoolAnswer::Refused {
            reason: RefusalReason::LoadFailed,
            ..
        }
    ));
}

/// Guards against several loads of one adapter because several requests wait for it.
#[test]
fn one_load_serves_many_waiting_requests() {
    let targets = [("a", spec("z1", true)), ("b", spec("z2", true))];
    let mut coordinator = coordinator(&targets, &[("a", false, &["v@1"]), ("b", false, &["w@1"])]);
    let mut loads = Vec::new();
    for serial in 1..=4 {
        let now = at(121_000 + serial * 300);
        let request = request(serial, "acme", "x@1", now);
        let actions = coordinator.handle(now, PoolEvent::Acquire(request));
        loads.extend(actions.into_iter().filter_map(|action| match action {
            PoolAction::Load { generation, .. } => Some(generation),
            _ => None,
        }));
    }
    assert_eq!(loads.len(), 1, "{loads:?}");
    let generation = loads.remove(0);
    let loaded = true;
    let ended = PoolEvent::LoadEnded { generation, loaded };
    let actions = coordinator.handle(at(122_500), ended);
    assert!((1..=4).all(|serial| pinned_to(&actions, serial).is_some()));
}

/// Guards against an eviction of an adapter that is used more than the one that replaces it.
#[test]
fn a_load_evicts_only_a_less_used_adapter() {
    let mut coordinator = coordinator(
        &[("a", spec("z1", true))],
        &[("a", false, &["often@1", "seldom@1"])],
    );
    let mut serial = 0;
    let mut send_requests = |coordinator: &mut PoolCoordinator, adapter: &str, times: u64| {
        for _ in 0..times {
            serial += 1;
            let request = request(serial, "acme", adapter, at(121_000));
            let key = request.key.clone();
            coordinator.handle(at(121_000), PoolEvent::Acquire(request));
            let outcome = ReleaseOutcome::Cancelled;
            coordinator.handle(at(121_000), PoolEvent::Release { key, outcome });
        }
    };
    send_requests(&mut coordinator, "often@1", 9);
    send_requests(&mut coordinator, "seldom@1", 3);
    let unloads = |actions: &[PoolAction]| -> Vec<String> {
        let unloads = actions.iter().filter_map(|action| match action {
            PoolAction::Unload { generation, .. } => Some(generation.clone()),
            _ => None,
        });
        unloads.collect()
    };
    let request_for_new = request(50, "acme", "new@1", at(121_000));
    let actions = coordinator.handle(at(121_000), PoolEvent::Acquire(request_for_new));
    assert!(unloads(&actions).is_empty(), "{actions:?}");
    let actions = coordinator.handle(at(122_100), PoolEvent::Tick);
    let unloaded = unloads(&actions);
    assert_eq!(unloaded.len(), 1, "{actions:?}");
    assert!(unloaded[0].starts_with("seldom@1#"), "{actions:?}");
}

/// The events of a short session: a cold start, loads, releases, a failed load, a zone that goes
/// out of service and returns, and a target that does not answer.
fn session() -> Vec<(u64, PoolEvent)> {
    let targets = [("a", spec("z1", true)), ("b", spec("z2", true))];
    let mut out_of_service = targets.clone();
    out_of_service[0].1.in_service = false;
    let probed = |target: &str, millis: u64, cold: bool| PoolEvent::Probed {
        target: target.parse().unwrap(),
        report: Some(report(at(millis), cold, &[])),
    };
    let acquire = |serial, account: &str, adapter: &str, millis| {
        PoolEvent::Acquire(request(serial, account, adapter, at(millis)))
    };
    let loaded = |name: &str, loaded: bool| PoolEvent::LoadEnded {
        generation: name.to_owned(),
        loaded,
    };
    let release = |serial, outcome| PoolEvent::Release {
        key: key(serial),
        outcome,
    };
    let completed = ReleaseOutcome::Completed {
        tokens: TokenCount::new(60),
        first_token: Some(Duration::from_millis(40)),
    };
    let no_answer = |target: &str| PoolEvent::Probed {
        target: target.parse().unwrap(),
        report: None,
    };
    vec![
        (0, PoolEvent::Configured(config(&targets))),
        (0, PoolEvent::NodesKnown(vec!["entry-1".parse().unwrap()])),
        (10, PoolEvent::Tick),
        (12, probed("a", 10, true)),
        (13, probed("b", 11, false)),
        (100, acquire(1, "acme", "x@1", 100)),
        (1500, PoolEvent::Tick),
        (1750, loaded("x@1#7-1", true)),
        (1760, acquire(2, "acme", "x@1", 1760)),
        (1760, acquire(2, "acme", "x@1", 1760)),
        (2000, release(1, completed)),
        (2100, acquire(3, "blue", "y@1", 2100)),
        (2400, loaded("y@1#7-4", false)),
        (2600, PoolEvent::Tick),
        (2700, PoolEvent::Configured(config(&out_of_service))),
        (2800, acquire(4, "acme", "x@1", 2800)),
        (3000, release(2, completed)),
        (3050, loaded("x@1#7-5", true)),
        (3500, PoolEvent::Configured(config(&targets))),
        (3600, no_answer("b")),
        (3700, no_answer("b")),
        (4000, PoolEvent::Tick),
        (12_200, PoolEvent::Tick),
    ]
}

/// Guards against unintended changes of the coordinator's decisions in a whole session.
#[test]
fn a_whole_session() {
    let seed = StdRng::seed_from_u64(1);
    let mut coordinator = PoolCoordinator::new(FencingToken::from(7), at(0), seed);
    let mut text = String::new();
    for (millis, event) in session() {
        let line = serde_json::to_string(&event).unwrap();
        writeln!(text, "{millis} {line}").unwrap();
        for action in coordinator.handle(at(millis), event) {
            let line = serde_json::to_string(&action).unwrap();
            writeln!(text, "    {line}").unwrap();
        }
    }
    insta::assert_snapshot!(text);
}

/// The generations that a new coordinator has unloaded by `millis` to load the adapter of a waiting
/// request. It expects reports of entry-1 and entry-2, and gets those of the nodes in `reporting`.
/// entry-1 has a pin on `x@1`.
fn unloaded_after_takeover(reporting: &[&str], millis: u64) -> Vec<String> {
    let seed = StdRng::seed_from_u64(3);
    let mut coordinator = PoolCoordinator::new(FencingToken::from(7), at(0), seed);
    let targets = [("a", spec("z1", true))];
    coordinator.handle(at(0), PoolEvent::Configured(config(&targets)));
    let nodes = ["entry-1", "entry-2"].map(|name| name.parse().unwrap());
    coordinator.handle(at(0), PoolEvent::NodesKnown(nodes.to_vec()));
    let probed = PoolEvent::Probed {
        target: "a".parse().unwrap(),
        report: Some(report(at(1), false, &["x@1", "y@1"])),
    };
    coordinator.handle(at(2), probed);
    let pin = ReportedPin {
        serial: 1,
        target: "a".parse().unwrap(),
        generation: "x@1#1-1ms".to_owned(),
        account: "acme".parse().unwrap(),
        tokens: TokenCount::new(100),
        suspect: false,
        streaming: false,
    };
    for name in reporting {
        let report = NodeReport {
            node: name.parse().unwrap(),
            boot: BootId::from(1),
            sequence: 1,
            highest_serial: 1,
            waiting: Vec::new(),
            pins: if *name == "entry-1" {
                vec![pin.clone()]
            } else {
                Vec::new()
            },
            uptime: Duration::from_secs(60),
        };
        coordinator.handle(at(3), PoolEvent::Reported(report));
    }
    let mut request_for_new = request(9, "acme", "new@1", at(millis - 2000));
    request_for_new.deadline = at(millis + 10_000);
    let mut actions = coordinator.handle(at(millis - 2000), PoolEvent::Acquire(request_for_new));
    actions.extend(coordinator.handle(at(millis), PoolEvent::Tick));
    let unloads = actions.into_iter().filter_map(|action| match action {
        PoolAction::Unload { generation, .. } => Some(generation),
        _ => None,
    });
    unloads.collect()
}

/// Guards against an eviction of a generation whose pins a new coordinator may not know yet: first
/// all nodes have to report, or the hard deadline has to pass.
#[parameterized(
    nothing_during_the_eviction_pause = { &["entry-1", "entry-2"], 14_000, &[] },
    unpinned_generations_after_all_reports = { &["entry-1", "entry-2"], 17_500, &["y@1#1-1ms"] },
    nothing_while_a_report_is_missing = { &["entry-1"], 60_000, &[] },
    nothing_without_reports = { &[], 60_000, &[] },
)]
fn takeover_evictions(reporting: &[&str], millis: u64, expected: &[&str]) {
    assert_eq!(unloaded_after_takeover(reporting, millis), expected);
}

/// Guards against pins that are lost in a handover, and against a wait for reports after it.
#[test]
fn a_handover_moves_pins_and_residency() {
    let targets = [("a", spec("z1", true))];
    let mut old = coordinator(&targets, &[("a", false, &["x@1"])]);
    let first: AcquireRequest = request(1, "acme", "x@1", at(121_000));
    old.handle(at(121_000), PoolEvent::Acquire(first.clone()));
    let seed = StdRng::seed_from_u64(2);
    let mut new = PoolCoordinator::new(FencingToken::from(8), at(5000), seed);
    new.handle(at(5000), PoolEvent::Configured(config(&targets)));
    assert!(new.import(&old.export()));
    assert_eq!(new.pinned(), 1);
    let again = new.handle(at(5001), PoolEvent::Acquire(first));
    assert_eq!(pinned_to(&again, 1).as_deref(), Some("a"));
    let second = request(2, "acme", "x@1", at(5001));
    let actions = new.handle(at(5001), PoolEvent::Acquire(second));
    assert_eq!(pinned_to(&actions, 2).as_deref(), Some("a"));
    assert!(!new.import(b"no state"));
}
