//! Admission of requests to model targets, at the coordinator of the base model's pool.

pub(crate) mod orders;
pub(crate) mod service;
pub(crate) mod wire;

pub(crate) use service::{AcquireError, PoolRequest, PoolService, RequestPin};
