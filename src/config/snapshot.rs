//! Snapshots: the whole configuration in parts, so that a node can start without old records.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::change::{ChangeError, SectionRevisions};
use super::entry::{SectionEntry, for_section};
use super::model::SectionName;
use super::state::ConfigState;
use super::table::EntryRow;
use crate::ids::LogOffset;

/// The entries in one part: 70 KB as a record (measured in `benches/config.rs`), far below the log's and the peers' limits.
const PART_ROWS: usize = 1000;
/// The snapshots that are assembled at once. A second one is begun while another publisher, whose
/// lease has ended, still finishes its own; each costs the memory of a configuration.
const OPEN_LIMIT: usize = 2;

/// An entry: section, name, value and revision.
type SnapshotRow = (SectionName, String, Value, LogOffset);

/// One part of a snapshot. Parts are in section order, so that names that an entry refers to come
/// before it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SnapshotPart {
    /// The same for all parts of one snapshot.
    pub nonce: String,
    /// The snapshot has the effect of all records below this offset.
    pub offset: LogOffset,
    pub part: u32,
    pub parts: u32,
    /// In part 0 only, as the other fields below.
    #[serde(default, skip_serializing_if = "SectionRevisions::is_empty")]
    pub revisions: SectionRevisions,
    #[serde(default, skip_serializing_if = "SectionRevisions::is_empty")]
    pub forgotten: SectionRevisions,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub deleted: Vec<(LogOffset, SectionName, String)>,
    pub rows: Vec<SnapshotRow>,
}

/// What a node that needs no snapshot reads of a part.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct SnapshotHead {
    pub nonce: String,
    pub offset: LogOffset,
    pub part: u32,
    pub parts: u32,
}

/// The number of parts of a snapshot of `state`.
pub(crate) fn part_count(state: &ConfigState) -> u32 {
    let parts = state.entry_count().div_ceil(PART_ROWS).max(1);
    u32::try_from(parts).unwrap_or(u32::MAX)
}

/// Builds one part of a snapshot of `state`.
pub(crate) fn build_part(state: &ConfigState, nonce: &str, part: u32) -> SnapshotPart {
    let mut rows = Vec::new();
    let mut skip = part as usize * PART_ROWS;
    for section in SectionName::ALL {
        for_section!(section, E => push_rows::<E>(state, section, &mut skip, &mut rows));
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
        built.forgotten = state.deleted.forgotten.clone();
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
    let room = PART_ROWS - rows.len();
    for (name, row) in table.rows().skip(skipped).take(room) {
        let value = serde_json::to_value(&row.entry).expect("an entry has only string keys");
        rows.push((section, name.to_string(), value, row.revision));
    }
}

/// A snapshot of which the first parts were read.
#[derive(Debug)]
struct OpenSnapshot {
    nonce: String,
    next_part: u32,
    state: ConfigState,
}

impl OpenSnapshot {
    fn begin(part: &SnapshotPart) -> Self {
        let mut state = ConfigState::new();
        state.next = part.offset;
        state.revisions = part.revisions.clone();
        state.deleted.forgotten = part.forgotten.clone();
        for (offset, section, name) in &part.deleted {
            state.deleted.note(*offset, *section, name.clone());
        }
        Self {
            nonce: part.nonce.clone(),
            next_part: 0,
            state,
        }
    }

    fn add(&mut self, part: SnapshotPart) -> Result<(), ChangeError> {
        for (section, name, value, revision) in part.rows {
            for_section!(section, E => add_row::<E>(&mut self.state, section, &name, &value, revision))?;
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
    entry.share_names(&mut name, state);
    entry.enter(&name, &mut state.index).map_err(malformed)?;
    E::table_mut(state).insert(name, EntryRow { entry, revision });
    Ok(())
}

/// Assembles snapshots from their parts and keeps the newest complete one.
#[derive(Debug, Default)]
pub(crate) struct SnapshotReader {
    open: Vec<OpenSnapshot>,
    newest: Option<ConfigState>,
}

impl SnapshotReader {
    /// Takes the next part in log order. Repeated parts, which come from appends whose reply was
    /// lost, and parts of snapshots without a beginning are passed over.
    pub(crate) fn push(&mut self, part: SnapshotPart) {
        let newest = self.newest.as_ref().map(ConfigState::next_offset);
        if newest.is_some_and(|newest| part.offset <= newest) {
            return;
        }
        let known = |open: &OpenSnapshot| open.nonce == part.nonce;
        if part.part == 0 && !self.open.iter().any(known) {
            if self.open.len() >= OPEN_LIMIT {
                self.open.remove(0);
            }
            self.open.push(OpenSnapshot::begin(&part));
        }
        let Some(index) = self.open.iter().position(known) else {
            return;
        };
        let open = &mut self.open[index];
        if part.part != open.next_part {
            return;
        }
        let parts = part.parts;
        match open.add(part) {
            Ok(()) if open.next_part == parts => {
                let complete = self.open.remove(index);
                self.newest = Some(complete.state);
            }
            Ok(()) => {}
            Err(error) => {
                tracing::warn!("config: a snapshot is malformed: {error}");
                self.open.remove(index);
            }
        }
    }

    /// The newest complete snapshot.
    pub(crate) fn into_newest(self) -> Option<ConfigState> {
        self.newest
    }
}

/// Follows which snapshot in the log is the newest complete one.
#[derive(Debug, Default)]
pub(crate) struct SnapshotTracker {
    /// Nonce and next part of the snapshots that are being published.
    open: Vec<(String, u32)>,
    /// Offset of the newest complete snapshot.
    newest: Option<LogOffset>,
    /// When the log stored it, or the first record if there is none, by the log's clock.
    since_ms: Option<u64>,
}

/// When a snapshot is published again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SnapshotSchedule {
    /// After this many records at the latest.
    pub(crate) records: u64,
    /// After this time at the latest.
    pub(crate) interval: std::time::Duration,
}

impl SnapshotTracker {
    /// Notes any record's time.
    pub(crate) fn note_record(&mut self, at_ms: u64) {
        self.since_ms.get_or_insert(at_ms);
    }

    pub(crate) fn note_part(&mut self, head: &SnapshotHead, at_ms: u64) {
        let known = |open: &(String, u32)| open.0 == head.nonce;
        if head.part == 0 && !self.open.iter().any(known) {
            if self.open.len() >= OPEN_LIMIT {
                self.open.remove(0);
            }
            self.open.push((head.nonce.clone(), 0));
        }
        let Some(index) = self.open.iter().position(known) else {
            return;
        };
        if self.open[index].1 != head.part {
            return;
        }
        self.open[index].1 += 1;
        if self.open[index].1 < head.parts {
            return;
        }
        self.open.remove(index);
        if self.newest < Some(head.offset) {
            self.newest = Some(head.offset);
            self.since_ms = Some(at_ms);
        }
    }

    /// When the log stored the newest snapshot, or the first record if there is none.
    pub(crate) fn since_ms(&self) -> Option<u64> {
        self.since_ms
    }

    /// Takes in what a peer knows of the newest snapshot in the log.
    pub(crate) fn learn(&mut self, newest: Option<LogOffset>, since_ms: Option<u64>) {
        if self.newest < newest || self.since_ms.is_none() {
            self.newest = newest;
            self.since_ms = since_ms;
        }
    }

    /// The offset of the newest complete snapshot.
    pub(crate) fn newest(&self) -> Option<LogOffset> {
        self.newest
    }

    /// Whether it is time to publish. `first` and `next` are the log's limits and `log_now_ms` is
    /// its clock. Half of what the log keeps is an upper bound whatever the schedule says, since a
    /// snapshot without the records after it is useless.
    pub(crate) fn is_due(
        &self,
        schedule: SnapshotSchedule,
        (first, next): (LogOffset, LogOffset),
        log_now_ms: u64,
    ) -> bool {
        let (first, next) = (u64::from(first), u64::from(next));
        let Some(since_ms) = self.since_ms else {
            return false;
        };
        let mut limit = schedule.records;
        if first > 0 {
            limit = limit.min((next - first) / 2);
        }
        let newest = self.newest.map_or(0, u64::from);
        let interval_ms = u64::try_from(schedule.interval.as_millis()).unwrap_or(u64::MAX);
        next - newest.min(next) >= limit || log_now_ms.saturating_sub(since_ms) >= interval_ms
    }
}
