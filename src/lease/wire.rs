//! The messages about leases between entry VMs.

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct LeaseMessage {
    #[prost(oneof = "LeaseKind", tags = "1, 2, 3, 4")]
    pub(crate) kind: Option<LeaseKind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum LeaseKind {
    #[prost(message, tag = "1")]
    HandoverRequest(HandoverRequest),
    #[prost(message, tag = "2")]
    HandoverReply(HandoverReply),
    #[prost(message, tag = "3")]
    OwnersRequest(OwnersRequest),
    #[prost(message, tag = "4")]
    OwnersReply(OwnersReply),
}

/// Carries the state of a role to its next owner. The sender makes no more decisions for the role.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct HandoverRequest {
    #[prost(string, tag = "1")]
    pub(crate) role: String,
    /// The fencing token under which the sender owned the role.
    #[prost(uint64, tag = "2")]
    pub(crate) fence: u64,
    #[prost(bytes = "bytes", tag = "3")]
    pub(crate) state: bytes::Bytes,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct HandoverReply {
    /// Whether the receiver stored the state and will claim the role after its release.
    #[prost(bool, tag = "1")]
    pub(crate) accepted: bool,
}

/// Requests the leases in the receiver's table, for a sender that can't read the log.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct OwnersRequest {}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct OwnersReply {
    #[prost(message, repeated, tag = "1")]
    pub(crate) leases: Vec<KnownLease>,
}

/// A lease in the sender's table that was not released.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct KnownLease {
    #[prost(string, tag = "1")]
    pub(crate) role: String,
    #[prost(string, tag = "2")]
    pub(crate) node: String,
    #[prost(fixed64, tag = "3")]
    pub(crate) boot: u64,
    #[prost(uint64, tag = "4")]
    pub(crate) fence: u64,
}
