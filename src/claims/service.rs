//! Follows the claims stream, and claims calls for this node's callers.

use std::sync::{Arc, RwLock};
use std::time::Duration;

use derive_more::{Display, Error};
use tokio::sync::{oneshot, watch};
use tokio_util::task::TaskTracker;

use super::attempt::{
    AttemptStep, ClaimAttempt, ClaimRefusal, SEND_TIME_LIMIT, SendPermit, SentClaim,
    check_existing_claim,
};
use super::index::{ClaimIndex, OutcomePlace};
use super::record::{CallDigest, ClaimBatch, ClaimEntry, ClaimKey, ClaimNonce, StoredAnswer};
use super::writer::ClaimWriter;
use crate::context::NodeContext;
use crate::ids::LogOffset;
use crate::platform_client::{CallHealth, PlatformError};

/// The log stream of claims.
pub(crate) const CLAIMS_STREAM: &str = "claims";
/// How long one read of the stream waits for new records.
const READ_WAIT: Duration = Duration::from_millis(500);
/// The maximum number of records in one read.
const READ_RECORDS: usize = 1000;
/// The pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Why a call is not sent. The texts go to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub(crate) enum ClaimError {
    #[display("the call was answered before")]
    Replay(#[error(not(source))] StoredAnswer),
    #[display("a call with this Idempotency-Key is in progress or its outcome is unknown")]
    InProgress,
    #[display("this Idempotency-Key was used for another request")]
    KeyReused,
    #[display("the call can't be recorded in the log now, so it was not sent")]
    NotClaimed,
    /// The call was answered, but its answer can't be read from the log now.
    #[display("the call was answered before, but its answer can't be read now")]
    AnswerUnreadable,
}

/// Claims calls, and maintains this node's index of the claims stream.
#[derive(Debug)]
pub(crate) struct ClaimsService {
    context: Arc<NodeContext>,
    index: RwLock<ClaimIndex>,
    applied: watch::Sender<LogOffset>,
    writer: ClaimWriter,
    /// The running calls with a claim. They continue when their callers disconnect.
    calls: TaskTracker,
}

impl ClaimsService {
    pub(crate) fn new(context: Arc<NodeContext>) -> Self {
        Self {
            writer: ClaimWriter::new(context.log.clone()),
            context,
            index: RwLock::default(),
            applied: watch::Sender::default(),
            calls: TaskTracker::new(),
        }
    }

    /// Follows the stream and writes entries until the future is dropped.
    pub(crate) async fn run(&self) {
        tokio::join!(self.follow_stream(), self.writer.run());
    }

    /// Runs a call to its end, even if its caller disconnects.
    pub(crate) async fn run_call<T: Send + 'static>(
        &self,
        call: impl Future<Output = T> + Send + 'static,
    ) -> Option<T> {
        self.calls.spawn(call).await.ok()
    }

    /// Waits up to `limit` until all calls have ended and their outcomes are in the log.
    pub(crate) async fn shut_down(&self, limit: Duration) {
        self.calls.close();
        let ended = async {
            self.calls.wait().await;
            self.writer.wait_until_flushed().await;
        };
        if tokio::time::timeout(limit, ended).await.is_err() {
            tracing::warn!(
                "claims: shutdown timed out after {limit:?} before all outcomes were in the log"
            );
        }
    }

    /// The number of claims within the window.
    pub(crate) fn len(&self) -> usize {
        self.read_index().len()
    }

    fn read_index(&self) -> std::sync::RwLockReadGuard<'_, ClaimIndex> {
        self.index.read().expect("no holder of the lock panics")
    }

    /// Claims the key for a call, or returns the reason why the call must not be sent.
    pub(crate) async fn claim(
        &self,
        key: ClaimKey,
        request: CallDigest,
    ) -> Result<SendPermit, ClaimError> {
        let existing = check_existing_claim(&self.read_index(), &key, &request);
        if let Some(refusal) = existing {
            return Err(self.resolve_refusal(refusal).await);
        }
        let nonce = ClaimNonce::random();
        let attempt = ClaimAttempt::new(key, request, nonce, self.context.clock.now());
        let rejection = self.writer.write_claim(ClaimEntry::Claim {
            key,
            request,
            nonce,
            node: self.context.settings.node.clone(),
            boot: self.context.boot,
        });
        match self.decide(attempt, rejection).await {
            Ok(permit) => Ok(permit),
            Err((refusal, may_be_stored)) => {
                if may_be_stored {
                    self.writer.write(ClaimEntry::Void { nonce });
                }
                Err(self.resolve_refusal(refusal).await)
            }
        }
    }

    /// Waits until the claim is read from the log or the time limit is over. The flag of a refusal
    /// tells whether the log may have stored the claim or may still store it.
    async fn decide(
        &self,
        attempt: ClaimAttempt,
        mut rejection: oneshot::Receiver<()>,
    ) -> Result<SendPermit, (ClaimRefusal, bool)> {
        let mut applied = self.applied.subscribe();
        let mut attempt = attempt;
        // An attempt is refused only after the limit, not at it.
        let deadline = tokio::time::Instant::now() + SEND_TIME_LIMIT + Duration::from_millis(1);
        let mut may_be_rejected = true;
        loop {
            applied.mark_unchanged();
            let step = attempt.decide(&self.read_index(), self.context.clock.now());
            attempt = match step {
                AttemptStep::Send(permit) => return Ok(permit),
                AttemptStep::Refuse(refusal) => return Err((refusal, true)),
                AttemptStep::Wait(attempt) => attempt,
            };
            tokio::select! {
                biased;
                sent = &mut rejection, if may_be_rejected => {
                    if sent.is_ok() {
                        return Err((ClaimRefusal::NotClaimed, false));
                    }
                    may_be_rejected = false;
                }
                _ = applied.changed() => {}
                () = tokio::time::sleep_until(deadline) => {}
            }
        }
    }

    async fn resolve_refusal(&self, refusal: ClaimRefusal) -> ClaimError {
        match refusal {
            ClaimRefusal::InProgress => ClaimError::InProgress,
            ClaimRefusal::KeyReused => ClaimError::KeyReused,
            ClaimRefusal::NotClaimed => ClaimError::NotClaimed,
            ClaimRefusal::Replay(place) => match self.stored_answer(place).await {
                Some(answer) => ClaimError::Replay(answer),
                None => ClaimError::AnswerUnreadable,
            },
        }
    }

    async fn stored_answer(&self, place: OutcomePlace) -> Option<StoredAnswer> {
        let log = &self.context.log;
        let page = log
            .read(CLAIMS_STREAM, place.offset, 1, Duration::ZERO)
            .await;
        let page = page.ok()?;
        let record = page.records.first()?;
        if record.offset != place.offset {
            return None;
        }
        let batch: ClaimBatch = serde_json::from_str(&record.data).ok()?;
        batch.entries.into_iter().find_map(|entry| match entry {
            ClaimEntry::Outcome { nonce, answer } if nonce == place.nonce => Some(answer),
            _ => None,
        })
    }

    /// Whether the call may still be sent.
    pub(crate) fn may_send(&self, permit: &SendPermit) -> bool {
        permit.is_valid(self.context.clock.now())
    }

    /// Voids the claim of a call that was not sent.
    pub(crate) fn void_claim(&self, permit: SendPermit) {
        let nonce = permit.nonce();
        self.writer.write(ClaimEntry::Void { nonce });
    }

    /// Stores the answer of a call that was sent.
    pub(crate) fn store_outcome(&self, sent: SentClaim, answer: StoredAnswer) {
        let nonce = sent.nonce;
        self.writer.write(ClaimEntry::Outcome { nonce, answer });
    }

    async fn follow_stream(&self) {
        let mut health = CallHealth::new("claims: reading the log");
        loop {
            let read = self.read_and_apply().await;
            health.record(&read);
            if read.is_err() {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    async fn read_and_apply(&self) -> Result<(), PlatformError> {
        let from = self.read_index().next_offset();
        let log = &self.context.log;
        let page = log
            .read(CLAIMS_STREAM, from, READ_RECORDS, READ_WAIT)
            .await?;
        let mut index = self.index.write().expect("no holder of the lock panics");
        for record in &page.records {
            match serde_json::from_str::<ClaimBatch>(&record.data) {
                Ok(batch) => index.apply(record.offset, record.at_ms, &batch),
                Err(error) => {
                    tracing::warn!(
                        "claims: skipping malformed record at offset {}: {error}",
                        record.offset
                    );
                    index.skip(record.offset);
                }
            }
        }
        index.expire(page.first, page.at_ms);
        let next = index.next_offset();
        drop(index);
        self.applied.send_replace(next);
        Ok(())
    }
}
