//! What this node holds, counted on its own clock.

use std::time::Duration;

use super::role::RoleName;
use super::table::{AppliedRecord, LEASE_TTL, LeaseParty};
use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::ids::FencingToken;

/// By how much a holder's own count ends before the lease, for clocks that run at different rates.
pub(crate) const SAFETY_MARGIN: Duration = Duration::from_millis(500);

/// One lease in the eyes of its holder.
#[derive(Debug, Clone, PartialEq, Eq)]
struct HeldLease {
    fence: FencingToken,
    /// Counted from before the send of the append that won or renewed the lease.
    valid_until: Timestamp,
    /// Set when the role is being handed over: its owner decides nothing any more.
    withdrawn: bool,
}

/// This node's own leases.
#[derive(Debug)]
pub(crate) struct LeaseHolder {
    party: LeaseParty,
    /// When each append that is not yet seen in the log was begun, by nonce.
    pending: FastMap<u64, Timestamp>,
    held: FastMap<RoleName, HeldLease>,
}

impl LeaseHolder {
    pub(crate) fn new(party: LeaseParty) -> Self {
        Self {
            party,
            pending: FastMap::default(),
            held: FastMap::default(),
        }
    }

    pub(crate) fn party(&self) -> &LeaseParty {
        &self.party
    }

    /// Notes the time before an append is sent.
    pub(crate) fn begin_append(&mut self, nonce: u64, now: Timestamp) {
        self.pending.retain(|_, sent| now.since(*sent) <= LEASE_TTL);
        self.pending.insert(nonce, now);
    }

    /// Takes in the effect of a record, of this node or another.
    pub(crate) fn accept(&mut self, applied: &AppliedRecord) {
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
        // Without the time of the append nothing is known about the lease's end: the role stays
        // unused until the next renewal.
        let Some(sent) = self.pending.remove(&applied.nonce) else {
            return;
        };
        let valid_until = sent + (LEASE_TTL - SAFETY_MARGIN);
        for acquired in &applied.acquired {
            let lease = HeldLease {
                fence: acquired.fence,
                valid_until,
                withdrawn: false,
            };
            self.held.insert(acquired.role.clone(), lease);
        }
        for (role, fence) in &applied.renewed {
            let lease = self.held.entry(role.clone()).or_insert(HeldLease {
                fence: *fence,
                valid_until,
                withdrawn: false,
            });
            lease.valid_until = lease.valid_until.max(valid_until);
        }
    }

    /// The fencing token of `role`, if this node may decide for it now. `held_over` tells
    /// whether a lease that ended at the given time is held over.
    pub(crate) fn fence(
        &self,
        role: &RoleName,
        now: Timestamp,
        held_over: impl FnOnce(Timestamp) -> bool,
    ) -> Option<FencingToken> {
        let lease = self.held.get(role)?;
        let usable = now < lease.valid_until || held_over(lease.valid_until);
        (usable && !lease.withdrawn).then_some(lease.fence)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Whether the role is this node's by the records that it knows, valid or not.
    pub(crate) fn knows(&self, role: &RoleName) -> bool {
        self.held.contains_key(role)
    }

    pub(crate) fn roles(&self) -> impl Iterator<Item = &RoleName> {
        self.held.keys()
    }

    /// Ends all decisions for the held roles, which are then handed over.
    pub(crate) fn withdraw(&mut self) -> Vec<(RoleName, FencingToken)> {
        let leases = self.held.iter_mut().map(|(role, lease)| {
            lease.withdrawn = true;
            (role.clone(), lease.fence)
        });
        let mut roles: Vec<_> = leases.collect();
        roles.sort();
        roles
    }
}
