//! Rate limits of accounts: one token bucket for each account, at the owner of its partition;
//! grants to the nodes that spend from it.

mod account_share;
mod bucket;
mod decision;
mod dump;
mod handover;
mod history;
mod node_shares;
mod owner;
mod report_queue;
pub(crate) mod service;
pub(crate) mod wire;

pub use node_shares::{ChargeOutcome, ChargeStep, NodeShares};
pub use owner::PartitionOwner;
pub(crate) use service::{ChargeError, ChargeReceipt, LedgerService};

#[cfg(test)]
mod run_tests;
#[cfg(test)]
mod test_site;
#[cfg(test)]
mod tests;
#[cfg(test)]
mod tests_shares;
