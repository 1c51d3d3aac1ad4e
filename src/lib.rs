//! bluebellmux: a serving layer for very many LoRA adapters.
//!
//! Public is what the binary, the examples, the tests and the benches need.

#![expect(
    dead_code,
    reason = "parts of the interfaces are used by the next commits"
)]

mod admin;
mod clock;
mod collections;
mod config;
mod context;
mod gateway;
mod ids;
mod lease;
mod ledger;
mod metrics;
mod node;
mod peer;
mod platform;
mod pool;
mod settings;

pub mod cmd;

pub use config::model::{KeyDigest, SectionName};
pub use config::probe::ConfigProbe;
pub use ids::{NodeName, ZoneName};
pub use node::RunningNode;
pub use settings::NodeSettings;
