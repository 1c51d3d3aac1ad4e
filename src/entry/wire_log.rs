//! The parts of messages between entry VMs that name positions in the store's logs.

use bytes::Bytes;
use prost::Message;

use crate::dispatch::config_lag::ConfigView;
use crate::dispatch::relay_coverage::RelaySpan;
use crate::ids::LogPosition;
use crate::platform::store::KeyedRecord;

/// A span of offsets of the targets' log of which the sender has relayed all urgent records.
#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct RelayedSpan {
    #[prost(uint64, tag = "1")]
    pub(crate) from: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) until: u64,
    /// The era of the store to which the offsets belong, those of the records too.
    #[prost(uint64, tag = "3")]
    pub(crate) era: u64,
}

impl From<RelaySpan> for RelayedSpan {
    fn from(span: RelaySpan) -> Self {
        Self {
            from: span.from.offset.into(),
            until: span.until.offset.into(),
            era: span.until.era.into(),
        }
    }
}

impl From<RelayedSpan> for RelaySpan {
    fn from(span: RelayedSpan) -> Self {
        let position = |offset: u64| LogPosition::new(span.era.into(), offset.into());
        Self {
            from: position(span.from),
            until: position(span.until),
        }
    }
}

/// A record of a keyed topic. A missing value marks a removed key.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct PeerRecord {
    #[prost(string, tag = "1")]
    pub(crate) key: String,
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub(crate) value: Option<Bytes>,
    /// The place in its topic; unset by VMs of earlier versions.
    #[prost(uint64, optional, tag = "3")]
    pub(crate) offset: Option<u64>,
}

impl From<KeyedRecord> for PeerRecord {
    fn from(record: KeyedRecord) -> Self {
        Self {
            key: record.key,
            value: record.value,
            offset: record.position.map(|position| position.offset.into()),
        }
    }
}

impl From<PeerRecord> for KeyedRecord {
    fn from(record: PeerRecord) -> Self {
        Self {
            position: None,
            key: record.key,
            value: record.value,
        }
    }
}

/// How recent a VM's view of the operator's records is.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct ConfigFreshness {
    /// The number of the query that this message replies to; 0 when it announces new records.
    #[prost(uint64, tag = "1")]
    pub(crate) query: u64,
    /// The offset after the last record that the sender has applied.
    #[prost(uint64, tag = "2")]
    pub(crate) next_offset: u64,
    /// Milliseconds since the sender started the read that confirmed its view, or since the earliest
    /// time at which the new records can have been written.
    #[prost(uint64, tag = "3")]
    pub(crate) age_ms: u64,
    /// The offset of the first of `records`.
    #[prost(uint64, tag = "4")]
    pub(crate) first_offset: u64,
    /// The new records; empty if they don't fit in a datagram.
    #[prost(message, repeated, tag = "5")]
    pub(crate) records: Vec<PeerRecord>,
    /// The era of the store to which the offsets belong.
    #[prost(uint64, tag = "6")]
    pub(crate) era: u64,
    /// The version of the sender's configuration; unset by VMs of earlier versions.
    #[prost(uint64, optional, tag = "7")]
    pub(crate) version: Option<u64>,
}

impl ConfigFreshness {
    /// The sender's configuration, if it states one.
    pub(crate) fn view(&self) -> Option<ConfigView> {
        let next = self.next();
        self.version.map(|version| ConfigView { version, next })
    }

    /// The position after the last record that the sender has applied.
    pub(crate) fn next(&self) -> LogPosition {
        LogPosition::new(self.era.into(), self.next_offset.into())
    }

    /// The position of the first of the records.
    pub(crate) fn first(&self) -> LogPosition {
        LogPosition::new(self.era.into(), self.first_offset.into())
    }
}

/// The version of a VM's configuration, and how far it has read the operator's log.
#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct ReportedConfig {
    #[prost(uint64, tag = "1")]
    pub(crate) version: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) era: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) next_offset: u64,
}

impl From<ConfigView> for ReportedConfig {
    fn from(view: ConfigView) -> Self {
        Self {
            version: view.version,
            era: view.next.era.into(),
            next_offset: view.next.offset.into(),
        }
    }
}

impl From<ReportedConfig> for ConfigView {
    fn from(reported: ReportedConfig) -> Self {
        Self {
            version: reported.version,
            next: LogPosition::new(reported.era.into(), reported.next_offset.into()),
        }
    }
}
