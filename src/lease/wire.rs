//! The leases' messages between entry VMs.

/// One message about leases.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct LeaseMessage {
    #[prost(oneof = "LeaseKind", tags = "1, 2, 3, 4")]
    pub(crate) kind: Option<LeaseKind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum LeaseKind {
    #[prost(message, tag = "1")]
    Handover(HandoverAsk),
    #[prost(message, tag = "2")]
    Kept(HandoverAnswer),
    #[prost(message, tag = "3")]
    Owners(OwnersAsk),
    #[prost(message, tag = "4")]
    Owned(OwnersAnswer),
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

/// Asks for the leases that the receiver knows, since the sender can't read the log.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct OwnersAsk {}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct OwnersAnswer {
    #[prost(message, repeated, tag = "1")]
    pub(crate) leases: Vec<KnownLease>,
}

/// A lease that was not released.
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
