//! The configuration: entries in sections, changes from the log, and this node's copy.

pub(crate) mod change;
pub(crate) mod entry;
pub(crate) mod model;
pub(crate) mod service;
pub(crate) mod state;
pub(crate) mod table;

#[cfg(test)]
mod tests;
