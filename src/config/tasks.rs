//! The tasks of a running node: follow the log, and publish snapshots as the holder of that role.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;

use super::follower::{ConfigRecord, PageEnd};
use super::peers::FetchEnd;
use super::service::{CONFIG_STREAM, READ_WAIT};
use super::snapshot::{build_part, part_count};
use crate::context::NodeContext;
use crate::lease::RoleName;
use crate::log_service::CallHealth;

/// How long a node that starts waits for the VM list before it reads the log.
const LIST_WAIT: Duration = Duration::from_secs(1);
/// How many peers a node that starts asks in one round.
const START_PEERS: usize = 3;
/// How often it asks again while peers are busy, and the pause between. After that it reads the
/// log.
const START_ROUNDS: u32 = 20;
const START_PAUSE: Duration = Duration::from_millis(500);
/// The pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The pause after a pass over the whole log that found no snapshot.
const SCAN_PAUSE: Duration = Duration::from_secs(2);
/// The failed reads in a row after which peers are asked, and again after as many more.
const READS_BEFORE_PEERS: u32 = 5;
/// How often the holder checks whether a snapshot is due.
const SNAPSHOT_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The pause between two parts, so that a snapshot takes at most 50 of the several hundred
/// appends per second that the log allows to all nodes.
const PART_PAUSE: Duration = Duration::from_millis(20);
/// The attempts for one part, and the pause between them.
const PART_ATTEMPTS: u32 = 10;
const PART_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Takes the configuration from a peer, so that many nodes that start together don't each read a
/// snapshot from the log. The log is followed from there, and the node is not ready before it has
/// read the log's end.
async fn start_from_peers(context: &NodeContext) {
    for _ in 0..START_ROUNDS {
        let mut peers = context.membership.listed_addresses(LIST_WAIT).await;
        peers.shuffle(&mut rand::rng());
        peers.truncate(START_PEERS);
        let fetched = context.config.fetch_from_peers(&context.peers, &peers, 1);
        if fetched.await != FetchEnd::Busy {
            return;
        }
        tokio::time::sleep(START_PAUSE).await;
    }
}

/// Follows the configuration until the future is dropped.
pub(crate) async fn follow(context: Arc<NodeContext>) {
    start_from_peers(&context).await;
    let mut failures = 0;
    let mut health = CallHealth::new("config: reading the log");
    loop {
        let read = context.config.read_once(READ_WAIT).await;
        health.note(&read);
        match read {
            Ok(PageEnd::NoSnapshot) => {
                tracing::warn!("config: the log has no complete snapshot to start from");
                failures += 1;
                tokio::time::sleep(SCAN_PAUSE).await;
            }
            Ok(_) => failures = 0,
            Err(_) => failures += 1,
        }
        context.config.drop_served();
        if failures == 0 {
            continue;
        }
        if failures % READS_BEFORE_PEERS == 0 {
            let peers = context.membership.table().addresses(context.clock.now());
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

/// Appends all parts of a snapshot. A snapshot that stays incomplete is ignored by readers.
async fn publish_snapshot(context: &NodeContext) {
    // The copy shares its texts with the state in force and stays the same while changes go on.
    let state = context.config.current().clone();
    let nonce = uuid::Uuid::new_v4().simple().to_string();
    let parts = part_count(&state);
    let offset = state.next_offset();
    for part in 0..parts {
        if !is_publisher(context) {
            tracing::info!("config: the snapshot at {offset} is left to another node");
            return;
        }
        let record = ConfigRecord::Snapshot(build_part(&state, &nonce, part));
        if !append_part(context, &record.to_json()).await {
            tracing::warn!("config: the snapshot at {offset} could not be stored");
            return;
        }
        tokio::time::sleep(PART_PAUSE).await;
    }
    tracing::info!("config: stored the snapshot at {offset} in {parts} parts");
}

/// Appends one part; a repeated part does no harm.
async fn append_part(context: &NodeContext, data: &str) -> bool {
    for _ in 0..PART_ATTEMPTS {
        match context.log.append(CONFIG_STREAM, data).await {
            Ok(_) => return true,
            Err(error) => tracing::debug!("config: storing a part failed: {error}"),
        }
        tokio::time::sleep(PART_RETRY_PAUSE).await;
    }
    false
}
