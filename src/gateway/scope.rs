//! What holds for one request from its first byte to its last: its id, its hard deadline and
//! whether a target may have run it.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::time::Instant;

use super::error::{CallerError, ErrorCode, RunState};
use crate::ids::RequestId;

/// How much later than the deadline the HTTP client gives a call up.
const CLIENT_SLACK: Duration = Duration::from_secs(1);

/// One request. Clones share its progress.
#[derive(Debug, Clone)]
pub(crate) struct RequestScope {
    pub(crate) id: RequestId,
    pub(crate) deadline: Instant,
    progress: Arc<Mutex<RunProgress>>,
}

/// Whether a target may have run the request.
#[derive(Debug)]
struct RunProgress {
    /// The strongest state of the ended sends. It only grows, since a later send that certainly
    /// failed does not undo an earlier one.
    ended: RunState,
    /// Whether a send is under way.
    is_sending: bool,
    /// Whether the caller got the deadline's error. No send begins after it.
    is_closed: bool,
}

impl RunProgress {
    fn run(&self) -> RunState {
        match self.is_sending {
            true => self.ended.max(RunState::Unknown),
            false => self.ended,
        }
    }
}

/// The caller was told how its request ended: nothing may be sent for it any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ScopeClosed;

impl RequestScope {
    pub(crate) fn new(id: RequestId, limit: Duration) -> Self {
        let progress = RunProgress {
            ended: RunState::No,
            is_sending: false,
            is_closed: false,
        };
        Self {
            id,
            deadline: Instant::now() + limit,
            progress: Arc::new(Mutex::new(progress)),
        }
    }

    fn progress(&self) -> MutexGuard<'_, RunProgress> {
        self.progress.lock().expect("no holder of the lock panics")
    }

    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// The HTTP client's time limit of a call whose deadline the gateway itself enforces. It is
    /// later, since the client can't tell its own time limit from a target that broke off.
    pub(crate) fn client_limit(&self) -> Duration {
        self.time_left() + CLIENT_SLACK
    }

    /// Notes that a send to a target begins, if one may still begin.
    pub(crate) fn begin_send(&self) -> Result<(), ScopeClosed> {
        let mut progress = self.progress();
        if progress.is_closed {
            return Err(ScopeClosed);
        }
        progress.is_sending = true;
        Ok(())
    }

    /// Notes how the send ended.
    pub(crate) fn end_send(&self, run: RunState) {
        let mut progress = self.progress();
        progress.ended = progress.ended.max(run);
        progress.is_sending = false;
    }

    /// The error with the `run` value of the whole request.
    pub(crate) fn truthful(&self, error: CallerError) -> CallerError {
        let run = error.run.max(self.progress().run());
        error.with_run(run)
    }

    /// The error of a request whose deadline passed. From here on nothing is sent for it.
    pub(crate) fn deadline_passed(&self) -> CallerError {
        let mut progress = self.progress();
        progress.is_closed = true;
        let message = "the request took longer than its hard deadline";
        CallerError::not_run(ErrorCode::DeadlinePassed, message).with_run(progress.run())
    }
}
