//! The lease table, which depends only on the log's records in offset order.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::role::RoleName;
use crate::collections::FastMap;
use crate::ids::{BootId, FencingToken, LogOffset, NodeName};

/// How long a lease is valid after its claim or last renewal, by the log's clock.
pub(crate) const LEASE_TTL: Duration = Duration::from_secs(4);
/// [`LEASE_TTL`] in milliseconds.
const TTL_MS: u64 = LEASE_TTL.as_millis() as u64;

/// A node and its process start, which together identify a lease holder.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct LeaseParty {
    pub(crate) node: NodeName,
    pub(crate) boot: BootId,
}

/// A record of the stream `leases`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaseRecord {
    /// Lets a node recognize its own records, even if the reply to the append was lost.
    pub(crate) nonce: u64,
    #[serde(flatten)]
    pub(crate) party: LeaseParty,
    #[serde(flatten)]
    pub(crate) action: LeaseAction,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum LeaseAction {
    Claim {
        names: Vec<RoleName>,
        /// The claim is void if the log stored it after this time, by the log's clock. A delayed
        /// append therefore can't take effect after its sender has promised a peer not to claim.
        until_ms: u64,
    },
    /// Renews all leases of the party.
    Renew {},
    Release {
        names: Vec<RoleName>,
        successor: Option<NodeName>,
    },
    /// The table before the record at `next` was applied, for readers that start after older
    /// records have expired.
    Snapshot {
        next: LogOffset,
        log_ms: u64,
        leases: Vec<(RoleName, LeaseEntry)>,
    },
}

/// The latest lease of one role.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaseEntry {
    pub(crate) party: LeaseParty,
    pub(crate) fence: FencingToken,
    /// When the log stored the claim or the last renewal, by its clock.
    pub(crate) renewed_ms: u64,
    /// Set if the holder released the lease, with the successor if it named one.
    pub(crate) released: Option<Option<NodeName>>,
}

impl LeaseEntry {
    fn has_expired(&self, log_ms: u64) -> bool {
        log_ms.saturating_sub(self.renewed_ms) > TTL_MS
    }
}

/// Whether a role can be claimed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum LeaseStatus {
    NeverClaimed,
    Released { successor: Option<NodeName> },
    Expired,
    Held,
}

/// A role that a claim acquired.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AcquiredRole {
    pub(crate) role: RoleName,
    pub(crate) fence: FencingToken,
    pub(crate) previous: Option<LeaseEntry>,
}

/// The effect of one record on the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AppliedRecord {
    pub(crate) nonce: u64,
    pub(crate) party: LeaseParty,
    pub(crate) acquired: Vec<AcquiredRole>,
    pub(crate) renewed: Vec<(RoleName, FencingToken)>,
    pub(crate) released: Vec<RoleName>,
}

/// This node's copy of all leases.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct LeaseTable {
    leases: FastMap<RoleName, LeaseEntry>,
    next: LogOffset,
    /// The highest log time of the applied records. It never decreases, so a backward step of
    /// the log's clock doesn't shorten any lease.
    log_ms: u64,
    /// Whether older records are missing. A role without an entry may then have had a holder.
    partial: bool,
}

impl LeaseTable {
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// An empty table that starts in the middle of the stream.
    pub(crate) fn starting_at(next: LogOffset) -> Self {
        Self {
            next,
            partial: true,
            ..Self::default()
        }
    }

    /// The offset of the next record to apply.
    pub(crate) fn next_offset(&self) -> LogOffset {
        self.next
    }

    /// Whether older records are missing. A role without an entry may then have had a holder.
    pub(crate) fn is_partial(&self) -> bool {
        self.partial
    }

    pub(crate) fn entry(&self, role: &RoleName) -> Option<&LeaseEntry> {
        self.leases.get(role)
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = (&RoleName, &LeaseEntry)> {
        self.leases.iter()
    }

    /// The status of `role` at the log time `log_ms`.
    pub(crate) fn status(&self, role: &RoleName, log_ms: u64) -> LeaseStatus {
        match self.leases.get(role) {
            None if self.partial => LeaseStatus::Expired,
            None => LeaseStatus::NeverClaimed,
            Some(LeaseEntry {
                released: Some(successor),
                ..
            }) => LeaseStatus::Released {
                successor: successor.clone(),
            },
            Some(entry) if entry.has_expired(log_ms) => LeaseStatus::Expired,
            Some(_) => LeaseStatus::Held,
        }
    }

    /// The content of a record that stores the whole table.
    pub(crate) fn snapshot(&self) -> LeaseAction {
        let mut leases: Vec<_> = self.leases.clone().into_iter().collect();
        leases.sort_by(|a, b| a.0.cmp(&b.0));
        LeaseAction::Snapshot {
            next: self.next,
            log_ms: self.log_ms,
            leases,
        }
    }

    /// Restores the table from a snapshot record; `None` for other records.
    pub(crate) fn from_snapshot(action: &LeaseAction) -> Option<Self> {
        let LeaseAction::Snapshot {
            next,
            log_ms,
            leases,
        } = action
        else {
            return None;
        };
        Some(Self {
            leases: leases.iter().cloned().collect(),
            next: *next,
            log_ms: *log_ms,
            partial: true,
        })
    }

    /// Skips a malformed record. Every node skips it, so the tables stay equal.
    pub(crate) fn skip(&mut self, offset: LogOffset) {
        self.next = self.next.max(offset.next());
    }

    /// Applies the record at `offset`, which the log stored at its time `at_ms`. Records below
    /// [`Self::next_offset`] are ignored.
    pub(crate) fn apply(
        &mut self,
        offset: LogOffset,
        at_ms: u64,
        record: &LeaseRecord,
    ) -> Option<AppliedRecord> {
        if offset < self.next {
            return None;
        }
        self.next = offset.next();
        self.log_ms = self.log_ms.max(at_ms);
        let mut applied = AppliedRecord {
            nonce: record.nonce,
            party: record.party.clone(),
            acquired: Vec::new(),
            renewed: Vec::new(),
            released: Vec::new(),
        };
        match &record.action {
            LeaseAction::Claim { names, until_ms } if self.log_ms <= *until_ms => {
                applied.acquired = self.claim(names, &record.party, offset);
            }
            LeaseAction::Renew {} => applied.renewed = self.renew(&record.party),
            LeaseAction::Release { names, successor } => {
                applied.released = self.release(names, &record.party, successor.as_ref());
            }
            LeaseAction::Claim { .. } | LeaseAction::Snapshot { .. } => {}
        }
        Some(applied)
    }

    fn claim(
        &mut self,
        names: &[RoleName],
        party: &LeaseParty,
        offset: LogOffset,
    ) -> Vec<AcquiredRole> {
        let fence = FencingToken::from(u64::from(offset));
        let mut acquired = Vec::new();
        for role in names {
            if self.status(role, self.log_ms) == LeaseStatus::Held {
                continue;
            }
            let entry = LeaseEntry {
                party: party.clone(),
                fence,
                renewed_ms: self.log_ms,
                released: None,
            };
            let previous = self.leases.insert(role.clone(), entry);
            acquired.push(AcquiredRole {
                role: role.clone(),
                fence,
                previous,
            });
        }
        acquired
    }

    fn renew(&mut self, party: &LeaseParty) -> Vec<(RoleName, FencingToken)> {
        let mut renewed = Vec::new();
        for (role, entry) in &mut self.leases {
            let live = entry.released.is_none() && !entry.has_expired(self.log_ms);
            if entry.party == *party && live {
                entry.renewed_ms = self.log_ms;
                renewed.push((role.clone(), entry.fence));
            }
        }
        renewed
    }

    fn release(
        &mut self,
        names: &[RoleName],
        party: &LeaseParty,
        successor: Option<&NodeName>,
    ) -> Vec<RoleName> {
        let mut released = Vec::new();
        for role in names {
            let Some(entry) = self.leases.get_mut(role) else {
                continue;
            };
            if entry.party == *party && entry.released.is_none() {
                entry.released = Some(successor.cloned());
                released.push(role.clone());
            }
        }
        released
    }
}
