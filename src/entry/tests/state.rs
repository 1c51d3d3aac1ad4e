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
        adapters: vec![("a".parse().unwrap(), 1)],
    }];
    state.apply_target(&name, Some(report), at(0));
    state
        .planners
        .insert(key, LoadPlanner::new("m".parse().unwrap(), 4));
    let adapter = "a".parse().unwrap();
    assert_eq!(state.residency.held_version(key, &adapter), Some(1));
    assert_eq!(
        state.remove_absent_targets(Some(&FastSet::default()), at(10)),
        [key]
    );
    assert_eq!(state.residency.held_version(key, &adapter), None);
    assert!(state.planners.is_empty());
}

/// Guards against a VM that never learns that a target is leaving because the only datagram about
/// it was lost. In a day-long run with 83 VMs, eight of them missed such a message.
#[test]
fn lost_relay_is_detected_by_the_next_report_or_relay() {
    let mut state = state();
    let (node, boot) = ("vm-2".parse().unwrap(), BootId::from(5));
    let mut lost = |sent, is_relay| state.detect_lost_relay((&node, boot), sent, is_relay);
    assert!(
        !lost(4, false),
        "earlier relays are covered by the initial list"
    );
    assert!(!lost(5, true));
    assert!(!lost(5, false));
    assert!(lost(6, false), "relay 6 has not arrived");
    assert!(!lost(6, false), "the loss of relay 6 was already reported");
    assert!(!lost(6, true), "relay 6 arrives late");
    assert!(lost(8, true), "relay 7 has not arrived");
    assert!(!lost(8, false));
}
