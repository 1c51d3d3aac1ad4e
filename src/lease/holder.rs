//! This node's own leases, with their expiry by its own clock.

use std::time::Duration;

use super::role::RoleName;
use super::table::{AppliedRecord, LEASE_TTL, LeaseParty};
use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::ids::FencingToken;

/// How much earlier a holder ends its lease by its own clock than the log does. This covers clocks
/// that run at different rates.
pub(crate) const SAFETY_MARGIN: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, PartialEq, Eq)]
struct HeldLease {
    fence: FencingToken,
    /// The end of the lease by this node's clock, counted from the start of the append that
    /// acquired or last renewed it.
    valid_until: Timestamp,
    /// Set when the role is being handed over. This node then makes no decisions for it.
    relinquished: bool,
}

/// This node's own leases.
#[derive(Debug)]
pub(crate) struct LeaseHolder {
    party: LeaseParty,
    /// The start times of the appends that were not yet read from the log, by nonce.
    pending_appends: FastMap<u64, Timestamp>,
    held: FastMap<RoleName, HeldLease>,
}

impl LeaseHolder {
    pub(crate) fn new(party: LeaseParty) -> Self {
        Self {
            party,
            pending_appends: FastMap::default(),
            held: FastMap::default(),
        }
    }

    pub(crate) fn party(&self) -> &LeaseParty {
        &self.party
    }

    /// Records the start time of an append. Must be called before it is sent.
    pub(crate) fn record_append_start(&mut self, nonce: u64, now: Timestamp) {
        self.pending_appends
            .retain(|_, sent| now.since(*sent) <= LEASE_TTL);
        self.pending_appends.insert(nonce, now);
    }

    /// Updates the leases by the effect of a record of any node.
    pub(crate) fn update(&mut self, applied: &AppliedRecord) {
        let own = applied.party == self.party;
        if !own {
            for acquired in &applied.acquired {
                self.held.remove(&acquired.role);
            }
            return;
        }
        for role in &applied.released {
            self.held.remove(role);
        }
        // The end of the lease is unknown without the start time of the append, so the role stays
        // unused until the next renewal.
        let Some(sent) = self.pending_appends.remove(&applied.nonce) else {
            return;
        };
        let valid_until = sent + (LEASE_TTL - SAFETY_MARGIN);
        for acquired in &applied.acquired {
            let lease = HeldLease {
                fence: acquired.fence,
                valid_until,
                relinquished: false,
            };
            self.held.insert(acquired.role.clone(), lease);
        }
        for (role, fence) in &applied.renewed {
            let lease = self.held.entry(role.clone()).or_insert(HeldLease {
                fence: *fence,
                valid_until,
                relinquished: false,
            });
            lease.valid_until = lease.valid_until.max(valid_until);
        }
    }

    /// The fencing token of `role`, if this node may decide for it now. `is_extended` returns
    /// whether a lease that ended at the given time is extended because of a log outage.
    pub(crate) fn fence_if_held(
        &self,
        role: &RoleName,
        now: Timestamp,
        is_extended: impl FnOnce(Timestamp) -> bool,
    ) -> Option<FencingToken> {
        let lease = self.held.get(role)?;
        let usable = now < lease.valid_until || is_extended(lease.valid_until);
        (usable && !lease.relinquished).then_some(lease.fence)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Whether this node holds the role by the records that it read. The lease may have ended
    /// since.
    pub(crate) fn contains(&self, role: &RoleName) -> bool {
        self.held.contains_key(role)
    }

    pub(crate) fn roles(&self) -> impl Iterator<Item = &RoleName> {
        self.held.keys()
    }

    /// Stops all decisions for the held roles, before they are handed over, and returns them.
    pub(crate) fn relinquish_all(&mut self) -> Vec<(RoleName, FencingToken)> {
        let leases = self.held.iter_mut().map(|(role, lease)| {
            lease.relinquished = true;
            (role.clone(), lease.fence)
        });
        let mut roles: Vec<_> = leases.collect();
        roles.sort();
        roles
    }
}
