use super::{adapter, at};
use crate::dispatch::residency::ResidencyTable;

/// Guards against answers of an adapter version that was replaced long ago, when the next version is
/// set.
#[test]
fn version_out_of_force_stays_unusable_when_the_next_is_set() {
    let mut table = ResidencyTable::default();
    let usable = |table: &ResidencyTable, version, millis| {
        table.is_usable(&adapter("x"), version, at(millis))
    };
    table.set_required_version(adapter("x"), 2, Some(at(0)));
    assert!(usable(&table, 1, 1000));
    assert!(!usable(&table, 1, 9000));
    table.set_required_version(adapter("x"), 3, Some(at(9000)));
    assert!(!usable(&table, 1, 9001), "replaced at 0");
    assert!(usable(&table, 2, 9001));
    table.set_required_version(adapter("x"), 4, Some(at(11_000)));
    assert!(usable(&table, 2, 12_000));
    assert!(!usable(&table, 2, 12_500), "replaced at 9000");
    assert!(usable(&table, 3, 12_500));
    assert!(!usable(&table, 3, 15_000));
    assert!(usable(&table, 4, 60_000));
    for version in 0..2 {
        assert!(!usable(&table, version, 11_000));
    }
}

/// Guards against versions of before becoming usable again when a VM reads the complete state, which
/// doesn't tell when a version was set.
#[test]
fn version_that_was_set_at_an_unknown_time_ends_the_use_of_all_older_ones() {
    let mut table = ResidencyTable::default();
    table.set_required_version(adapter("x"), 2, Some(at(0)));
    table.set_required_version(adapter("x"), 3, None);
    table.set_required_version(adapter("x"), 4, Some(at(1000)));
    for (version, usable) in [(1, false), (2, false), (3, true), (4, true)] {
        assert_eq!(
            table.is_usable(&adapter("x"), version, at(1100)),
            usable,
            "{version}"
        );
    }
}
