//! The faults, and the steps at which each is possible.

use super::steps::{Exchange, Step};

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub(super) enum Fault {
    /// The process ends; a new one starts after `DOWN_MS`.
    #[display("kill")]
    Kill,
    /// The process is paused for `FREEZE_MS`.
    #[display("freeze")]
    Freeze,
    /// Messages from the node to the peer of the step are blocked.
    #[display("cut towards peer")]
    CutTowards,
    /// Messages from the peer of the step to the node are blocked.
    #[display("cut from peer")]
    CutFrom,
    #[display("late reply")]
    LateReply,
    #[display("duplicated reply")]
    DuplicatedReply,
    /// Two replies arrive in the wrong order, or a target answers under another request's ID.
    #[display("crossed replies")]
    CrossedReplies,
    #[display("log down")]
    LogDown,
    #[display("log slow")]
    LogSlow,
    /// The append is stored, but its sender gets no reply.
    #[display("append reply lost")]
    AppendReplyLost,
    /// Every adapter load fails for `LOADS_FAIL_MS`.
    #[display("load fails")]
    LoadFails,
    #[display("engine restarts")]
    EngineRestarts,
    /// The API key of account `acme` is revoked.
    #[display("key revoked")]
    KeyRevoked,
    /// A zone is taken out of service and returns later.
    #[display("zone out")]
    ZoneOut,
    /// Two operators change the same entry concurrently.
    #[display("two operators")]
    TwoOperators,
}

/// Why a fault is impossible at a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub(super) enum Impossible {
    #[display("the step is decided within the node, so no message can be cut, late or crossed")]
    NoMessage,
    #[display("the bytes of one connection arrive once")]
    OneConnection,
    #[display("a planned stop comes once in a run, so no second reply of it meets the fault")]
    ReachedOnce,
    #[display("the step appends nothing to the log, so no append can lose its reply")]
    NoAppend,
}

impl Fault {
    pub(super) const ALL: [Self; 15] = [
        Self::Kill,
        Self::Freeze,
        Self::CutTowards,
        Self::CutFrom,
        Self::LateReply,
        Self::DuplicatedReply,
        Self::CrossedReplies,
        Self::LogDown,
        Self::LogSlow,
        Self::AppendReplyLost,
        Self::LoadFails,
        Self::EngineRestarts,
        Self::KeyRevoked,
        Self::ZoneOut,
        Self::TwoOperators,
    ];

    /// Why the fault is impossible at a step with this exchange, if so.
    pub(super) fn impossible_in(self, exchange: Exchange) -> Option<Impossible> {
        match (self, exchange) {
            (
                Self::CutTowards
                | Self::CutFrom
                | Self::LateReply
                | Self::DuplicatedReply
                | Self::CrossedReplies,
                Exchange::Internal,
            ) => Some(Impossible::NoMessage),
            (Self::DuplicatedReply, Exchange::Connection) => Some(Impossible::OneConnection),
            (Self::AppendReplyLost, Exchange::Internal | Exchange::Peer | Exchange::Connection) => {
                Some(Impossible::NoAppend)
            }
            _ => None,
        }
    }

    /// Whether the fault affects only the messages of the step.
    pub(super) fn affects_message(self) -> bool {
        matches!(
            self,
            Self::LateReply | Self::DuplicatedReply | Self::CrossedReplies | Self::AppendReplyLost
        )
    }

    /// Why the fault is impossible in every flow of the step, if so.
    pub(super) fn impossible_at(self, step: Step) -> Option<Impossible> {
        let mut last = None;
        for (_, exchange) in step.flows() {
            last = Some(self.impossible_in(exchange)?);
        }
        last
    }
}
