//! Decisions about requests on the entry VMs: which account pays, which target serves, which
//! adapter is loaded where. All are state machines without I/O; the clock is handed in.

pub(crate) mod allowance;
pub(crate) mod choice;
pub(crate) mod cold_start;
pub(crate) mod directory;
pub(crate) mod load_order;
pub(crate) mod load_planner;
pub(crate) mod ownership;
pub(crate) mod peer_view;
pub(crate) mod residency;
pub(crate) mod retry_budget;
pub(crate) mod routing;
pub(crate) mod strikes;

#[cfg(test)]
pub(crate) mod tests;
