use prost::Message;
use std::time::Duration;

use crate::collections::FastSet;
use crate::dispatch::copies::{AdapterHash, HeldTime};
use crate::dispatch::directory::{HeldModel, TargetKey};
use crate::dispatch::load_order::HoldingsReport;
use crate::dispatch::load_planner::LoadPlanner;
use crate::dispatch::routing::{
    AccountEntry, CallerLimits, RouteEntry, RouteKind, RoutingConfig, ServiceEntry,
};
use crate::dispatch::stream_origins::{StreamKey, StreamOrigin};
use crate::dispatch::tests::{at, engine, report};
use crate::entry::copies::{apply_copies, build_reply};
use crate::entry::leaving::missing_adapters;
use crate::entry::state::EntryState;
use crate::ids::{BootId, TargetName};
use crate::platform::settings::parse_settings;
use crate::platform::tests::SETTINGS;

const CALLER_LIMITS: CallerLimits = CallerLimits {
    head_bytes: 1,
    body_bytes: 1,
    head_timeout: Duration::ZERO,
    idle_timeout: Duration::ZERO,
};

fn state() -> EntryState {
    EntryState::new(parse_settings(SETTINGS, 9464).unwrap(), BootId::from(1))
}

/// Guards against stale residency and planner state of a target that is missing from a complete
/// list of the targets.
#[test]
fn unlisted_target_is_removed_completely() {
    let mut state = state();
    let name: TargetName = "i-1".parse().unwrap();
    let key = TargetKey::new(&name);
    let mut report = report("z");
    report.models = vec![HeldModel {
        model: "m".parse().unwrap(),
        adapters: vec![("m/a".parse().unwrap(), 1)],
    }];
    state.apply_target(&name, Some(report), at(0));
    state.planners.insert(key, LoadPlanner::new(engine(4)));
    let adapter = "m/a".parse().unwrap();
    assert_eq!(state.residency.held_version(key, &adapter), Some(1));
    assert_eq!(
        state.remove_absent_targets(Some(&FastSet::default()), at(10)),
        [key]
    );
    assert_eq!(state.residency.held_version(key, &adapter), None);
    assert!(state.planners.is_empty());
}

/// Guards against replies above the usual MTU, replies that leave out targets, and copies of a
/// target's previous process.
#[test]
fn copies_of_all_targets_are_told_in_datagrams() {
    let (mut old, mut new) = (state(), state());
    let now = at(60_000);
    let hash = |index: u32| AdapterHash::from(index);
    let names = (0..30).map(|index| format!("i-{index}").parse::<TargetName>().unwrap());
    let names: Vec<_> = names.collect();
    for name in &names {
        old.apply_target(name, Some(report("z")), at(0));
        new.apply_target(name, Some(report("z")), at(0));
        for index in 0..200 {
            let held_at = HeldTime::new(at(u64::from(index) * 100));
            old.residency
                .record_copy(TargetKey::new(name), hash(index), 3, held_at);
        }
    }
    let mut restarted = report("z");
    restarted.started_ms = 2;
    new.apply_target(&names[0], Some(restarted), at(0));
    let (mut after, mut datagrams) = (0, 0);
    loop {
        let reply = build_reply(&old, after, now);
        assert!(reply.encoded_len() <= 1400, "{}", reply.encoded_len());
        datagrams += 1;
        for copies in &reply.copies {
            apply_copies(&mut new, copies, at(500));
        }
        match reply.copy_reply.unwrap().next {
            Some(next) => after = next,
            None => break,
        }
    }
    assert!(datagrams <= 30, "{datagrams}");
    let known = |name, index| {
        let copy = new
            .residency
            .copy_held_at(TargetKey::new(name), hash(index), 3);
        copy.map(|held_at| held_at.age(at(500)).as_secs())
    };
    assert_eq!(known(&names[0], 199), None, "the target has restarted");
    for name in &names[1..] {
        assert_eq!(known(name, 199), Some(40));
        assert_eq!(known(name, 79), None, "beyond the limit of a reply");
    }
    assert!(!build_reply(&old, 0, at(1_000)).copy_reply.unwrap().informed);
}

/// A state with the service "llm" of model targets.
pub(super) fn state_with_service() -> EntryState {
    let service = ServiceEntry {
        name: "llm".parse().unwrap(),
        max_connections: 10,
        cold_per_s: 8.0,
        engine: Some(engine(4)),
        scaling: None,
    };
    let mut state = state();
    let config = RoutingConfig::new(1, CALLER_LIMITS).with_services(vec![service]);
    state.set_config(config, at(0));
    state
}

/// Guards against adapters that are missed only when a reclaimed target is gone, and against loads of
/// those that nobody uses or another target holds.
#[test]
fn adapters_in_use_on_a_reclaimed_target_are_loaded_on_others() {
    let mut state = state_with_service();
    let names: [TargetName; 2] = ["i-1", "i-2"].map(|name| name.parse().unwrap());
    let [reclaimed, other] = [&names[0], &names[1]].map(TargetKey::new);
    let mut held = report("z");
    held.models = vec![HeldModel {
        model: "m".parse().unwrap(),
        adapters: vec![("m/shared".parse().unwrap(), 1)],
    }];
    for name in &names {
        state.apply_target(name, Some(held.clone()), at(0));
    }
    let mut planner = LoadPlanner::new(engine(4));
    let loaded = ["m/used", "m/shared", "m/unused"].map(|name| (name.parse().unwrap(), 1));
    let holdings = HoldingsReport {
        sequence: 0,
        models: vec!["m".parse().unwrap()],
        adapters: loaded.to_vec(),
        pending: Vec::new(),
    };
    planner.apply_report(holdings, at(0));
    let node = state.settings.node.clone();
    for (adapter, _) in &loaded[..2] {
        planner.record_use(&node, adapter, 1, at(9_000));
    }
    state.planners.insert(reclaimed, planner);
    (held.sequence, held.leaving) = (2, true);
    held.departs_in = Some(Duration::from_millis(2_000));
    state.apply_target(&names[0], Some(held), at(9_000));
    assert!(state.directory.is_reclaimed(reclaimed));
    let missing = missing_adapters(&state, reclaimed, at(9_000)).unwrap();
    assert_eq!(missing, [(loaded[0].0.clone(), other)]);
}

/// Guards against a request that is sent to its second target after its key was revoked: in the soak
/// with seed 28, a target's link held the first attempt back for 3.7 s.
#[test]
fn key_is_accepted_only_while_the_configuration_in_force_has_it() {
    let account = AccountEntry {
        name: "shop".parse().unwrap(),
        priority: None,
        rate: 0.0,
        burst: 0.0,
        counts_tokens: false,
        plain_tokens: 0,
    };
    let with_key = |version, key: &str| {
        RoutingConfig::new(version, CALLER_LIMITS)
            .with_account(account.clone(), vec![key.to_owned()])
    };
    let mut state = state();
    assert!(!state.accepts_key(Some("old")), "no configuration");
    state.set_config(with_key(1, "old"), at(0));
    assert!(state.accepts_key(Some("old")));
    assert!(!state.accepts_key(None));
    state.set_config(with_key(2, "new"), at(1));
    assert!(!state.accepts_key(Some("old")));
    assert!(state.accepts_key(Some("new")));
}

/// Guards against a stream whose software version is forgotten while callers may still take it up,
/// since its route has a longer time limit than usual ones.
#[test]
fn software_of_a_stream_is_kept_for_the_time_limit_of_routes() {
    let mut state = state();
    let service = "llm".parse().unwrap();
    let route = RouteEntry {
        name: "long".to_owned(),
        host: "h.example".to_owned(),
        path_prefix: "/long/".to_owned(),
        kind: RouteKind::ResumableStream,
        timeout: Duration::from_secs(300),
        latency_target: Duration::from_secs(1),
        max_event_gap: None,
        priority: 0,
        services: vec![("llm".parse().unwrap(), 1)],
        max_attempts: 2,
        public: true,
    };
    let config = RoutingConfig::new(1, CALLER_LIMITS).with_routes(vec![route]);
    state.set_config(config, at(0));
    let key = StreamKey::new(&service, &"first".parse().unwrap());
    let (old, new) = ("v1".parse().unwrap(), "v2".parse().unwrap());
    for software in [&old, &new] {
        state.streams.observe_version(&service, software, at(0));
    }
    state.streams.begin(key, &service, &old, at(0));
    state.streams.observe_version(&service, &new, at(250_000));
    state.streams.next_record(at(250_000));
    assert_eq!(
        state.streams.origin(Some(key), &service),
        StreamOrigin::Began(old)
    );
    assert_eq!(state.streams.origin(None, &service), StreamOrigin::Unknown);
}
