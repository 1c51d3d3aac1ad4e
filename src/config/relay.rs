//! Applied records that are passed on to peers which can't read the log.

use std::collections::VecDeque;

use super::service::{ConfigService, lock};
use crate::ids::LogOffset;
use crate::log_service::LogRecord;

/// The newest records that are kept for peers.
const RECENT_RECORDS: usize = 1000;

/// The newest applied records without a gap.
#[derive(Debug, Default)]
pub(super) struct RecentRecords(VecDeque<LogRecord>);

impl RecentRecords {
    fn keep(&mut self, record: &LogRecord) {
        let next = self.0.back().map(|last| last.offset.next());
        if next.is_some_and(|next| record.offset < next) {
            return;
        }
        if next.is_some_and(|next| record.offset > next) {
            self.0.clear();
        }
        self.0.push_back(record.clone());
        if self.0.len() > RECENT_RECORDS {
            self.0.pop_front();
        }
    }

    fn from(&self, offset: LogOffset) -> Vec<LogRecord> {
        let records = self.0.iter().skip_while(|record| record.offset != offset);
        records.cloned().collect()
    }
}

impl ConfigService {
    /// The applied records from `from` on, for a peer; empty if the first is no longer kept.
    pub(crate) fn recent_from(&self, from: LogOffset) -> Vec<LogRecord> {
        lock(&self.recent).from(from)
    }

    /// Applies records that a peer has read, as far as they follow on this node's own.
    pub(crate) fn apply_relayed(&self, records: &[LogRecord]) {
        let mut follower = lock(&self.follower);
        for record in records {
            let next = self.current().next_offset();
            if record.offset == next && follower.position(&self.current()) == next {
                self.take_record(&mut follower, record);
            }
        }
    }

    pub(super) fn keep_recent(&self, record: &LogRecord) {
        lock(&self.recent).keep(record);
    }
}
