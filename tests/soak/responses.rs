//! The writing side of a target's connections, which sends some refusals once more.

use std::sync::{Arc, Weak};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::{Mutex, MutexGuard, watch};

/// One in this many refusals is sent once more.
const REPEAT_INTERVAL: u32 = 2;
/// The longest time from a refusal to its copy.
const LONGEST_DELAY: Duration = Duration::from_secs(2);
/// The longest time from the next request on the connection to a copy that waits for it.
const LONGEST_OVERLAP_MS: u64 = 60;
/// The largest number of parts in which a copy is written, and the time between them.
const MAX_PARTS: usize = 3;
const PART_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Debug, Default)]
struct ReceivedRequests {
    count: u64,
    /// The id of the last one.
    last_id: String,
}

/// Writes the responses on one connection. It is locked for each whole response, so that a copy is
/// never written into another response.
#[derive(Debug)]
pub(crate) struct ResponseWriter {
    half: Arc<Mutex<OwnedWriteHalf>>,
    /// The requests received on the connection.
    received: watch::Sender<ReceivedRequests>,
}

impl ResponseWriter {
    pub(crate) fn new(half: OwnedWriteHalf) -> Self {
        Self {
            half: Arc::new(Mutex::new(half)),
            received: watch::Sender::default(),
        }
    }

    pub(crate) fn record_request(&self, id: &str) {
        self.received.send_modify(|received| {
            received.count += 1;
            id.clone_into(&mut received.last_id);
        });
    }

    /// Locks the connection for a response that is written in parts.
    pub(crate) async fn lock(&self) -> MutexGuard<'_, OwnedWriteHalf> {
        self.half.lock().await
    }

    pub(crate) async fn write(&self, response: &str) -> std::io::Result<()> {
        self.lock().await.write_all(response.as_bytes()).await
    }

    /// Writes a refusal. Some refusals are written once more within [`LONGEST_DELAY`], beside the
    /// requests that follow on the connection.
    pub(crate) async fn refuse(&self, refusal: String) -> std::io::Result<()> {
        let received = self.received.subscribe();
        self.write(&refusal).await?;
        if rand::random_range(0..REPEAT_INTERVAL) == 0 {
            tokio::spawn(repeat(Arc::downgrade(&self.half), received, refusal));
        }
        Ok(())
    }
}

/// Writes a copy of a refusal, unless the connection is closed before.
async fn repeat(
    half: Weak<Mutex<OwnedWriteHalf>>,
    received: watch::Receiver<ReceivedRequests>,
    refusal: String,
) {
    if wait_for_copy(received).await.is_none() {
        return;
    }
    let Some(half) = half.upgrade() else {
        return;
    };
    let mut writer = half.lock().await;
    let parts = rand::random_range(1..=MAX_PARTS);
    let part_bytes = refusal.len().div_ceil(parts);
    for part in refusal.as_bytes().chunks(part_bytes) {
        if writer.write_all(part).await.is_err() {
            return;
        }
        if parts > 1 {
            tokio::time::sleep(PART_INTERVAL).await;
        }
    }
}

/// Waits for the time of a copy: a random one, or while the next request or the refused one is under
/// way on the connection. Returns `None` if the connection is closed before.
async fn wait_for_copy(mut received: watch::Receiver<ReceivedRequests>) -> Option<()> {
    let (count, refused_id) = {
        let received = received.borrow();
        (received.count, received.last_id.clone())
    };
    let choice = rand::random_range(0..3);
    let delay = if choice == 0 {
        LONGEST_DELAY.mul_f64(rand::random_range(0.0..1.0))
    } else {
        let is_awaited = |received: &ReceivedRequests| {
            received.count > count && (choice == 1 || received.last_id == refused_id)
        };
        let request = received.wait_for(is_awaited);
        if let Ok(Err(_closed)) = tokio::time::timeout(LONGEST_DELAY, request).await {
            return None;
        }
        Duration::from_millis(rand::random_range(0..LONGEST_OVERLAP_MS))
    };
    tokio::time::sleep(delay).await;
    Some(())
}
