//! Admission of requests to model targets, at the coordinator of the base model's pool.

mod admission;
pub(crate) mod coordinator;
mod demand;
mod dump;
pub(crate) mod event;
mod given;
mod known;
mod loads;
pub(crate) mod measures;
mod open;
pub(crate) mod orders;
mod owned;
mod peers;
mod queue;
mod releases;
mod report;
mod residency;
pub(crate) mod service;
mod target;
pub(crate) mod wire;

pub(crate) use service::{AcquireError, PoolRequest, PoolService, ReleaseOutcome, RequestPin};

#[cfg(test)]
mod tests;
#[cfg(test)]
mod tests_checks;
#[cfg(test)]
mod tests_fairness;
#[cfg(test)]
mod tests_lost;
#[cfg(test)]
mod tests_measures;
#[cfg(test)]
mod tests_mechanisms;
#[cfg(test)]
mod tests_nodes;
#[cfg(test)]
mod tests_numbers;
#[cfg(test)]
mod tests_property;
#[cfg(test)]
mod tests_sim;
#[cfg(test)]
mod tests_spread;
