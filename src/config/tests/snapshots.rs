use std::time::Duration;

use serde_json::json;

use super::{apply_next, change, delete, dump, first_edits, first_state, put};
use crate::config::follower::{ConfigFollower, ConfigRecord, ReadProgress, install_snapshot};
use crate::config::model::SectionName as S;
use crate::config::snapshot::{
    SnapshotAssembler, SnapshotHead, SnapshotPart, SnapshotSchedule, SnapshotTracker, build_part,
    part_count,
};
use crate::config::state::{ChangeError, ConfigState, SectionRevisions};
use crate::ids::LogOffset;
use crate::platform_client::LogRecord;

/// A state whose snapshot has more than one part.
pub(super) fn large_state() -> ConfigState {
    let mut state = first_state();
    for group in 0..3 {
        let names = (0..700).map(|index| format!("account-{group}-{index}"));
        let edits = names.map(|name| put(S::Accounts, &name, json!({})));
        apply_next(&mut state, edits.collect()).unwrap();
    }
    apply_next(&mut state, vec![delete(S::Keys, "k1")]).unwrap();
    state
}

fn parts_of(state: &ConfigState, nonce: &str) -> Vec<SnapshotPart> {
    let parts = 0..part_count(state);
    let parts = parts.map(|part| build_part(state, nonce, part));
    let written = parts.map(|part| serde_json::to_string(&part).unwrap());
    written
        .map(|text| serde_json::from_str(&text).unwrap())
        .collect()
}

fn read(parts: impl IntoIterator<Item = SnapshotPart>) -> Option<ConfigState> {
    let mut assembler = SnapshotAssembler::default();
    parts.into_iter().for_each(|part| assembler.push(part));
    assembler.into_newest()
}

/// Guards against a node that starts from a snapshot and then accepts other changes than the other
/// nodes: the snapshot must restore revisions, deletions and reference counts as well.
#[test]
fn a_snapshot_restores_everything_that_change_checks_depend_on() {
    let state = large_state();
    let mut copy = read(parts_of(&state, "s")).unwrap();
    assert_eq!(dump(&copy), dump(&state));
    assert_eq!(copy.next_offset(), state.next_offset());
    let old = SectionRevisions::from([(S::Keys, LogOffset::from(0))]);
    let stale = change(&old, first_edits()[6..7].to_vec());
    let error = copy.apply(copy.next_offset(), &stale);
    assert!(
        matches!(error, Err(ChangeError::Conflict { .. })),
        "{error:?}"
    );
    let error = apply_next(&mut copy, vec![delete(S::Accounts, "acme")]).unwrap_err();
    assert_eq!(
        error.to_string(),
        "accounts \"acme\": 2 entries still refer to it"
    );
}

/// Guards against a configuration that lacks the entries of a part that was never appended.
#[test]
fn an_incomplete_snapshot_is_not_used() {
    let parts = parts_of(&large_state(), "s");
    assert_eq!(parts.len(), 3);
    for missing in 0..parts.len() {
        let mut rest = parts.clone();
        rest.remove(missing);
        assert!(read(rest).is_none(), "without part {missing}");
    }
}

/// Guards against parts that are added twice because they were appended again after a lost reply,
/// and against a mix-up of parts from two publishers.
#[test]
fn repeated_and_interleaved_parts_make_complete_snapshots() {
    let state = large_state();
    let mut newer = state.clone();
    apply_next(&mut newer, vec![put(S::Accounts, "last", json!({}))]).unwrap();
    let pairs = parts_of(&state, "old")
        .into_iter()
        .zip(parts_of(&newer, "new"));
    let parts = pairs.flat_map(|(old, new)| [old.clone(), new.clone(), old, new]);
    let copy = read(parts).unwrap();
    assert_eq!(dump(&copy), dump(&newer));
}

/// Guards against entries that revert because a delayed snapshot, from a paused publisher or a
/// peer, replaces newer state.
#[test]
fn an_older_snapshot_never_replaces_newer_state() {
    let mut state = first_state();
    let old = state.clone();
    let disable = put(S::Zones, "a", json!({"in_service": false}));
    apply_next(&mut state, vec![disable]).unwrap();
    assert!(!install_snapshot(&mut state, old.clone()));
    assert!(!state.zones[&"a".parse().unwrap()].in_service);
    let parts = parts_of(&state, "new")
        .into_iter()
        .chain(parts_of(&old, "old"));
    assert_eq!(dump(&read(parts).unwrap()), dump(&state));
}

fn record(offset: u64, data: String) -> LogRecord {
    LogRecord {
        offset: LogOffset::from(offset),
        at_ms: 0,
        data,
    }
}

/// Guards against a node that was offline for longer than the log's retention and then continues
/// at the first retained record: it would miss the changes in between.
#[test]
fn a_node_whose_next_record_expired_restarts_from_a_snapshot() {
    let mut state = ConfigState::new();
    let mut follower = ConfigFollower::default();
    let newer = large_state();
    let first = newer.next_offset();
    let change = change(newer.revisions(), vec![put(S::Accounts, "late", json!({}))]);
    let mut records = vec![record(first.into(), ConfigRecord::Change(change).to_json())];
    for part in parts_of(&newer, "s") {
        let offset = u64::from(first) + records.len() as u64;
        records.push(record(offset, ConfigRecord::Snapshot(part).to_json()));
    }
    let next = LogOffset::from(u64::from(first) + records.len() as u64);
    let mut ends = Vec::new();
    for _ in 0..2 {
        let from = follower.position(&state);
        follower.begin_page(&state, first);
        for record in records.iter().filter(|record| record.offset >= from) {
            follower.apply_record(&mut state, record);
        }
        ends.push(follower.end_page(&mut state, (first, next)));
    }
    assert_eq!(ends, [ReadProgress::Behind, ReadProgress::AtTail]);
    assert!(state.accounts.contains_key(&"late".parse().unwrap()));
    assert!(state.accounts.contains_key(&"acme".parse().unwrap()));
    assert_eq!(state.next_offset(), next);
    assert_eq!(follower.tracker.newest(), Some(first));
}

/// Guards against a node with an incomplete configuration: the records between the only snapshot
/// and the first retained record have expired.
#[test]
fn a_snapshot_without_the_records_after_it_is_not_used() {
    let mut state = ConfigState::new();
    let mut follower = ConfigFollower::default();
    let snapshot = large_state();
    let first = snapshot.next_offset().next();
    follower.begin_page(&state, first);
    let mut offset = u64::from(first);
    for part in parts_of(&snapshot, "s") {
        let record = record(offset, ConfigRecord::Snapshot(part).to_json());
        follower.apply_record(&mut state, &record);
        offset += 1;
    }
    let end = follower.end_page(&mut state, (first, LogOffset::from(offset)));
    assert_eq!(end, ReadProgress::NoSnapshot);
    assert_eq!(state.next_offset(), LogOffset::from(0));
}

/// Guards against snapshots that are published too late: the records after the previous one would
/// already have expired.
#[test]
fn a_snapshot_is_due_by_schedule_and_within_half_the_retention() {
    let schedule = SnapshotSchedule {
        records: 1000,
        interval: Duration::from_secs(60),
    };
    let range = |first, next| (LogOffset::from(first), LogOffset::from(next));
    let mut tracker = SnapshotTracker::default();
    assert!(
        !tracker.is_due(schedule, range(0, 0), 0),
        "an empty log needs no snapshot"
    );
    tracker.start_interval(10_000);
    assert!(!tracker.is_due(schedule, range(0, 999), 10_000));
    assert!(tracker.is_due(schedule, range(0, 1000), 10_000));
    assert!(
        tracker.is_due(schedule, range(0, 1), 70_000),
        "the interval has passed"
    );
    let head = |part, parts| SnapshotHead {
        nonce: "s".to_owned(),
        offset: LogOffset::from(1000),
        part,
        parts,
    };
    tracker.track_part(&head(0, 2), 75_000);
    assert!(
        tracker.is_due(schedule, range(0, 1002), 75_000),
        "the snapshot is not complete yet"
    );
    tracker.track_part(&head(1, 2), 80_000);
    assert!(!tracker.is_due(schedule, range(0, 1002), 80_000));
    assert!(tracker.is_due(schedule, range(0, 1002), 140_000));
    assert!(!tracker.is_due(schedule, range(900, 1098), 80_000));
    assert!(
        tracker.is_due(schedule, range(900, 1100), 80_000),
        "half of 200 retained records"
    );
}
