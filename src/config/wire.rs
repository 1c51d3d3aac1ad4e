//! The configuration's messages between entry VMs.

/// One message to or from a peer.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ConfigMessage {
    #[prost(oneof = "ConfigKind", tags = "1, 2")]
    pub(crate) kind: Option<ConfigKind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum ConfigKind {
    #[prost(message, tag = "1")]
    SnapshotAsk(SnapshotAsk),
    #[prost(message, tag = "2")]
    SnapshotAnswer(SnapshotAnswer),
}

/// Asks for a part of a snapshot that is newer than what the asking node has.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct SnapshotAsk {
    /// The offset of the next record that the asking node would apply.
    #[prost(uint64, tag = "1")]
    pub(crate) next_offset: u64,
    /// Empty for a first part, then as in the answer to it.
    #[prost(string, tag = "2")]
    pub(crate) nonce: String,
    #[prost(uint32, tag = "3")]
    pub(crate) part: u32,
}

/// The part, or nothing if the peer's copy is not newer.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct SnapshotAnswer {
    /// The part as JSON, as in a log record.
    #[prost(string, optional, tag = "1")]
    pub(crate) part: Option<String>,
    /// The peer serves others and could serve this node later.
    #[prost(bool, tag = "2")]
    pub(crate) busy: bool,
    /// The offset and the log's time of the newest snapshot in the log, as the peer knows it.
    #[prost(uint64, optional, tag = "3")]
    pub(crate) logged_offset: Option<u64>,
    #[prost(uint64, optional, tag = "4")]
    pub(crate) logged_at_ms: Option<u64>,
}
