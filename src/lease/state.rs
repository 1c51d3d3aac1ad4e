//! The lease decisions of one node: its table, its own leases and its turn to claim.

use std::time::Duration;

use super::holder::LeaseHolder;
use super::rank::{ClaimInputs, ClaimPlan};
use super::role::{RoleName, RoleOrigin, RoleOwner};
use super::table::{
    AcquiredRole, AppliedRecord, LeaseAction, LeaseParty, LeaseRecord, LeaseStatus, LeaseTable,
};
use super::wire::KnownLease;
use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::ids::{BootId, FencingToken, LogOffset, NodeName};
use crate::membership::PeerTable;

/// How long after its send a claim may still take effect.
pub(crate) const CLAIM_WINDOW: Duration = Duration::from_secs(1);
/// By how much longer the sender counts [`CLAIM_WINDOW`], for clocks that run at different rates.
const CLAIM_MARGIN: Duration = Duration::from_millis(250);
/// How old the last read of the log's tail may be when a claim is sent.
const TAIL_LIMIT: Duration = Duration::from_secs(1);

/// A reading of the log's clock.
#[derive(Debug, Clone, Copy)]
struct LogReading {
    at_ms: u64,
    received: Timestamp,
}

/// A role's state that the last owner sent to this node.
#[derive(Debug)]
struct HandoverState {
    fence: FencingToken,
    state: bytes::Bytes,
}

/// The lease decisions of one node.
#[derive(Debug)]
pub(crate) struct LeaseState {
    table: LeaseTable,
    holder: LeaseHolder,
    plan: ClaimPlan,
    /// The last read that reached the stream's tail.
    reading: Option<LogReading>,
    /// Until when the last claim may still take effect, unless it is seen before.
    claim: Option<(u64, Timestamp)>,
    handovers: FastMap<RoleName, HandoverState>,
    /// Owners that a peer told while this node could not read the log.
    told: FastMap<RoleName, (FencingToken, LeaseParty)>,
}

impl LeaseState {
    pub(crate) fn new(party: LeaseParty) -> Self {
        Self {
            table: LeaseTable::new(),
            holder: LeaseHolder::new(party),
            plan: ClaimPlan::default(),
            reading: None,
            claim: None,
            handovers: FastMap::default(),
            told: FastMap::default(),
        }
    }

    pub(crate) fn next_offset(&self) -> LogOffset {
        self.table.next_offset()
    }

    /// Replaces the table by a snapshot's, at the start only.
    pub(crate) fn start_from(&mut self, table: LeaseTable) {
        self.table = table;
    }

    /// Notes a read that reached the tail; `at_ms` is the log's time in the reply.
    pub(crate) fn note_tail(&mut self, at_ms: u64, received: Timestamp) {
        self.reading = Some(LogReading { at_ms, received });
    }

    /// A time that the log's clock has certainly reached.
    fn log_ms(&self, now: Timestamp) -> Option<u64> {
        let reading = self.reading?;
        let passed = now.since(reading.received).as_millis();
        Some(reading.at_ms + u64::try_from(passed).unwrap_or(0))
    }

    pub(crate) fn skip(&mut self, offset: LogOffset) {
        self.table.skip(offset);
    }

    /// Applies a record to the table. [`Self::accept`] must follow.
    pub(crate) fn apply(
        &mut self,
        offset: LogOffset,
        at_ms: u64,
        record: &LeaseRecord,
    ) -> Option<AppliedRecord> {
        let applied = self.table.apply(offset, at_ms, record)?;
        if self.claim.is_some_and(|(nonce, _)| nonce == record.nonce) {
            self.claim = None;
        }
        Some(applied)
    }

    /// What this node starts from in a role that it has just acquired; `None` if it is not its.
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
            let lost = self.table.is_partial();
            return Some(if lost {
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

    /// Lets the effect of a record change what this node holds.
    pub(crate) fn accept(&mut self, applied: &AppliedRecord) {
        self.holder.accept(applied);
    }

    /// Whether a lease needs renewals: this node holds it, or it may by the table.
    pub(crate) fn renewal(&mut self, nonce: u64, now: Timestamp) -> Option<LeaseRecord> {
        if self.holder.is_empty() {
            return None;
        }
        self.holder.begin_append(nonce, now);
        Some(self.record(nonce, LeaseAction::Renew {}))
    }

    /// The claim to append now, if it is this node's turn for any of `roles`.
    pub(crate) fn claim(
        &mut self,
        nonce: u64,
        now: Timestamp,
        roles: &[RoleName],
        peers: &mut PeerTable,
    ) -> Option<LeaseRecord> {
        let reading = self.reading?;
        let claim_open = self.claim.is_some_and(|(_, until)| now < until);
        if peers.own.leaving || claim_open || now.since(reading.received) > TAIL_LIMIT {
            return None;
        }
        let log_ms = self.log_ms(now)?;
        let live = peers.live(now);
        let inputs = ClaimInputs {
            now,
            table: &self.table,
            log_ms,
            own: &self.holder.party().node,
            live: &live,
            may_claim_expired: peers.may_claim_expired(now),
        };
        let bound = peers.is_bound(now);
        let mut names = Vec::new();
        for role in roles {
            // Nobody else can hold over a role whose last holder is this node, so no promise
            // stands in the way.
            let own =
                self.holder.knows(role) && self.table.status(role, log_ms) == LeaseStatus::Expired;
            if own || (self.plan.is_due(role, &inputs) && !bound) {
                names.push(role.clone());
            }
        }
        if names.is_empty() {
            return None;
        }
        let until = now + CLAIM_WINDOW + CLAIM_MARGIN;
        self.claim = Some((nonce, until));
        peers.note_claim(until);
        self.holder.begin_append(nonce, now);
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

    /// The record that releases roles after their handover.
    pub(crate) fn release(
        &self,
        nonce: u64,
        names: Vec<RoleName>,
        successor: Option<NodeName>,
    ) -> LeaseRecord {
        self.record(nonce, LeaseAction::Release { names, successor })
    }

    /// The record that lets later readers start from this table.
    pub(crate) fn snapshot(&self, nonce: u64) -> LeaseRecord {
        self.record(nonce, self.table.snapshot())
    }

    /// Whether the role is this node's by the records that it read.
    pub(crate) fn knows(&self, role: &RoleName) -> bool {
        self.holder.knows(role)
    }

    /// The roles that this node may decide for now.
    pub(crate) fn held(&self, now: Timestamp, peers: &PeerTable) -> Vec<(RoleName, FencingToken)> {
        let roles = self.holder.roles();
        let held = roles.filter_map(|role| Some((role.clone(), self.fence(role, now, peers)?)));
        held.collect()
    }

    /// Ends this node's decisions for all its roles and gives them.
    pub(crate) fn withdraw(&mut self) -> Vec<(RoleName, FencingToken)> {
        self.holder.withdraw()
    }

    /// Keeps the state that the owner of `role` hands over until the role is acquired.
    pub(crate) fn keep_handover(
        &mut self,
        role: RoleName,
        fence: FencingToken,
        state: bytes::Bytes,
    ) {
        self.handovers.insert(role, HandoverState { fence, state });
    }

    /// The fencing token of `role`, if this node may decide for it now.
    pub(crate) fn fence(
        &self,
        role: &RoleName,
        now: Timestamp,
        peers: &PeerTable,
    ) -> Option<FencingToken> {
        let held_over = |since| peers.is_promised_since(since, now);
        self.holder.fence(role, now, held_over)
    }

    /// The leases that this node's table has, without released ones.
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

    /// Takes in the leases that a peer knows. They only show where to send requests: the owner
    /// checks its lease itself.
    pub(crate) fn note_told(&mut self, leases: Vec<KnownLease>) {
        let told = leases.into_iter().filter_map(|lease| {
            let (node, boot) = (lease.node.parse().ok()?, BootId::from(lease.boot));
            let fence = FencingToken::from(lease.fence);
            Some((lease.role.parse().ok()?, (fence, LeaseParty { node, boot })))
        });
        self.told = told.collect();
    }

    /// The owner of `role` as this node sees it.
    pub(crate) fn owner(&self, role: &RoleName, now: Timestamp, peers: &PeerTable) -> RoleOwner {
        if let Some(fence) = self.fence(role, now, peers) {
            return RoleOwner::Local { fence };
        }
        let log_ms = self.log_ms(now).unwrap_or(0);
        let status = self.table.status(role, log_ms);
        // During an outage the last owner may hold over: it answers for itself.
        let may_own = match status {
            LeaseStatus::Held => true,
            LeaseStatus::Expired => !peers.log_reachable(now),
            LeaseStatus::NeverClaimed | LeaseStatus::Released { .. } => false,
        };
        let entry = self.table.entry(role);
        let read = entry.filter(|_| may_own);
        let read = read.map(|entry| (entry.fence, &entry.party));
        // A table that can't follow the log misses later claims.
        let newest = entry.map(|entry| entry.fence);
        let told = self.told.get(role).filter(|(fence, _)| {
            !peers.log_reachable(now) && newest.is_none_or(|newest| *fence > newest)
        });
        let owner = told.map(|(fence, party)| (*fence, party)).or(read);
        let address = owner.and_then(|(fence, party)| {
            let address = peers.live_address(&party.node, party.boot, now)?;
            Some(RoleOwner::Remote { address, fence })
        });
        address.unwrap_or(RoleOwner::Nobody)
    }
}
