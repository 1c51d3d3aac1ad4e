//! Snapshots of the configuration, split into parts, so that a node can start without the records
//! that led to it.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::change::{ChangeError, SectionRevisions};
use super::entry::{SectionEntry, with_entry_type};
use super::model::SectionName;
use super::state::ConfigState;
use super::table::EntryRow;
use crate::ids::LogOffset;

/// The number of entries in one part. This makes records of about 70 KB, far below the size limits
/// of the log and of messages between peers.
const ROWS_PER_PART: usize = 1000;
/// How many snapshots are assembled at the same time. Two snapshots can overlap in the log when a
/// publisher whose lease has expired still appends parts after its successor has started. Each one
/// takes the memory of a whole configuration.
const MAX_PARTIAL_SNAPSHOTS: usize = 2;

/// An entry: section, name, value and revision.
type SnapshotRow = (SectionName, String, Value, LogOffset);

/// One part of a snapshot. The entries are in the order of the sections, so that an entry comes
/// after the entries that it refers to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SnapshotPart {
    /// Identifies the snapshot that the part belongs to.
    pub nonce: String,
    /// The snapshot includes the changes of all records below this offset.
    pub offset: LogOffset,
    pub part: u32,
    pub parts: u32,
    /// Like `forgotten` and `deleted`, this is only set in part 0.
    #[serde(default, skip_serializing_if = "SectionRevisions::is_empty")]
    pub revisions: SectionRevisions,
    /// The offset of the newest evicted deletion in each section.
    #[serde(default, skip_serializing_if = "SectionRevisions::is_empty")]
    pub forgotten: SectionRevisions,
    /// The kept deletions, oldest first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub deleted: Vec<(LogOffset, SectionName, String)>,
    pub rows: Vec<SnapshotRow>,
}

/// The fields of a part that are parsed by a node that does not need the snapshot.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct SnapshotHead {
    pub nonce: String,
    pub offset: LogOffset,
    pub part: u32,
    pub parts: u32,
}

/// The number of parts of a snapshot of `state`.
pub(crate) fn part_count(state: &ConfigState) -> u32 {
    let parts = state.entry_count().div_ceil(ROWS_PER_PART).max(1);
    u32::try_from(parts).unwrap_or(u32::MAX)
}

/// Builds one part of a snapshot of `state`.
pub(crate) fn build_part(state: &ConfigState, nonce: &str, part: u32) -> SnapshotPart {
    let mut rows = Vec::new();
    let mut skip = part as usize * ROWS_PER_PART;
    for section in SectionName::ALL {
        with_entry_type!(section, E => push_rows::<E>(state, section, &mut skip, &mut rows));
    }
    let mut built = SnapshotPart {
        nonce: nonce.to_owned(),
        offset: state.next_offset(),
        part,
        parts: part_count(state),
        revisions: SectionRevisions::new(),
        forgotten: SectionRevisions::new(),
        deleted: Vec::new(),
        rows,
    };
    if part == 0 {
        built.revisions = state.revisions().clone();
        built.forgotten = state.deleted.evicted.clone();
        built.deleted = state.deleted.iter().cloned().collect();
    }
    built
}

fn push_rows<E: SectionEntry>(
    state: &ConfigState,
    section: SectionName,
    skip: &mut usize,
    rows: &mut Vec<SnapshotRow>,
) {
    let table = E::table(state);
    let skipped = (*skip).min(table.len());
    *skip -= skipped;
    let room = ROWS_PER_PART - rows.len();
    for (name, row) in table.rows().skip(skipped).take(room) {
        let value = serde_json::to_value(&row.entry).expect("an entry has only string keys");
        rows.push((section, name.to_string(), value, row.revision));
    }
}

/// A snapshot of which the first parts have been read.
#[derive(Debug)]
struct PartialSnapshot {
    nonce: String,
    next_part: u32,
    state: ConfigState,
}

impl PartialSnapshot {
    fn start(part: &SnapshotPart) -> Self {
        let mut state = ConfigState::new();
        state.next = part.offset;
        state.revisions = part.revisions.clone();
        state.deleted.evicted = part.forgotten.clone();
        for (offset, section, name) in &part.deleted {
            state.deleted.insert(*offset, *section, name.clone());
        }
        Self {
            nonce: part.nonce.clone(),
            next_part: 0,
            state,
        }
    }

    fn add(&mut self, part: SnapshotPart) -> Result<(), ChangeError> {
        for (section, name, value, revision) in part.rows {
            with_entry_type!(section, E =>
                add_row::<E>(&mut self.state, section, &name, &value, revision))?;
        }
        self.next_part += 1;
        Ok(())
    }
}

fn add_row<E: SectionEntry>(
    state: &mut ConfigState,
    section: SectionName,
    text: &str,
    value: &Value,
    revision: LogOffset,
) -> Result<(), ChangeError> {
    let malformed = |reason: String| ChangeError::invalid(section, text, reason);
    let mut name = text
        .parse::<E::Name>()
        .map_err(|error| malformed(error.to_string()))?;
    let mut entry = E::deserialize(value).map_err(|error| malformed(error.to_string()))?;
    entry.intern_names(&mut name, state);
    entry
        .add_to_index(&name, &mut state.index)
        .map_err(malformed)?;
    E::table_mut(state).insert(name, EntryRow { entry, revision });
    Ok(())
}

/// Assembles snapshots from their parts and retains the newest complete one.
#[derive(Debug, Default)]
pub(crate) struct SnapshotAssembler {
    partial: Vec<PartialSnapshot>,
    newest: Option<ConfigState>,
}

impl SnapshotAssembler {
    /// Adds the next part in log order. Duplicate parts, which result from lost append replies, and
    /// parts of snapshots whose part 0 was not read are ignored.
    pub(crate) fn push(&mut self, part: SnapshotPart) {
        let newest = self.newest.as_ref().map(ConfigState::next_offset);
        if newest.is_some_and(|newest| part.offset <= newest) {
            return;
        }
        let is_same = |partial: &PartialSnapshot| partial.nonce == part.nonce;
        if part.part == 0 && !self.partial.iter().any(is_same) {
            if self.partial.len() >= MAX_PARTIAL_SNAPSHOTS {
                self.partial.remove(0);
            }
            self.partial.push(PartialSnapshot::start(&part));
        }
        let Some(index) = self.partial.iter().position(is_same) else {
            return;
        };
        let partial = &mut self.partial[index];
        if part.part != partial.next_part {
            return;
        }
        let parts = part.parts;
        match partial.add(part) {
            Ok(()) if partial.next_part == parts => {
                let complete = self.partial.remove(index);
                self.newest = Some(complete.state);
            }
            Ok(()) => {}
            Err(error) => {
                tracing::warn!("config: ignoring a malformed snapshot: {error}");
                self.partial.remove(index);
            }
        }
    }

    /// The state of the newest complete snapshot.
    pub(crate) fn into_newest(self) -> Option<ConfigState> {
        self.newest
    }
}

/// Tracks the newest complete snapshot in the log, to decide when the next one is due.
#[derive(Debug, Default)]
pub(crate) struct SnapshotTracker {
    /// The nonce and the next part of each incomplete snapshot.
    partial: Vec<(String, u32)>,
    /// The configuration offset of the newest complete snapshot.
    newest: Option<LogOffset>,
    /// When the newest snapshot was completed, or the first record was appended if there is no
    /// snapshot, by the log's clock.
    interval_start_ms: Option<u64>,
}

/// When the next snapshot is due: after a number of records or a time, whichever comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SnapshotSchedule {
    pub(crate) records: u64,
    pub(crate) interval: std::time::Duration,
}

impl SnapshotTracker {
    /// Starts the snapshot interval at the time of the first record.
    pub(crate) fn start_interval(&mut self, at_ms: u64) {
        self.interval_start_ms.get_or_insert(at_ms);
    }

    /// Updates the newest snapshot if the part completes one.
    pub(crate) fn track_part(&mut self, head: &SnapshotHead, at_ms: u64) {
        let is_same = |partial: &(String, u32)| partial.0 == head.nonce;
        if head.part == 0 && !self.partial.iter().any(is_same) {
            if self.partial.len() >= MAX_PARTIAL_SNAPSHOTS {
                self.partial.remove(0);
            }
            self.partial.push((head.nonce.clone(), 0));
        }
        let Some(index) = self.partial.iter().position(is_same) else {
            return;
        };
        if self.partial[index].1 != head.part {
            return;
        }
        self.partial[index].1 += 1;
        if self.partial[index].1 < head.parts {
            return;
        }
        self.partial.remove(index);
        if self.newest < Some(head.offset) {
            self.newest = Some(head.offset);
            self.interval_start_ms = Some(at_ms);
        }
    }

    /// The log's time from which the interval to the next snapshot counts.
    pub(crate) fn interval_start_ms(&self) -> Option<u64> {
        self.interval_start_ms
    }

    /// Uses a peer's tracking data if the peer knows a newer snapshot, or if this node has no
    /// tracking data yet.
    pub(crate) fn merge_from_peer(
        &mut self,
        newest: Option<LogOffset>,
        interval_start_ms: Option<u64>,
    ) {
        if self.newest < newest || self.interval_start_ms.is_none() {
            self.newest = newest;
            self.interval_start_ms = interval_start_ms;
        }
    }

    /// The configuration offset of the newest complete snapshot.
    pub(crate) fn newest(&self) -> Option<LogOffset> {
        self.newest
    }

    /// Whether it is time to publish a snapshot. `first` and `next` are the range of offsets in the
    /// log and `log_now_ms` is its clock. A snapshot is due at the latest after half of the records
    /// that the log retains, whatever the schedule, since a snapshot is useless once the records
    /// after it have expired.
    pub(crate) fn is_due(
        &self,
        schedule: SnapshotSchedule,
        (first, next): (LogOffset, LogOffset),
        log_now_ms: u64,
    ) -> bool {
        let (first, next) = (u64::from(first), u64::from(next));
        let Some(interval_start_ms) = self.interval_start_ms else {
            return false;
        };
        let mut limit = schedule.records;
        // While no record has expired, the retention of the log is not known.
        if first > 0 {
            limit = limit.min((next - first) / 2);
        }
        let newest = self.newest.map_or(0, u64::from);
        let interval_ms = u64::try_from(schedule.interval.as_millis()).unwrap_or(u64::MAX);
        next - newest.min(next) >= limit
            || log_now_ms.saturating_sub(interval_start_ms) >= interval_ms
    }
}
