//! Admission control for model targets. Each base model has one pool, and each pool one
//! coordinator.
//!
//! The coordinator loads adapters onto targets. A generation is one load of an adapter on one
//! target, and a pin is a request's reservation of a slot on a target. The nodes that receive the
//! requests obtain pins from the coordinator and report them to it.

mod admission;
mod assigned_ids;
pub(crate) mod commands;
pub(crate) mod coordinator;
mod demand;
mod dump;
pub(crate) mod event;
mod known_ids;
mod loads;
mod node_messages;
mod open;
mod owned;
mod queue;
mod releases;
mod report;
mod residency;
pub(crate) mod service;
pub(crate) mod stats;
mod target;
pub(crate) mod wire;

pub(crate) use service::{AcquireError, PoolRequest, PoolService, ReleaseOutcome, RequestPin};

#[cfg(test)]
mod tests;
#[cfg(test)]
mod tests_fairness;
#[cfg(test)]
mod tests_ids;
#[cfg(test)]
mod tests_mechanisms;
#[cfg(test)]
mod tests_not_loaded;
#[cfg(test)]
mod tests_property;
#[cfg(test)]
mod tests_replicas;
#[cfg(test)]
mod tests_sim;
#[cfg(test)]
mod tests_sim_checks;
#[cfg(test)]
mod tests_sim_nodes;
#[cfg(test)]
mod tests_stats;
