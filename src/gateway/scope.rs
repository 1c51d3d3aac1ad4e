//! The state of a request over all its attempts: its id, its hard deadline and whether a target may
//! have run it.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::time::Instant;

use super::connection::CloseSignal;
use super::error::{CallerError, ErrorCode, RunState};
use crate::ids::RequestId;

/// How long after the deadline the HTTP client's time-out fires.
const CLIENT_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// The scope of one request. Clones share its send state.
#[derive(Debug, Clone)]
pub(crate) struct RequestScope {
    pub(crate) id: RequestId,
    pub(crate) deadline: Instant,
    progress: Arc<Mutex<SendProgress>>,
    /// Closes the caller's connection, if the request is alone on it.
    pub(crate) connection: Option<Arc<CloseSignal>>,
}

/// Whether a target may have got the id of a request before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum IdHistory {
    /// This process generated the id and has not sent it.
    Unsent,
    /// The caller gave the id, or this is a further attempt.
    MaybeSent,
}

/// The progress of a request's sends, from which its run state is derived.
#[derive(Debug)]
struct SendProgress {
    /// The highest run state of all ended sends. A later send that reached no target does not lower
    /// it, since the target of an earlier send may have run the request.
    ended_sends: RunState,
    is_sending: bool,
    id_history: IdHistory,
    /// Whether the caller got the deadline error. No send may begin after it.
    is_closed: bool,
}

impl SendProgress {
    fn run_state(&self) -> RunState {
        match self.is_sending {
            true => self.ended_sends.max(RunState::Unknown),
            false => self.ended_sends,
        }
    }
}

/// The caller already got the deadline error, so the request may no longer be sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ScopeClosed;

impl RequestScope {
    pub(crate) fn new(id: RequestId, id_history: IdHistory, timeout: Duration) -> Self {
        let progress = SendProgress {
            ended_sends: RunState::No,
            is_sending: false,
            id_history,
            is_closed: false,
        };
        Self {
            id,
            deadline: Instant::now() + timeout,
            progress: Arc::new(Mutex::new(progress)),
            connection: None,
        }
    }

    pub(crate) fn with_connection(self, connection: Option<Arc<CloseSignal>>) -> Self {
        Self { connection, ..self }
    }

    fn progress(&self) -> MutexGuard<'_, SendProgress> {
        self.progress.lock().expect("no holder of the lock panics")
    }

    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// The HTTP client's time-out of a call whose deadline the gateway itself enforces. It is later
    /// than the deadline, since the client's own time-out would look like a connection that the
    /// target closed.
    pub(crate) fn client_timeout(&self) -> Duration {
        self.time_left() + CLIENT_TIMEOUT_MARGIN
    }

    /// Marks a send to a target as begun, unless the deadline error was already returned. Returns
    /// whether the id may have been sent before.
    pub(crate) fn begin_send(&self) -> Result<IdHistory, ScopeClosed> {
        let mut progress = self.progress();
        if progress.is_closed {
            return Err(ScopeClosed);
        }
        progress.is_sending = true;
        Ok(std::mem::replace(
            &mut progress.id_history,
            IdHistory::MaybeSent,
        ))
    }

    /// Records whether the target may have run the request that was sent.
    pub(crate) fn end_send(&self, run_state: RunState) {
        let mut progress = self.progress();
        progress.ended_sends = progress.ended_sends.max(run_state);
        progress.is_sending = false;
    }

    /// The error with its run state raised to that of all sends of the request.
    pub(crate) fn with_overall_run_state(&self, error: CallerError) -> CallerError {
        let run_state = error.run_state.max(self.progress().run_state());
        error.with_run_state(run_state)
    }

    /// Closes the scope, so that no send begins any more, and returns the deadline error.
    pub(crate) fn deadline_passed(&self) -> CallerError {
        let mut progress = self.progress();
        progress.is_closed = true;
        let message = "the request took longer than its hard deadline";
        CallerError::not_run(ErrorCode::DeadlinePassed, message)
            .with_run_state(progress.run_state())
    }
}
