use super::{adapter, at, set_at};
use crate::dispatch::directory::{HeldModel, TargetKey};
use crate::dispatch::residency::ResidencyTable;
use crate::ids::ModelAdapter;

/// Guards against answers of an adapter version that was replaced long ago, when the next version is
/// set.
#[test]
fn version_out_of_force_stays_unusable_when_the_next_is_set() {
    let mut table = ResidencyTable::default();
    let usable = |table: &ResidencyTable, version, millis| {
        table.is_usable(&adapter("x"), version, at(millis))
    };
    table.set_required_version(adapter("x"), 2, Some(set_at(0)));
    assert!(usable(&table, 1, 1000));
    assert!(!usable(&table, 1, 9000));
    table.set_required_version(adapter("x"), 3, Some(set_at(9000)));
    assert!(!usable(&table, 1, 9001), "replaced at 0");
    assert!(usable(&table, 2, 9001));
    table.set_required_version(adapter("x"), 4, Some(set_at(11_000)));
    assert!(usable(&table, 2, 12_000));
    assert!(!usable(&table, 2, 12_500), "replaced at 9000");
    assert!(usable(&table, 3, 12_500));
    assert!(!usable(&table, 3, 15_000));
    assert!(usable(&table, 4, 60_000));
    for version in 0..2 {
        assert!(!usable(&table, version, 11_000));
    }
}

/// Guards against a request that waits at a target on an old version and begins there after the
/// operator's limit.
#[test]
fn request_on_an_old_version_has_a_limit_to_begin() {
    let mut table = ResidencyTable::default();
    table.set_required_version(adapter("x"), 2, Some(set_at(1000)));
    table.set_required_version(adapter("x"), 3, Some(set_at(3000)));
    let limit = |table: &ResidencyTable, version| table.begin_limit(&adapter("x"), version);
    assert_eq!(limit(&table, 1), Some(at(5500)));
    assert_eq!(limit(&table, 2), Some(at(7500)));
    assert_eq!(limit(&table, 3), None);
    table.set_required_version(adapter("x"), 4, None);
    assert_eq!(limit(&table, 3), Some(at(0)));
    assert_eq!(table.begin_limit(&adapter("y"), 1), None);
}

/// Guards against versions of before becoming usable again when a VM reads the complete state, which
/// doesn't tell when a version was set.
#[test]
fn version_that_was_set_at_an_unknown_time_ends_the_use_of_all_older_ones() {
    let mut table = ResidencyTable::default();
    table.set_required_version(adapter("x"), 2, Some(set_at(0)));
    table.set_required_version(adapter("x"), 3, None);
    table.set_required_version(adapter("x"), 4, Some(set_at(1000)));
    for (version, usable) in [(1, false), (2, false), (3, true), (4, true)] {
        assert_eq!(
            table.is_usable(&adapter("x"), version, at(1100)),
            usable,
            "{version}"
        );
    }
}

/// Guards against answers of another model's adapter, and against versions that are required of it,
/// because both adapters have the same name.
#[test]
fn adapters_of_two_models_are_told_apart() {
    let mut table = ResidencyTable::default();
    let target = TargetKey::new(&"i-1".parse().unwrap());
    let other: ModelAdapter = "n/x".parse().unwrap();
    let held = HeldModel {
        model: "m".parse().unwrap(),
        adapters: vec![(adapter("x"), 1)],
    };
    table.apply_report(target, &[held], at(0));
    assert_eq!(table.held_version(target, &adapter("x")), Some(1));
    assert_eq!(table.held_version(target, &other), None);
    table.set_required_version(other.clone(), 7, None);
    assert_eq!(table.required_version(&adapter("x")), 0);
    assert_eq!(table.required_version(&other), 7);
}

/// Guards against announcements that name an adapter of another model than the one they state.
#[test]
fn names_relative_to_a_model_are_read_back() {
    for (name, text) in [("m/a1", "a1"), ("n/a1", "n/a1")] {
        let adapter: ModelAdapter = name.parse().unwrap();
        assert_eq!(adapter.relative_to("m"), text);
        assert_eq!(ModelAdapter::from_relative(text, "m").unwrap(), adapter);
    }
    for invalid in ["a1", "m/", "/a1", "m/a/b", ""] {
        assert!(invalid.parse::<ModelAdapter>().is_err(), "{invalid}");
    }
    assert!(ModelAdapter::from_relative("a1", "").is_err());
}
