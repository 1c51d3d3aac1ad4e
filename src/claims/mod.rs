//! At-most-once execution of calls with an idempotency key, by claims in the log.

pub(crate) mod attempt;
pub(crate) mod index;
pub(crate) mod record;
pub(crate) mod service;
pub(crate) mod writer;

#[cfg(test)]
mod property_tests;
#[cfg(test)]
mod tests;

pub(crate) use attempt::SendPermit;
pub(crate) use record::{CallDigest, ClaimKey, StoredAnswer};
pub(crate) use service::{ClaimError, ClaimsService};
