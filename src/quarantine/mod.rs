//! Quarantine of requests that crash targets.

pub(crate) mod service;
pub(crate) mod strikes;
pub(crate) mod wire;

#[cfg(test)]
mod tests;

pub(crate) use service::QuarantineService;
pub(crate) use strikes::{RequestFingerprint, RequestVerdict};
