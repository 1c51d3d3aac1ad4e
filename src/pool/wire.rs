//! Messages of the pool protocol between entry VMs.
//!
//! A name to which the coordinator has assigned a numeric id is sent as that id. An id of 0 means
//! that the message carries the name. See [`super::assigned_ids`].

use crate::ids::AdapterVersion;

/// A message to or from a pool's coordinator.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct PoolMessage {
    #[prost(oneof = "PoolKind", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub(crate) kind: Option<PoolKind>,
    /// In answers: the ids assigned to the names in the request.
    #[prost(message, optional, tag = "9")]
    pub(crate) assigned_ids: Option<IdAssignments>,
}

impl From<PoolKind> for PoolMessage {
    fn from(kind: PoolKind) -> Self {
        Self {
            kind: Some(kind),
            assigned_ids: None,
        }
    }
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum PoolKind {
    #[prost(message, tag = "1")]
    Acquire(AcquireMessage),
    #[prost(message, tag = "2")]
    Pinned(PinnedAnswer),
    #[prost(message, tag = "3")]
    Refused(RefusedAnswer),
    #[prost(message, tag = "4")]
    Release(ReleaseMessage),
    #[prost(message, tag = "5")]
    Received(EmptyAnswer),
    /// The request is still queued; the node sends it again with the same serial.
    #[prost(message, tag = "6")]
    Waiting(EmptyAnswer),
    #[prost(message, tag = "7")]
    Report(PinReport),
    /// The message has an id that the coordinator does not know, and was not processed. The node
    /// sends it again with names.
    #[prost(message, tag = "8")]
    UnknownId(EmptyAnswer),
}

/// Ids assigned by the coordinator's process, valid under `fence`.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct IdAssignments {
    #[prost(uint64, tag = "1")]
    pub(crate) fence: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) session: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) adapter: u64,
    #[prost(uint64, tag = "4")]
    pub(crate) account: u64,
}

/// Identifies the session of a message: the sending process as a client of one pool.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct SessionTag {
    /// The newest fencing token of the pool that the sender knows. All ids in the message were
    /// assigned under it.
    #[prost(uint64, tag = "1")]
    pub(crate) fence: u64,
    /// The id of the session; 0 if the following fields identify it by name.
    #[prost(uint64, tag = "2")]
    pub(crate) id: u64,
    #[prost(string, tag = "3")]
    pub(crate) base_model: String,
    #[prost(string, tag = "4")]
    pub(crate) node: String,
    #[prost(fixed64, optional, tag = "5")]
    pub(crate) boot: Option<u64>,
}

/// Requests a slot on a target. A repeat with the same serial gets the same answer.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct AcquireMessage {
    #[prost(message, optional, tag = "1")]
    pub(crate) session: Option<SessionTag>,
    #[prost(uint64, tag = "2")]
    pub(crate) adapter: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) account: u64,
    /// Tokens charged to the account.
    #[prost(uint64, tag = "4")]
    pub(crate) tokens: u64,
    /// The remaining wait time in milliseconds.
    #[prost(uint64, tag = "5")]
    pub(crate) wait_ms: u64,
    /// Unique for each attempt within the node's process.
    #[prost(uint64, tag = "6")]
    pub(crate) serial: u64,
    /// The lower half of the prefix hash, which suffices because it is only a placement hint.
    #[prost(fixed32, optional, tag = "7")]
    pub(crate) prefix: Option<u32>,
    #[prost(bool, tag = "8")]
    pub(crate) suspect: bool,
    /// The number of targets whose names the node knows.
    #[prost(uint64, tag = "9")]
    pub(crate) known_targets: u64,
    /// `<adapter>@<version>`, if it has no id.
    #[prost(string, tag = "10")]
    pub(crate) adapter_name: String,
    /// The account, if it has no id.
    #[prost(string, tag = "11")]
    pub(crate) account_name: String,
    /// The target on which the previous attempt failed.
    #[prost(string, optional, tag = "13")]
    pub(crate) avoid: Option<String>,
}

/// A slot on a target, held until its release. The generation's name is
/// `<adapter>@<version>#<fence>-<sequence>` with the requested adapter, so that an answer can't
/// name another adapter.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct PinnedAnswer {
    #[prost(uint64, tag = "1")]
    pub(crate) target: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) sequence: u64,
    /// The fencing token in the generation's name, if it differs from the coordinator's.
    #[prost(uint64, optional, tag = "3")]
    pub(crate) generation_fence: Option<u64>,
    /// The coordinator's fencing token, if it differs from the one in the request.
    #[prost(uint64, optional, tag = "4")]
    pub(crate) fence: Option<u64>,
    /// The generation's full name, if it does not have the usual form.
    #[prost(string, optional, tag = "5")]
    pub(crate) generation: Option<String>,
    /// The names of the targets with ids above `known_targets`, up to `target`.
    #[prost(string, repeated, tag = "6")]
    pub(crate) target_names: Vec<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct RefusedAnswer {
    #[prost(string, tag = "1")]
    pub(crate) reason: String,
    #[prost(uint64, tag = "2")]
    pub(crate) retry_after_ms: u64,
}

/// Releases slots or withdraws waiting requests.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ReleaseMessage {
    #[prost(message, optional, tag = "1")]
    pub(crate) session: Option<SessionTag>,
    #[prost(message, repeated, tag = "2")]
    pub(crate) items: Vec<ReleaseItem>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ReleaseItem {
    #[prost(uint64, tag = "1")]
    pub(crate) serial: u64,
    #[prost(enumeration = "WireOutcome", tag = "2")]
    pub(crate) outcome: i32,
    /// Tokens used by a completed answer.
    #[prost(uint64, tag = "3")]
    pub(crate) tokens: u64,
    /// Time to the first token; measured for streamed answers only.
    #[prost(uint64, optional, tag = "4")]
    pub(crate) first_token_ms: Option<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum WireOutcome {
    Cancelled = 0,
    Completed = 1,
    ConnectFailed = 2,
    BrokeOff = 3,
    NotLoaded = 4,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct EmptyAnswer {}

/// The open requests of a node's process in one pool.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct PinReport {
    #[prost(message, optional, tag = "1")]
    pub(crate) session: Option<SessionTag>,
    #[prost(uint64, tag = "2")]
    pub(crate) sequence: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) highest_serial: u64,
    /// The delta-encoded serials of waiting requests.
    #[prost(uint64, repeated, tag = "4")]
    pub(crate) waiting: Vec<u64>,
    /// The pins granted under the fencing token of `session`, delta-encoded. Each entry is the
    /// serial shifted left by one; its lowest bit is set once the target has sent the first token.
    #[prost(uint64, repeated, tag = "5")]
    pub(crate) held: Vec<u64>,
    /// All other pins. A report that identifies its session by name lists all pins here.
    #[prost(message, repeated, tag = "6")]
    pub(crate) pins: Vec<PinEntry>,
    #[prost(uint64, tag = "7")]
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

/// The name under which a target loads a generation of `adapter`.
pub(super) fn generation_name(adapter: &AdapterVersion, fence: u64, sequence: u64) -> String {
    format!("{adapter}#{fence}-{sequence}")
}

/// The fencing token and sequence in a generation's name, if the name has the usual form.
pub(super) fn generation_parts(adapter: &AdapterVersion, name: &str) -> Option<(u64, u64)> {
    let (_, parts) = name.rsplit_once('#')?;
    let (fence, sequence) = parts.split_once('-')?;
    let (fence, sequence) = (fence.parse().ok()?, sequence.parse().ok()?);
    (generation_name(adapter, fence, sequence) == name).then_some((fence, sequence))
}

/// Encodes ascending serials as differences.
pub(super) fn delta_encode(serials: impl IntoIterator<Item = u64>) -> Vec<u64> {
    let mut last = 0;
    let delta = |serial: u64| serial - std::mem::replace(&mut last, serial);
    serials.into_iter().map(delta).collect()
}

/// Reverses [`delta_encode`].
pub(super) fn delta_decode(deltas: &[u64]) -> Vec<u64> {
    let sum = |last: &mut u64, delta: &u64| {
        *last = last.wrapping_add(*delta);
        Some(*last)
    };
    deltas.iter().scan(0, sum).collect()
}
