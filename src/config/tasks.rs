//! Background tasks of a node: following the configuration stream, and publishing snapshots while
//! the node holds the lease for that.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;

use super::follower::{ConfigRecord, ReadProgress};
use super::peers::FetchOutcome;
use super::service::{CONFIG_STREAM, READ_WAIT};
use super::snapshot::{build_part, part_count};
use crate::context::NodeContext;
use crate::lease::RoleName;
use crate::platform_client::CallHealth;

/// How long a starting node waits for the VM list before it reads the log.
const VM_LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// How many peers a starting node asks for a snapshot in one round.
const PEERS_PER_ROUND: usize = 3;
/// The number of rounds in which a starting node asks as long as peers are busy. After that it
/// reads the log.
const BOOTSTRAP_ROUNDS: u32 = 20;
const BOOTSTRAP_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// The pause after a failed read of the log.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The additional pause after a scan of the whole log that found no snapshot.
const SCAN_PAUSE: Duration = Duration::from_secs(2);
/// The number of consecutive failed reads after which peers are asked for snapshots. They are
/// asked again after as many further failures.
const FAILURES_BEFORE_PEER_FETCH: u32 = 5;
/// How often a node checks whether it has to publish a snapshot.
const SNAPSHOT_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The pause between two parts. It limits a snapshot to 50 appends per second, of the several
/// hundred per second that the log allows for all nodes together.
const PART_PAUSE: Duration = Duration::from_millis(20);
const PART_ATTEMPTS: u32 = 10;
const PART_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Fetches a snapshot from a peer, so that nodes that start at the same time do not all read one
/// from the log. The node then reads the log from the snapshot's offset on, and is not ready before
/// it has reached the end of the log.
async fn bootstrap_from_peers(context: &NodeContext) {
    for _ in 0..BOOTSTRAP_ROUNDS {
        let mut peers = context
            .membership
            .wait_for_peer_addresses(VM_LIST_TIMEOUT)
            .await;
        peers.shuffle(&mut rand::rng());
        peers.truncate(PEERS_PER_ROUND);
        let fetched = context.config.fetch_from_peers(&context.peers, &peers, 1);
        if fetched.await != FetchOutcome::Busy {
            return;
        }
        tokio::time::sleep(BOOTSTRAP_RETRY_PAUSE).await;
    }
}

/// Keeps this node's configuration up to date until the future is dropped.
pub(crate) async fn follow(context: Arc<NodeContext>) {
    bootstrap_from_peers(&context).await;
    let mut failures = 0;
    let mut health = CallHealth::new("config: reading the log");
    loop {
        let read = context.config.read_once(READ_WAIT).await;
        health.record(&read);
        match read {
            Ok(ReadProgress::NoSnapshot) => {
                tracing::warn!(
                    "config: needed records expired and no usable snapshot found; scanning again"
                );
                failures += 1;
                tokio::time::sleep(SCAN_PAUSE).await;
            }
            Ok(_) => failures = 0,
            Err(_) => failures += 1,
        }
        context.config.drop_unused_copy();
        if failures == 0 {
            continue;
        }
        if failures % FAILURES_BEFORE_PEER_FETCH == 0 {
            let peers = context
                .membership
                .table()
                .peer_addresses(context.clock.now());
            let peers: Vec<_> = peers.into_iter().map(|(_, address)| address).collect();
            let client = &context.peers;
            let fetched = context.config.fetch_from_peers(client, &peers, peers.len());
            fetched.await;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

fn is_publisher(context: &NodeContext) -> bool {
    let role = RoleName::ConfigSnapshot;
    context.leases.fence_if_held(&role).is_some()
}

/// Publishes snapshots when they are due, until the future is dropped.
pub(crate) async fn publish_snapshots(context: Arc<NodeContext>) {
    let schedule = context.settings.snapshot_schedule;
    loop {
        tokio::time::sleep(SNAPSHOT_CHECK_INTERVAL).await;
        if is_publisher(&context) && context.config.is_snapshot_due(schedule) {
            publish_snapshot(&context).await;
        }
    }
}

/// Appends all parts of a snapshot. Readers ignore a snapshot that is not completed.
async fn publish_snapshot(context: &NodeContext) {
    // The copy does not change while further changes are applied. It shares the names with the
    // current state, which saves memory.
    let state = context.config.current().clone();
    let nonce = uuid::Uuid::new_v4().simple().to_string();
    let parts = part_count(&state);
    let offset = state.next_offset();
    for part in 0..parts {
        if !is_publisher(context) {
            tracing::info!(
                "config: stopped publishing the snapshot at offset {offset}: the lease was lost"
            );
            return;
        }
        let record = ConfigRecord::Snapshot(build_part(&state, &nonce, part));
        if !append_part(context, &record.to_json()).await {
            tracing::warn!(
                "config: abandoned the snapshot at offset {offset}: appending a part failed"
            );
            return;
        }
        tokio::time::sleep(PART_PAUSE).await;
    }
    tracing::info!("config: published the snapshot at offset {offset} in {parts} parts");
}

/// Appends one part and retries on failure. Readers ignore duplicate parts.
async fn append_part(context: &NodeContext, data: &str) -> bool {
    for _ in 0..PART_ATTEMPTS {
        match context.log.append(CONFIG_STREAM, data).await {
            Ok(_) => return true,
            Err(error) => tracing::debug!("config: appending a snapshot part failed: {error}"),
        }
        tokio::time::sleep(PART_RETRY_PAUSE).await;
    }
    false
}
