//! The steps at which faults are injected.

use super::log::Stream;

/// A stage of request processing or of a control plane operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub(super) enum Step {
    #[display("accept")]
    Accept,
    #[display("authenticate")]
    Authenticate,
    /// Requests tokens from the owner of the ledger partition.
    #[display("charge")]
    Charge,
    /// Appends the claim of a call's idempotency key.
    #[display("claim")]
    Claim,
    /// Requests a target from the pool's coordinator.
    #[display("choose")]
    Choose,
    /// Orders an engine to load an adapter.
    #[display("load")]
    Load,
    #[display("send")]
    Send,
    #[display("first byte")]
    FirstByte,
    #[display("mid-stream")]
    MidStream,
    /// Reports the tokens used by a completion, or appends the outcome of a call.
    #[display("settle")]
    Settle,
    /// Appends a configuration change.
    #[display("publish")]
    Publish,
    /// Appends the renewal or claim of a lease.
    #[display("lease")]
    Lease,
    /// Hands over a role in a planned stop.
    #[display("drain")]
    Drain,
    /// Appends a snapshot of the configuration.
    #[display("snapshot")]
    Snapshot,
}

impl Step {
    pub(super) const ALL: [Self; 14] = [
        Self::Accept,
        Self::Authenticate,
        Self::Charge,
        Self::Claim,
        Self::Choose,
        Self::Load,
        Self::Send,
        Self::FirstByte,
        Self::MidStream,
        Self::Settle,
        Self::Publish,
        Self::Lease,
        Self::Drain,
        Self::Snapshot,
    ];
}

/// The kind of work that a step belongs to. Faults are injected in each flow that reaches a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub(super) enum Flow {
    /// A completion: charged, pinned and streamed.
    #[display("completion")]
    Completion,
    /// A call that runs at most once.
    #[display("call")]
    Call,
    /// Configuration changes, leases and planned stops.
    #[display("control")]
    Control,
}

/// The kind of messages that a step exchanges.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(super) enum Exchange {
    /// No messages: the step is decided within the node.
    #[display("nobody")]
    Internal,
    /// Requests and replies with another node or a target.
    #[display("peer")]
    Peer,
    /// The bytes of a single connection.
    #[display("connection")]
    Connection,
    /// Appends to the log.
    #[display("log")]
    Log,
}

/// The flows that reach each step, and their exchanges. A test compares this table with the
/// messages sent in a run without faults.
pub(super) const EXCHANGES: &[(Step, Flow, Exchange)] = &[
    (Step::Accept, Flow::Completion, Exchange::Internal),
    (Step::Authenticate, Flow::Completion, Exchange::Internal),
    (Step::Charge, Flow::Completion, Exchange::Peer),
    (Step::Choose, Flow::Completion, Exchange::Peer),
    (Step::Load, Flow::Completion, Exchange::Peer),
    (Step::Send, Flow::Completion, Exchange::Connection),
    (Step::FirstByte, Flow::Completion, Exchange::Connection),
    (Step::MidStream, Flow::Completion, Exchange::Connection),
    (Step::Settle, Flow::Completion, Exchange::Peer),
    (Step::Accept, Flow::Call, Exchange::Internal),
    (Step::Authenticate, Flow::Call, Exchange::Internal),
    (Step::Claim, Flow::Call, Exchange::Log),
    (Step::Send, Flow::Call, Exchange::Connection),
    (Step::FirstByte, Flow::Call, Exchange::Connection),
    (Step::Settle, Flow::Call, Exchange::Log),
    (Step::Publish, Flow::Control, Exchange::Log),
    (Step::Lease, Flow::Control, Exchange::Log),
    (Step::Drain, Flow::Control, Exchange::Peer),
    (Step::Snapshot, Flow::Control, Exchange::Log),
];

impl Step {
    /// The stream that the step appends to.
    pub(super) fn stream(self) -> Option<Stream> {
        match self {
            Self::Claim | Self::Settle => Some(Stream::Claims),
            Self::Publish | Self::Snapshot => Some(Stream::Config),
            Self::Lease => Some(Stream::Leases),
            _ => None,
        }
    }

    /// The flows that reach the step, with their exchanges.
    pub(super) fn flows(self) -> impl Iterator<Item = (Flow, Exchange)> {
        let of_step = EXCHANGES.iter().filter(move |(step, ..)| *step == self);
        of_step.map(|(_, flow, exchange)| (*flow, *exchange))
    }
}
