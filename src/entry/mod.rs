//! The process of an entry VM: connections to callers and targets, messages between entry VMs, and
//! the tasks that follow the platform's store. Routing decisions are made in [`crate::dispatch`].

mod account_grants;
mod admission;
mod attempt;
mod body_budget;
mod callers;
mod checkout;
mod cold_metrics;
mod cold_permits;
mod cold_reports;
mod connections;
mod copies;
mod duties;
mod duty_metrics;
mod endpoints;
mod events;
mod exchange;
mod follow;
mod forward;
mod freshness;
mod gossip;
mod group;
mod leaving;
mod load_report;
mod load_requests;
mod order_client;
mod orders;
mod peer_contacts;
mod reach;
mod relay;
mod request;
mod reservations;
mod restored;
mod returned_zones;
mod scaling;
mod server;
mod shared;
mod state;
mod store_health;
mod stream_records;
mod suspects;
mod target_rates;
mod targets;
mod usage;
mod usage_counts;
mod usage_start;
mod wait_queue;
mod wire;
mod wire_log;

pub(crate) mod caller_body;
pub(crate) mod caller_table;
pub(crate) mod client_limits;
pub(crate) mod http;
pub(crate) mod http_call;
pub(crate) mod limit_events;
pub(crate) mod logs;
pub(crate) mod response_body;
pub(crate) mod response_memory;
pub(crate) mod settings;
pub(crate) mod sockets;

pub(crate) use server::EntryServer;

#[cfg(test)]
mod tests;
