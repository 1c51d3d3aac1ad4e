//! The lease logic of one node: its lease table, its own leases and when it claims roles.

use std::time::Duration;

use super::holder::LeaseHolder;
use super::rank::{ClaimInputs, ClaimSchedule};
use super::role::{RoleName, RoleOrigin, RoleOwner};
use super::table::{
    AcquiredRole, AppliedRecord, LeaseAction, LeaseParty, LeaseRecord, LeaseStatus, LeaseTable,
};
use super::wire::KnownLease;
use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::ids::{BootId, FencingToken, LogOffset, NodeName};
use crate::membership::PeerTable;

/// How long after its send a claim may still take effect, by the log's clock.
pub(crate) const CLAIM_WINDOW: Duration = Duration::from_secs(1);
/// How much longer than [`CLAIM_WINDOW`] the sender waits, for clocks that run at different rates.
const CLAIM_CLOCK_MARGIN: Duration = Duration::from_millis(250);
/// The maximum age of the last read of the log's tail when a claim is sent.
const TAIL_AGE_LIMIT: Duration = Duration::from_secs(1);

/// The log's time in the reply to a read of its tail.
#[derive(Debug, Clone, Copy)]
struct TailRead {
    at_ms: u64,
    received: Timestamp,
}

/// The state of a role that its last owner sent to this node.
#[derive(Debug)]
struct HandoverState {
    fence: FencingToken,
    state: bytes::Bytes,
}

/// The lease logic of one node.
#[derive(Debug)]
pub(crate) struct LeaseState {
    table: LeaseTable,
    holder: LeaseHolder,
    schedule: ClaimSchedule,
    /// The last read that reached the tail of the stream.
    tail_read: Option<TailRead>,
    /// The nonce of this node's last claim, until it is read from the log, and the time after
    /// which the claim can't take effect.
    pending_claim: Option<(u64, Timestamp)>,
    /// The states that peers handed over for roles that this node has not acquired yet.
    handovers: FastMap<RoleName, HandoverState>,
    /// The owners that a peer reported while this node could not read the log.
    reported_owners: FastMap<RoleName, (FencingToken, LeaseParty)>,
}

impl LeaseState {
    pub(crate) fn new(party: LeaseParty) -> Self {
        Self {
            table: LeaseTable::new(),
            holder: LeaseHolder::new(party),
            schedule: ClaimSchedule::default(),
            tail_read: None,
            pending_claim: None,
            handovers: FastMap::default(),
            reported_owners: FastMap::default(),
        }
    }

    pub(crate) fn next_offset(&self) -> LogOffset {
        self.table.next_offset()
    }

    /// Replaces the table when the log no longer has the records that it needs.
    pub(crate) fn replace_table(&mut self, table: LeaseTable) {
        self.table = table;
    }

    /// Records a read that reached the tail. `at_ms` is the log's time in the reply.
    pub(crate) fn record_tail_read(&mut self, at_ms: u64, received: Timestamp) {
        self.tail_read = Some(TailRead { at_ms, received });
    }

    /// A lower bound of the log's current time.
    fn log_ms(&self, now: Timestamp) -> Option<u64> {
        let read = self.tail_read?;
        let passed = now.since(read.received).as_millis();
        Some(read.at_ms + u64::try_from(passed).unwrap_or(0))
    }

    pub(crate) fn skip(&mut self, offset: LogOffset) {
        self.table.skip(offset);
    }

    /// Applies a record to the table. The caller must pass the result to
    /// [`Self::update_held_leases`].
    pub(crate) fn apply(
        &mut self,
        offset: LogOffset,
        at_ms: u64,
        record: &LeaseRecord,
    ) -> Option<AppliedRecord> {
        let applied = self.table.apply(offset, at_ms, record)?;
        if self
            .pending_claim
            .is_some_and(|(nonce, _)| nonce == record.nonce)
        {
            self.pending_claim = None;
        }
        Some(applied)
    }

    /// The state with which this node starts in a role that it has just acquired; `None` if
    /// another node acquired the role.
    pub(crate) fn origin(
        &mut self,
        applied: &AppliedRecord,
        acquired: &AcquiredRole,
    ) -> Option<RoleOrigin> {
        let own = self.holder.party();
        if applied.party != *own {
            return None;
        }
        let handover = self.handovers.remove(&acquired.role);
        let Some(previous) = &acquired.previous else {
            let is_partial = self.table.is_partial();
            return Some(if is_partial {
                RoleOrigin::Lost
            } else {
                RoleOrigin::New
            });
        };
        if previous.party == *own && previous.released.is_none() {
            return Some(RoleOrigin::Kept);
        }
        let exact = handover
            .filter(|handover| handover.fence == previous.fence && previous.released.is_some());
        Some(exact.map_or(RoleOrigin::Lost, |handover| {
            RoleOrigin::HandedOver(handover.state)
        }))
    }

    /// Updates this node's own leases by the effect of a record.
    pub(crate) fn update_held_leases(&mut self, applied: &AppliedRecord) {
        self.holder.update(applied);
    }

    /// The renewal to append now; `None` if this node holds no lease.
    pub(crate) fn renewal_record(&mut self, nonce: u64, now: Timestamp) -> Option<LeaseRecord> {
        if self.holder.is_empty() {
            return None;
        }
        self.holder.record_append_start(nonce, now);
        Some(self.record(nonce, LeaseAction::Renew {}))
    }

    /// The claim to append now for those of `roles` that this node may claim, if any.
    pub(crate) fn claim_record(
        &mut self,
        nonce: u64,
        now: Timestamp,
        roles: &[RoleName],
        peers: &mut PeerTable,
    ) -> Option<LeaseRecord> {
        let read = self.tail_read?;
        let has_pending_claim = self.pending_claim.is_some_and(|(_, until)| now < until);
        if peers.local.leaving || has_pending_claim || now.since(read.received) > TAIL_AGE_LIMIT {
            return None;
        }
        let log_ms = self.log_ms(now)?;
        let live = peers.live_nodes(now);
        let inputs = ClaimInputs {
            now,
            table: &self.table,
            log_ms,
            own: &self.holder.party().node,
            live: &live,
            may_claim_expired: peers.may_claim_expired(now),
        };
        let has_promised = peers.is_bound_by_promise(now);
        let mut names = Vec::new();
        for role in roles {
            // A promise not to claim protects another holder that extends its lease during a log
            // outage. A role whose last holder is this node has no such holder.
            let is_last_holder = self.holder.contains(role)
                && self.table.status(role, log_ms) == LeaseStatus::Expired;
            if is_last_holder || (self.schedule.is_due(role, &inputs) && !has_promised) {
                names.push(role.clone());
            }
        }
        if names.is_empty() {
            return None;
        }
        let until = now + CLAIM_WINDOW + CLAIM_CLOCK_MARGIN;
        self.pending_claim = Some((nonce, until));
        peers.record_pending_claim(until);
        self.holder.record_append_start(nonce, now);
        let until_ms = log_ms + CLAIM_WINDOW.as_millis() as u64;
        Some(self.record(nonce, LeaseAction::Claim { names, until_ms }))
    }

    fn record(&self, nonce: u64, action: LeaseAction) -> LeaseRecord {
        let party = self.holder.party().clone();
        LeaseRecord {
            nonce,
            party,
            action,
        }
    }

    /// The record that releases roles after their state was handed over.
    pub(crate) fn release(
        &self,
        nonce: u64,
        names: Vec<RoleName>,
        successor: Option<NodeName>,
    ) -> LeaseRecord {
        self.record(nonce, LeaseAction::Release { names, successor })
    }

    /// The snapshot record of this table, from which later readers can start.
    pub(crate) fn snapshot_record(&self, nonce: u64) -> LeaseRecord {
        self.record(nonce, self.table.snapshot())
    }

    /// Whether this node holds the role by the records that it read. The lease may have ended
    /// since.
    pub(crate) fn has_lease(&self, role: &RoleName) -> bool {
        self.holder.contains(role)
    }

    /// The roles that this node may decide for now, with their fencing tokens.
    pub(crate) fn held(&self, now: Timestamp, peers: &PeerTable) -> Vec<(RoleName, FencingToken)> {
        let roles = self.holder.roles();
        let held =
            roles.filter_map(|role| Some((role.clone(), self.fence_if_held(role, now, peers)?)));
        held.collect()
    }

    /// Stops all decisions for this node's roles before a handover, and returns the roles.
    pub(crate) fn relinquish_all(&mut self) -> Vec<(RoleName, FencingToken)> {
        self.holder.relinquish_all()
    }

    /// Stores the state that the owner of `role` hands over, until this node acquires the role.
    pub(crate) fn store_handover(
        &mut self,
        role: RoleName,
        fence: FencingToken,
        state: bytes::Bytes,
    ) {
        self.handovers.insert(role, HandoverState { fence, state });
    }

    /// The fencing token of `role`, if this node may decide for it now.
    pub(crate) fn fence_if_held(
        &self,
        role: &RoleName,
        now: Timestamp,
        peers: &PeerTable,
    ) -> Option<FencingToken> {
        let is_extended = |since| peers.all_promised_since(since, now);
        self.holder.fence_if_held(role, now, is_extended)
    }

    /// The leases in this node's table that were not released.
    pub(crate) fn known_leases(&self) -> Vec<KnownLease> {
        let entries = self.table.entries();
        let entries = entries.filter(|(_, entry)| entry.released.is_none());
        let leases = entries.map(|(role, entry)| KnownLease {
            role: role.to_string(),
            node: entry.party.node.to_string(),
            boot: entry.party.boot.into(),
            fence: entry.fence.into(),
        });
        leases.collect()
    }

    /// Replaces the owners that a peer reported. They only show where to send requests: each owner
    /// checks its own lease.
    pub(crate) fn set_reported_owners(&mut self, leases: Vec<KnownLease>) {
        let owners = leases.into_iter().filter_map(|lease| {
            let (node, boot) = (lease.node.parse().ok()?, BootId::from(lease.boot));
            let fence = FencingToken::from(lease.fence);
            Some((lease.role.parse().ok()?, (fence, LeaseParty { node, boot })))
        });
        self.reported_owners = owners.collect();
    }

    /// The owner of `role`, as far as this node knows.
    pub(crate) fn owner(&self, role: &RoleName, now: Timestamp, peers: &PeerTable) -> RoleOwner {
        if let Some(fence) = self.fence_if_held(role, now, peers) {
            return RoleOwner::Local { fence };
        }
        let log_ms = self.log_ms(now).unwrap_or(0);
        let status = self.table.status(role, log_ms);
        // During a log outage the last owner may extend its lease. It checks that itself.
        let may_own = match status {
            LeaseStatus::Held => true,
            LeaseStatus::Expired => !peers.log_reachable(now),
            LeaseStatus::NeverClaimed | LeaseStatus::Released { .. } => false,
        };
        let entry = self.table.entry(role);
        let recorded = entry.filter(|_| may_own);
        let recorded = recorded.map(|entry| (entry.fence, &entry.party));
        // Without the log this table misses later claims, so a peer's newer entry takes precedence.
        let newest = entry.map(|entry| entry.fence);
        let reported = self.reported_owners.get(role).filter(|(fence, _)| {
            !peers.log_reachable(now) && newest.is_none_or(|newest| *fence > newest)
        });
        let owner = reported.map(|(fence, party)| (*fence, party)).or(recorded);
        let remote = owner.and_then(|(fence, party)| {
            let address = peers.live_address(&party.node, party.boot, now)?;
            Some(RoleOwner::Remote { address, fence })
        });
        remote.unwrap_or(RoleOwner::Nobody)
    }
}
