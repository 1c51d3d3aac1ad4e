use crate::collections::FastSet;
use crate::dispatch::directory::{HeldModel, TargetKey};
use crate::dispatch::load_planner::LoadPlanner;
use crate::dispatch::tests::{at, report};
use crate::entry::state::EntryState;
use crate::ids::{BootId, TargetName};
use crate::platform::settings::parse_settings;
use crate::platform::tests::SETTINGS;

fn state() -> EntryState {
    EntryState::new(parse_settings(SETTINGS, 9464).unwrap(), BootId::from(1))
}

/// Guards against a target that a complete list lacks and that still holds adapters and gets
/// orders in this VM's view.
#[test]
fn unlisted_target_is_forgotten_as_a_removed_one_is() {
    let mut state = state();
    let name: TargetName = "i-1".parse().unwrap();
    let key = TargetKey::new(&name);
    let mut report = report("z");
    report.models = vec![HeldModel {
        model: "m".parse().unwrap(),
        adapters: vec![("a".parse().unwrap(), 1)],
    }];
    state.apply_target(&name, Some(report), at(0));
    state
        .planners
        .insert(key, LoadPlanner::new("m".parse().unwrap(), 4));
    let adapter = "a".parse().unwrap();
    assert_eq!(state.residency.held_version(key, &adapter), Some(1));
    assert_eq!(state.drop_absent(Some(&FastSet::default()), at(10)), [key]);
    assert_eq!(state.residency.held_version(key, &adapter), None);
    assert!(state.planners.is_empty());
}

/// Guards against a VM that never learns that a target leaves, since the one message about it was
/// lost: seen in a day of 83 VMs, where eight of them had missed it.
#[test]
fn lost_relay_is_noticed_by_the_next_report_or_relay() {
    let mut state = state();
    let (node, boot) = ("vm-2".parse().unwrap(), BootId::from(5));
    let mut lost = |sent, arrives| state.is_relay_lost((&node, boot), sent, arrives);
    assert!(
        !lost(4, false),
        "what came before is in this VM's first list"
    );
    assert!(!lost(5, true));
    assert!(!lost(5, false));
    assert!(lost(6, false), "the sixth has not arrived");
    assert!(!lost(6, false), "it has been made up for");
    assert!(!lost(6, true), "it was only late");
    assert!(lost(8, true), "the seventh has not arrived");
    assert!(!lost(8, false));
}
