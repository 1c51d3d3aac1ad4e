//! The platform that the product runs on: its names, its data formats and the calls to it. This
//! module only encodes and decodes; it makes no decisions.

pub(crate) mod duty_calls;
pub(crate) mod engine_calls;
pub(crate) mod headers;
pub(crate) mod records;
pub(crate) mod settings;
pub(crate) mod store;

#[cfg(test)]
pub(crate) mod tests;
