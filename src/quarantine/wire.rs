//! Quarantine messages between entry VMs.

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct QuarantineMessage {
    #[prost(oneof = "QuarantineKind", tags = "1, 2, 3")]
    pub(crate) kind: Option<QuarantineKind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum QuarantineKind {
    #[prost(message, tag = "1")]
    Strike(StrikeUpdate),
    #[prost(message, tag = "2")]
    Clear(ClearUpdate),
    #[prost(message, tag = "3")]
    Ack(UpdateAck),
}

/// Reports one strike against a request.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct StrikeUpdate {
    #[prost(bytes = "vec", tag = "1")]
    pub(crate) fingerprint: Vec<u8>,
    #[prost(fixed64, tag = "2")]
    pub(crate) strike: u64,
}

/// Reports the strikes of a request that a complete answer cleared.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ClearUpdate {
    #[prost(bytes = "vec", tag = "1")]
    pub(crate) fingerprint: Vec<u8>,
    #[prost(fixed64, repeated, tag = "2")]
    pub(crate) strikes: Vec<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct UpdateAck {}
