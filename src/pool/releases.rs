//! Gathers the releases of this node's process and sends them to the pool's coordinator.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::event::ReleaseOutcome;
use super::service::{CALL_TIMEOUT, PoolShared, RETRY_INTERVAL};
use super::wire::{PoolKind, ReleaseItem, ReleaseNote};
use crate::collections::FastMap;
use crate::ids::BaseModel;

/// How often a release is sent. When all fail, the next report of pins tells the same.
const RELEASE_ATTEMPTS: u32 = 3;
/// How long releases are gathered for one message. A place becomes free later by this time.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// The releases that wait, by pool. The first one of a pool has a task that sends them all.
#[derive(Debug, Default)]
pub(super) struct ReleaseQueue {
    /// The releases that wait or are being sent.
    unsent: AtomicUsize,
    waiting: Mutex<FastMap<BaseModel, Vec<ReleaseItem>>>,
}

impl ReleaseQueue {
    /// Adds a release; tells whether it is the first one that waits.
    pub(super) fn push(&self, model: &BaseModel, release: ReleaseItem) -> bool {
        let mut waiting = self.waiting.lock().expect("no holder of the lock panics");
        self.unsent.fetch_add(1, Ordering::Relaxed);
        let of_pool = waiting.entry(model.clone()).or_default();
        of_pool.push(release);
        of_pool.len() == 1
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
    /// Tells the coordinator soon that a request ended.
    pub(super) fn queue_release(
        self: &Arc<Self>,
        model: &BaseModel,
        serial: u64,
        outcome: ReleaseOutcome,
    ) {
        let release = ReleaseItem::new(serial, outcome);
        if self.releases.push(model, release) {
            // A task of its own, so that no caller that goes away takes others' releases along.
            let (shared, model) = (Arc::clone(self), model.clone());
            tokio::spawn(async move {
                tokio::time::sleep(BATCH_DELAY).await;
                let releases = shared.releases.take(&model);
                shared.send_releases(&model, &releases).await;
                shared.releases.mark_sent(releases.len());
            });
        }
    }

    /// Waits up to `limit` until every request has ended and every release was sent, since a
    /// place that nobody gives back stays taken until its hard deadline.
    pub(super) async fn flush_releases(&self, limit: Duration) {
        let finished = async {
            while !self.open.is_empty() || !self.releases.is_empty() {
                tokio::time::sleep(BATCH_DELAY).await;
            }
        };
        if tokio::time::timeout(limit, finished).await.is_err() {
            tracing::warn!("pool: the process ends with places that were not given back");
        }
    }

    async fn send_releases(&self, model: &BaseModel, items: &[ReleaseItem]) {
        for _ in 0..RELEASE_ATTEMPTS {
            let build = |session| {
                let items = items.to_vec();
                let session = Some(session);
                PoolKind::Release(ReleaseNote { session, items })
            };
            match self.call_coordinator(model, build, CALL_TIMEOUT).await {
                Some(PoolKind::UnknownId(_)) => {}
                Some(_) => return,
                None => tokio::time::sleep(RETRY_INTERVAL).await,
            }
        }
        tracing::info!("pool: a release was not delivered; the next report of pins tells it");
    }
}
