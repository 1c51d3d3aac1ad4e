//! The messages between entry VMs, as protocol buffers.

use bytes::Bytes;
use prost::Message;

use crate::platform::store::KeyedRecord;

/// One datagram: any of its parts may be absent.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct PeerMessage {
    #[prost(string, tag = "1")]
    pub(crate) node: String,
    #[prost(fixed64, tag = "2")]
    pub(crate) boot: u64,
    #[prost(message, optional, tag = "3")]
    pub(crate) report: Option<LoadReport>,
    #[prost(message, repeated, tag = "4")]
    pub(crate) holdings: Vec<TargetHoldings>,
    #[prost(message, repeated, tag = "5")]
    pub(crate) asks: Vec<AdapterNote>,
    #[prost(message, repeated, tag = "6")]
    pub(crate) uses: Vec<AdapterNote>,
    /// Fingerprints of requests that crashed a target, with the number of crashes.
    #[prost(message, repeated, tag = "7")]
    pub(crate) strikes: Vec<StrikeNote>,
    /// Records of targets that the VM has just read and that changed more than their counts.
    #[prost(message, repeated, tag = "8")]
    pub(crate) records: Vec<RecordNote>,
    /// The VM asks how new the peer's view of the operator's records is; repeated in the answer.
    #[prost(uint64, optional, tag = "9")]
    pub(crate) confirm_ask: Option<u64>,
    #[prost(message, optional, tag = "10")]
    pub(crate) confirm: Option<ConfirmNote>,
    /// The number of this message among the sender's messages with records.
    #[prost(uint64, tag = "11")]
    pub(crate) relay: u64,
}

/// A record of a keyed topic; no value means that it was removed.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct RecordNote {
    #[prost(string, tag = "1")]
    pub(crate) key: String,
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub(crate) value: Option<Bytes>,
}

impl From<KeyedRecord> for RecordNote {
    fn from(record: KeyedRecord) -> Self {
        let KeyedRecord { key, value } = record;
        Self { key, value }
    }
}

impl From<RecordNote> for KeyedRecord {
    fn from(note: RecordNote) -> Self {
        let RecordNote { key, value } = note;
        Self { key, value }
    }
}

/// How new a VM's view of the operator's records is.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct ConfirmNote {
    /// The number of the ask that this answers; 0 where the VM tells of new records unasked.
    #[prost(uint64, tag = "1")]
    pub(crate) ask: u64,
    /// The offset after the last record that the VM has applied.
    #[prost(uint64, tag = "2")]
    pub(crate) next: u64,
    /// Milliseconds since the sending of the read that confirmed it.
    #[prost(uint64, tag = "3")]
    pub(crate) age_ms: u64,
    /// With new records: the offset of the first one.
    #[prost(uint64, tag = "4")]
    pub(crate) from: u64,
    /// The new records, unless they are too long for a datagram.
    #[prost(message, repeated, tag = "5")]
    pub(crate) records: Vec<RecordNote>,
}

/// What a VM does at the moment.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct LoadReport {
    #[prost(uint64, tag = "1")]
    pub(crate) sequence: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) generation: u64,
    /// The partitions whose targets the VM gives orders to.
    #[prost(uint32, repeated, tag = "3")]
    pub(crate) partitions: Vec<u32>,
    #[prost(message, repeated, tag = "4")]
    pub(crate) loads: Vec<TargetLoad>,
    #[prost(message, repeated, tag = "5")]
    pub(crate) accounts: Vec<AccountTotal>,
    /// The VM's availability zone, told from time to time.
    #[prost(string, optional, tag = "6")]
    pub(crate) zone: Option<String>,
    /// Milliseconds until the next report to the same peer.
    #[prost(uint32, tag = "7")]
    pub(crate) pause_ms: u32,
    /// Messages with targets' records that the VM has sent to all peers.
    #[prost(uint64, tag = "8")]
    pub(crate) relays: u64,
}

/// Requests in flight from the VM to a target.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct TargetLoad {
    #[prost(fixed64, tag = "1")]
    pub(crate) target: u64,
    #[prost(uint32, tag = "2")]
    pub(crate) in_flight: u32,
}

/// Units that the VM has admitted of an account since its process started.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct AccountTotal {
    #[prost(string, tag = "1")]
    pub(crate) account: String,
    #[prost(uint64, tag = "2")]
    pub(crate) units: u64,
    /// Units that the VM believes are left over all VMs.
    #[prost(sint64, tag = "3")]
    pub(crate) level: i64,
}

/// What a target holds, told by its owner.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct TargetHoldings {
    #[prost(fixed64, tag = "1")]
    pub(crate) target: u64,
    #[prost(message, repeated, tag = "2")]
    pub(crate) adapters: Vec<AdapterItem>,
    /// Adapters whose load is ordered.
    #[prost(string, repeated, tag = "3")]
    pub(crate) loading: Vec<String>,
    /// The owner can't connect to the target, or found it without its base model.
    #[prost(bool, tag = "4")]
    pub(crate) out: bool,
    /// The base model that the target holds, if any.
    #[prost(string, tag = "5")]
    pub(crate) model: String,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct AdapterItem {
    #[prost(string, tag = "1")]
    pub(crate) adapter: String,
    #[prost(uint64, tag = "2")]
    pub(crate) version: u64,
}

/// An adapter on a target: to be loaded, or used by a request.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct AdapterNote {
    #[prost(fixed64, tag = "1")]
    pub(crate) target: u64,
    #[prost(string, tag = "2")]
    pub(crate) adapter: String,
    #[prost(uint64, tag = "3")]
    pub(crate) version: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct StrikeNote {
    #[prost(fixed64, tag = "1")]
    pub(crate) fingerprint: u64,
    #[prost(uint32, tag = "2")]
    pub(crate) count: u32,
}
