//! Batches the releases of this node's process and sends them to the pool's coordinator.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::event::ReleaseOutcome;
use super::service::{CALL_TIMEOUT, PoolShared, RETRY_INTERVAL};
use super::wire::{PoolKind, ReleaseItem, ReleaseMessage};
use crate::collections::FastMap;
use crate::ids::BaseModel;

/// The maximum number of attempts to send a batch of releases. If all of them fail, the next pin
/// report has the same effect.
const RELEASE_ATTEMPTS: u32 = 3;
/// How long releases are collected for one message. It delays the release of a slot.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// Unsent releases by pool. The first one of a batch starts a task that sends the whole batch.
#[derive(Debug, Default)]
pub(super) struct ReleaseQueue {
    /// The number of releases that are queued or being sent.
    unsent: AtomicUsize,
    waiting: Mutex<FastMap<BaseModel, Vec<ReleaseItem>>>,
}

impl ReleaseQueue {
    /// Adds a release; returns whether it is the first of its batch.
    pub(super) fn push(&self, model: &BaseModel, release: ReleaseItem) -> bool {
        let mut waiting = self.waiting.lock().expect("no holder of the lock panics");
        self.unsent.fetch_add(1, Ordering::Relaxed);
        let pool_releases = waiting.entry(model.clone()).or_default();
        pool_releases.push(release);
        pool_releases.len() == 1
    }

    pub(super) fn take(&self, model: &BaseModel) -> Vec<ReleaseItem> {
        let mut waiting = self.waiting.lock().expect("no holder of the lock panics");
        waiting.remove(model).unwrap_or_default()
    }

    fn mark_sent(&self, releases: usize) {
        self.unsent.fetch_sub(releases, Ordering::Relaxed);
    }

    fn is_empty(&self) -> bool {
        self.unsent.load(Ordering::Relaxed) == 0
    }
}

impl PoolShared {
    /// Queues a release for the coordinator.
    pub(super) fn queue_release(
        self: &Arc<Self>,
        model: &BaseModel,
        serial: u64,
        outcome: ReleaseOutcome,
    ) {
        let release = ReleaseItem::new(serial, outcome);
        if self.releases.push(model, release) {
            // A separate task, so that a cancelled caller does not drop the releases of others.
            let (shared, model) = (Arc::clone(self), model.clone());
            tokio::spawn(async move {
                tokio::time::sleep(BATCH_DELAY).await;
                let releases = shared.releases.take(&model);
                shared.send_releases(&model, &releases).await;
                shared.releases.mark_sent(releases.len());
            });
        }
    }

    /// Waits up to `limit` until every request has ended and every release has been sent. A slot
    /// that is not released stays reserved until its hard deadline.
    pub(super) async fn flush_releases(&self, limit: Duration) {
        let finished = async {
            while !self.open.is_empty() || !self.releases.is_empty() {
                tokio::time::sleep(BATCH_DELAY).await;
            }
        };
        if tokio::time::timeout(limit, finished).await.is_err() {
            tracing::warn!(
                "pool: some requests or releases are unfinished after {limit:?}; their slots stay reserved until the hard deadline"
            );
        }
    }

    async fn send_releases(&self, model: &BaseModel, items: &[ReleaseItem]) {
        for _ in 0..RELEASE_ATTEMPTS {
            let build = |session| {
                let items = items.to_vec();
                let session = Some(session);
                PoolKind::Release(ReleaseMessage { session, items })
            };
            match self.call_coordinator(model, build, CALL_TIMEOUT).await {
                Some(PoolKind::UnknownId(_)) => {}
                Some(_) => return,
                None => tokio::time::sleep(RETRY_INTERVAL).await,
            }
        }
        tracing::info!(
            "pool: {RELEASE_ATTEMPTS} attempts to send releases to the coordinator of {model} failed; the next pin report replaces them"
        );
    }
}
