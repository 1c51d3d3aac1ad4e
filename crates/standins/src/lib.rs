//! In-process stand-ins for the systems that bluebellmux depends on: the platform, model engines
//! and plain HTTP services. They implement the published protocols and share no code with the
//! product.

pub(crate) mod acceptor;
pub mod command;
pub mod engine;
pub mod generation;
pub mod platform;
pub mod server;
pub mod service;
pub mod store;
