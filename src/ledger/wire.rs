//! The ledger's messages between entry VMs, and the state that moves at a handover.

/// One message to or from the owner of a partition.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LedgerMessage {
    #[prost(oneof = "LedgerKind", tags = "1, 2, 3, 4")]
    pub kind: Option<LedgerKind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum LedgerKind {
    #[prost(message, tag = "1")]
    Ask(GrantAsk),
    #[prost(message, tag = "2")]
    Answer(GrantAnswer),
    #[prost(message, tag = "3")]
    Report(ShareReport),
    #[prost(message, tag = "4")]
    Reported(ReportAnswer),
}

/// Asks for tokens of an account.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GrantAsk {
    #[prost(string, tag = "1")]
    pub account: String,
    /// The asking process. With `id` it names the ask; a retry repeats both.
    #[prost(uint64, tag = "2")]
    pub boot: u64,
    #[prost(uint64, tag = "3")]
    pub id: u64,
    /// The needs of the waiting requests in tokens, in their order.
    #[prost(uint64, repeated, tag = "4")]
    pub needs: Vec<u64>,
    /// Tokens to prefetch.
    #[prost(uint64, tag = "5")]
    pub wish: u64,
    /// The newest fencing token of the partition that the asker knows.
    #[prost(uint64, tag = "6")]
    pub fence: u64,
}

/// The owner's answer to a [`GrantAsk`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct GrantAnswer {
    #[prost(string, tag = "1")]
    pub account: String,
    #[prost(uint64, tag = "2")]
    pub id: u64,
    #[prost(uint64, tag = "3")]
    pub fence: u64,
    /// In tokens. It covers the first needs, as many as the level allows, and part of the wish.
    #[prost(uint64, tag = "4")]
    pub granted: u64,
    /// The first need that was not covered in tokens; zero if all were.
    #[prost(uint64, tag = "5")]
    pub short_of: u64,
    /// When the level will suffice for `short_of`, in milliseconds from now.
    #[prost(uint64, tag = "6")]
    pub wait_ms: u64,
    /// The part of the wait that is due to a takeover and not to the account's rate.
    #[prost(uint64, tag = "7")]
    pub pause_ms: u64,
    /// The account's burst, if `short_of` is above it.
    #[prost(uint64, tag = "8")]
    pub over_burst: u64,
    /// What may be returned by other nodes during the wait, beyond `short_of`, in tokens.
    #[prost(uint64, tag = "9")]
    pub returnable: u64,
    /// For how long a short level may be due to a takeover, so that requests wait for it.
    #[prost(uint64, tag = "10")]
    pub catch_up_ms: u64,
}

/// Tells the owner what became of its grants. A node has one report to an owner in flight at a
/// time and numbers them, so that each is applied once.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ShareReport {
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    #[prost(uint64, tag = "2")]
    pub boot: u64,
    #[prost(uint64, tag = "3")]
    pub seq: u64,
    #[prost(uint64, tag = "4")]
    pub fence: u64,
    #[prost(message, repeated, tag = "5")]
    pub charges: Vec<ChargeItem>,
    #[prost(message, repeated, tag = "6")]
    pub settles: Vec<SettleItem>,
    #[prost(message, repeated, tag = "7")]
    pub returns: Vec<ReturnItem>,
}

/// A request that was admitted.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ChargeItem {
    #[prost(string, tag = "1")]
    pub account: String,
    /// The time since the admission on the node's clock.
    #[prost(uint64, tag = "2")]
    pub elapsed_ms: u64,
    #[prost(message, repeated, tag = "3")]
    pub parts: Vec<GrantPart>,
    /// Charged minus used in tokens, if the request has ended already.
    #[prost(sint64, tag = "4")]
    pub refund: i64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct GrantPart {
    #[prost(uint64, tag = "1")]
    pub grant: u64,
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}

/// A request that ended after its charge was reported.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SettleItem {
    #[prost(string, tag = "1")]
    pub account: String,
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// As in the answer to the report of the charge.
    #[prost(uint64, tag = "3")]
    pub charged_at: u64,
    /// Charged minus used in tokens.
    #[prost(sint64, tag = "4")]
    pub refund: i64,
}

/// A grant that the node will not spend any further.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReturnItem {
    #[prost(string, tag = "1")]
    pub account: String,
    #[prost(uint64, tag = "2")]
    pub grant: u64,
}

/// The owner's answer to a [`ShareReport`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReportAnswer {
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    #[prost(uint64, tag = "2")]
    pub seq: u64,
    #[prost(uint64, tag = "3")]
    pub fence: u64,
    /// The fencing token under which the owner's time began. Times of other epochs mean nothing.
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
    /// When each reported charge counts, on the owner's clock in milliseconds. Zero for a charge
    /// that can't be refunded any more.
    #[prost(uint64, repeated, tag = "5")]
    pub charged_at: Vec<u64>,
    /// Accounts whose unspent grants the owner needs back.
    #[prost(string, repeated, tag = "6")]
    pub recalled: Vec<String>,
}

/// The exact state of a partition.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct PartitionState {
    #[prost(uint64, tag = "1")]
    pub(crate) epoch: u64,
    /// When the state was taken; all times are on this clock.
    #[prost(uint64, tag = "2")]
    pub(crate) now: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) refill_from: u64,
    #[prost(message, repeated, tag = "4")]
    pub(crate) accounts: Vec<AccountState>,
    #[prost(message, repeated, tag = "5")]
    pub(crate) answers: Vec<AnswerState>,
    #[prost(message, repeated, tag = "6")]
    pub(crate) reports: Vec<ReportState>,
    #[prost(bool, tag = "7")]
    pub(crate) starts_full: bool,
    /// The fencing token of the owner that exported the state.
    #[prost(uint64, tag = "8")]
    pub(crate) fence: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct AccountState {
    #[prost(string, tag = "1")]
    pub(crate) account: String,
    #[prost(uint64, tag = "2")]
    pub(crate) rate: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) burst: u64,
    #[prost(sint64, tag = "4")]
    pub(crate) level: i64,
    #[prost(uint64, tag = "5")]
    pub(crate) updated: u64,
    #[prost(message, repeated, tag = "6")]
    pub(crate) headroom: Vec<HeadroomState>,
    #[prost(message, repeated, tag = "7")]
    pub(crate) grants: Vec<GrantState>,
    #[prost(uint64, tag = "8")]
    pub(crate) catches_up_until: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct HeadroomState {
    #[prost(uint64, tag = "1")]
    pub(crate) since: u64,
    #[prost(sint64, tag = "2")]
    pub(crate) least: i64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct GrantState {
    #[prost(uint64, tag = "1")]
    pub(crate) boot: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) id: u64,
    #[prost(sint64, tag = "3")]
    pub(crate) unspent: i64,
    #[prost(uint64, tag = "4")]
    pub(crate) expires: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct AnswerState {
    #[prost(uint64, tag = "1")]
    pub(crate) boot: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) at: u64,
    #[prost(message, optional, tag = "3")]
    pub(crate) answer: Option<GrantAnswer>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ReportState {
    #[prost(uint64, tag = "1")]
    pub(crate) boot: u64,
    #[prost(message, optional, tag = "2")]
    pub(crate) answer: Option<ReportAnswer>,
    #[prost(uint64, tag = "3")]
    pub(crate) at: u64,
}
