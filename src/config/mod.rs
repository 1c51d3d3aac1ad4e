//! The configuration: entries grouped into sections, replicated to every node through the log.

pub(crate) mod change;
pub(crate) mod document;
pub(crate) mod entry;
pub(crate) mod follower;
pub(crate) mod model;
pub(crate) mod peers;
pub(crate) mod relay;
pub(crate) mod service;
pub(crate) mod snapshot;
pub(crate) mod state;
pub(crate) mod synthetic;
pub(crate) mod table;
pub(crate) mod tasks;
pub(crate) mod wire;

#[cfg(test)]
mod tests;
