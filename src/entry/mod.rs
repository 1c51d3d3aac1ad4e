//! The process of an entry VM on a platform: connections of callers and targets, messages between
//! VMs, and the loops that follow the store. What to do is decided in [`crate::dispatch`].

mod admission;
mod attempt;
mod callers;
mod channels;
mod confirm;
mod events;
mod follow;
mod gossip;
mod group;
mod orders;
mod relay;
mod request;
mod server;
mod shared;
mod state;
mod store_health;
mod waiting;
mod wire;

pub(crate) mod http;
pub(crate) mod http_call;
pub(crate) mod logs;
pub(crate) mod settings;
pub(crate) mod sockets;

pub(crate) use server::EntryServer;

#[cfg(test)]
mod tests;
