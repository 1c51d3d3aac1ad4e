//! The pool's messages between entry VMs.

/// One message to or from a pool's coordinator.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct PoolMessage {
    #[prost(oneof = "PoolKind", tags = "1, 2, 3, 4, 5")]
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
    Released(ReleasedAnswer),
}

/// Asks for a place on a target.
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
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct RefusedAnswer {
    #[prost(string, tag = "1")]
    pub(crate) reason: String,
    #[prost(uint64, tag = "2")]
    pub(crate) retry_after_ms: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ReleaseNote {
    #[prost(string, tag = "1")]
    pub(crate) base_model: String,
    #[prost(uint64, tag = "2")]
    pub(crate) pin: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ReleasedAnswer {}
