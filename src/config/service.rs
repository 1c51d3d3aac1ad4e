//! Maintains this node's copy of the configuration and publishes changes to it.

use std::sync::{Mutex, MutexGuard, RwLock, RwLockReadGuard};
use std::time::Duration;

use derive_more::{Display, Error, From};
use tokio::sync::watch;

use super::follower::{ChangeOutcome, ConfigFollower, ConfigRecord, ReadProgress};
use super::snapshot::SnapshotSchedule;
use super::state::{ChangeError, ConfigChange, ConfigEdit, ConfigState, SectionRevisions};
use crate::clock::{Clock, Timestamp};
use crate::collections::FastMap;
use crate::ids::LogOffset;
use crate::platform_client::{LogClient, LogRecord, PlatformError, StreamPage};

/// The name of the log stream with the configuration records.
pub(crate) const CONFIG_STREAM: &str = "config";
/// How long one read of the stream waits for new records.
pub(super) const READ_WAIT: Duration = Duration::from_millis(500);
/// Upper bound on the records in one read.
const READ_RECORDS: usize = 1000;
/// How long [`ConfigService::publish`] waits until this node has applied its record.
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

/// An accepted change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub(crate) struct AcceptedChange {
    /// The offset of the change, which becomes the revision of each section that it edits.
    pub(crate) revision: LogOffset,
}

/// The range of retained records and the log's clock, as of the newest page.
#[derive(Debug, Clone, Copy, Default)]
struct LogBounds {
    first: LogOffset,
    next: LogOffset,
    at_ms: u64,
}

pub(super) type PublishResult = Result<AcceptedChange, ChangeError>;

/// Owns this node's copy of the configuration.
#[derive(Debug)]
pub(crate) struct ConfigService {
    pub(super) log: LogClient,
    pub(super) clock: Clock,
    pub(super) state: RwLock<ConfigState>,
    /// Locked before `state`.
    pub(super) follower: Mutex<ConfigFollower>,
    log_bounds: Mutex<LogBounds>,
    /// When the latest read that reached the end of the log was sent.
    confirmed_at: Mutex<Option<Timestamp>>,
    /// Changes that this node is publishing, by nonce. The value is `None` until the record is
    /// applied.
    pub(super) pending_publishes: Mutex<FastMap<String, Option<PublishResult>>>,
    /// The offset of the next record to apply.
    pub(super) applied: watch::Sender<LogOffset>,
    pub(super) snapshot_server: Mutex<super::peers::SnapshotServer>,
    pub(super) recent_records: Mutex<super::relay::RecentRecords>,
}

impl ConfigService {
    pub(crate) fn new(log: LogClient, clock: Clock) -> Self {
        Self {
            log,
            clock,
            state: RwLock::default(),
            follower: Mutex::default(),
            log_bounds: Mutex::default(),
            confirmed_at: Mutex::default(),
            pending_publishes: Mutex::default(),
            applied: watch::Sender::default(),
            snapshot_server: Mutex::default(),
            recent_records: Mutex::default(),
        }
    }

    /// The current configuration. Do not hold the guard across an await.
    pub(crate) fn current(&self) -> RwLockReadGuard<'_, ConfigState> {
        self.state.read().expect("no holder of the lock panics")
    }

    /// Returns a receiver of the offset of the next record to apply, which is updated after each
    /// applied record.
    pub(crate) fn subscribe(&self) -> watch::Receiver<LogOffset> {
        self.applied.subscribe()
    }

    /// When the latest read that reached the end of the log was sent. The configuration includes
    /// all changes that were appended before that time.
    pub(crate) fn confirmed_at(&self) -> Option<Timestamp> {
        *lock(&self.confirmed_at)
    }

    /// Whether it is time to publish a snapshot.
    pub(crate) fn is_snapshot_due(&self, schedule: SnapshotSchedule) -> bool {
        let bounds = *lock(&self.log_bounds);
        let follower = lock(&self.follower);
        let range = (bounds.first, bounds.next);
        follower.tracker.is_due(schedule, range, bounds.at_ms)
    }

    /// The configuration offset of the newest complete snapshot in the log.
    pub(crate) fn newest_snapshot(&self) -> Option<LogOffset> {
        lock(&self.follower).tracker.newest()
    }

    /// The state of the service for the operators' state dump.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let confirmed = self.confirmed_at();
        let age_ms = confirmed.map(|at| self.clock.now().since(at).as_millis());
        let bounds = *lock(&self.log_bounds);
        let snapshot = self.newest_snapshot();
        let state = self.current();
        serde_json::json!({
            "next_offset": state.next_offset(),
            "log_first": bounds.first,
            "log_next": bounds.next,
            "confirmed_age_ms": age_ms,
            "newest_snapshot": snapshot,
            "revisions": state.revisions(),
            "base_models": state.base_models.len(),
            "zones": state.zones.len(),
            "targets": state.targets.len(),
            "services": state.services.len(),
            "accounts": state.accounts.len(),
            "rates": state.rates.len(),
            "keys": state.keys.len(),
            "adapters": state.adapters.len(),
            "versions": state.versions.len(),
        })
    }

    /// Reads and applies one page, waiting up to `wait` if there are no new records.
    pub(crate) async fn read_once(&self, wait: Duration) -> Result<ReadProgress, PlatformError> {
        let sent = self.clock.now();
        let from = lock(&self.follower).position(&self.current());
        let page = self
            .log
            .read(CONFIG_STREAM, from, READ_RECORDS, wait)
            .await?;
        let progress = self.apply_page(&page);
        *lock(&self.log_bounds) = LogBounds {
            first: page.first,
            next: page.next,
            at_ms: page.at_ms,
        };
        if progress == ReadProgress::AtTail {
            *lock(&self.confirmed_at) = Some(sent);
        }
        Ok(progress)
    }

    fn apply_page(&self, page: &StreamPage) -> ReadProgress {
        let mut follower = lock(&self.follower);
        follower.begin_page(&self.current(), page.first);
        for record in &page.records {
            self.apply_record(&mut follower, record);
        }
        let mut state = self.state.write().expect("no holder of the lock panics");
        let progress = follower.end_page(&mut state, (page.first, page.next));
        let next = state.next_offset();
        drop(state);
        let applied = |offset: &mut LogOffset| {
            let newer = *offset < next;
            *offset = next;
            newer
        };
        self.applied.send_if_modified(applied);
        progress
    }

    pub(super) fn apply_record(&self, follower: &mut ConfigFollower, record: &LogRecord) {
        self.cache_record(record);
        let mut state = self.state.write().expect("no holder of the lock panics");
        let outcome = follower.apply_record(&mut state, record);
        let next = state.next_offset();
        drop(state);
        let offset = record.offset;
        if let Some(ChangeOutcome { nonce, result }) = outcome {
            match &result {
                Ok(()) => tracing::debug!("config: applied the change at offset {offset}"),
                Err(error) => {
                    tracing::info!("config: change at offset {offset} was rejected: {error}");
                }
            }
            if let Some(pending) = lock(&self.pending_publishes).get_mut(&nonce) {
                // After a lost append reply the record can be in the log twice; the first decides.
                let revision = offset;
                pending.get_or_insert(result.map(|()| AcceptedChange { revision }));
            }
        }
        self.applied.send_replace(next);
    }

    /// Appends a change and waits until this node has accepted or rejected it. Without `base`, the
    /// change is based on the current revisions of this node.
    pub(crate) async fn publish(
        &self,
        base: Option<SectionRevisions>,
        edits: Vec<ConfigEdit>,
    ) -> Result<AcceptedChange, PublishError> {
        let nonce = uuid::Uuid::new_v4().simple().to_string();
        let base = base.unwrap_or_else(|| self.current().revisions().clone());
        let change = ConfigChange {
            nonce: nonce.clone(),
            base,
            edits,
        };
        let data = ConfigRecord::Change(change).to_json();
        let mut applied = self.subscribe();
        lock(&self.pending_publishes).insert(nonce.clone(), None);
        let appended = self.log.append(CONFIG_STREAM, &data).await;
        // With these statuses the log has not stored the record. Otherwise the result is known only
        // once the record is read.
        let result = match appended {
            Err(error @ PlatformError::Refused { status: 429 | 503 }) => Some(Err(error.into())),
            _ => tokio::time::timeout(PUBLISH_TIMEOUT, self.wait_for_result(&nonce, &mut applied))
                .await
                .ok()
                .map(|result| result.map_err(PublishError::from)),
        };
        lock(&self.pending_publishes).remove(&nonce);
        result.unwrap_or(Err(PublishError::Unknown))
    }

    async fn wait_for_result(
        &self,
        nonce: &str,
        applied: &mut watch::Receiver<LogOffset>,
    ) -> Result<AcceptedChange, ChangeError> {
        loop {
            let result = lock(&self.pending_publishes).get(nonce).cloned().flatten();
            if let Some(result) = result {
                return result;
            }
            if applied.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}
