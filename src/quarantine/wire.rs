//! The quarantine's messages between entry VMs.

/// One message about strikes.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct QuarantineMessage {
    #[prost(oneof = "QuarantineKind", tags = "1, 2, 3")]
    pub(crate) kind: Option<QuarantineKind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum QuarantineKind {
    #[prost(message, tag = "1")]
    Strike(StrikeNote),
    #[prost(message, tag = "2")]
    Clear(ClearNote),
    #[prost(message, tag = "3")]
    Noted(NotedAnswer),
}

/// A request got a strike.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct StrikeNote {
    #[prost(bytes = "vec", tag = "1")]
    pub(crate) fingerprint: Vec<u8>,
    #[prost(fixed64, tag = "2")]
    pub(crate) strike: u64,
}

/// A completed answer cleared strikes of a request.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ClearNote {
    #[prost(bytes = "vec", tag = "1")]
    pub(crate) fingerprint: Vec<u8>,
    #[prost(fixed64, repeated, tag = "2")]
    pub(crate) strikes: Vec<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct NotedAnswer {}
