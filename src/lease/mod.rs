//! Leases: each role has at most one owner, the node that holds its lease.

pub(crate) mod handover;
pub(crate) mod holder;
pub(crate) mod rank;
pub(crate) mod role;
pub(crate) mod service;
pub(crate) mod state;
pub(crate) mod table;
pub(crate) mod wire;

pub(crate) use role::{LEDGER_PARTITIONS, RoleName, RoleOrigin, RoleOwner, RoleState};
pub(crate) use service::LeaseService;

#[cfg(test)]
mod sequence_tests;
#[cfg(test)]
mod simulation;
#[cfg(test)]
mod tests;
