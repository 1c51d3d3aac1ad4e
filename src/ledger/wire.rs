//! The ledger's messages between entry VMs.

/// One message to or from the owner of a partition.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct LedgerMessage {
    #[prost(oneof = "LedgerKind", tags = "1, 2, 3, 4")]
    pub(crate) kind: Option<LedgerKind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum LedgerKind {
    #[prost(message, tag = "1")]
    Charge(ChargeAsk),
    #[prost(message, tag = "2")]
    Charged(ChargeAnswer),
    #[prost(message, tag = "3")]
    Settle(SettleNote),
    #[prost(message, tag = "4")]
    Settled(SettleAnswer),
}

/// Asks for tokens of an account.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ChargeAsk {
    #[prost(string, tag = "1")]
    pub(crate) account: String,
    /// In tokens.
    #[prost(uint64, tag = "2")]
    pub(crate) need: u64,
}

/// The owner's answer to a [`ChargeAsk`].
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ChargeAnswer {
    #[prost(bool, tag = "1")]
    pub(crate) granted: bool,
    /// When the charge could be granted, if it was not, in milliseconds from now.
    #[prost(uint64, tag = "2")]
    pub(crate) wait_ms: u64,
    /// When the charge was made, on the owner's clock in milliseconds.
    #[prost(uint64, tag = "3")]
    pub(crate) charged_at: u64,
}

/// Gives back what a request did not use.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct SettleNote {
    #[prost(string, tag = "1")]
    pub(crate) account: String,
    /// In tokens.
    #[prost(uint64, tag = "2")]
    pub(crate) refund: u64,
    /// As in the answer to the charge.
    #[prost(uint64, tag = "3")]
    pub(crate) charged_at: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct SettleAnswer {}
