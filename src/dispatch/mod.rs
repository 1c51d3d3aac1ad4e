//! Request decisions on the entry VMs: which account is charged, which target serves the request
//! and which adapters are loaded where. All modules are state machines without I/O; the current
//! time is passed in.
//!
//! A target is a server that runs requests. A target of a model service holds a base model and
//! adapters; the VM that owns the target orders it to load and unload them.

pub(crate) mod account_bucket;
pub(crate) mod account_contacts;
pub(crate) mod account_grants;
pub(crate) mod account_limit;
pub(crate) mod adapter_slots;
pub(crate) mod adapter_usage;
pub(crate) mod choice;
pub(crate) mod choice_request;
pub(crate) mod cold_start;
pub(crate) mod config_lag;
pub(crate) mod copies;
pub(crate) mod directory;
pub(crate) mod duty_lease;
pub(crate) mod fleet_clock;
pub(crate) mod fleet_demand;
pub(crate) mod load_order;
pub(crate) mod load_planner;
pub(crate) mod load_time;
pub(crate) mod model_choice;
pub(crate) mod ownership;
pub(crate) mod peer_usage;
pub(crate) mod peer_view;
pub(crate) mod prompt_suspects;
pub(crate) mod relay_backlog;
pub(crate) mod relay_coverage;
pub(crate) mod residency;
pub(crate) mod restored_list;
pub(crate) mod retry_budget;
pub(crate) mod routing;
pub(crate) mod scaling;
pub(crate) mod service_reach;
pub(crate) mod stream_origins;
pub(crate) mod strikes;
pub(crate) mod target_entry;
pub(crate) mod target_limit;
pub(crate) mod usage_reports;
pub(crate) mod usage_windows;
pub(crate) mod zone_rate;

#[cfg(test)]
pub(crate) mod tests;
