//! Transfer of snapshots between peers, for nodes that start or that cannot read the log.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::follower::install_snapshot;
use super::service::{ConfigService, lock};
use super::snapshot::{SnapshotAssembler, SnapshotPart, build_part};
use super::state::ConfigState;
use super::wire::{ConfigKind, ConfigMessage, SnapshotRequest, SnapshotResponse};
use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::ids::LogOffset;
use crate::peer::{PeerBody, PeerClient};

/// How long an unused copy is kept after the last request for one of its parts.
const COPY_RETENTION: Duration = Duration::from_secs(30);
/// A peer that has not requested a part for this time is no longer fetching.
const FETCHER_TIMEOUT: Duration = Duration::from_secs(5);
/// The number of peers that one node serves at the same time. Nodes serve others once they have a
/// snapshot themselves, so a few per node are enough even when many start together.
const MAX_FETCHERS: usize = 4;
/// The timeout for one part.
const PART_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves snapshots to peers, from a copy that does not change while this node applies further
/// records. All fetchers share one copy, since each takes the memory of a whole configuration.
#[derive(Debug, Default)]
pub(crate) struct SnapshotServer {
    copy: Option<Arc<ConfigState>>,
    /// When each fetcher, identified by its nonce, last requested a part.
    fetchers: FastMap<String, Timestamp>,
    last_request_at: Timestamp,
}

/// The reply to a request for a part.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum PartReply {
    Part(SnapshotPart),
    /// The node is already serving other peers.
    Busy,
    /// This node has no newer configuration, or the transfer has timed out.
    Unavailable,
}

impl SnapshotServer {
    pub(super) fn reply(
        &mut self,
        now: Timestamp,
        current: &ConfigState,
        request: &SnapshotRequest,
    ) -> PartReply {
        self.fetchers
            .retain(|_, last_request_at| now.since(*last_request_at) < FETCHER_TIMEOUT);
        let mut nonce = request.nonce.clone();
        if nonce.is_empty() {
            let requested = LogOffset::from(request.next_offset);
            if current.next_offset() <= requested {
                return PartReply::Unavailable;
            }
            let copy_offset = self.copy.as_ref().map(|copy| copy.next_offset());
            let in_use = !self.fetchers.is_empty();
            // A copy in use is not replaced. It may be older than the current state, as the peer
            // reads the log from there on, but it must be newer than the peer's state.
            if in_use && (self.fetchers.len() >= MAX_FETCHERS || copy_offset <= Some(requested)) {
                return PartReply::Busy;
            }
            if !in_use && copy_offset != Some(current.next_offset()) {
                self.copy = Some(Arc::new(current.clone()));
            }
            nonce = uuid::Uuid::new_v4().simple().to_string();
        } else if !self.fetchers.contains_key(&nonce) {
            return PartReply::Unavailable;
        }
        let Some(copy) = &self.copy else {
            return PartReply::Unavailable;
        };
        self.last_request_at = now;
        let part = build_part(copy, &nonce, request.part);
        if request.part + 1 >= part.parts {
            self.fetchers.remove(&nonce);
        } else {
            self.fetchers.insert(nonce, now);
        }
        PartReply::Part(part)
    }

    fn drop_unused_copy(&mut self, now: Timestamp) {
        let last_request_at = self.last_request_at;
        self.copy
            .take_if(|_| now.since(last_request_at) > COPY_RETENTION);
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FetchOutcome {
    Fetched,
    /// No snapshot was fetched, but a busy peer may serve this node later.
    Busy,
    Unavailable,
}

impl ConfigService {
    /// Handles a message from a peer and returns the response.
    pub(crate) fn handle(&self, message: ConfigMessage) -> Option<ConfigMessage> {
        let Some(ConfigKind::SnapshotRequest(request)) = message.kind else {
            return None;
        };
        let now = self.clock.now();
        let reply = lock(&self.snapshot_server).reply(now, &self.current(), &request);
        let mut response = SnapshotResponse {
            busy: reply == PartReply::Busy,
            ..SnapshotResponse::default()
        };
        if let PartReply::Part(part) = reply {
            response.part = serde_json::to_string(&part).ok();
            let follower = lock(&self.follower);
            response.newest_snapshot = follower.tracker.newest().map(u64::from);
            response.interval_start_ms = follower.tracker.interval_start_ms();
        }
        let kind = Some(ConfigKind::SnapshotResponse(response));
        Some(ConfigMessage { kind })
    }

    /// Frees the copy for peers if it has not been used for a while.
    pub(crate) fn drop_unused_copy(&self) {
        lock(&self.snapshot_server).drop_unused_copy(self.clock.now());
    }

    /// Fetches and installs snapshots from the peers in turn, until `limit` of them have provided a
    /// newer one.
    pub(crate) async fn fetch_from_peers(
        &self,
        client: &PeerClient,
        peers: &[SocketAddr],
        limit: usize,
    ) -> FetchOutcome {
        let mut fetched = 0;
        let mut busy = false;
        for &peer in peers {
            if fetched >= limit {
                break;
            }
            let next = self.current().next_offset();
            let source = PeerSource { client, peer };
            match fetch_snapshot(&source, next).await {
                Ok(snapshot) => fetched += usize::from(self.install_fetched(snapshot, peer)),
                Err(outcome) => busy |= outcome == FetchOutcome::Busy,
            }
        }
        match (fetched, busy) {
            (1.., _) => FetchOutcome::Fetched,
            (0, true) => FetchOutcome::Busy,
            (0, false) => FetchOutcome::Unavailable,
        }
    }

    /// Installs a fetched snapshot if it is newer than the current state. Returns whether it was
    /// installed.
    pub(super) fn install_fetched(&self, fetched: FetchedSnapshot, peer: SocketAddr) -> bool {
        let mut follower = lock(&self.follower);
        // The snapshot may include a change that this node is publishing, and the result of that is
        // only known from applying its record. A later change is not in the snapshot.
        if !lock(&self.pending_publishes).is_empty() {
            return false;
        }
        let mut state = self.state.write().expect("no holder of the lock panics");
        if !install_snapshot(&mut state, fetched.state) {
            return false;
        }
        let next = state.next_offset();
        drop(state);
        follower
            .tracker
            .merge_from_peer(fetched.newest_snapshot, fetched.interval_start_ms);
        tracing::info!("config: installed a snapshot at offset {next} from peer {peer}");
        self.applied.send_replace(next);
        true
    }
}

/// A peer's copy of the configuration, and its tracking data on the newest snapshot in the log.
#[derive(Debug)]
pub(super) struct FetchedSnapshot {
    pub(super) state: ConfigState,
    pub(super) newest_snapshot: Option<LogOffset>,
    pub(super) interval_start_ms: Option<u64>,
}

/// A source of snapshot parts.
pub(super) trait SnapshotSource: Sync {
    /// Requests one part; `None` if there is no response.
    fn request_part(
        &self,
        request: SnapshotRequest,
    ) -> impl Future<Output = Option<SnapshotResponse>> + Send;
}

struct PeerSource<'a> {
    client: &'a PeerClient,
    peer: SocketAddr,
}

impl SnapshotSource for PeerSource<'_> {
    async fn request_part(&self, request: SnapshotRequest) -> Option<SnapshotResponse> {
        let kind = Some(ConfigKind::SnapshotRequest(request));
        let body = PeerBody::Config(ConfigMessage { kind });
        let response = self.client.call(self.peer, body, PART_TIMEOUT).await.ok()?;
        match response {
            PeerBody::Config(ConfigMessage {
                kind: Some(ConfigKind::SnapshotResponse(response)),
            }) => Some(response),
            _ => None,
        }
    }
}

/// Fetches a snapshot that is newer than `next`, part by part. If a part cannot be fetched, the
/// parts before it are discarded.
pub(super) async fn fetch_snapshot(
    source: &impl SnapshotSource,
    next: LogOffset,
) -> Result<FetchedSnapshot, FetchOutcome> {
    let mut assembler = SnapshotAssembler::default();
    let mut request = SnapshotRequest {
        next_offset: next.into(),
        nonce: String::new(),
        part: 0,
    };
    loop {
        let response = source
            .request_part(request.clone())
            .await
            .ok_or(FetchOutcome::Unavailable)?;
        if response.busy {
            return Err(FetchOutcome::Busy);
        }
        let part = response.part.as_deref().map(serde_json::from_str);
        let Some(Ok(part)) = part else {
            return Err(FetchOutcome::Unavailable);
        };
        let part: SnapshotPart = part;
        request.nonce = part.nonce.clone();
        request.part = part.part + 1;
        let parts = part.parts;
        assembler.push(part);
        if request.part >= parts {
            let state = assembler.into_newest().ok_or(FetchOutcome::Unavailable)?;
            return Ok(FetchedSnapshot {
                state,
                newest_snapshot: response.newest_snapshot.map(LogOffset::from),
                interval_start_ms: response.interval_start_ms,
            });
        }
    }
}
