//! Rate limits of accounts: one token bucket for each account, at the owner of its partition.

pub(crate) mod bucket;
pub(crate) mod service;
pub(crate) mod wire;

pub(crate) use service::{ChargeError, ChargeReceipt, LedgerService};

#[cfg(test)]
mod tests;
