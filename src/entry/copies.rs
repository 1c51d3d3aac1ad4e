//! Tells VMs that have just started what the targets held before.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use prost::Message;

use super::gossip::new_message;
use super::shared::EntryShared;
use super::state::EntryState;
use super::wire::{CopyReplyHeader, PeerMessage, TargetCopies};
use crate::clock::Timestamp;
use crate::dispatch::copies::{AdapterHash, CopyReply, CopySync, HeldTime};
use crate::dispatch::directory::TargetKey;
use crate::dispatch::routing::ServiceEntry;

/// Adapters of one target in a reply, which fit in a datagram.
const MAX_ADAPTERS_PER_TARGET: usize = 120;
/// The size of the targets' entries in one reply. With its other fields, the message stays below the
/// usual MTU.
const MAX_REPLY_BYTES: usize = 1200;
/// How long a VM must have run to answer queries: by then it has seen what the targets held.
const MIN_INFORMED_TIME: Duration = Duration::from_secs(30);
/// How long a query waits for its reply. Messages between VMs take a few milliseconds.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// The shortest interval between queries, which bounds the use of the peer's link.
const QUERY_INTERVAL: Duration = Duration::from_millis(10);
/// How often a VM that has just started checks whether it knows the targets.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The queries of a VM that has just started.
#[derive(Debug, Default)]
pub(crate) struct CopyLearner {
    sync: Option<CopySync>,
    /// Adapters learned, for logging.
    learned: usize,
}

fn keeps_copies(state: &EntryState) -> bool {
    let config = state.config.as_ref();
    config.is_some_and(|config| config.services.values().any(ServiceEntry::keeps_copies))
}

/// Asks peers what the targets held before, once after the process has started.
pub(super) async fn learn_copies(shared: Rc<EntryShared>) {
    shared.wait_for_peer_list().await;
    loop {
        let (has_targets, has_config, is_needed) = {
            let state = shared.state.borrow();
            let has_targets = state.directory.targets().next().is_some();
            (has_targets, state.config.is_some(), keeps_copies(&state))
        };
        if has_targets && has_config {
            if !is_needed {
                return;
            }
            break;
        }
        tokio::time::sleep(START_CHECK_INTERVAL).await;
    }
    let peers = {
        let state = shared.state.borrow();
        let mut peers = state.peer_addresses_in_zone(true);
        let mut others = state.peer_addresses_in_zone(false);
        for list in [&mut peers, &mut others] {
            let start = rand::random_range(0..list.len().max(1));
            list.rotate_left(start);
        }
        peers.extend(others);
        peers
    };
    shared.copy_learner.borrow_mut().sync = Some(CopySync::new(peers));
    loop {
        let query = {
            let mut learner = shared.copy_learner.borrow_mut();
            learner.sync.as_mut().and_then(CopySync::next_query)
        };
        let Some(query) = query else {
            break;
        };
        let message = PeerMessage {
            copy_query: Some(query.after),
            ..new_message(&shared.state.borrow())
        };
        shared.peer_socket.send(&message, query.peer);
        let reply = shared.copy_reply_received.notified();
        let _ = tokio::time::timeout(REPLY_TIMEOUT, reply).await;
        tokio::time::sleep(QUERY_INTERVAL).await;
    }
    let learner = std::mem::take(&mut *shared.copy_learner.borrow_mut());
    let queries = learner.sync.map_or(0, |sync| sync.queries());
    tracing::info!(
        queries,
        adapters = learner.learned,
        "copies: learned from peers"
    );
}

/// Handles the parts of a peer's message that concern copies.
pub(super) fn handle_message(
    shared: &EntryShared,
    message: &PeerMessage,
    from: SocketAddr,
    now: Timestamp,
) {
    if let Some(after) = message.copy_query {
        let reply = build_reply(&shared.state.borrow(), after, now);
        shared.peer_socket.send(&reply, from);
    }
    let Some(header) = message.copy_reply else {
        return;
    };
    let reply = CopyReply {
        after: header.after,
        next: header.next,
        is_informed: header.informed,
    };
    let mut learner = shared.copy_learner.borrow_mut();
    let sync = learner.sync.as_mut();
    if sync.is_some_and(|sync| sync.apply_reply(from, reply)) {
        let mut state = shared.state.borrow_mut();
        let learned = message
            .copies
            .iter()
            .map(|copies| apply_copies(&mut state, copies, now));
        learner.learned += learned.sum::<usize>();
        shared.copy_reply_received.notify_one();
    }
}

fn target_copies(state: &EntryState, key: TargetKey, now: Timestamp) -> Option<TargetCopies> {
    let started_ms = state.directory.get(key)?.report.started_ms;
    let newest = state.residency.copies(key)?.newest(MAX_ADAPTERS_PER_TARGET);
    let mut copies = TargetCopies {
        target: key.into(),
        started_ms,
        ..TargetCopies::default()
    };
    for (adapter, version, held_at) in newest {
        copies.adapters.push(adapter.into());
        copies.versions.push(version);
        let age = held_at.age(now).as_secs();
        copies.ages_s.push(u32::try_from(age).unwrap_or(u32::MAX));
    }
    (!copies.adapters.is_empty()).then_some(copies)
}

/// One datagram's part of what the targets after a place held before.
pub(super) fn build_reply(state: &EntryState, after: u64, now: Timestamp) -> PeerMessage {
    let informed = now.since(Timestamp::default()) >= MIN_INFORMED_TIME;
    let keys = state.directory.targets().map(|entry| entry.key);
    let mut keys: Vec<TargetKey> = keys.filter(|key| u64::from(*key) > after).collect();
    keys.sort_unstable();
    let (mut copies, mut bytes, mut next) = (Vec::new(), 0, None);
    for key in keys.into_iter().filter(|_| informed) {
        let Some(target) = target_copies(state, key, now) else {
            continue;
        };
        bytes += target.encoded_len();
        if bytes > MAX_REPLY_BYTES && !copies.is_empty() {
            next = copies.last().map(|last: &TargetCopies| last.target);
            break;
        }
        copies.push(target);
    }
    let header = CopyReplyHeader {
        after,
        next,
        informed,
    };
    PeerMessage {
        copies,
        copy_reply: Some(header),
        ..new_message(state)
    }
}

/// Records what one target held before. Returns the number of adapters.
pub(super) fn apply_copies(state: &mut EntryState, copies: &TargetCopies, now: Timestamp) -> usize {
    let target = TargetKey::from(copies.target);
    let entry = state.directory.get(target);
    if entry.is_none_or(|entry| entry.report.started_ms != copies.started_ms) {
        return 0;
    }
    let details = copies.versions.iter().zip(&copies.ages_s);
    for (adapter, (version, age_s)) in copies.adapters.iter().zip(details) {
        let held_at = HeldTime::before(now, Duration::from_secs((*age_s).into()));
        let adapter = AdapterHash::from(*adapter);
        state
            .residency
            .record_copy(target, adapter, *version, held_at);
    }
    copies.adapters.len()
}
