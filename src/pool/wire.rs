//! The pool's messages between entry VMs.
//!
//! What a coordinator has given a number travels as that number; a number of 0 means that the
//! name is given. See [`super::given`].

use crate::ids::AdapterVersion;

/// One message to or from a pool's coordinator.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct PoolMessage {
    #[prost(oneof = "PoolKind", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub(crate) kind: Option<PoolKind>,
    /// In answers: the numbers of what was asked by name.
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
    /// The coordinator does not know a number in the message and did nothing: the node sends the
    /// message again with names.
    #[prost(message, tag = "8")]
    UnknownId(ReceivedAnswer),
}

/// The numbers that the coordinator's process gives, valid under `fence`.
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

/// The sending process and the pool that it means.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct SessionTag {
    /// The pool's fencing token as the sender knows it. All numbers in the message were given
    /// under it.
    #[prost(uint64, tag = "1")]
    pub(crate) fence: u64,
    /// With 0, the session is given by the names that follow.
    #[prost(uint64, tag = "2")]
    pub(crate) number: u64,
    #[prost(string, tag = "3")]
    pub(crate) base_model: String,
    #[prost(string, tag = "4")]
    pub(crate) node: String,
    #[prost(fixed64, optional, tag = "5")]
    pub(crate) boot: Option<u64>,
}

/// Asks for a place on a target. Repeats with the same serial get the same answer.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct AcquireAsk {
    #[prost(message, optional, tag = "1")]
    pub(crate) session: Option<SessionTag>,
    #[prost(uint64, tag = "2")]
    pub(crate) adapter: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) account: u64,
    /// Charged tokens.
    #[prost(uint64, tag = "4")]
    pub(crate) tokens: u64,
    /// How long the request may still wait, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub(crate) wait_ms: u64,
    /// Given once for each attempt by the node's process.
    #[prost(uint64, tag = "6")]
    pub(crate) serial: u64,
    /// The prefix hash's lower half: it is only a hint.
    #[prost(fixed32, optional, tag = "7")]
    pub(crate) prefix: Option<u32>,
    #[prost(bool, tag = "8")]
    pub(crate) suspect: bool,
    /// How many targets' names the node knows.
    #[prost(uint64, tag = "9")]
    pub(crate) known_targets: u64,
    /// `<adapter>@<version>`, when it has no number.
    #[prost(string, tag = "10")]
    pub(crate) adapter_name: String,
    /// The account, when it has no number.
    #[prost(string, tag = "11")]
    pub(crate) account_name: String,
    /// The target that just failed the request.
    #[prost(string, optional, tag = "13")]
    pub(crate) avoid: Option<String>,
}

/// A place on a target, held until its release. The generation's name is
/// `<adapter>@<version>#<fence>-<sequence>` with the adapter that was asked for, so that an answer
/// can't name another adapter.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct PinnedAnswer {
    #[prost(uint64, tag = "1")]
    pub(crate) target: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) sequence: u64,
    /// The fencing token in the generation's name, unless it is the coordinator's own.
    #[prost(uint64, optional, tag = "3")]
    pub(crate) generation_fence: Option<u64>,
    /// The coordinator's fencing token, unless it is the one in the request.
    #[prost(uint64, optional, tag = "4")]
    pub(crate) fence: Option<u64>,
    /// The generation's whole name, when it does not have the usual form.
    #[prost(string, optional, tag = "5")]
    pub(crate) generation: Option<String>,
    /// The names of the targets after those that the node knows, up to `target`.
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

/// Gives places back or withdraws waiting requests.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ReleaseNote {
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
    /// Tokens of a completed answer.
    #[prost(uint64, tag = "3")]
    pub(crate) tokens: u64,
    /// Known for streamed answers only.
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
pub(crate) struct ReceivedAnswer {}

/// The open requests of a node's process in one pool.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct PinReport {
    #[prost(message, optional, tag = "1")]
    pub(crate) session: Option<SessionTag>,
    #[prost(uint64, tag = "2")]
    pub(crate) sequence: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) highest_serial: u64,
    /// The steps between the serials of waiting requests.
    #[prost(uint64, repeated, tag = "4")]
    pub(crate) waiting: Vec<u64>,
    /// The pins given under the fencing token of `session`, as steps between their serials. The
    /// lowest bit of each tells whether the target has sent the first token.
    #[prost(uint64, repeated, tag = "5")]
    pub(crate) held: Vec<u64>,
    /// All other pins; a report by name lists all pins here.
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

/// The engine-side name of a generation of `adapter`.
pub(super) fn generation_name(adapter: &AdapterVersion, fence: u64, sequence: u64) -> String {
    format!("{adapter}#{fence}-{sequence}")
}

/// The fencing token and sequence in a generation's name, if the name is made of nothing else.
pub(super) fn generation_parts(adapter: &AdapterVersion, name: &str) -> Option<(u64, u64)> {
    let (_, parts) = name.rsplit_once('#')?;
    let (fence, sequence) = parts.split_once('-')?;
    let (fence, sequence) = (fence.parse().ok()?, sequence.parse().ok()?);
    (generation_name(adapter, fence, sequence) == name).then_some((fence, sequence))
}

/// Ascending serials as the steps between them.
pub(super) fn delta_encode(serials: impl IntoIterator<Item = u64>) -> Vec<u64> {
    let mut last = 0;
    let delta = |serial: u64| serial - std::mem::replace(&mut last, serial);
    serials.into_iter().map(delta).collect()
}

/// The serials of [`to_steps`].
pub(super) fn delta_decode(deltas: &[u64]) -> Vec<u64> {
    let sum = |last: &mut u64, delta: &u64| {
        *last = last.wrapping_add(*delta);
        Some(*last)
    };
    deltas.iter().scan(0, sum).collect()
}
