use crate::collections::FastSet;
use crate::dispatch::directory::{HeldModel, TargetKey};
use crate::dispatch::load_planner::LoadPlanner;
use crate::dispatch::tests::{at, engine, report};
use crate::entry::state::EntryState;
use crate::ids::{BootId, TargetName};
use crate::platform::settings::parse_settings;
use crate::platform::tests::SETTINGS;

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
