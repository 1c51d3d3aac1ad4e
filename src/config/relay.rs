//! Relays applied records to peers that cannot read the log.

use std::collections::VecDeque;

use super::service::{ConfigService, lock};
use crate::ids::LogOffset;
use crate::platform_client::LogRecord;

/// How many records are kept for peers.
const MAX_RECENT_RECORDS: usize = 1000;

/// The newest applied records, with contiguous offsets.
#[derive(Debug, Default)]
pub(super) struct RecentRecords(VecDeque<LogRecord>);

impl RecentRecords {
    fn push(&mut self, record: &LogRecord) {
        let next = self.0.back().map(|last| last.offset.next());
        if next.is_some_and(|next| record.offset < next) {
            return;
        }
        if next.is_some_and(|next| record.offset > next) {
            self.0.clear();
        }
        self.0.push_back(record.clone());
        if self.0.len() > MAX_RECENT_RECORDS {
            self.0.pop_front();
        }
    }

    fn starting_at(&self, offset: LogOffset) -> Vec<LogRecord> {
        let records = self.0.iter().skip_while(|record| record.offset != offset);
        records.cloned().collect()
    }
}

impl ConfigService {
    /// The applied records from offset `from` on; empty if the record at `from` is not kept.
    pub(crate) fn recent_records_from(&self, from: LogOffset) -> Vec<LogRecord> {
        lock(&self.recent_records).starting_at(from)
    }

    /// Applies records that a peer has read from the log, as long as each is the next one that this
    /// node has to apply. Ignores them while this node scans the log for a snapshot.
    pub(crate) fn apply_relayed(&self, records: &[LogRecord]) {
        let mut follower = lock(&self.follower);
        for record in records {
            let next = self.current().next_offset();
            if record.offset == next && follower.position(&self.current()) == next {
                self.apply_record(&mut follower, record);
            }
        }
    }

    pub(super) fn cache_record(&self, record: &LogRecord) {
        lock(&self.recent_records).push(record);
    }
}
