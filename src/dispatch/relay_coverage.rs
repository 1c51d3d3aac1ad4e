//! Which part of the targets' log a VM knows through the relays of other VMs, in a large fleet.
//!
//! Load pattern: a few VMs read the log for hundreds and relay only the records that change where
//! requests may go. Datagrams are lost one by one, or all of them behind a partition, and a VM that
//! misses a record sends requests to a target that leaves. Several readers relay the same records,
//! so that most losses are made up for without a read.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::LogOffset;

/// How long another reader's relay may still close a gap.
const GAP_GRACE: Duration = Duration::from_millis(200);
/// The silence of all readers after which the VM reads the log itself. Each reader misses two
/// announcements in it; with the read and one retry, the VM knows of a target that leaves in time.
pub(crate) const MAX_RELAY_SILENCE: Duration = Duration::from_millis(1100);
/// How often a reader announces how far its relays reach.
pub(crate) const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// A span of the log of which a sender has relayed every record that matters to other VMs: from
/// `from` up to but not including `until`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RelaySpan {
    pub(crate) from: LogOffset,
    pub(crate) until: LogOffset,
}

impl RelaySpan {
    /// The part of the span that the message number `index` of `count` covers. Each message holds at
    /// least one record, in the order of the log, so that those up to this one hold all records
    /// before the part's end.
    pub(crate) fn part(self, index: usize, count: usize) -> Self {
        let offset = |index: usize| LogOffset::from(u64::from(self.from) + index as u64);
        let until = if index + 1 == count {
            self.until
        } else {
            offset(index + 1)
        };
        Self {
            from: offset(index).min(until),
            until,
        }
    }
}

/// How far this VM knows the log.
#[derive(Debug, Default)]
pub(crate) struct RelayCoverage {
    /// Every record before this offset that matters is known. Unset before the first read.
    known_until: Option<LogOffset>,
    /// The end of the spans that could not be appended, and when the first of them arrived.
    gap: Option<(LogOffset, Timestamp)>,
    heard_at: Timestamp,
}

impl RelayCoverage {
    /// Records that this VM has read the log up to `until`.
    pub(crate) fn record_read(&mut self, until: LogOffset, now: Timestamp) {
        self.heard_at = now;
        self.extend(until);
    }

    /// Records a span that a reader has relayed. Returns whether its records may be new to this VM;
    /// older ones must not be applied again, since a VM that has just started does not know what
    /// was removed before.
    pub(crate) fn record_relay(&mut self, span: RelaySpan, now: Timestamp) -> bool {
        self.heard_at = now;
        let Some(known) = self.known_until else {
            return false;
        };
        if span.from <= known {
            self.extend(span.until);
        } else {
            let (end, since) = self.gap.unwrap_or((span.until, now));
            self.gap = Some((end.max(span.until), since));
        }
        span.until > known
    }

    fn extend(&mut self, until: LogOffset) {
        let known = self.known_until.map_or(until, |known| known.max(until));
        self.known_until = Some(known);
        self.gap = self.gap.filter(|(end, _)| *end > known);
    }

    /// The time after which this VM must read the log, unless relays arrive before. Zero if it must
    /// read now.
    pub(crate) fn time_to_read(&self, now: Timestamp) -> Duration {
        let silence = MAX_RELAY_SILENCE.saturating_sub(now.since(self.heard_at));
        match self.gap {
            Some((_, since)) => GAP_GRACE.saturating_sub(now.since(since)).min(silence),
            None => silence,
        }
    }
}
