//! Messages between entry VMs, encoded as protocol buffers.

use prost::Message;

use super::wire_log::{ConfigFreshness, PeerRecord, RelayedSpan, ReportedConfig};

/// One datagram. Every part except the sender's name and boot id is optional.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct PeerMessage {
    #[prost(string, tag = "1")]
    pub(crate) node: String,
    #[prost(fixed64, tag = "2")]
    pub(crate) boot: u64,
    #[prost(message, optional, tag = "3")]
    pub(crate) report: Option<LoadReport>,
    #[prost(message, repeated, tag = "4")]
    pub(crate) residency: Vec<TargetResidency>,
    #[prost(message, repeated, tag = "5")]
    pub(crate) load_requests: Vec<AdapterReference>,
    /// The sender's requests in flight on adapters of targets that the receiver owns.
    #[prost(message, repeated, tag = "12")]
    pub(crate) adapter_loads: Vec<AdapterLoad>,
    /// Requested loads that the sender, the target's owner, has no slot for.
    #[prost(message, repeated, tag = "13")]
    pub(crate) load_refusals: Vec<AdapterReference>,
    /// Fingerprints of requests that crashed a target, with the number of crashes.
    #[prost(message, repeated, tag = "7")]
    pub(crate) strikes: Vec<StrikeCount>,
    /// Target records that the sender has just read from the store and that change more than a
    /// target's counters.
    #[prost(message, repeated, tag = "8")]
    pub(crate) records: Vec<PeerRecord>,
    /// Asks how recent the peer's view of the operator's records is; the reply repeats this number.
    #[prost(uint64, optional, tag = "9")]
    pub(crate) freshness_query: Option<u64>,
    #[prost(message, optional, tag = "10")]
    pub(crate) freshness: Option<ConfigFreshness>,
    /// The span of the targets' log that the sender has relayed, with this message's records.
    #[prost(message, optional, tag = "14")]
    pub(crate) relay: Option<RelayedSpan>,
    /// Targets that stated in a response to the sender that they are leaving.
    #[prost(message, repeated, tag = "15")]
    pub(crate) leaving: Vec<LeavingTarget>,
    /// Crashes of targets that had not begun to answer a request of the sender.
    #[prost(message, repeated, tag = "16")]
    pub(crate) crashes: Vec<PartCrash>,
    /// Parts of prompts that the sender refuses.
    #[prost(message, repeated, tag = "17")]
    pub(crate) verdicts: Vec<RefusedPart>,
    /// Parts of prompts that a target has begun to answer, which the receiver may refuse.
    #[prost(message, repeated, tag = "18")]
    pub(crate) answers: Vec<AnsweredPart>,
    /// Rate-limited targets to which the sender has just sent a request, or whose limit it has
    /// learned.
    #[prost(message, repeated, tag = "19")]
    pub(crate) limits: Vec<TargetLimit>,
    /// Starts of requests that the sender has counted, for the VM that reports the usage.
    #[prost(message, optional, tag = "20")]
    pub(crate) usage: Option<UsageMessage>,
    /// The reply to `usage`.
    #[prost(message, optional, tag = "21")]
    pub(crate) usage_ack: Option<UsageAck>,
    /// Asks what the targets whose keys follow this one held before.
    #[prost(fixed64, optional, tag = "27")]
    pub(crate) copy_query: Option<u64>,
    /// What targets held before, in the order of their keys.
    #[prost(message, repeated, tag = "28")]
    pub(crate) copies: Vec<TargetCopies>,
    #[prost(message, optional, tag = "29")]
    pub(crate) copy_reply: Option<CopyReplyHeader>,
    /// Requests for permits to send to cold targets that the receiver owns.
    #[prost(message, repeated, tag = "33")]
    pub(crate) permit_asks: Vec<PermitAsk>,
    #[prost(message, repeated, tag = "34")]
    pub(crate) permit_answers: Vec<PermitAnswer>,
    /// Targets that have become cold, by reports that the sender has just read from the store.
    #[prost(message, repeated, tag = "35")]
    pub(crate) cold_targets: Vec<ColdTarget>,
    /// Asks for units of accounts that the receiver owns.
    #[prost(message, repeated, tag = "36")]
    pub(crate) grant_requests: Vec<GrantRequest>,
    #[prost(message, repeated, tag = "37")]
    pub(crate) grant_answers: Vec<GrantAnswer>,
    /// Services whose targets the sender can't reach. Receivers that reach them answer.
    #[prost(string, repeated, tag = "38")]
    pub(crate) reach_queries: Vec<String>,
    #[prost(message, repeated, tag = "39")]
    pub(crate) reach_answers: Vec<ReachAnswer>,
}

/// When the sender last heard a target of a service.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct ReachAnswer {
    #[prost(string, tag = "1")]
    pub(crate) service: String,
    #[prost(uint32, tag = "2")]
    pub(crate) age_ms: u32,
}

/// An ask for units of an account.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct GrantRequest {
    #[prost(string, tag = "1")]
    pub(crate) account: String,
    /// Random; the answer repeats it.
    #[prost(fixed64, tag = "2")]
    pub(crate) number: u64,
    /// The cost of the waiting requests in units.
    #[prost(uint64, tag = "3")]
    pub(crate) wanted: u64,
    /// The cost of the first of them.
    #[prost(uint64, tag = "4")]
    pub(crate) first: u64,
    /// Units for requests that are expected soon.
    #[prost(uint64, tag = "5")]
    pub(crate) ahead: u64,
    /// Units of earlier grants that were not used in time.
    #[prost(uint64, tag = "6")]
    pub(crate) returned: u64,
}

/// The answer to a [`GrantRequest`].
#[derive(Clone, PartialEq, Message)]
pub(crate) struct GrantAnswer {
    #[prost(string, tag = "1")]
    pub(crate) account: String,
    #[prost(fixed64, tag = "2")]
    pub(crate) number: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) units: u64,
    /// Set if `units` is less than wanted: when to ask again.
    #[prost(uint32, optional, tag = "4")]
    pub(crate) retry_ms: Option<u32>,
}

/// A report's statement that its target is cold.
#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct ColdTarget {
    #[prost(fixed64, tag = "1")]
    pub(crate) target: u64,
    /// The start of the target's process, as Unix time in milliseconds.
    #[prost(uint64, tag = "2")]
    pub(crate) started_ms: u64,
    /// The number of the report.
    #[prost(uint64, tag = "3")]
    pub(crate) sequence: u64,
    /// How much longer the target is cold.
    #[prost(uint32, tag = "4")]
    pub(crate) remaining_ms: u32,
}

/// A request for permits, each of which allows one request to a cold target.
#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct PermitAsk {
    #[prost(fixed64, tag = "1")]
    pub(crate) target: u64,
    /// Random; the answer repeats it.
    #[prost(fixed64, tag = "2")]
    pub(crate) number: u64,
    #[prost(uint32, tag = "3")]
    pub(crate) wanted: u32,
}

/// The answer to a [`PermitAsk`]. It grants one permit for each delay, at most as many as wanted.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct PermitAnswer {
    #[prost(fixed64, tag = "1")]
    pub(crate) target: u64,
    #[prost(fixed64, tag = "2")]
    pub(crate) number: u64,
    /// Milliseconds from this answer to the start of each permit.
    #[prost(uint32, repeated, tag = "3")]
    pub(crate) delays_ms: Vec<u32>,
    /// Milliseconds after which to ask for further permits.
    #[prost(uint32, tag = "4")]
    pub(crate) retry_ms: u32,
}

/// The adapters that a target's process held before, the most recent first.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct TargetCopies {
    #[prost(fixed64, tag = "1")]
    pub(crate) target: u64,
    /// The start of the process, as Unix time in milliseconds.
    #[prost(uint64, tag = "2")]
    pub(crate) started_ms: u64,
    /// Hashes of the adapters' names.
    #[prost(fixed32, repeated, tag = "3")]
    pub(crate) adapters: Vec<u32>,
    #[prost(uint64, repeated, tag = "4")]
    pub(crate) versions: Vec<u64>,
    /// Seconds since the target last held each adapter.
    #[prost(uint32, repeated, tag = "5")]
    pub(crate) ages_s: Vec<u32>,
}

/// What a message with [`PeerMessage::copies`] replies to.
#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct CopyReplyHeader {
    /// The query.
    #[prost(fixed64, tag = "1")]
    pub(crate) after: u64,
    /// The last target in the reply; unset if none follows.
    #[prost(fixed64, optional, tag = "2")]
    pub(crate) next: Option<u64>,
    /// Whether the sender has run long enough to know what the targets held.
    #[prost(bool, tag = "3")]
    pub(crate) informed: bool,
}

/// A VM's cumulative counts, or a part of them.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct UsageMessage {
    /// The window in which the sender's process started.
    #[prost(uint64, tag = "1")]
    pub(crate) first: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) final_through: u64,
    /// The accounts that the counts belong to.
    #[prost(string, repeated, tag = "3")]
    pub(crate) accounts: Vec<String>,
    #[prost(message, repeated, tag = "4")]
    pub(crate) windows: Vec<UsageWindow>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct UsageWindow {
    #[prost(uint64, tag = "1")]
    pub(crate) window: u64,
    /// The sum over all accounts, also those in other messages.
    #[prost(uint64, tag = "2")]
    pub(crate) total: u64,
    /// In the order of [`UsageMessage::accounts`]; empty if the receiver has them.
    #[prost(uint64, repeated, tag = "3")]
    pub(crate) counts: Vec<u64>,
}

/// The windows whose final counts the sender has from the receiver.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct UsageAck {
    #[prost(uint64, repeated, tag = "1")]
    pub(crate) windows: Vec<u64>,
}

/// The report of a window, as recorded in the store.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct RecordedUsage {
    #[prost(string, repeated, tag = "1")]
    pub(crate) accounts: Vec<String>,
    /// In the order of `accounts`.
    #[prost(uint64, repeated, tag = "2")]
    pub(crate) counts: Vec<u64>,
}

/// A rate-limited target and what the sender has sent to it.
#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct TargetLimit {
    #[prost(fixed64, tag = "1")]
    pub(crate) target: u64,
    /// The start of the target's process, as Unix time in milliseconds.
    #[prost(uint64, tag = "2")]
    pub(crate) started_ms: u64,
    /// The requests per second that the target takes from all VMs together.
    #[prost(double, tag = "3")]
    pub(crate) rate_per_s: f64,
    /// Milliseconds since the target last stated it to the sender or one of its peers.
    #[prost(uint32, tag = "4")]
    pub(crate) age_ms: u32,
    /// The requests that the sender has sent since it knows of the limit.
    #[prost(uint64, tag = "5")]
    pub(crate) sent: u64,
}

/// A crash of a target and the parts of a prompt that may be its cause.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct PartCrash {
    #[prost(fixed64, tag = "1")]
    pub(crate) target: u64,
    #[prost(fixed64, repeated, tag = "2")]
    pub(crate) parts: Vec<u64>,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct RefusedPart {
    #[prost(fixed64, tag = "1")]
    pub(crate) part: u64,
    /// Milliseconds since the part is refused.
    #[prost(uint32, tag = "2")]
    pub(crate) age_ms: u32,
    /// Milliseconds since a request with the part last arrived.
    #[prost(uint32, tag = "3")]
    pub(crate) idle_ms: u32,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct AnsweredPart {
    #[prost(fixed64, tag = "1")]
    pub(crate) part: u64,
    /// Milliseconds since an answer began on the part.
    #[prost(uint32, tag = "2")]
    pub(crate) age_ms: u32,
}

/// A target whose process is leaving.
#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct LeavingTarget {
    #[prost(fixed64, tag = "1")]
    pub(crate) target: u64,
    /// The start of the process, as Unix time in milliseconds.
    #[prost(uint64, tag = "2")]
    pub(crate) started_ms: u64,
}

/// The partitions that a VM is entitled to act for, as recorded in the store.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct RecordedEntitlement {
    #[prost(uint64, tag = "1")]
    pub(crate) generation: u64,
    #[prost(uint32, repeated, tag = "2")]
    pub(crate) partitions: Vec<u32>,
    /// The era of the store to which the generation belongs.
    #[prost(uint64, tag = "3")]
    pub(crate) era: u64,
}

/// The streams that a VM has begun to relay and not completed, as recorded in the store.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct RecordedStreams {
    /// The VM's wall clock at the write, as Unix time in milliseconds.
    #[prost(uint64, tag = "1")]
    pub(crate) wall_ms: u64,
    #[prost(message, repeated, tag = "2")]
    pub(crate) versions: Vec<RecordedVersion>,
}

/// The streams that targets with one software version began.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct RecordedVersion {
    #[prost(string, tag = "1")]
    pub(crate) service: String,
    #[prost(string, tag = "2")]
    pub(crate) software: String,
    #[prost(fixed64, repeated, tag = "3")]
    pub(crate) streams: Vec<u64>,
}

/// A VM's periodic report of its load and its leased partitions.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct LoadReport {
    #[prost(uint64, tag = "1")]
    pub(crate) sequence: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) generation: u64,
    /// The partitions whose targets the sender owns.
    #[prost(uint32, repeated, tag = "3")]
    pub(crate) partitions: Vec<u32>,
    #[prost(message, repeated, tag = "4")]
    pub(crate) loads: Vec<TargetLoad>,
    #[prost(message, repeated, tag = "5")]
    pub(crate) accounts: Vec<AccountReport>,
    /// The sender's availability zone, which only some reports include.
    #[prost(string, optional, tag = "6")]
    pub(crate) zone: Option<String>,
    /// Milliseconds until the sender's next report to the same peer.
    #[prost(uint32, tag = "7")]
    pub(crate) interval_ms: u32,
    /// The sender's wall clock, as Unix time in milliseconds; 0 where no duty needs it.
    #[prost(uint64, tag = "8")]
    pub(crate) wall_ms: u64,
    /// Requests that lack capacity at the sender, where services are scaled.
    #[prost(message, repeated, tag = "9")]
    pub(crate) shortages: Vec<ShortageReport>,
    /// Adapters in use on the targets that the sender owns, where services are scaled.
    #[prost(message, repeated, tag = "10")]
    pub(crate) adapters_in_use: Vec<AdapterUseReport>,
    /// The sender's configuration, if it has one; only some reports to other zones include it.
    #[prost(message, optional, tag = "11")]
    pub(crate) config: Option<ReportedConfig>,
}

/// The sender's requests for a service that lack capacity.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct ShortageReport {
    #[prost(string, tag = "1")]
    pub(crate) service: String,
    #[prost(uint32, tag = "2")]
    pub(crate) waiting: u32,
    /// Rejections since the sender's process started.
    #[prost(uint64, tag = "3")]
    pub(crate) rejected: u64,
}

/// The number of adapters in use on a service's targets in a zone.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct AdapterUseReport {
    #[prost(string, tag = "1")]
    pub(crate) service: String,
    #[prost(string, tag = "2")]
    pub(crate) zone: String,
    #[prost(uint32, tag = "3")]
    pub(crate) in_use: u32,
}

/// The sender's requests in flight on a target.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct TargetLoad {
    #[prost(fixed64, tag = "1")]
    pub(crate) target: u64,
    #[prost(uint32, tag = "2")]
    pub(crate) in_flight: u32,
}

/// Units that the sender has admitted for an account since its process started.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct AccountReport {
    #[prost(string, tag = "1")]
    pub(crate) account: String,
    #[prost(uint64, tag = "2")]
    pub(crate) admitted_units: u64,
    /// The sender's estimate of the units left for the account over all VMs.
    #[prost(sint64, tag = "3")]
    pub(crate) remaining_units: i64,
    /// The part of `admitted_units` that the sender's last two reports may not have included.
    #[prost(uint64, tag = "4")]
    pub(crate) recent_units: u64,
    /// Whether the sender has started too recently for `remaining_units` to reflect earlier usage.
    #[prost(bool, tag = "5")]
    pub(crate) is_level_unknown: bool,
    /// The part of `admitted_units` that the account's owner has not granted. Unset by versions without
    /// grants.
    #[prost(uint64, optional, tag = "6")]
    pub(crate) ungranted_units: Option<u64>,
}

/// The base model and the adapters on a target, as its owner knows them.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct TargetResidency {
    #[prost(fixed64, tag = "1")]
    pub(crate) target: u64,
    #[prost(message, repeated, tag = "2")]
    pub(crate) adapters: Vec<LoadedAdapter>,
    /// Adapters that the owner has ordered the target to load, named as in [`LoadedAdapter`].
    #[prost(string, repeated, tag = "3")]
    pub(crate) loading: Vec<String>,
    /// Whether the owner can't connect to the target or found it without its base model.
    #[prost(bool, tag = "4")]
    pub(crate) unavailable: bool,
    /// A base model that the target holds; empty if there is none. Its record lists all of them.
    #[prost(string, tag = "5")]
    pub(crate) model: String,
}

/// An adapter of [`TargetResidency::model`], by its name alone, or of another model, as
/// MODEL/ADAPTER.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct LoadedAdapter {
    #[prost(string, tag = "1")]
    pub(crate) adapter: String,
    #[prost(uint64, tag = "2")]
    pub(crate) version: u64,
}

/// One VM's requests in flight on an adapter of a target.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct AdapterLoad {
    #[prost(fixed64, tag = "1")]
    pub(crate) target: u64,
    /// MODEL/ADAPTER.
    #[prost(string, tag = "2")]
    pub(crate) adapter: String,
    #[prost(uint32, tag = "3")]
    pub(crate) in_flight: u32,
}

/// An adapter on a target, in a load request or its refusal.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct AdapterReference {
    #[prost(fixed64, tag = "1")]
    pub(crate) target: u64,
    /// MODEL/ADAPTER.
    #[prost(string, tag = "2")]
    pub(crate) adapter: String,
    #[prost(uint64, tag = "3")]
    pub(crate) version: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct StrikeCount {
    #[prost(fixed64, tag = "1")]
    pub(crate) fingerprint: u64,
    #[prost(uint32, tag = "2")]
    pub(crate) count: u32,
}
