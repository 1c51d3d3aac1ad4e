//! Snapshots that peers give each other while the log can't be read.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::follower::adopt;
use super::service::{ConfigService, lock};
use super::snapshot::{SnapshotPart, SnapshotReader, build_part};
use super::state::ConfigState;
use super::wire::{ConfigKind, ConfigMessage, SnapshotAnswer, SnapshotAsk};
use crate::clock::Timestamp;
use crate::ids::LogOffset;
use crate::peer::{PeerBody, PeerClient};

/// How long a copy is kept for a peer that fetches its parts.
const SERVED_LIMIT: Duration = Duration::from_secs(30);
/// How long one part may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A copy of the configuration that peers are fetching. It stays the same while this node goes on.
#[derive(Debug)]
pub(crate) struct ServedSnapshot {
    nonce: String,
    state: Arc<ConfigState>,
    asked_at: Timestamp,
}

impl ConfigService {
    /// Answers a peer's message.
    pub(crate) fn handle(&self, message: ConfigMessage) -> Option<ConfigMessage> {
        let Some(ConfigKind::SnapshotAsk(ask)) = message.kind else {
            return None;
        };
        let part = self.served_part(&ask);
        let part = part.and_then(|part| serde_json::to_string(&part).ok());
        let kind = ConfigKind::SnapshotAnswer(SnapshotAnswer { part });
        Some(ConfigMessage { kind: Some(kind) })
    }

    fn served_part(&self, ask: &SnapshotAsk) -> Option<SnapshotPart> {
        let now = self.clock.now();
        let mut served = lock(&self.served);
        if ask.nonce.is_empty() {
            let next = self.current().next_offset();
            if next <= LogOffset::from(ask.next_offset) {
                return None;
            }
            let kept = served.as_ref().map(|served| served.state.next_offset());
            if kept != Some(next) {
                *served = Some(ServedSnapshot {
                    nonce: uuid::Uuid::new_v4().simple().to_string(),
                    state: Arc::new(self.current().clone()),
                    asked_at: now,
                });
            }
        }
        let served = served.as_mut()?;
        if !ask.nonce.is_empty() && ask.nonce != served.nonce {
            return None;
        }
        served.asked_at = now;
        Some(build_part(&served.state, &served.nonce, ask.part))
    }

    /// Frees the copy that no peer fetches any more.
    pub(crate) fn drop_served(&self) {
        let now = self.clock.now();
        let mut served = lock(&self.served);
        served.take_if(|served| now.since(served.asked_at) > SERVED_LIMIT);
    }

    /// Fetches the configuration from the peers that have a newer one. Tells whether one had.
    pub(crate) async fn fetch_from_peers(&self, client: &PeerClient, peers: &[SocketAddr]) -> bool {
        let mut fetched = false;
        for &peer in peers {
            let next = self.current().next_offset();
            let Some(snapshot) = fetch_snapshot(client, peer, next).await else {
                continue;
            };
            let mut state = self.state.write().expect("no holder of the lock panics");
            if adopt(&mut state, snapshot) {
                fetched = true;
                let next = state.next_offset();
                drop(state);
                tracing::info!("config: took the configuration up to {next} from peer {peer}");
                self.applied.send_replace(next);
            }
        }
        fetched
    }
}

async fn fetch_snapshot(
    client: &PeerClient,
    peer: SocketAddr,
    next: LogOffset,
) -> Option<ConfigState> {
    let mut reader = SnapshotReader::default();
    let mut ask = SnapshotAsk {
        next_offset: next.into(),
        nonce: String::new(),
        part: 0,
    };
    loop {
        let kind = Some(ConfigKind::SnapshotAsk(ask.clone()));
        let body = PeerBody::Config(ConfigMessage { kind });
        let answer = client.call(peer, body, CALL_TIMEOUT).await.ok()?;
        let PeerBody::Config(message) = answer else {
            return None;
        };
        let Some(ConfigKind::SnapshotAnswer(answer)) = message.kind else {
            return None;
        };
        let part: SnapshotPart = serde_json::from_str(&answer.part?).ok()?;
        ask.nonce = part.nonce.clone();
        ask.part = part.part + 1;
        let parts = part.parts;
        reader.push(part);
        if ask.part >= parts {
            return reader.into_newest();
        }
    }
}
