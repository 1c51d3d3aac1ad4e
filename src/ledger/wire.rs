//! The ledger's messages between entry VMs, and the partition state that a handover transfers.

#[derive(Clone, PartialEq, prost::Message)]
pub struct LedgerMessage {
    #[prost(oneof = "LedgerKind", tags = "1, 2, 3, 4")]
    pub kind: Option<LedgerKind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum LedgerKind {
    #[prost(message, tag = "1")]
    GrantRequest(GrantRequest),
    #[prost(message, tag = "2")]
    GrantResponse(GrantResponse),
    #[prost(message, tag = "3")]
    Report(UsageReport),
    #[prost(message, tag = "4")]
    ReportResponse(ReportResponse),
}

/// A node's request for tokens of an account.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GrantRequest {
    #[prost(string, tag = "1")]
    pub account: String,
    /// The process that sent the request. `boot` and `id` identify the request; a retry repeats
    /// both.
    #[prost(uint64, tag = "2")]
    pub boot: u64,
    #[prost(uint64, tag = "3")]
    pub id: u64,
    /// The tokens that each waiting client request needs, in order of arrival.
    #[prost(uint64, repeated, tag = "4")]
    pub needs: Vec<u64>,
    /// Tokens to prefetch beyond `needs`.
    #[prost(uint64, tag = "5")]
    pub prefetch: u64,
    /// The newest fencing token of the partition that the sender knows.
    #[prost(uint64, tag = "6")]
    pub fence: u64,
}

/// The owner's response to a [`GrantRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct GrantResponse {
    #[prost(string, tag = "1")]
    pub account: String,
    #[prost(uint64, tag = "2")]
    pub id: u64,
    #[prost(uint64, tag = "3")]
    pub fence: u64,
    /// Granted tokens: the sum of the first needs that the level allows, and part of the prefetch.
    #[prost(uint64, tag = "4")]
    pub granted: u64,
    /// The first need in tokens that was not granted, or zero if all were.
    #[prost(uint64, tag = "5")]
    pub short_of: u64,
    /// The time in milliseconds until the level suffices for `short_of`.
    #[prost(uint64, tag = "6")]
    pub wait_ms: u64,
    /// The part of `wait_ms` that is caused by a takeover and not by the account's rate.
    #[prost(uint64, tag = "7")]
    pub takeover_pause_ms: u64,
    /// The account's burst if `short_of` exceeds it, otherwise zero.
    #[prost(uint64, tag = "8")]
    pub exceeded_burst: u64,
    /// The tokens beyond `short_of` that other nodes may return during the wait.
    #[prost(uint64, tag = "9")]
    pub returnable: u64,
    /// For how many milliseconds a low level may be caused by a takeover. Until then client
    /// requests wait for tokens up to their deadline.
    #[prost(uint64, tag = "10")]
    pub catch_up_ms: u64,
}

/// Reports to the owner how its grants were used. A node has at most one report to an owner in
/// flight, and numbers its reports so that each is applied once.
#[derive(Clone, PartialEq, prost::Message)]
pub struct UsageReport {
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
    pub settlements: Vec<SettlementItem>,
    #[prost(message, repeated, tag = "7")]
    pub returns: Vec<ReturnItem>,
}

/// The charge of an admitted client request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ChargeItem {
    #[prost(string, tag = "1")]
    pub account: String,
    /// The time since the admission, measured by the node's clock.
    #[prost(uint64, tag = "2")]
    pub elapsed_ms: u64,
    #[prost(message, repeated, tag = "3")]
    pub parts: Vec<GrantPart>,
    /// Charged minus used tokens if the request has already ended, otherwise zero.
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

/// The settlement of a client request that ended after its charge was reported.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SettlementItem {
    #[prost(string, tag = "1")]
    pub account: String,
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// The value from the response to the report of the charge.
    #[prost(uint64, tag = "3")]
    pub charged_at: u64,
    /// Charged minus used tokens.
    #[prost(sint64, tag = "4")]
    pub refund: i64,
}

/// A grant whose remaining tokens the node will not spend.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReturnItem {
    #[prost(string, tag = "1")]
    pub account: String,
    #[prost(uint64, tag = "2")]
    pub grant: u64,
}

/// The owner's response to a [`UsageReport`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReportResponse {
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    #[prost(uint64, tag = "2")]
    pub seq: u64,
    #[prost(uint64, tag = "3")]
    pub fence: u64,
    /// The fencing token under which the partition's state was created. `charged_at` is comparable
    /// only within one epoch.
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
    /// The time in milliseconds on the owner's clock at which each reported charge is counted, or
    /// zero for a charge that can no longer be refunded.
    #[prost(uint64, repeated, tag = "5")]
    pub charged_at: Vec<u64>,
    /// Accounts whose unspent grants the node must return.
    #[prost(string, repeated, tag = "6")]
    pub recalled_accounts: Vec<String>,
}

/// The exact state of a partition, transferred at a handover.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct PartitionState {
    #[prost(uint64, tag = "1")]
    pub(crate) epoch: u64,
    /// The time of the export. All times in the state are on the same clock.
    #[prost(uint64, tag = "2")]
    pub(crate) now: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) refill_from: u64,
    #[prost(message, repeated, tag = "4")]
    pub(crate) accounts: Vec<AccountState>,
    #[prost(message, repeated, tag = "5")]
    pub(crate) responses: Vec<ResponseState>,
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
    pub(crate) catch_up_until: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct HeadroomState {
    #[prost(uint64, tag = "1")]
    pub(crate) since: u64,
    #[prost(sint64, tag = "2")]
    pub(crate) minimum: i64,
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
pub(crate) struct ResponseState {
    #[prost(uint64, tag = "1")]
    pub(crate) boot: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) at: u64,
    #[prost(message, optional, tag = "3")]
    pub(crate) response: Option<GrantResponse>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ReportState {
    #[prost(uint64, tag = "1")]
    pub(crate) boot: u64,
    #[prost(message, optional, tag = "2")]
    pub(crate) response: Option<ReportResponse>,
    #[prost(uint64, tag = "3")]
    pub(crate) at: u64,
}
