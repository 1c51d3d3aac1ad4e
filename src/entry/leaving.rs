//! Targets that state in their own responses that they are about to stop.
//!
//! A target's record in the store may show this later, or not at all while the store or this VM's
//! way to it is down. So a response counts like a record, and the first VM that receives one tells
//! the others.

use std::time::Duration;

use super::gossip::{broadcast, new_message};
use super::orders::request_load;
use super::shared::EntryShared;
use super::state::EntryState;
use super::wire::{LeavingTarget, PeerMessage};
use crate::clock::Timestamp;
use crate::dispatch::choice::TargetChoice;
use crate::dispatch::choice_request::ChoiceRequest;
use crate::dispatch::directory::TargetKey;
use crate::ids::{ModelAdapter, NodeName};

/// The interval between the requests for loads of the adapters of a reclaimed target. Owners drop
/// a request that is not repeated for 0.8 s.
const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(200);

/// Records that a target's process, given by its start, has stated in a response to `call` that it
/// is leaving.
pub(super) fn record_leaving(
    shared: &EntryShared,
    target: TargetKey,
    started_ms: u64,
    call: &'static str,
) {
    let now = shared.clock.now();
    let is_new = {
        let mut state = shared.state.borrow_mut();
        state.directory.record_leaving(target, started_ms, now)
    };
    shared.metrics.record_leaving_response(!is_new);
    if !is_new {
        return;
    }
    tracing::info!(
        target = shared.target_name(target), key = %target, call,
        "targets: a target states that it is leaving"
    );
    let leaving = LeavingTarget {
        target: target.into(),
        started_ms,
    };
    let message = PeerMessage {
        leaving: vec![leaving],
        ..new_message(&shared.state.borrow())
    };
    broadcast(shared, &message);
}

/// Applies what a peer has learned from responses of targets.
pub(super) fn apply_peer_statements(
    shared: &EntryShared,
    peer: &NodeName,
    statements: &[LeavingTarget],
    now: Timestamp,
) {
    let mut state = shared.state.borrow_mut();
    for statement in statements {
        let target = TargetKey::from(statement.target);
        let started_ms = statement.started_ms;
        if state.directory.record_leaving(target, started_ms, now) {
            tracing::info!(
                key = %target, %peer, "targets: a peer has learned that a target is leaving"
            );
        }
    }
}

/// Requests the loads that replace the adapters in use on a reclaimed target that this VM owns, and
/// waits until the next round. Returns false at once if the target is not reclaimed or no longer owned.
pub(super) async fn replace_adapters(shared: &EntryShared, target: TargetKey) -> bool {
    let now = shared.clock.now();
    let missing = {
        let state = shared.state.borrow();
        if !state.directory.is_reclaimed(target) {
            return false;
        }
        match missing_adapters(&state, target, now) {
            Some(missing) => missing,
            None => return false,
        }
    };
    if !missing.is_empty() {
        tracing::info!(
            target = shared.target_name(target),
            adapters = missing.len(),
            "targets: loading the adapters of a reclaimed target on others"
        );
    }
    for (adapter, other) in missing {
        request_load(shared, other, &adapter);
    }
    tokio::time::sleep(REPLACEMENT_INTERVAL).await;
    true
}

/// The adapters in use on a target that no other target can serve, with the target to load each on.
/// `None` if this VM doesn't own the target.
pub(super) fn missing_adapters(
    state: &EntryState,
    target: TargetKey,
    now: Timestamp,
) -> Option<Vec<(ModelAdapter, TargetKey)>> {
    let planner = state.planners.get(&target)?;
    let service = &state.directory.get(target)?.report.service;
    let adapters = planner.recently_used_adapters(now).into_iter();
    let missing = adapters.filter_map(|adapter| {
        let model = adapter.model().parse().ok()?;
        let request = ChoiceRequest {
            service,
            model: Some(&model),
            adapter: Some(&adapter),
            excluded: &[target],
            stalled: &[],
            // The target is gone before a copy that is in use elsewhere becomes free.
            waited: Duration::MAX,
            software: None,
        };
        match state.choose(&request, now) {
            TargetChoice::Load(other) => Some((adapter, other)),
            _ => None,
        }
    });
    Some(missing.collect())
}
