//! The users' platform: its names, formats and calls. Nothing here decides.

pub(crate) mod engine_calls;
pub(crate) mod headers;
pub(crate) mod records;
pub(crate) mod settings;
pub(crate) mod store;

#[cfg(test)]
pub(crate) mod tests;
