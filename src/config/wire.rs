//! Messages between entry VMs about the configuration.

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ConfigMessage {
    #[prost(oneof = "ConfigKind", tags = "1, 2")]
    pub(crate) kind: Option<ConfigKind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum ConfigKind {
    #[prost(message, tag = "1")]
    SnapshotRequest(SnapshotRequest),
    #[prost(message, tag = "2")]
    SnapshotResponse(SnapshotResponse),
}

/// A request for one part of a snapshot that is newer than the configuration of the requester.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct SnapshotRequest {
    /// The offset of the next record that the requester would apply.
    #[prost(uint64, tag = "1")]
    pub(crate) next_offset: u64,
    /// Empty in the request for part 0, after that the nonce of the received part 0.
    #[prost(string, tag = "2")]
    pub(crate) nonce: String,
    #[prost(uint32, tag = "3")]
    pub(crate) part: u32,
}

/// The response to a [`SnapshotRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct SnapshotResponse {
    /// The part as JSON, in the format of the log. Absent if the peer is busy, has no newer
    /// configuration or has dropped the transfer.
    #[prost(string, optional, tag = "1")]
    pub(crate) part: Option<String>,
    /// Whether the peer is serving other nodes, so that the requester may try again later.
    #[prost(bool, tag = "2")]
    pub(crate) busy: bool,
    /// The configuration offset of the newest snapshot in the log, as far as the peer knows.
    #[prost(uint64, optional, tag = "3")]
    pub(crate) newest_snapshot: Option<u64>,
    /// The log's time from which the interval to the next snapshot counts.
    #[prost(uint64, optional, tag = "4")]
    pub(crate) interval_start_ms: Option<u64>,
}
