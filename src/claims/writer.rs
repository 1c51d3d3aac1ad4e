//! Group commit: entries that arrive together go into one append, because appends are limited.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::sync::{Mutex, mpsc, oneshot, watch};

use super::record::{ClaimBatch, ClaimEntry};
use super::service::CLAIMS_STREAM;
use crate::log_service::{CallHealth, LogClient, PlatformError};

/// The most entries in one record.
pub(crate) const BATCH_ENTRIES: usize = 64;
/// The most bytes of stored bodies in one record; the log takes no large records.
pub(crate) const BATCH_BODY_BYTES: usize = 128 * 1024;
/// The pause before entries that the log did not take are written again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// An entry on its way to the log.
#[derive(Debug)]
pub(crate) struct WriteOrder {
    pub(crate) entry: ClaimEntry,
    /// Set for a claim: is told when the log refused it for certain, and is closed when nobody
    /// waits for the claim any more. Other entries are written again until the log takes them.
    pub(crate) refused: Option<oneshot::Sender<()>>,
}

/// How an append ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AppendEnd {
    Stored,
    /// The log is down: the record is certainly not in it.
    Down,
    /// The append limit is reached: the record is certainly not in the log.
    Limited,
    /// The log does not take this record, now or later.
    Rejected,
    /// The record may be in the log.
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

/// The entries that wait for the log, in the order of their arrival.
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

    /// Takes the orders of the next record, without claims that nobody waits for.
    pub(crate) fn take_batch(&mut self) -> Vec<WriteOrder> {
        let is_wanted = |order: &WriteOrder| {
            order
                .refused
                .as_ref()
                .is_none_or(|refused| !refused.is_closed())
        };
        self.orders.retain(is_wanted);
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

    /// Puts back what must be written again, and gives the number of other entries that need no
    /// further append. A claim is never written again after an append whose
    /// end is unknown: its nonce in the stream tells whether it was stored.
    pub(crate) fn settle_batch(&mut self, batch: Vec<WriteOrder>, end: AppendEnd) -> usize {
        let mut ended = 0;
        for order in batch.into_iter().rev() {
            match (order.refused, end) {
                (None, AppendEnd::Stored | AppendEnd::Rejected) => ended += 1,
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
        ended
    }
}

/// Accepts entries and writes them.
#[derive(Debug)]
pub(crate) struct ClaimWriter {
    log: LogClient,
    sender: mpsc::UnboundedSender<WriteOrder>,
    receiver: Mutex<mpsc::UnboundedReceiver<WriteOrder>>,
    /// The outcomes and voids that are not in the log yet.
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

    /// Writes a claim once. The receiver is told when the log refused it for certain.
    pub(crate) fn write_claim(&self, entry: ClaimEntry) -> oneshot::Receiver<()> {
        let (refused, told) = oneshot::channel();
        let refused = Some(refused);
        let _ = self.sender.send(WriteOrder { entry, refused });
        told
    }

    /// Writes an outcome or void, again and again until the log has it.
    pub(crate) fn write(&self, entry: ClaimEntry) {
        self.outstanding.send_modify(|count| *count += 1);
        let refused = None;
        let _ = self.sender.send(WriteOrder { entry, refused });
    }

    /// Waits until the log has every outcome and void.
    pub(crate) async fn flushed(&self) {
        let mut outstanding = self.outstanding.subscribe();
        let _ = outstanding.wait_for(|count| *count == 0).await;
    }

    /// Writes until the future is dropped.
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
            let ended = backlog.settle_batch(batch, end);
            self.outstanding.send_modify(|count| *count -= ended);
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
