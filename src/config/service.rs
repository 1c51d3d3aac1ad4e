//! Follows the configuration stream and publishes changes.

use std::sync::{Mutex, MutexGuard, RwLock, RwLockReadGuard};
use std::time::Duration;

use derive_more::{Display, Error, From};
use tokio::sync::watch;

use super::follower::{ChangeVerdict, ConfigFollower, ConfigRecord, PageEnd};
use super::snapshot::SnapshotSchedule;
use super::state::{ChangeError, ConfigChange, ConfigEdit, ConfigState, SectionRevisions};
use crate::clock::{Clock, Timestamp};
use crate::collections::FastMap;
use crate::ids::LogOffset;
use crate::log_service::{LogClient, LogRecord, PlatformError, StreamPage};

/// The log stream of configuration records.
pub(crate) const CONFIG_STREAM: &str = "config";
/// How long one read of the stream waits for new records.
pub(super) const READ_WAIT: Duration = Duration::from_millis(500);
/// The most records in one read.
const READ_RECORDS: usize = 1000;
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

/// An accepted change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub(crate) struct AcceptedChange {
    /// The offset of the change, which is the new revision of each section that it edits.
    pub(crate) revision: LogOffset,
}

/// The limits of the log in the newest page.
#[derive(Debug, Clone, Copy, Default)]
struct LogLimits {
    first: LogOffset,
    next: LogOffset,
    at_ms: u64,
}

pub(super) type Verdict = Result<AcceptedChange, ChangeError>;

/// Owns this node's copy of the configuration.
#[derive(Debug)]
pub(crate) struct ConfigService {
    pub(super) log: LogClient,
    pub(super) clock: Clock,
    pub(super) state: RwLock<ConfigState>,
    /// Locked before `state`.
    pub(super) follower: Mutex<ConfigFollower>,
    limits: Mutex<LogLimits>,
    /// When the newest read that reached the log's tail was sent.
    confirmed: Mutex<Option<Timestamp>>,
    /// Verdicts on changes that this node published, by nonce.
    pub(super) verdicts: Mutex<FastMap<String, Option<Verdict>>>,
    pub(super) applied: watch::Sender<LogOffset>,
    pub(super) served: Mutex<super::peers::SnapshotDesk>,
    pub(super) recent: Mutex<super::relay::RecentRecords>,
}

impl ConfigService {
    pub(crate) fn new(log: LogClient, clock: Clock) -> Self {
        Self {
            log,
            clock,
            state: RwLock::default(),
            follower: Mutex::default(),
            limits: Mutex::default(),
            confirmed: Mutex::default(),
            verdicts: Mutex::default(),
            applied: watch::Sender::default(),
            served: Mutex::default(),
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
        *lock(&self.confirmed)
    }

    /// Whether a snapshot should be published now.
    pub(crate) fn is_snapshot_due(&self, schedule: SnapshotSchedule) -> bool {
        let limits = *lock(&self.limits);
        let follower = lock(&self.follower);
        let range = (limits.first, limits.next);
        follower.tracker.is_due(schedule, range, limits.at_ms)
    }

    /// The offset of the newest complete snapshot in the log.
    pub(crate) fn newest_snapshot(&self) -> Option<LogOffset> {
        lock(&self.follower).tracker.newest()
    }

    /// The state of this part for operators.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let confirmed = self.confirmed_at();
        let age = confirmed.map(|at| self.clock.now().since(at).as_millis());
        let limits = *lock(&self.limits);
        let snapshot = self.newest_snapshot();
        let state = self.current();
        serde_json::json!({
            "next_offset": state.next_offset(),
            "log_first": limits.first,
            "log_next": limits.next,
            "confirmed_age_ms": age,
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

    /// Reads and applies one page; waits up to `wait` for a record.
    pub(crate) async fn read_once(&self, wait: Duration) -> Result<PageEnd, PlatformError> {
        let sent = self.clock.now();
        let from = lock(&self.follower).position(&self.current());
        let page = self
            .log
            .read(CONFIG_STREAM, from, READ_RECORDS, wait)
            .await?;
        let end = self.take_page(&page);
        *lock(&self.limits) = LogLimits {
            first: page.first,
            next: page.next,
            at_ms: page.at_ms,
        };
        if end == PageEnd::AtTail {
            *lock(&self.confirmed) = Some(sent);
        }
        Ok(end)
    }

    fn take_page(&self, page: &StreamPage) -> PageEnd {
        let mut follower = lock(&self.follower);
        follower.begin_page(&self.current(), page.first);
        for record in &page.records {
            self.take_record(&mut follower, record);
        }
        let mut state = self.state.write().expect("no holder of the lock panics");
        let end = follower.end_page(&mut state, (page.first, page.next));
        let next = state.next_offset();
        drop(state);
        let applied = |offset: &mut LogOffset| {
            let newer = *offset < next;
            *offset = next;
            newer
        };
        self.applied.send_if_modified(applied);
        end
    }

    pub(super) fn take_record(&self, follower: &mut ConfigFollower, record: &LogRecord) {
        self.keep_recent(record);
        let mut state = self.state.write().expect("no holder of the lock panics");
        let outcome = follower.take_record(&mut state, record);
        let next = state.next_offset();
        drop(state);
        let offset = record.offset;
        if let Some(ChangeVerdict { nonce, verdict }) = outcome {
            match &verdict {
                Ok(()) => tracing::debug!("config: change at offset {offset} is in force"),
                Err(error) => {
                    tracing::info!("config: change at offset {offset} was rejected: {error}");
                }
            }
            if let Some(waiting) = lock(&self.verdicts).get_mut(&nonce) {
                // A record can be in the log twice when a reply was lost; the first one counts.
                let revision = offset;
                waiting.get_or_insert(verdict.map(|()| AcceptedChange { revision }));
            }
        }
        self.applied.send_replace(next);
    }

    /// Appends a change and waits for the verdict on it. Without `base`, the change is based on
    /// the revisions that this node has now.
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
        lock(&self.verdicts).insert(nonce.clone(), None);
        let appended = self.log.append(CONFIG_STREAM, &data).await;
        let verdict = match appended {
            Err(error @ PlatformError::Refused { status: 429 | 503 }) => Some(Err(error.into())),
            _ => tokio::time::timeout(PUBLISH_TIMEOUT, self.verdict_on(&nonce, &mut applied))
                .await
                .ok()
                .map(|verdict| verdict.map_err(PublishError::from)),
        };
        lock(&self.verdicts).remove(&nonce);
        verdict.unwrap_or(Err(PublishError::Unknown))
    }

    async fn verdict_on(
        &self,
        nonce: &str,
        applied: &mut watch::Receiver<LogOffset>,
    ) -> Result<AcceptedChange, ChangeError> {
        loop {
            let verdict = lock(&self.verdicts).get(nonce).cloned().flatten();
            if let Some(verdict) = verdict {
                return verdict;
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
