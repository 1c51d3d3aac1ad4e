use std::sync::Mutex;

use serde_json::json;

use super::snapshots::large_state;
use super::{apply_next, dump, put};
use crate::clock::{Clock, Timestamp};
use crate::config::model::SectionName as S;
use crate::config::peers::{
    FetchOutcome, PartReply, SnapshotServer, SnapshotSource, fetch_snapshot,
};
use crate::config::service::ConfigService;
use crate::config::state::ConfigState;
use crate::config::wire::{SnapshotRequest, SnapshotResponse};
use crate::entry::response_memory::ResponseMemory;
use crate::ids::LogOffset;
use crate::platform_client::LogClient;

/// A peer whose configuration changes after each reply, and which stops responding after a number
/// of replies.
struct Peer {
    /// The server, the configuration and the number of replies that remain.
    state: Mutex<(SnapshotServer, ConfigState, u32)>,
}

impl Peer {
    fn new(state: ConfigState, remaining_replies: u32) -> Self {
        let state = Mutex::new((SnapshotServer::default(), state, remaining_replies));
        Self { state }
    }
}

impl SnapshotSource for Peer {
    async fn request_part(&self, request: SnapshotRequest) -> Option<SnapshotResponse> {
        let mut guard = self.state.lock().unwrap();
        let (server, state, remaining_replies) = &mut *guard;
        *remaining_replies = remaining_replies.checked_sub(1)?;
        let reply = server.reply(Timestamp::default(), state, &request);
        let name = format!("late-{remaining_replies}");
        apply_next(state, vec![put(S::Accounts, &name, json!({}))]).unwrap();
        Some(SnapshotResponse {
            busy: reply == PartReply::Busy,
            part: match reply {
                PartReply::Part(part) => Some(serde_json::to_string(&part).unwrap()),
                _ => None,
            },
            ..SnapshotResponse::default()
        })
    }
}

fn first_request(next: u64) -> SnapshotRequest {
    SnapshotRequest {
        next_offset: next,
        nonce: String::new(),
        part: 0,
    }
}

/// Guards against a copy that mixes entries of different offsets because the peer's configuration
/// changes during the transfer.
#[tokio::test]
async fn a_fetched_copy_is_consistent_at_one_offset() {
    let state = large_state();
    let peer = Peer::new(state.clone(), 100);
    let fetched = fetch_snapshot(&peer, LogOffset::default()).await.unwrap();
    assert_eq!(dump(&fetched.state), dump(&state));
    assert_eq!(fetched.state.next_offset(), state.next_offset());
}

/// Guards against a node that starts from an incomplete configuration, or from one that is not
/// newer than its own.
#[tokio::test]
async fn no_copy_from_a_peer_that_fails_midway_or_is_not_newer() {
    let failing = Peer::new(large_state(), 1);
    let result = fetch_snapshot(&failing, LogOffset::default()).await;
    assert_eq!(result.unwrap_err(), FetchOutcome::Unavailable);
    let current = Peer::new(large_state(), 100);
    let own = large_state().next_offset();
    let result = fetch_snapshot(&current, own).await;
    assert_eq!(result.unwrap_err(), FetchOutcome::Unavailable);
}

/// Guards against a peer that serves an unlimited number of nodes at the same time, and against
/// one that stays busy forever because its fetchers have died.
#[test]
fn a_peer_serves_at_most_four_fetchers() {
    let (mut server, state) = (SnapshotServer::default(), large_state());
    let mut first = |now| server.reply(Timestamp::from_millis(now), &state, &first_request(0));
    for _ in 0..4 {
        assert!(matches!(first(0), PartReply::Part(_)));
    }
    assert_eq!(first(0), PartReply::Busy);
    assert_eq!(first(4999), PartReply::Busy);
    assert!(matches!(first(5000), PartReply::Part(_)));
}

/// Guards against a publisher that never gets the result of its change: if a peer's copy already
/// includes the change, the node does not apply its record.
#[tokio::test]
async fn a_copy_is_not_installed_while_a_change_is_being_published() {
    let log = LogClient::new("http://127.0.0.1:1", &ResponseMemory::for_tests());
    let service = ConfigService::new(log, Clock::system());
    let peer = Peer::new(large_state(), 200);
    let address = ([127, 0, 0, 1], 1).into();
    let pending = || service.pending_publishes.lock().unwrap();
    pending().insert("nonce".to_owned(), None);
    let fetched = fetch_snapshot(&peer, LogOffset::default()).await.unwrap();
    assert!(!service.install_fetched(fetched, address));
    assert_eq!(service.current().next_offset(), LogOffset::default());
    pending().clear();
    let fetched = fetch_snapshot(&peer, LogOffset::default()).await.unwrap();
    assert!(service.install_fetched(fetched, address));
    assert!(
        service.confirmed_at().is_none(),
        "a peer's copy alone must not make the node ready"
    );
}
