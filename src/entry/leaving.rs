//! Targets that state in their own responses that they are about to stop.
//!
//! A target's record in the store may show this later, or not at all while the store or this VM's
//! way to it is down. So a response counts like a record, and the first VM that receives one tells
//! the others.

use super::gossip::{broadcast, new_message};
use super::shared::EntryShared;
use super::wire::{LeavingTarget, PeerMessage};
use crate::clock::Timestamp;
use crate::dispatch::directory::TargetKey;
use crate::ids::NodeName;

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
