//! Applies the records of the configuration stream to this node's copy of the configuration.

use serde::{Deserialize, Serialize};

use super::change::{ChangeError, ConfigChange};
use super::snapshot::{SnapshotAssembler, SnapshotHead, SnapshotPart, SnapshotTracker};
use super::state::ConfigState;
use crate::ids::LogOffset;
use crate::platform_client::LogRecord;

/// A record of the configuration stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ConfigRecord {
    Change(ConfigChange),
    Snapshot(SnapshotPart),
}

impl ConfigRecord {
    pub(crate) fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a record has only string keys")
    }
}

/// A record as parsed by a node that needs no snapshot: the entries of snapshots are skipped.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum FollowedRecord {
    Change(ConfigChange),
    Snapshot(SnapshotHead),
}

/// The result of applying a change.
#[derive(Debug)]
pub(crate) struct ChangeOutcome {
    /// The nonce of the change; empty if the record could not be parsed.
    pub(crate) nonce: String,
    pub(crate) result: Result<(), ChangeError>,
}

/// How far a node has read the log after a page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadProgress {
    /// All records up to the end of the log are applied.
    AtTail,
    /// There are more records to read.
    Behind,
    /// Records that this node still needs have expired, and the log has no usable snapshot.
    NoSnapshot,
}

/// A scan of all retained records for the newest complete snapshot.
#[derive(Debug)]
struct SnapshotScan {
    position: LogOffset,
    assembler: SnapshotAssembler,
}

/// Tracks the read position in the log. The configuration state is a parameter of each method
/// because it is shared with request handlers under its own lock.
#[derive(Debug, Default)]
pub(crate) struct ConfigFollower {
    scan: Option<SnapshotScan>,
    pub(crate) tracker: SnapshotTracker,
}

impl ConfigFollower {
    /// The offset to read from next.
    pub(crate) fn position(&self, state: &ConfigState) -> LogOffset {
        match &self.scan {
            Some(scan) => scan.position,
            None => state.next_offset(),
        }
    }

    /// Prepares for a page of a log whose first retained record is at `first`. If the next record
    /// has expired, this starts a scan for a snapshot, since continuing at `first` would skip
    /// changes.
    pub(crate) fn begin_page(&mut self, state: &ConfigState, first: LogOffset) {
        if self.scan.is_none() && first > state.next_offset() {
            tracing::info!(
                "config: records below offset {first} have expired, looking for a snapshot"
            );
            self.scan = Some(SnapshotScan {
                position: first,
                assembler: SnapshotAssembler::default(),
            });
        }
    }

    /// Applies a record to `state`. During a scan it only collects snapshot parts. Returns the
    /// outcome of a change or of a malformed record.
    pub(crate) fn apply_record(
        &mut self,
        state: &mut ConfigState,
        record: &LogRecord,
    ) -> Option<ChangeOutcome> {
        if let Some(scan) = &mut self.scan {
            scan.position = record.offset.next();
            if let Ok(ConfigRecord::Snapshot(part)) = serde_json::from_str(&record.data) {
                scan.assembler.push(part);
            }
            return None;
        }
        self.tracker.start_interval(record.at_ms);
        match serde_json::from_str(&record.data) {
            Ok(FollowedRecord::Change(change)) => {
                let result = state.apply(record.offset, &change);
                let nonce = change.nonce;
                Some(ChangeOutcome { nonce, result })
            }
            Ok(FollowedRecord::Snapshot(head)) => {
                state.skip(record.offset);
                self.tracker.track_part(&head, record.at_ms);
                None
            }
            Err(_) => {
                state.skip(record.offset);
                let result = Err(ChangeError::Malformed);
                let nonce = String::new();
                Some(ChangeOutcome { nonce, result })
            }
        }
    }

    /// Completes a page of a log that retains the offsets from `first` up to, but not including,
    /// `next`.
    pub(crate) fn end_page(
        &mut self,
        state: &mut ConfigState,
        (first, next): (LogOffset, LogOffset),
    ) -> ReadProgress {
        let Some(scan) = &self.scan else {
            let at_tail = state.next_offset() >= next;
            return if at_tail {
                ReadProgress::AtTail
            } else {
                ReadProgress::Behind
            };
        };
        if scan.position < next {
            return ReadProgress::Behind;
        }
        let scan = self.scan.take();
        let newest = scan.and_then(|scan| scan.assembler.into_newest());
        let usable = newest.filter(|newest| newest.next_offset() >= first);
        match usable {
            Some(newest) if newest.next_offset() > state.next_offset() => {
                install_snapshot(state, newest);
                ReadProgress::Behind
            }
            _ => ReadProgress::NoSnapshot,
        }
    }
}

/// Replaces the state by a snapshot if that is newer. An older one is ignored, since it would
/// revert entries.
pub(crate) fn install_snapshot(state: &mut ConfigState, snapshot: ConfigState) -> bool {
    if snapshot.next_offset() <= state.next_offset() {
        return false;
    }
    *state = snapshot;
    true
}
