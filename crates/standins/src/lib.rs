//! Stand-ins for what bluebellmux meets but does not own: the platform, model engines and plain
//! services. They speak the published protocols and share no code with the product.

pub(crate) mod acceptor;
pub mod command;
pub mod engine;
pub mod generation;
pub mod platform;
pub mod server;
pub mod service;
pub mod store;
