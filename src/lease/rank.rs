//! Who claims a role first: rendezvous hashing over the live nodes.

use std::hash::{Hash, Hasher};
use std::time::Duration;

use super::role::RoleName;
use super::table::{LeaseStatus, LeaseTable};
use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::ids::NodeName;

/// The time between the claims of two candidates of successive ranks.
pub(crate) const RANK_DELAY: Duration = Duration::from_millis(200);

/// The place of `own` among the candidates for `role`, from 0.
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

/// The candidate of the highest rank besides `own`.
pub(crate) fn successor<'a>(
    role: &RoleName,
    own: &NodeName,
    live: &'a [NodeName],
) -> Option<&'a NodeName> {
    let others = live.iter().filter(|node| *node != own);
    others.min_by_key(|node| rank(role, node, live))
}

/// When each role that can be claimed was first seen so.
#[derive(Debug, Default)]
pub(crate) struct ClaimPlan {
    open_since: FastMap<RoleName, Timestamp>,
}

/// What a plan is made from.
#[derive(Debug)]
pub(crate) struct ClaimInputs<'a> {
    pub(crate) now: Timestamp,
    pub(crate) table: &'a LeaseTable,
    /// A time that the log's clock has reached.
    pub(crate) log_ms: u64,
    pub(crate) own: &'a NodeName,
    pub(crate) live: &'a [NodeName],
    pub(crate) may_claim_expired: bool,
}

impl ClaimPlan {
    /// Whether it is this node's turn to claim `role`.
    pub(crate) fn is_due(&mut self, role: &RoleName, inputs: &ClaimInputs) -> bool {
        let status = inputs.table.status(role, inputs.log_ms);
        let allowed = match &status {
            LeaseStatus::Held => false,
            LeaseStatus::Expired => inputs.may_claim_expired,
            LeaseStatus::NeverClaimed | LeaseStatus::Released { .. } => true,
        };
        if !allowed {
            self.open_since.remove(role);
            return false;
        }
        let since = *self.open_since.entry(role.clone()).or_insert(inputs.now);
        let place = rank(role, inputs.own, inputs.live);
        let place = match status {
            LeaseStatus::Released {
                successor: Some(successor),
            } if successor == *inputs.own => 0,
            LeaseStatus::Released { successor: Some(_) } => place + 1,
            _ => place,
        };
        inputs.now.since(since) >= RANK_DELAY * place
    }
}
