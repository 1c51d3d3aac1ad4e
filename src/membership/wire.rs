//! The membership's messages between entry VMs.

/// One message about peers.
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
    Fetch(FetchAsk),
    #[prost(message, tag = "4")]
    Fetched(FetchAnswer),
}

/// What a node says of itself. Without `node` and `address` to a process that knows the boot id.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Heartbeat {
    #[prost(string, tag = "1")]
    pub(crate) node: String,
    #[prost(fixed64, tag = "2")]
    pub(crate) boot: u64,
    /// Where peers reach the node.
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
    /// Whether a read of the log succeeded lately.
    #[prost(bool, tag = "7")]
    pub(crate) log_reachable: bool,
    /// The newest confirmed end of the configuration stream.
    #[prost(uint64, optional, tag = "8")]
    pub(crate) tail: Option<u64>,
    /// How long ago `tail` was confirmed.
    #[prost(uint64, tag = "9")]
    pub(crate) tail_age_ms: u64,
}

/// The answer to a [`Heartbeat`].
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct HeartbeatAnswer {
    #[prost(message, optional, tag = "1")]
    pub(crate) own: Option<Heartbeat>,
    /// The log is unreachable for the sender, and until 3 s from the time at which the heartbeat
    /// was sent it appends no lease claim.
    #[prost(bool, tag = "2")]
    pub(crate) promises: bool,
    /// The sender does not know the boot id of the heartbeat and took nothing in.
    #[prost(bool, tag = "3")]
    pub(crate) unknown: bool,
}

/// Asks for the configuration records from an offset on, since the sender can't read the log.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct FetchAsk {
    #[prost(uint64, tag = "1")]
    pub(crate) from: u64,
}

/// Configuration records without a gap from the asked offset on; empty if they are not kept.
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
