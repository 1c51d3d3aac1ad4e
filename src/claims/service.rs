//! Follows the claims stream and claims calls for this node's callers.

use std::sync::{Arc, RwLock};
use std::time::Duration;

use derive_more::{Display, Error};
use tokio::sync::{oneshot, watch};
use tokio_util::task::TaskTracker;

use super::attempt::{
    AttemptStep, ClaimAttempt, ClaimRefusal, SEND_LIMIT, SendPermit, SentClaim, known_answer,
};
use super::index::{ClaimIndex, OutcomePlace};
use super::record::{CallDigest, ClaimBatch, ClaimEntry, ClaimKey, ClaimNonce, StoredAnswer};
use super::writer::ClaimWriter;
use crate::context::NodeContext;
use crate::ids::LogOffset;
use crate::log_service::{CallHealth, PlatformError};

/// The log stream of claims.
pub(crate) const CLAIMS_STREAM: &str = "claims";
/// How long one read of the stream waits for new records.
const READ_WAIT: Duration = Duration::from_millis(500);
/// The most records in one read.
const READ_RECORDS: usize = 1000;
/// The pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Why a call is not sent for its caller.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub(crate) enum RefusedClaim {
    #[display("the call was answered before")]
    Replay(#[error(not(source))] StoredAnswer),
    #[display("a call with this Idempotency-Key is in progress or its outcome is unknown")]
    InProgress,
    #[display("this Idempotency-Key was used for another request")]
    KeyReused,
    #[display("the call can't be recorded in the log now, so it was not sent")]
    NotClaimed,
    /// The call was answered, but the log can't be read for the answer now.
    #[display("the call was answered before, but its answer can't be read now")]
    AnswerUnreadable,
}

/// Owns this node's index of the claims stream.
#[derive(Debug)]
pub(crate) struct ClaimsService {
    context: Arc<NodeContext>,
    index: RwLock<ClaimIndex>,
    applied: watch::Sender<LogOffset>,
    writer: ClaimWriter,
    /// The calls under a claim. They run to their end when their callers leave.
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
        tokio::join!(self.follow(), self.writer.run());
    }

    /// Runs a call so that it does not end with its caller's connection.
    pub(crate) async fn run_call<T: Send + 'static>(
        &self,
        call: impl Future<Output = T> + Send + 'static,
    ) -> Option<T> {
        self.calls.spawn(call).await.ok()
    }

    /// Waits until all calls ended and their outcomes are in the log, at most for `limit`.
    pub(crate) async fn shut_down(&self, limit: Duration) {
        self.calls.close();
        let ended = async {
            self.calls.wait().await;
            self.writer.flushed().await;
        };
        if tokio::time::timeout(limit, ended).await.is_err() {
            tracing::warn!("claims: stopped before all outcomes were in the log");
        }
    }

    /// The number of claims in the window.
    pub(crate) fn len(&self) -> usize {
        self.read_index().len()
    }

    fn read_index(&self) -> std::sync::RwLockReadGuard<'_, ClaimIndex> {
        self.index.read().expect("no holder of the lock panics")
    }

    /// Claims the key for a call, or gives the reason why the call must not be sent.
    pub(crate) async fn claim(
        &self,
        key: ClaimKey,
        request: CallDigest,
    ) -> Result<SendPermit, RefusedClaim> {
        let known = known_answer(&self.read_index(), &key, &request);
        if let Some(refusal) = known {
            return Err(self.refused(refusal).await);
        }
        let nonce = ClaimNonce::random();
        let attempt = ClaimAttempt::new(key, request, nonce, self.context.clock.now());
        let told = self.writer.write_claim(ClaimEntry::Claim {
            key,
            request,
            nonce,
            node: self.context.settings.node.clone(),
            boot: self.context.boot,
        });
        match self.decide(attempt, told).await {
            Ok(permit) => Ok(permit),
            Err((refusal, is_stored)) => {
                if is_stored {
                    self.writer.write(ClaimEntry::Void { nonce });
                }
                Err(self.refused(refusal).await)
            }
        }
    }

    /// Waits for the claim's place in the log. The refusal says whether the claim may be stored.
    async fn decide(
        &self,
        attempt: ClaimAttempt,
        mut told: oneshot::Receiver<()>,
    ) -> Result<SendPermit, (ClaimRefusal, bool)> {
        let mut applied = self.applied.subscribe();
        let mut attempt = attempt;
        let deadline = tokio::time::Instant::now() + SEND_LIMIT + Duration::from_millis(1);
        let mut is_pending = true;
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
                refused = &mut told, if is_pending => {
                    if refused.is_ok() {
                        return Err((ClaimRefusal::NotClaimed, false));
                    }
                    is_pending = false;
                }
                _ = applied.changed() => {}
                () = tokio::time::sleep_until(deadline) => {}
            }
        }
    }

    async fn refused(&self, refusal: ClaimRefusal) -> RefusedClaim {
        match refusal {
            ClaimRefusal::InProgress => RefusedClaim::InProgress,
            ClaimRefusal::KeyReused => RefusedClaim::KeyReused,
            ClaimRefusal::NotClaimed => RefusedClaim::NotClaimed,
            ClaimRefusal::Replay(place) => match self.stored_answer(place).await {
                Some(answer) => RefusedClaim::Replay(answer),
                None => RefusedClaim::AnswerUnreadable,
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

    /// Ends a claim whose call was never sent.
    pub(crate) fn give_up(&self, permit: SendPermit) {
        let nonce = permit.nonce();
        self.writer.write(ClaimEntry::Void { nonce });
    }

    /// Stores the answer of a call that was sent.
    pub(crate) fn finish(&self, sent: SentClaim, answer: StoredAnswer) {
        let nonce = sent.nonce;
        self.writer.write(ClaimEntry::Outcome { nonce, answer });
    }

    async fn follow(&self) {
        let mut health = CallHealth::new("claims: reading the log");
        loop {
            let read = self.read_once().await;
            health.note(&read);
            if read.is_err() {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    async fn read_once(&self) -> Result<(), PlatformError> {
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
                    tracing::warn!("claims: record {} is malformed: {error}", record.offset);
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
