//! What holds for one request from its first byte to its last: its id, its hard deadline and
//! whether a target may have run it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::time::Duration;

use tokio::time::Instant;

use super::error::{CallerError, ErrorCode, RunState};
use crate::ids::RequestId;

/// One request. Clones share its progress.
#[derive(Debug, Clone)]
pub(crate) struct RequestScope {
    pub(crate) id: RequestId,
    pub(crate) deadline: Instant,
    progress: Arc<RunProgress>,
}

/// Whether a target may have run the request.
#[derive(Debug, Default)]
struct RunProgress {
    /// The strongest [`RunState`] of the ended sends. It only grows, since a later send that
    /// certainly failed does not undo an earlier one.
    ended: AtomicU8,
    /// Whether a send is under way.
    sending: AtomicBool,
}

impl RequestScope {
    pub(crate) fn new(id: RequestId, limit: Duration) -> Self {
        let deadline = Instant::now() + limit;
        let progress = Arc::default();
        Self {
            id,
            deadline,
            progress,
        }
    }

    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Notes that a send to a target begins.
    pub(crate) fn begin_send(&self) {
        self.progress.sending.store(true, Ordering::SeqCst);
    }

    /// Notes how the send ended.
    pub(crate) fn end_send(&self, run: RunState) {
        self.progress.ended.fetch_max(run as u8, Ordering::SeqCst);
        self.progress.sending.store(false, Ordering::SeqCst);
    }

    /// Whether a target may have run the request, as far as is known now.
    pub(crate) fn run(&self) -> RunState {
        let sending = self.progress.sending.load(Ordering::SeqCst);
        let ended = match self.progress.ended.load(Ordering::SeqCst) {
            0 => RunState::No,
            1 => RunState::Unknown,
            _ => RunState::Yes,
        };
        let current = if sending {
            RunState::Unknown
        } else {
            RunState::No
        };
        ended.max(current)
    }

    /// The error with the `run` value of the whole request.
    pub(crate) fn truthful(&self, error: CallerError) -> CallerError {
        let run = error.run.max(self.run());
        error.with_run(run)
    }

    pub(crate) fn deadline_passed(&self) -> CallerError {
        let message = "the request took longer than its hard deadline";
        CallerError::not_run(ErrorCode::DeadlinePassed, message).with_run(self.run())
    }
}
