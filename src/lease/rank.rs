//! Decides by rendezvous hashing over the live nodes which node claims a role first.

use std::hash::{Hash, Hasher};
use std::time::Duration;

use super::role::RoleName;
use super::table::{LeaseStatus, LeaseTable};
use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::ids::NodeName;

/// The delay between the claims of candidates with successive ranks.
pub(crate) const RANK_DELAY: Duration = Duration::from_millis(200);

/// The rank of `own` among the candidates for `role`. Rank 0 claims first.
pub(crate) fn rank(role: &RoleName, own: &NodeName, live: &[NodeName]) -> u32 {
    let weight = |node: &NodeName| {
        let mut hasher = rustc_hash::FxHasher::default();
        (role.to_string(), node.as_str()).hash(&mut hasher);
        (hasher.finish(), node.clone())
    };
    let own_weight = weight(own);
    let ahead = live.iter().filter(|node| weight(node) > own_weight);
    u32::try_from(ahead.count()).unwrap_or(u32::MAX)
}

/// The candidate other than `own` that claims first.
pub(crate) fn successor<'a>(
    role: &RoleName,
    own: &NodeName,
    live: &'a [NodeName],
) -> Option<&'a NodeName> {
    let others = live.iter().filter(|node| *node != own);
    others.min_by_key(|node| rank(role, node, live))
}

/// Delays claims by rank, so that the nodes don't all claim a free role at once.
#[derive(Debug, Default)]
pub(crate) struct ClaimSchedule {
    /// When this node first saw that it may claim each role.
    claimable_since: FastMap<RoleName, Timestamp>,
}

/// The inputs to a claim decision.
#[derive(Debug)]
pub(crate) struct ClaimInputs<'a> {
    pub(crate) now: Timestamp,
    pub(crate) table: &'a LeaseTable,
    /// A lower bound of the log's current time.
    pub(crate) log_ms: u64,
    pub(crate) own: &'a NodeName,
    pub(crate) live: &'a [NodeName],
    pub(crate) may_claim_expired: bool,
}

impl ClaimSchedule {
    /// Whether this node's delay for claiming `role` is over.
    pub(crate) fn is_due(&mut self, role: &RoleName, inputs: &ClaimInputs) -> bool {
        let status = inputs.table.status(role, inputs.log_ms);
        let allowed = match &status {
            LeaseStatus::Held => false,
            LeaseStatus::Expired => inputs.may_claim_expired,
            LeaseStatus::NeverClaimed | LeaseStatus::Released { .. } => true,
        };
        if !allowed {
            self.claimable_since.remove(role);
            return false;
        }
        let since = *self
            .claimable_since
            .entry(role.clone())
            .or_insert(inputs.now);
        let position = rank(role, inputs.own, inputs.live);
        // A named successor claims first, and all other nodes claim after it.
        let position = match status {
            LeaseStatus::Released {
                successor: Some(successor),
            } if successor == *inputs.own => 0,
            LeaseStatus::Released { successor: Some(_) } => position + 1,
            _ => position,
        };
        inputs.now.since(since) >= RANK_DELAY * position
    }
}
