//! Targets that have become cold, as the VMs that read the store tell the others.
//!
//! A VM that does not know of it sends at the full rate. In a small fleet, each VM reads the store at
//! its own time, and in a large one, the records of a zone whose targets become cold together are too
//! long to be relayed. A short statement reaches all VMs at once.

use std::time::Duration;

use super::gossip::{broadcast, new_message};
use super::shared::EntryShared;
use super::state::EntryState;
use super::wire::{ColdTarget, PeerMessage};
use crate::clock::Timestamp;
use crate::dispatch::directory::{TargetKey, TargetReport};
use crate::dispatch::target_entry::ColdStatement;
use crate::ids::NodeName;

/// The statements in one datagram, which stays below the usual MTU.
const MAX_STATEMENTS_PER_MESSAGE: usize = 40;

/// The statement of a target's report that the target is cold, if it is.
pub(super) fn statement(target: TargetKey, report: &TargetReport) -> Option<ColdTarget> {
    let remaining = report.cold_remaining;
    (!remaining.is_zero()).then(|| ColdTarget {
        target: target.into(),
        started_ms: report.started_ms,
        sequence: report.sequence,
        remaining_ms: u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX),
    })
}

/// Tells all peers that targets have become cold.
pub(super) fn announce(shared: &EntryShared, statements: &[ColdTarget]) {
    for cold_targets in statements.chunks(MAX_STATEMENTS_PER_MESSAGE) {
        let message = PeerMessage {
            cold_targets: cold_targets.to_vec(),
            ..new_message(&shared.state.borrow())
        };
        broadcast(shared, &message);
    }
}

/// Applies what a peer has read of cold targets.
pub(super) fn apply_statements(
    state: &mut EntryState,
    peer: &NodeName,
    statements: &[ColdTarget],
    now: Timestamp,
) {
    for statement in statements {
        let key = TargetKey::from(statement.target);
        let Some(entry) = state.directory.get_mut(key) else {
            continue;
        };
        let remaining = Duration::from_millis(statement.remaining_ms.into());
        let cold = ColdStatement {
            started_ms: statement.started_ms,
            sequence: statement.sequence,
            remaining,
        };
        if entry.apply_cold(cold, now) {
            tracing::info!(
                target = %entry.name, %key, %peer, cold_ms = statement.remaining_ms,
                "targets: a peer has learned that a target is cold"
            );
            // The record is then no change any more, but a reader claims to have relayed it.
            let name = entry.name.clone();
            state.relay_claim.record_foreign(name, now);
        }
    }
}
