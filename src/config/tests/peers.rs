use std::sync::Mutex;

use serde_json::json;

use super::snapshots::large_state;
use super::{apply_next, dump, put};
use crate::clock::{Clock, Timestamp};
use crate::config::model::SectionName as S;
use crate::config::peers::{DeskAnswer, FetchEnd, SnapshotDesk, SnapshotSource, fetch_snapshot};
use crate::config::service::ConfigService;
use crate::config::state::ConfigState;
use crate::config::wire::{SnapshotAnswer, SnapshotAsk};
use crate::ids::LogOffset;
use crate::log_service::LogClient;

/// A peer that goes on changing its configuration and dies after some answers.
struct Peer {
    state: Mutex<(SnapshotDesk, ConfigState, u32)>,
}

impl Peer {
    fn new(state: ConfigState, answers: u32) -> Self {
        let state = Mutex::new((SnapshotDesk::default(), state, answers));
        Self { state }
    }
}

impl SnapshotSource for Peer {
    async fn ask(&self, ask: SnapshotAsk) -> Option<SnapshotAnswer> {
        let mut guard = self.state.lock().unwrap();
        let (desk, state, answers) = &mut *guard;
        *answers = answers.checked_sub(1)?;
        let answer = desk.answer(Timestamp::default(), state, &ask);
        let name = format!("late-{answers}");
        apply_next(state, vec![put(S::Accounts, &name, json!({}))]).unwrap();
        Some(SnapshotAnswer {
            busy: answer == DeskAnswer::Busy,
            part: match answer {
                DeskAnswer::Part(part) => Some(serde_json::to_string(&part).unwrap()),
                _ => None,
            },
            ..SnapshotAnswer::default()
        })
    }
}

fn first_ask(next: u64) -> SnapshotAsk {
    SnapshotAsk {
        next_offset: next,
        nonce: String::new(),
        part: 0,
    }
}

/// Guards against a copy with entries of different offsets.
#[tokio::test]
async fn a_fetched_copy_stands_for_one_offset() {
    let state = large_state();
    let peer = Peer::new(state.clone(), 100);
    let fetched = fetch_snapshot(&peer, LogOffset::default()).await.unwrap();
    assert_eq!(dump(&fetched.state), dump(&state));
    assert_eq!(fetched.state.next_offset(), state.next_offset());
}

/// Guards against a node that starts from a part of a configuration, or from an older one.
#[tokio::test]
async fn a_peer_that_dies_midway_or_is_older_gives_nothing() {
    let dying = Peer::new(large_state(), 1);
    let end = fetch_snapshot(&dying, LogOffset::default()).await;
    assert_eq!(end.unwrap_err(), FetchEnd::Nothing);
    let older = Peer::new(large_state(), 100);
    let own = large_state().next_offset();
    let end = fetch_snapshot(&older, own).await;
    assert_eq!(end.unwrap_err(), FetchEnd::Nothing);
}

/// Guards against a peer that serves any number of nodes at once, and against one that is busy
/// for good after its fetchers vanished.
#[test]
fn a_peer_serves_four_at_once() {
    let (mut desk, state) = (SnapshotDesk::default(), large_state());
    let mut first = |now| desk.answer(Timestamp::from_millis(now), &state, &first_ask(0));
    for _ in 0..4 {
        assert!(matches!(first(0), DeskAnswer::Part(_)));
    }
    assert_eq!(first(0), DeskAnswer::Busy);
    assert_eq!(first(4999), DeskAnswer::Busy);
    assert!(matches!(first(5000), DeskAnswer::Part(_)));
}

/// Guards against a publisher that never learns the verdict on its change, because a peer's copy
/// had the change already.
#[tokio::test]
async fn a_copy_is_not_adopted_while_a_change_waits_for_its_verdict() {
    let service = ConfigService::new(LogClient::new("http://127.0.0.1:1"), Clock::system());
    let peer = Peer::new(large_state(), 200);
    let address = ([127, 0, 0, 1], 1).into();
    let waiting = || service.verdicts.lock().unwrap();
    waiting().insert("nonce".to_owned(), None);
    let fetched = fetch_snapshot(&peer, LogOffset::default()).await.unwrap();
    assert!(!service.adopt_fetched(fetched, address));
    assert_eq!(service.current().next_offset(), LogOffset::default());
    waiting().clear();
    let fetched = fetch_snapshot(&peer, LogOffset::default()).await.unwrap();
    assert!(service.adopt_fetched(fetched, address));
    assert!(
        service.confirmed_at().is_none(),
        "a copy makes no node ready"
    );
}
