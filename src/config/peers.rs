//! Snapshots that peers give each other: to a node that starts, and while the log can't be read.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::follower::adopt;
use super::service::{ConfigService, lock};
use super::snapshot::{SnapshotPart, SnapshotReader, build_part};
use super::state::ConfigState;
use super::wire::{ConfigKind, ConfigMessage, SnapshotAnswer, SnapshotAsk};
use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::ids::LogOffset;
use crate::peer::{PeerBody, PeerClient};

/// How long a copy is kept after its last fetcher ended.
const COPY_LIMIT: Duration = Duration::from_secs(30);
/// A peer that asked for no part within this time has given up.
const FETCHER_LIMIT: Duration = Duration::from_secs(5);
/// The peers that one node serves at the same time. Nodes that were served serve others, so that
/// a few for each are enough when many start together.
const FETCHERS: usize = 4;
/// How long one part may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The copy of the configuration that peers are fetching. It stays the same while this node goes
/// on, and there is one only, since each costs the memory of a configuration.
#[derive(Debug, Default)]
pub(crate) struct SnapshotDesk {
    copy: Option<Arc<ConfigState>>,
    /// When each fetcher, known by its nonce, last asked for a part.
    fetchers: FastMap<String, Timestamp>,
    asked_at: Timestamp,
}

/// What a peer gets for its question.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum DeskAnswer {
    Part(SnapshotPart),
    /// Others are being served.
    Busy,
    /// This node has nothing newer, or no longer serves the peer.
    Nothing,
}

impl SnapshotDesk {
    pub(super) fn answer(
        &mut self,
        now: Timestamp,
        current: &ConfigState,
        ask: &SnapshotAsk,
    ) -> DeskAnswer {
        self.fetchers
            .retain(|_, asked_at| now.since(*asked_at) < FETCHER_LIMIT);
        let mut nonce = ask.nonce.clone();
        if nonce.is_empty() {
            let asked = LogOffset::from(ask.next_offset);
            if current.next_offset() <= asked {
                return DeskAnswer::Nothing;
            }
            let copied = self.copy.as_ref().map(|copy| copy.next_offset());
            let in_use = !self.fetchers.is_empty();
            // An older copy is as good for a node that follows the log from there.
            if in_use && (self.fetchers.len() >= FETCHERS || copied <= Some(asked)) {
                return DeskAnswer::Busy;
            }
            if !in_use && copied != Some(current.next_offset()) {
                self.copy = Some(Arc::new(current.clone()));
            }
            nonce = uuid::Uuid::new_v4().simple().to_string();
        } else if !self.fetchers.contains_key(&nonce) {
            return DeskAnswer::Nothing;
        }
        let Some(copy) = &self.copy else {
            return DeskAnswer::Nothing;
        };
        self.asked_at = now;
        let part = build_part(copy, &nonce, ask.part);
        if ask.part + 1 >= part.parts {
            self.fetchers.remove(&nonce);
        } else {
            self.fetchers.insert(nonce, now);
        }
        DeskAnswer::Part(part)
    }

    fn drop_unused(&mut self, now: Timestamp) {
        let asked_at = self.asked_at;
        self.copy.take_if(|_| now.since(asked_at) > COPY_LIMIT);
    }
}

/// How a fetch from peers ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FetchEnd {
    Fetched,
    /// A peer could serve this node later.
    Busy,
    Nothing,
}

impl ConfigService {
    /// Answers a peer's message.
    pub(crate) fn handle(&self, message: ConfigMessage) -> Option<ConfigMessage> {
        let Some(ConfigKind::SnapshotAsk(ask)) = message.kind else {
            return None;
        };
        let now = self.clock.now();
        let answer = lock(&self.served).answer(now, &self.current(), &ask);
        let mut wire = SnapshotAnswer {
            busy: answer == DeskAnswer::Busy,
            ..SnapshotAnswer::default()
        };
        if let DeskAnswer::Part(part) = answer {
            wire.part = serde_json::to_string(&part).ok();
            let follower = lock(&self.follower);
            wire.logged_offset = follower.tracker.newest().map(u64::from);
            wire.logged_at_ms = follower.tracker.since_ms();
        }
        let kind = Some(ConfigKind::SnapshotAnswer(wire));
        Some(ConfigMessage { kind })
    }

    /// Frees the copy that no peer fetches any more.
    pub(crate) fn drop_served(&self) {
        lock(&self.served).drop_unused(self.clock.now());
    }

    /// Fetches the configuration from the first `enough` peers that have a newer one.
    pub(crate) async fn fetch_from_peers(
        &self,
        client: &PeerClient,
        peers: &[SocketAddr],
        enough: usize,
    ) -> FetchEnd {
        let mut fetched = 0;
        let mut busy = false;
        for &peer in peers {
            if fetched >= enough {
                break;
            }
            let next = self.current().next_offset();
            let source = PeerSource { client, peer };
            match fetch_snapshot(&source, next).await {
                Ok(snapshot) => fetched += usize::from(self.adopt_fetched(snapshot, peer)),
                Err(end) => busy |= end == FetchEnd::Busy,
            }
        }
        match (fetched, busy) {
            (1.., _) => FetchEnd::Fetched,
            (0, true) => FetchEnd::Busy,
            (0, false) => FetchEnd::Nothing,
        }
    }

    pub(super) fn adopt_fetched(&self, fetched: FetchedSnapshot, peer: SocketAddr) -> bool {
        let mut follower = lock(&self.follower);
        // The copy may have the effect of a change that was published here, whose verdict only its
        // record gives. A change that is published from now on is not in the copy.
        if !lock(&self.verdicts).is_empty() {
            return false;
        }
        let mut state = self.state.write().expect("no holder of the lock panics");
        if !adopt(&mut state, fetched.state) {
            return false;
        }
        let next = state.next_offset();
        drop(state);
        follower.tracker.learn(fetched.logged, fetched.logged_at_ms);
        tracing::info!("config: took the configuration up to {next} from peer {peer}");
        self.applied.send_replace(next);
        true
    }
}

/// A peer's copy, and what it knows of the newest snapshot in the log.
#[derive(Debug)]
pub(super) struct FetchedSnapshot {
    pub(super) state: ConfigState,
    pub(super) logged: Option<LogOffset>,
    pub(super) logged_at_ms: Option<u64>,
}

/// Where parts of a copy come from.
pub(super) trait SnapshotSource: Sync {
    /// Asks for one part; `None` without an answer.
    fn ask(&self, ask: SnapshotAsk) -> impl Future<Output = Option<SnapshotAnswer>> + Send;
}

struct PeerSource<'a> {
    client: &'a PeerClient,
    peer: SocketAddr,
}

impl SnapshotSource for PeerSource<'_> {
    async fn ask(&self, ask: SnapshotAsk) -> Option<SnapshotAnswer> {
        let kind = Some(ConfigKind::SnapshotAsk(ask));
        let body = PeerBody::Config(ConfigMessage { kind });
        let answer = self.client.call(self.peer, body, CALL_TIMEOUT).await.ok()?;
        match answer {
            PeerBody::Config(ConfigMessage {
                kind: Some(ConfigKind::SnapshotAnswer(answer)),
            }) => Some(answer),
            _ => None,
        }
    }
}

/// Fetches a copy that is newer than `next`, part by part. A copy that stays incomplete is lost.
pub(super) async fn fetch_snapshot(
    source: &impl SnapshotSource,
    next: LogOffset,
) -> Result<FetchedSnapshot, FetchEnd> {
    let mut reader = SnapshotReader::default();
    let mut ask = SnapshotAsk {
        next_offset: next.into(),
        nonce: String::new(),
        part: 0,
    };
    loop {
        let answer = source.ask(ask.clone()).await.ok_or(FetchEnd::Nothing)?;
        if answer.busy {
            return Err(FetchEnd::Busy);
        }
        let part = answer.part.as_deref().map(serde_json::from_str);
        let Some(Ok(part)) = part else {
            return Err(FetchEnd::Nothing);
        };
        let part: SnapshotPart = part;
        ask.nonce = part.nonce.clone();
        ask.part = part.part + 1;
        let parts = part.parts;
        reader.push(part);
        if ask.part >= parts {
            let state = reader.into_newest().ok_or(FetchEnd::Nothing)?;
            return Ok(FetchedSnapshot {
                state,
                logged: answer.logged_offset.map(LogOffset::from),
                logged_at_ms: answer.logged_at_ms,
            });
        }
    }
}
