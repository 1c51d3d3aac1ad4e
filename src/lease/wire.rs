//! The leases' messages between entry VMs.

/// One message about leases.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct LeaseMessage {
    #[prost(oneof = "LeaseKind", tags = "1, 2")]
    pub(crate) kind: Option<LeaseKind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum LeaseKind {
    #[prost(message, tag = "1")]
    Handover(HandoverAsk),
    #[prost(message, tag = "2")]
    Kept(HandoverAnswer),
}

/// The state of a role, for its next owner. The sender decides nothing for the role any more.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct HandoverAsk {
    #[prost(string, tag = "1")]
    pub(crate) role: String,
    /// The sender's fencing token.
    #[prost(uint64, tag = "2")]
    pub(crate) fence: u64,
    #[prost(bytes = "bytes", tag = "3")]
    pub(crate) state: bytes::Bytes,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct HandoverAnswer {
    /// Whether the receiver will claim the role after its release.
    #[prost(bool, tag = "1")]
    pub(crate) accepted: bool,
}
