//! Distributed rate limits for client accounts.
//!
//! Accounts are hashed to partitions. The node that holds the lease of a partition owns the token
//! buckets of its accounts, and grants tokens to the nodes that admit the accounts' requests.

mod account_limiter;
mod bucket;
mod decision;
mod dump;
mod handover;
mod history;
mod node_limiter;
mod owner;
mod report_queue;
pub(crate) mod service;
pub(crate) mod wire;

pub use node_limiter::{ChargeOutcome, ChargeStep, NodeLimiter};
pub use owner::PartitionOwner;
pub(crate) use service::{ChargeError, ChargeReceipt, LedgerService};

#[cfg(test)]
mod simulation;
#[cfg(test)]
mod tests;
#[cfg(test)]
mod tests_node_limiter;
#[cfg(test)]
mod tests_simulation;
