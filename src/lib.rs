//! bluebellmux: a serving layer for very many LoRA adapters.
//!
//! Only the items that the binary, the examples, the tests and the benches use are public.

mod acceptor;
mod admin;
mod claims;
mod clock;
mod collections;
mod config;
mod context;
mod digest;
mod dispatch;
mod entry;
#[cfg(test)]
mod fault_matrix;
mod gateway;
mod ids;
mod lease;
mod ledger;
mod membership;
mod metrics;
mod node;
mod peer;
mod platform;
mod platform_client;
mod pool;
mod quarantine;
mod response_body;
#[doc(hidden)]
pub mod role_cost;
mod settings;

pub mod cmd;

/// The pool coordinator without I/O, for `benches/placement`.
pub mod placement {
    pub use crate::clock::Timestamp;
    pub use crate::ids::{
        AccountName, AdapterVersion, BootId, FencingToken, TargetName, TokenCount,
    };
    pub use crate::pool::coordinator::PoolCoordinator;
    pub use crate::pool::event::*;
}

pub use config::model::{KeyDigest, SectionName};
pub use config::synthetic::SyntheticConfig;
pub use ids::{NodeName, ZoneName};
pub use node::RunningNode;
pub use settings::NodeSettings;

/// The rate limiter without I/O, for the comparison in `benches/shares`.
pub mod shares {
    pub use crate::clock::Timestamp;
    pub use crate::config::model::RateEntry;
    pub use crate::ids::{AccountName, BootId, FencingToken, TokenCount, TokenRate};
    pub use crate::ledger::wire::{
        ChargeItem, GrantPart, GrantRequest, GrantResponse, LedgerKind, LedgerMessage,
        ReportResponse, ReturnItem, SettlementItem, UsageReport,
    };
    pub use crate::ledger::{ChargeOutcome, ChargeStep, NodeLimiter, PartitionOwner};
}
