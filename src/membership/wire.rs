//! Membership messages between entry VMs.

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct MembershipMessage {
    #[prost(oneof = "MembershipKind", tags = "1, 2, 3, 4")]
    pub(crate) kind: Option<MembershipKind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum MembershipKind {
    #[prost(message, tag = "1")]
    Heartbeat(Heartbeat),
    #[prost(message, tag = "2")]
    Answer(HeartbeatAnswer),
    #[prost(message, tag = "3")]
    Fetch(FetchRequest),
    #[prost(message, tag = "4")]
    Records(FetchAnswer),
}

/// The state of the sending node. A short heartbeat leaves out `node` and `address`: the receiver
/// already knows them by the boot id.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Heartbeat {
    #[prost(string, tag = "1")]
    pub(crate) node: String,
    #[prost(fixed64, tag = "2")]
    pub(crate) boot: u64,
    /// The address at which peers connect to the node.
    #[prost(string, optional, tag = "3")]
    pub(crate) address: Option<String>,
    #[prost(uint64, tag = "4")]
    pub(crate) uptime_ms: u64,
    /// Whether the node is shutting down.
    #[prost(bool, tag = "5")]
    pub(crate) leaving: bool,
    /// The offset of the next configuration record to apply.
    #[prost(uint64, tag = "6")]
    pub(crate) applied: u64,
    /// Whether a read of the log has succeeded recently.
    #[prost(bool, tag = "7")]
    pub(crate) log_reachable: bool,
    /// The newest confirmed end of the configuration stream.
    #[prost(uint64, optional, tag = "8")]
    pub(crate) tail: Option<u64>,
    /// How long ago `tail` was confirmed.
    #[prost(uint64, tag = "9")]
    pub(crate) tail_age_ms: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct HeartbeatAnswer {
    #[prost(message, optional, tag = "1")]
    pub(crate) sender: Option<Heartbeat>,
    /// The sender cannot reach the log and promises to append no lease claim until 3 s after the
    /// heartbeat was sent.
    #[prost(bool, tag = "2")]
    pub(crate) promises_no_claim: bool,
    /// The sender did not apply the heartbeat because it does not know its boot id.
    #[prost(bool, tag = "3")]
    pub(crate) boot_unknown: bool,
}

/// Requests the configuration records from an offset on, for a node that cannot read the log.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct FetchRequest {
    #[prost(uint64, tag = "1")]
    pub(crate) from: u64,
}

/// Consecutive configuration records starting at the requested offset; empty if the peer no longer
/// keeps them.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct FetchAnswer {
    #[prost(message, repeated, tag = "1")]
    pub(crate) records: Vec<FetchedRecord>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct FetchedRecord {
    #[prost(uint64, tag = "1")]
    pub(crate) offset: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) at_ms: u64,
    #[prost(string, tag = "3")]
    pub(crate) data: String,
}
