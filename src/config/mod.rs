//! The configuration: entries in sections, changes from the log, and this node's copy.

pub(crate) mod model;
pub(crate) mod service;
pub(crate) mod state;

#[cfg(test)]
mod tests;
