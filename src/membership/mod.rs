//! Tracks by heartbeats which entry VMs are live and how far each has read the configuration log.

mod identities;
pub(crate) mod service;
pub(crate) mod table;
pub(crate) mod wire;

pub(crate) use service::MembershipService;
pub(crate) use table::PeerTable;

#[cfg(test)]
mod tests;
#[cfg(test)]
mod tests_identities;
#[cfg(test)]
mod tests_streams;
