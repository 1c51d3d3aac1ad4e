//! Writes entries to the log by group commit: entries that arrive together share one append,
//! because the rate of appends is limited.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::sync::{Mutex, mpsc, oneshot, watch};

use super::record::{ClaimBatch, ClaimEntry};
use super::service::CLAIMS_STREAM;
use crate::platform_client::{CallHealth, LogClient, PlatformError};

/// The maximum number of entries in one record.
pub(crate) const BATCH_ENTRIES: usize = 64;
/// The maximum total size of stored bodies in one record, because the log accepts no large records.
pub(crate) const BATCH_BODY_BYTES: usize = 128 * 1024;
/// The pause after a failed append.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// An entry to write to the log.
#[derive(Debug)]
pub(crate) struct PendingEntry {
    pub(crate) entry: ClaimEntry,
    /// Set for a claim. A message is sent on it when the log has certainly not stored the claim. It
    /// is closed when the caller no longer waits for the claim. Other entries are retried until the
    /// log stores or rejects them.
    pub(crate) rejection_sender: Option<oneshot::Sender<()>>,
}

/// The result of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AppendResult {
    Stored,
    /// The log is down, and the record is certainly not stored.
    Down,
    /// The append rate limit is reached, and the record is certainly not stored.
    Limited,
    /// The log will never accept this record.
    Rejected,
    /// The record may or may not be stored.
    Unknown,
}

impl From<Result<(), PlatformError>> for AppendResult {
    fn from(appended: Result<(), PlatformError>) -> Self {
        match appended {
            Ok(()) => Self::Stored,
            Err(PlatformError::Refused { status: 503 }) => Self::Down,
            Err(PlatformError::Refused { status: 429 }) => Self::Limited,
            Err(PlatformError::Refused { status: 400..=499 }) => Self::Rejected,
            Err(_) => Self::Unknown,
        }
    }
}

/// The entries that are not written yet, in order of arrival.
#[derive(Debug, Default)]
pub(crate) struct WriteBacklog {
    entries: VecDeque<PendingEntry>,
}

impl WriteBacklog {
    pub(crate) fn push(&mut self, pending: PendingEntry) {
        self.entries.push_back(pending);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Takes the entries of the next record, and drops claims whose callers no longer wait.
    pub(crate) fn take_batch(&mut self) -> Vec<PendingEntry> {
        let is_awaited = |pending: &PendingEntry| {
            pending
                .rejection_sender
                .as_ref()
                .is_none_or(|sender| !sender.is_closed())
        };
        self.entries.retain(is_awaited);
        let mut bytes = 0;
        let mut fits = |pending: &PendingEntry| {
            bytes += pending.entry.body_len();
            bytes <= BATCH_BODY_BYTES
        };
        let count = self
            .entries
            .iter()
            .take(BATCH_ENTRIES)
            .take_while(|pending| fits(pending))
            .count();
        self.entries.drain(..count).collect()
    }

    /// Requeues the entries to retry, and returns the number of outcomes and voids that need no
    /// further append. A claim is never retried after an append with an unknown result, because
    /// its nonce in the stream shows whether it was stored.
    pub(crate) fn complete_batch(
        &mut self,
        batch: Vec<PendingEntry>,
        result: AppendResult,
    ) -> usize {
        let mut settled = 0;
        for pending in batch.into_iter().rev() {
            match (pending.rejection_sender, result) {
                (None, AppendResult::Stored | AppendResult::Rejected) => settled += 1,
                (Some(_), AppendResult::Stored | AppendResult::Unknown) => {}
                (Some(rejection_sender), AppendResult::Down | AppendResult::Rejected) => {
                    let _ = rejection_sender.send(());
                }
                (rejection_sender, _) => self.entries.push_front(PendingEntry {
                    entry: pending.entry,
                    rejection_sender,
                }),
            }
        }
        settled
    }
}

/// Queues entries and writes them to the log.
#[derive(Debug)]
pub(crate) struct ClaimWriter {
    log: LogClient,
    sender: mpsc::UnboundedSender<PendingEntry>,
    receiver: Mutex<mpsc::UnboundedReceiver<PendingEntry>>,
    /// The number of outcomes and voids that are not in the log yet.
    outstanding: watch::Sender<usize>,
}

impl ClaimWriter {
    pub(crate) fn new(log: LogClient) -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        Self {
            log,
            sender,
            receiver: Mutex::new(receiver),
            outstanding: watch::Sender::default(),
        }
    }

    /// Queues a claim, which is retried only while the append rate limit is reached. The receiver
    /// gets a message if the log certainly has not stored the claim.
    pub(crate) fn write_claim(&self, entry: ClaimEntry) -> oneshot::Receiver<()> {
        let (rejection_sender, rejection) = oneshot::channel();
        let rejection_sender = Some(rejection_sender);
        let _ = self.sender.send(PendingEntry {
            entry,
            rejection_sender,
        });
        rejection
    }

    /// Queues an outcome or void, which is retried until the log stores or rejects it.
    pub(crate) fn write(&self, entry: ClaimEntry) {
        self.outstanding.send_modify(|count| *count += 1);
        let rejection_sender = None;
        let _ = self.sender.send(PendingEntry {
            entry,
            rejection_sender,
        });
    }

    /// Waits until all queued outcomes and voids need no further append.
    pub(crate) async fn wait_until_flushed(&self) {
        let mut outstanding = self.outstanding.subscribe();
        let _ = outstanding.wait_for(|count| *count == 0).await;
    }

    /// Writes queued entries until the future is dropped.
    pub(crate) async fn run(&self) {
        let mut receiver = self.receiver.lock().await;
        let mut backlog = WriteBacklog::default();
        let mut health = CallHealth::new("claims: appending to the log");
        loop {
            if backlog.is_empty() {
                let Some(pending) = receiver.recv().await else {
                    return;
                };
                backlog.push(pending);
            }
            while let Ok(pending) = receiver.try_recv() {
                backlog.push(pending);
            }
            let batch = backlog.take_batch();
            if batch.is_empty() {
                continue;
            }
            let appended = self.append(&batch).await;
            health.record(&appended);
            let result = AppendResult::from(appended);
            let settled = backlog.complete_batch(batch, result);
            self.outstanding.send_modify(|count| *count -= settled);
            if result != AppendResult::Stored {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    async fn append(&self, batch: &[PendingEntry]) -> Result<(), PlatformError> {
        let entries = batch.iter().map(|pending| pending.entry.clone()).collect();
        let batch = ClaimBatch { entries };
        let data = serde_json::to_string(&batch).expect("a batch has only string keys");
        self.log.append(CLAIMS_STREAM, &data).await.map(|_| ())
    }
}
