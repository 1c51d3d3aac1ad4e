//! Follows the configuration stream and publishes changes.

use std::collections::VecDeque;
use std::sync::{Mutex, RwLock, RwLockReadGuard};
use std::time::Duration;

use derive_more::{Display, Error, From};
use tokio::sync::watch;

use super::state::{ChangeError, ConfigChange, ConfigEdit, ConfigState};
use crate::clock::{Clock, Timestamp};
use crate::collections::FastMap;
use crate::ids::LogOffset;
use crate::platform::{LogClient, LogRecord, PlatformError};

/// The log stream of configuration records.
pub(crate) const CONFIG_STREAM: &str = "config";
/// How long one read of the stream waits for new records.
const READ_WAIT: Duration = Duration::from_millis(500);
/// The most records in one read.
const READ_RECORDS: usize = 1000;
/// The pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The newest records that are kept for peers which can't read the log.
const RECENT_RECORDS: usize = 1000;
/// How long a publisher waits until its own record is applied.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a change was not accepted.
#[derive(Debug, Display, Error, From)]
pub(crate) enum PublishError {
    #[display("the change was rejected: {_0}")]
    Rejected(ChangeError),
    #[display("the change was not stored: {_0}")]
    Log(PlatformError),
    #[display("the change may have been stored, but was not seen in time")]
    #[from(ignore)]
    Unknown,
}

/// Owns this node's copy of the configuration.
#[derive(Debug)]
pub(crate) struct ConfigService {
    log: LogClient,
    clock: Clock,
    state: RwLock<ConfigState>,
    /// When the newest read that reached the log's tail was sent.
    confirmed: Mutex<Option<Timestamp>>,
    /// Verdicts on changes that this node published, by nonce.
    verdicts: Mutex<FastMap<String, Option<Result<(), ChangeError>>>>,
    applied: watch::Sender<LogOffset>,
    /// The newest applied records without a gap.
    recent: Mutex<VecDeque<LogRecord>>,
}

impl ConfigService {
    pub(crate) fn new(log: LogClient, clock: Clock) -> Self {
        Self {
            log,
            clock,
            state: RwLock::default(),
            confirmed: Mutex::default(),
            verdicts: Mutex::default(),
            applied: watch::Sender::default(),
            recent: Mutex::default(),
        }
    }

    /// The configuration in force. Do not hold the guard across an await.
    pub(crate) fn current(&self) -> RwLockReadGuard<'_, ConfigState> {
        self.state.read().expect("no holder of the lock panics")
    }

    /// Tells each newly applied offset.
    pub(crate) fn subscribe(&self) -> watch::Receiver<LogOffset> {
        self.applied.subscribe()
    }

    /// When the newest read that reached the log's tail was sent.
    pub(crate) fn confirmed_at(&self) -> Option<Timestamp> {
        *self.confirmed.lock().expect("no holder of the lock panics")
    }

    /// Follows the stream until the future is dropped.
    pub(crate) async fn run(&self) {
        loop {
            if let Err(error) = self.read_once(READ_WAIT).await {
                tracing::warn!("config: reading the log failed: {error}");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Reads and applies one page; waits up to `wait` for a record.
    pub(crate) async fn read_once(&self, wait: Duration) -> Result<(), PlatformError> {
        let sent = self.clock.now();
        let from = self.current().next_offset();
        let page = self
            .log
            .read(CONFIG_STREAM, from, READ_RECORDS, wait)
            .await?;
        for record in &page.records {
            self.apply(record);
        }
        if self.current().next_offset() >= page.next {
            *self.confirmed.lock().expect("no holder of the lock panics") = Some(sent);
        }
        Ok(())
    }

    /// The applied records from `from` on, for a peer; empty if the first is no longer kept.
    pub(crate) fn recent_from(&self, from: LogOffset) -> Vec<LogRecord> {
        let recent = self.recent.lock().expect("no holder of the lock panics");
        let records = recent.iter().skip_while(|record| record.offset != from);
        records.cloned().collect()
    }

    /// Applies records that a peer has read, as far as they follow on this node's own.
    pub(crate) fn apply_relayed(&self, records: &[LogRecord]) {
        for record in records {
            if record.offset == self.current().next_offset() {
                self.apply(record);
            }
        }
    }

    fn keep_recent(&self, record: &LogRecord) {
        let mut recent = self.recent.lock().expect("no holder of the lock panics");
        let next = recent.back().map(|last| last.offset.next());
        if next.is_some_and(|next| record.offset < next) {
            return;
        }
        if next.is_some_and(|next| record.offset > next) {
            recent.clear();
        }
        recent.push_back(record.clone());
        if recent.len() > RECENT_RECORDS {
            recent.pop_front();
        }
    }

    fn apply(&self, record: &LogRecord) {
        self.keep_recent(record);
        let change = match serde_json::from_str::<ConfigChange>(&record.data) {
            Ok(change) => change,
            Err(error) => {
                tracing::warn!("config: record {} is malformed: {error}", record.offset);
                ConfigChange {
                    nonce: String::new(),
                    base: Default::default(),
                    edits: Vec::new(),
                }
            }
        };
        let mut state = self.state.write().expect("no holder of the lock panics");
        let verdict = state.apply(record.offset, &change);
        let next = state.next_offset();
        drop(state);
        if let Err(error) = &verdict {
            tracing::info!(
                "config: change at offset {} was rejected: {error}",
                record.offset
            );
        }
        let mut verdicts = self.verdicts.lock().expect("no holder of the lock panics");
        if let Some(waiting) = verdicts.get_mut(&change.nonce) {
            *waiting = Some(verdict);
        }
        drop(verdicts);
        self.applied.send_replace(next);
    }

    /// Appends a change and waits for the verdict on it.
    pub(crate) async fn publish(&self, edits: Vec<ConfigEdit>) -> Result<(), PublishError> {
        let nonce = uuid::Uuid::new_v4().simple().to_string();
        let change = ConfigChange {
            nonce: nonce.clone(),
            base: Default::default(),
            edits,
        };
        let data = serde_json::to_string(&change).expect("a change has only string keys");
        let mut applied = self.subscribe();
        self.verdicts
            .lock()
            .expect("no holder of the lock panics")
            .insert(nonce.clone(), None);
        let appended = self.log.append(CONFIG_STREAM, &data).await;
        let verdict = match appended {
            Err(error @ PlatformError::Refused { status: 429 | 503 }) => Some(Err(error.into())),
            _ => tokio::time::timeout(PUBLISH_TIMEOUT, self.verdict_on(&nonce, &mut applied))
                .await
                .ok()
                .map(|verdict| verdict.map_err(PublishError::from)),
        };
        self.verdicts
            .lock()
            .expect("no holder of the lock panics")
            .remove(&nonce);
        verdict.unwrap_or(Err(PublishError::Unknown))
    }

    async fn verdict_on(
        &self,
        nonce: &str,
        applied: &mut watch::Receiver<LogOffset>,
    ) -> Result<(), ChangeError> {
        loop {
            if let Some(verdict) = self.verdict_now(nonce) {
                return verdict;
            }
            if applied.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    fn verdict_now(&self, nonce: &str) -> Option<Result<(), ChangeError>> {
        let verdicts = self.verdicts.lock().expect("no holder of the lock panics");
        verdicts.get(nonce).cloned().flatten()
    }
}
