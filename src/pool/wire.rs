//! The pool's messages between entry VMs.

/// One message to or from a pool's coordinator.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct PoolMessage {
    #[prost(oneof = "PoolKind", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub(crate) kind: Option<PoolKind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum PoolKind {
    #[prost(message, tag = "1")]
    Acquire(AcquireAsk),
    #[prost(message, tag = "2")]
    Pinned(PinnedAnswer),
    #[prost(message, tag = "3")]
    Refused(RefusedAnswer),
    #[prost(message, tag = "4")]
    Release(ReleaseNote),
    #[prost(message, tag = "5")]
    Received(ReceivedAnswer),
    /// The request still waits; the node asks again with the same serial.
    #[prost(message, tag = "6")]
    Waiting(ReceivedAnswer),
    #[prost(message, tag = "7")]
    Report(PinReport),
}

/// Asks for a place on a target. Repeats with the same serial get the same answer.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct AcquireAsk {
    #[prost(string, tag = "1")]
    pub(crate) base_model: String,
    #[prost(string, tag = "2")]
    pub(crate) adapter: String,
    #[prost(string, tag = "3")]
    pub(crate) version: String,
    #[prost(string, tag = "4")]
    pub(crate) account: String,
    #[prost(string, tag = "5")]
    pub(crate) request: String,
    /// Charged tokens.
    #[prost(uint64, tag = "6")]
    pub(crate) tokens: u64,
    /// How long the request may still wait, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub(crate) wait_ms: u64,
    #[prost(string, tag = "8")]
    pub(crate) node: String,
    #[prost(uint64, tag = "9")]
    pub(crate) boot: u64,
    /// Given once for each attempt by the node's process.
    #[prost(uint64, tag = "10")]
    pub(crate) serial: u64,
    #[prost(uint64, optional, tag = "11")]
    pub(crate) prefix: Option<u64>,
    #[prost(bool, tag = "12")]
    pub(crate) suspect: bool,
    /// The target that just failed the request.
    #[prost(string, optional, tag = "13")]
    pub(crate) avoid: Option<String>,
}

/// A place on a target, held until its release.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct PinnedAnswer {
    #[prost(uint64, tag = "1")]
    pub(crate) pin: u64,
    #[prost(string, tag = "2")]
    pub(crate) target: String,
    /// The engine-side name of the loaded adapter.
    #[prost(string, tag = "3")]
    pub(crate) generation: String,
    /// The coordinator's fencing token.
    #[prost(uint64, tag = "4")]
    pub(crate) fence: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct RefusedAnswer {
    #[prost(string, tag = "1")]
    pub(crate) reason: String,
    #[prost(uint64, tag = "2")]
    pub(crate) retry_after_ms: u64,
}

/// Gives a place back or withdraws a waiting request.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ReleaseNote {
    #[prost(string, tag = "1")]
    pub(crate) base_model: String,
    #[prost(string, tag = "2")]
    pub(crate) node: String,
    #[prost(uint64, tag = "3")]
    pub(crate) boot: u64,
    #[prost(uint64, tag = "4")]
    pub(crate) serial: u64,
    #[prost(enumeration = "WireOutcome", tag = "5")]
    pub(crate) outcome: i32,
    /// Tokens of a completed answer.
    #[prost(uint64, tag = "6")]
    pub(crate) tokens: u64,
    /// Known for streamed answers only.
    #[prost(uint64, optional, tag = "7")]
    pub(crate) first_token_ms: Option<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum WireOutcome {
    Cancelled = 0,
    Completed = 1,
    ConnectFailed = 2,
    BrokeOff = 3,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ReceivedAnswer {}

/// The open requests of a node's process in one pool.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct PinReport {
    #[prost(string, tag = "1")]
    pub(crate) base_model: String,
    #[prost(string, tag = "2")]
    pub(crate) node: String,
    #[prost(uint64, tag = "3")]
    pub(crate) boot: u64,
    #[prost(uint64, tag = "4")]
    pub(crate) sequence: u64,
    #[prost(uint64, tag = "5")]
    pub(crate) highest_serial: u64,
    #[prost(uint64, repeated, tag = "6")]
    pub(crate) waiting: Vec<u64>,
    #[prost(message, repeated, tag = "7")]
    pub(crate) pins: Vec<PinEntry>,
    #[prost(uint64, tag = "8")]
    pub(crate) uptime_ms: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct PinEntry {
    #[prost(uint64, tag = "1")]
    pub(crate) serial: u64,
    #[prost(string, tag = "2")]
    pub(crate) target: String,
    #[prost(string, tag = "3")]
    pub(crate) generation: String,
    #[prost(string, tag = "4")]
    pub(crate) account: String,
    #[prost(uint64, tag = "5")]
    pub(crate) tokens: u64,
    #[prost(bool, tag = "6")]
    pub(crate) suspect: bool,
    #[prost(bool, tag = "7")]
    pub(crate) streaming: bool,
}
