//! Which part of the targets' log a VM knows through the relays of other VMs, in a large fleet, and
//! which part a reader claims to have relayed.
//!
//! Load pattern: a few VMs read the log for hundreds and relay only the records that change where
//! requests may go. Datagrams are lost one by one, or all of them behind a partition, and a VM that
//! misses a record sends requests to a target that leaves. Several readers relay the same records,
//! so that most losses are made up for without a read. When a zone's targets return together, their
//! records, sent to every VM, would fill a reader's link for seconds, with callers' requests and
//! responses behind them; then the other VMs read the log themselves. The store may come back from a
//! copy, whose offsets are lower and stand for other records; a span of a newer era is a gap for every
//! VM that hasn't read that history itself.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::ids::{ByteRate, LogPosition, TargetName};

/// How long another reader's relay may still close a gap.
const GAP_GRACE: Duration = Duration::from_millis(200);
/// The silence of all readers after which the VM reads the log itself, as a fraction of the time in
/// which it must know of a target that leaves. The rest is for the read and a retry.
const SILENCE_FRACTION: f64 = 0.36;
/// How often a reader announces how far its relays reach.
pub(crate) const RELAY_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// The shortest limit of silence: each reader misses two announcements in it.
const MIN_SILENCE_LIMIT: Duration = Duration::from_millis(1100);
/// How long a reader relays again what it knows from another one's relay; longer than the time
/// between two reads.
const RELAYED_LIFETIME: Duration = Duration::from_secs(3);

/// A span of the log of which a sender has relayed every record that matters to other VMs: from
/// `from` up to but not including `until`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RelaySpan {
    pub(crate) from: LogPosition,
    pub(crate) until: LogPosition,
}

/// Whether a reader sends the records that it has read and that matter to other VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RelayContent {
    /// There is none.
    NoRecords,
    Records,
    /// They are too long to be sent to all VMs, which must read them themselves.
    TooLong,
}

/// How much a reader may relay after one read.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RelayLimit {
    /// The rate of this VM's own link.
    pub(crate) link_rate: ByteRate,
    /// The time within which the next part of a response must be passed on.
    pub(crate) forwarding_time: Duration,
}

impl RelayLimit {
    /// The fraction of the forwarding time for which relays may occupy the link.
    const FORWARDING_FRACTION: f64 = 0.5;
    /// The longest record that a message may hold; receivers drop longer datagrams.
    const MAX_RECORD_BYTES: usize = 8 * 1024;

    /// Decides whether records of these sizes, in bytes, may be sent to each of `peers`.
    pub(crate) fn content(self, records: &[usize], peers: usize) -> RelayContent {
        if records.iter().any(|bytes| *bytes > Self::MAX_RECORD_BYTES) {
            return RelayContent::TooLong;
        }
        let bytes: usize = records.iter().sum();
        let limit = self
            .link_rate
            .bytes_in(self.forwarding_time.mul_f64(Self::FORWARDING_FRACTION));
        match (bytes as u64).saturating_mul(peers as u64) {
            0 => RelayContent::NoRecords,
            total if total <= limit => RelayContent::Records,
            _ => RelayContent::TooLong,
        }
    }
}

impl RelaySpan {
    /// Whether the span claims nothing.
    pub(crate) fn is_empty(self) -> bool {
        self.from >= self.until
    }

    /// Divides the span among messages. `starts` holds the offset of the first record of each, in
    /// the order of the log. A part ends where the next message's records begin, so that the
    /// messages up to and including its own hold all of its records.
    pub(crate) fn split(self, starts: &[LogPosition]) -> Vec<Self> {
        let mut from = self.from;
        let next_starts = starts.iter().skip(1).copied().chain([self.until]);
        let part = |end: LogPosition| {
            let until = end.clamp(from, self.until.max(from));
            Self {
                from: std::mem::replace(&mut from, until),
                until,
            }
        };
        next_starts.map(part).collect()
    }
}

/// How far this VM knows the log.
#[derive(Debug, Default)]
pub(crate) struct RelayCoverage {
    /// Every record before this offset that matters is known. Unset before the first read.
    known_until: Option<LogPosition>,
    /// The end of the spans that could not be appended, and when the first of them arrived.
    gap: Option<(LogPosition, Timestamp)>,
    /// When this VM last read the log or received a relay.
    heard_at: Timestamp,
}

impl RelayCoverage {
    /// Whether this VM knows of changes from `offset` on.
    pub(crate) fn is_beyond(&self, offset: LogPosition) -> bool {
        self.known_until.is_some_and(|known| known > offset)
    }

    /// Records that this VM has read the log up to `until`.
    pub(crate) fn record_read(&mut self, until: LogPosition, now: Timestamp) {
        self.heard_at = now;
        self.extend(until);
    }

    /// Every record before this offset that matters is known. `None` before the first read.
    pub(crate) fn known_until(&self) -> Option<LogPosition> {
        self.known_until
    }

    /// Records a span that a reader has relayed. Returns the offset from which on its records are
    /// new to this VM, or `None` if none is. Older ones must not be applied again, since a VM that
    /// has just started does not know what was removed before.
    pub(crate) fn record_relay(&mut self, span: RelaySpan, now: Timestamp) -> Option<LogPosition> {
        let known = self.known_until;
        if known.is_some_and(|known| span.until.era < known.era) {
            // A reader that doesn't know yet that the store was restored.
            return None;
        }
        self.heard_at = now;
        let known = known?;
        if span.from <= known {
            self.extend(span.until);
        } else {
            let (end, since) = self.gap.unwrap_or((span.until, now));
            self.gap = Some((end.max(span.until), since));
        }
        (span.until > known).then_some(known)
    }

    /// How long this VM has neither read the log nor heard a reader.
    pub(crate) fn silence(&self, now: Timestamp) -> Duration {
        now.since(self.heard_at)
    }

    fn extend(&mut self, until: LogPosition) {
        let known = self.known_until.map_or(until, |known| known.max(until));
        self.known_until = Some(known);
        self.gap = self.gap.filter(|(end, _)| *end > known);
    }

    /// The time after which this VM must read the log, unless relays arrive before. Zero if it must
    /// read now. `drain_time` is the time in which it must know of a target that leaves.
    pub(crate) fn time_to_read(&self, drain_time: Duration, now: Timestamp) -> Duration {
        let limit = drain_time.mul_f64(SILENCE_FRACTION).max(MIN_SILENCE_LIMIT);
        let silence = limit.saturating_sub(now.since(self.heard_at));
        match self.gap {
            Some((_, since)) => GAP_GRACE.saturating_sub(now.since(since)).min(silence),
            None => silence,
        }
    }
}

/// What a reader has relayed, from which follows the span that its next message may claim.
#[derive(Debug, Default)]
pub(crate) struct RelayClaim {
    /// The end of the last span with records. Unset while this VM is no reader, and before its first
    /// read as one, which reaches back to records that it knows from relays.
    relayed_until: Option<LogPosition>,
    /// The targets that relays of other readers have changed, and when.
    relayed_by_others: FastMap<TargetName, Timestamp>,
}

impl RelayClaim {
    /// Records that another reader has relayed a change of `target`.
    pub(crate) fn record_foreign(&mut self, target: TargetName, now: Timestamp) {
        self.relayed_by_others
            .retain(|_, relayed_at| now.since(*relayed_at) < RELAYED_LIFETIME);
        self.relayed_by_others.insert(target, now);
    }

    /// Whether this VM knew of the change of a target before it read the record, so that the record
    /// is no change any more. It is relayed all the same, since the span claims all records.
    pub(crate) fn is_known(&self, target: &TargetName, now: Timestamp) -> bool {
        let relayed_at = self.relayed_by_others.get(target);
        relayed_at.is_some_and(|time| now.since(*time) < RELAYED_LIFETIME)
    }

    /// Returns the span that a read up to `until` allows this VM to claim. It is empty after the first
    /// read as a reader, whose records other readers have relayed, and if the records are too long;
    /// none are sent then.
    pub(crate) fn claim(&mut self, until: LogPosition, content: RelayContent) -> RelaySpan {
        let from = match content {
            RelayContent::TooLong => until,
            _ => *self.relayed_until.get_or_insert(until),
        };
        if content != RelayContent::NoRecords {
            self.relayed_until = Some(until);
        }
        RelaySpan { from, until }
    }

    /// The span to announce until the next read, if this VM has claimed any.
    pub(crate) fn announced(&self, until: LogPosition) -> Option<RelaySpan> {
        self.relayed_until.map(|from| RelaySpan { from, until })
    }

    /// Claims nothing before the next read: this VM is no reader, or could not read for a while.
    pub(crate) fn reset(&mut self) {
        self.relayed_until = None;
    }
}
