//! Decides what each record of the log does to this node's copy of the configuration.

use serde::{Deserialize, Serialize};

use super::change::{ChangeError, ConfigChange};
use super::snapshot::{SnapshotHead, SnapshotPart, SnapshotReader, SnapshotTracker};
use super::state::ConfigState;
use crate::ids::LogOffset;
use crate::log_service::LogRecord;

/// A record as it is written.
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

/// A record as a node in normal operation reads it: without the entries of snapshots.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum FollowedRecord {
    Change(ConfigChange),
    Snapshot(SnapshotHead),
}

/// The verdict on the change with this nonce.
#[derive(Debug)]
pub(crate) struct ChangeVerdict {
    pub(crate) nonce: String,
    pub(crate) verdict: Result<(), ChangeError>,
}

/// Where a node stands after a page of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PageEnd {
    /// All records up to the log's tail are applied.
    AtTail,
    /// There is more to read.
    Behind,
    /// Records that this node needs have expired, and the log has no usable snapshot.
    NoSnapshot,
}

/// A pass over all kept records in search of the newest complete snapshot.
#[derive(Debug)]
struct SnapshotScan {
    position: LogOffset,
    reader: SnapshotReader,
}

/// Follows the log. The state itself is handed in, since requests read it under a lock.
#[derive(Debug, Default)]
pub(crate) struct ConfigFollower {
    scan: Option<SnapshotScan>,
    pub(crate) tracker: SnapshotTracker,
}

impl ConfigFollower {
    /// Where to read next.
    pub(crate) fn position(&self, state: &ConfigState) -> LogOffset {
        match &self.scan {
            Some(scan) => scan.position,
            None => state.next_offset(),
        }
    }

    /// Begins a page of a log that starts at `first`. If the next record has expired, the state
    /// can only come from a snapshot: to go on at `first` would skip changes.
    pub(crate) fn begin_page(&mut self, state: &ConfigState, first: LogOffset) {
        if self.scan.is_none() && first > state.next_offset() {
            tracing::info!("config: records up to {first} have expired, looking for a snapshot");
            self.scan = Some(SnapshotScan {
                position: first,
                reader: SnapshotReader::default(),
            });
        }
    }

    pub(crate) fn take_record(
        &mut self,
        state: &mut ConfigState,
        record: &LogRecord,
    ) -> Option<ChangeVerdict> {
        if let Some(scan) = &mut self.scan {
            scan.position = record.offset.next();
            if let Ok(ConfigRecord::Snapshot(part)) = serde_json::from_str(&record.data) {
                scan.reader.push(part);
            }
            return None;
        }
        self.tracker.note_record(record.at_ms);
        match serde_json::from_str(&record.data) {
            Ok(FollowedRecord::Change(change)) => {
                let verdict = state.apply(record.offset, &change);
                let nonce = change.nonce;
                Some(ChangeVerdict { nonce, verdict })
            }
            Ok(FollowedRecord::Snapshot(head)) => {
                state.skip(record.offset);
                self.tracker.note_part(&head, record.at_ms);
                None
            }
            Err(_) => {
                state.skip(record.offset);
                let verdict = Err(ChangeError::Malformed);
                let nonce = String::new();
                Some(ChangeVerdict { nonce, verdict })
            }
        }
    }

    /// Ends a page of a log that keeps the records from `first` to below `next`.
    pub(crate) fn end_page(
        &mut self,
        state: &mut ConfigState,
        (first, next): (LogOffset, LogOffset),
    ) -> PageEnd {
        let Some(scan) = &self.scan else {
            let at_tail = state.next_offset() >= next;
            return if at_tail {
                PageEnd::AtTail
            } else {
                PageEnd::Behind
            };
        };
        if scan.position < next {
            return PageEnd::Behind;
        }
        let scan = self.scan.take();
        let newest = scan.and_then(|scan| scan.reader.into_newest());
        let usable = newest.filter(|newest| newest.next_offset() >= first);
        match usable {
            Some(newest) if newest.next_offset() > state.next_offset() => {
                adopt(state, newest);
                PageEnd::Behind
            }
            _ => PageEnd::NoSnapshot,
        }
    }
}

/// Replaces the state by a newer snapshot. An older one is ignored, so that no entry reverts.
pub(crate) fn adopt(state: &mut ConfigState, snapshot: ConfigState) -> bool {
    if snapshot.next_offset() <= state.next_offset() {
        return false;
    }
    *state = snapshot;
    true
}
