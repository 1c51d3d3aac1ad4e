//! Writes entries to the log by group commit: entries that arrive together share one append,
//! because the rate of appends is limited.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::sync::{Mutex, mpsc, oneshot, watch};

use super::record::{ClaimBatch, ClaimEntry};
use super::service::CLAIMS_STREAM;
use crate::log_service::{CallHealth, LogClient, PlatformError};

/// The maximum number of entries in one record.
pub(crate) const BATCH_ENTRIES: usize = 64;
/// The maximum total size of stored bodies in one record, because the log accepts no large records.
pub(crate) const BATCH_BODY_BYTES: usize = 128 * 1024;
/// The pause after a failed append.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// An entry to write to the log.
#[derive(Debug)]
pub(crate) struct WriteOrder {
    pub(crate) entry: ClaimEntry,
    /// Set for a claim. A message is sent on it when the log has certainly not stored the claim. It
    /// is closed when the caller no longer waits for the claim. Other entries are retried until the
    /// log stores or rejects them.
    pub(crate) refused: Option<oneshot::Sender<()>>,
}

/// The result of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AppendEnd {
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

impl From<Result<(), PlatformError>> for AppendEnd {
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
    orders: VecDeque<WriteOrder>,
}

impl WriteBacklog {
    pub(crate) fn push(&mut self, order: WriteOrder) {
        self.orders.push_back(order);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// Takes the entries of the next record, and drops claims whose callers no longer wait.
    pub(crate) fn take_batch(&mut self) -> Vec<WriteOrder> {
        let is_awaited = |order: &WriteOrder| {
            order
                .refused
                .as_ref()
                .is_none_or(|refused| !refused.is_closed())
        };
        self.orders.retain(is_awaited);
        let mut bytes = 0;
        let mut fits = |order: &WriteOrder| {
            bytes += order.entry.body_len();
            bytes <= BATCH_BODY_BYTES
        };
        let count = self
            .orders
            .iter()
            .take(BATCH_ENTRIES)
            .take_while(|order| fits(order))
            .count();
        self.orders.drain(..count).collect()
    }

    /// Requeues the entries to retry, and returns the number of outcomes and voids that need no
    /// further append. A claim is never retried after an append with an unknown result, because
    /// its nonce in the stream shows whether it was stored.
    pub(crate) fn settle_batch(&mut self, batch: Vec<WriteOrder>, end: AppendEnd) -> usize {
        let mut settled = 0;
        for order in batch.into_iter().rev() {
            match (order.refused, end) {
                (None, AppendEnd::Stored | AppendEnd::Rejected) => settled += 1,
                (Some(_), AppendEnd::Stored | AppendEnd::Unknown) => {}
                (Some(refused), AppendEnd::Down | AppendEnd::Rejected) => {
                    let _ = refused.send(());
                }
                (refused, _) => self.orders.push_front(WriteOrder {
                    entry: order.entry,
                    refused,
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
    sender: mpsc::UnboundedSender<WriteOrder>,
    receiver: Mutex<mpsc::UnboundedReceiver<WriteOrder>>,
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
        let (refused, rejection) = oneshot::channel();
        let refused = Some(refused);
        let _ = self.sender.send(WriteOrder { entry, refused });
        rejection
    }

    /// Queues an outcome or void, which is retried until the log stores or rejects it.
    pub(crate) fn write(&self, entry: ClaimEntry) {
        self.outstanding.send_modify(|count| *count += 1);
        let refused = None;
        let _ = self.sender.send(WriteOrder { entry, refused });
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
                let Some(order) = receiver.recv().await else {
                    return;
                };
                backlog.push(order);
            }
            while let Ok(order) = receiver.try_recv() {
                backlog.push(order);
            }
            let batch = backlog.take_batch();
            if batch.is_empty() {
                continue;
            }
            let appended = self.append(&batch).await;
            health.note(&appended);
            let end = AppendEnd::from(appended);
            let settled = backlog.settle_batch(batch, end);
            self.outstanding.send_modify(|count| *count -= settled);
            if end != AppendEnd::Stored {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    async fn append(&self, batch: &[WriteOrder]) -> Result<(), PlatformError> {
        let entries = batch.iter().map(|order| order.entry.clone()).collect();
        let batch = ClaimBatch { entries };
        let data = serde_json::to_string(&batch).expect("a batch has only string keys");
        self.log.append(CLAIMS_STREAM, &data).await.map(|_| ())
    }
}
