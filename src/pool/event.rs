//! What a pool's coordinator is told and what it orders.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Timestamp;
use crate::ids::{
    AccountName, AdapterVersion, BootId, FencingToken, NodeName, TargetName, TokenCount, ZoneName,
};

/// One attempt of one request. Callers may choose equal request ids, so an attempt is identified
/// by a number that its node's process gives only once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AcquireKey {
    pub node: NodeName,
    pub boot: BootId,
    pub serial: u64,
}

/// A request that asks for a place on a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcquireRequest {
    pub key: AcquireKey,
    pub account: AccountName,
    pub adapter: AdapterVersion,
    /// Charged tokens.
    pub tokens: TokenCount,
    /// The hash of the prompt's beginning.
    pub prefix: Option<u64>,
    /// Whether the request may have crashed a target before.
    pub suspect: bool,
    /// The target that just failed the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub avoid: Option<TargetName>,
    /// The request is answered before this time.
    pub deadline: Timestamp,
}

/// How a pinned request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseOutcome {
    Completed {
        tokens: TokenCount,
        /// Known for streamed answers only.
        first_token: Option<Duration>,
    },
    /// The target could not be reached, so it never saw the request.
    ConnectFailed,
    /// The target does not have the generation, as after a restart, and did not run the request.
    NotLoaded,
    /// The target's answer broke off.
    BrokeOff,
    /// The caller left or the request was given up.
    Cancelled,
}

/// A target as the configuration describes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetSpec {
    pub zone: ZoneName,
    /// Whether the target's zone is in service and the target itself is not leaving.
    pub in_service: bool,
    pub adapter_slots: u32,
    pub request_limit: u32,
}

/// The part of the configuration that the coordinator decides by.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolConfig {
    pub targets: BTreeMap<TargetName, TargetSpec>,
    pub loads_in_flight: u32,
    pub loads_per_second: f64,
}

/// A generation that a target lists.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedGeneration {
    pub name: String,
    /// `None` when the name and the weights' path don't belong to one configured version.
    pub adapter: Option<AdapterVersion>,
}

/// What a target answered to a probe.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// When the probe was sent.
    pub asked_at: Timestamp,
    pub boot: u64,
    pub cold: bool,
    pub generations: Vec<ListedGeneration>,
}

/// A pin as its node reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedPin {
    pub serial: u64,
    pub target: TargetName,
    pub generation: String,
    pub account: AccountName,
    pub tokens: TokenCount,
    pub suspect: bool,
    /// Whether the target has sent the first token.
    pub streaming: bool,
}

/// The open requests of a node's process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeReport {
    pub node: NodeName,
    pub boot: BootId,
    /// Grows with each report of the process; an older report that arrives late is ignored.
    pub sequence: u64,
    /// The highest serial given so far. A serial up to it that is neither waiting nor pinned is
    /// finished.
    pub highest_serial: u64,
    pub waiting: Vec<u64>,
    pub pins: Vec<ReportedPin>,
    /// How long the process has run.
    pub uptime: Duration,
}

#[derive(Debug, Clone, PartialEq, Serialize)]
pub enum PoolEvent {
    Configured(PoolConfig),
    Acquire(AcquireRequest),
    Release {
        key: AcquireKey,
        outcome: ReleaseOutcome,
    },
    LoadEnded {
        generation: String,
        loaded: bool,
    },
    UnloadEnded {
        generation: String,
        /// Whether the target confirmed that the generation is gone.
        gone: bool,
    },
    Probed {
        target: TargetName,
        report: Option<TargetReport>,
    },
    Reported(NodeReport),
    /// The nodes that were seen in the 30 s before the takeover.
    NodesKnown(Vec<NodeName>),
    Tick,
}

/// Why a request got no place. Nothing was sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
pub enum RefusalReason {
    #[display("the queue is longer than what can start in time")]
    QueueFull,
    #[display("no place became free in time")]
    DeadlinePassed,
    #[display("the adapter could not be loaded")]
    LoadFailed,
    #[display("the request was already released")]
    Released,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PoolAnswer {
    Pinned {
        pin: u64,
        target: TargetName,
        generation: String,
        fence: FencingToken,
    },
    Refused {
        reason: RefusalReason,
        retry_after: Duration,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum PoolAction {
    Answer {
        key: AcquireKey,
        answer: PoolAnswer,
    },
    Load {
        target: TargetName,
        generation: String,
        adapter: AdapterVersion,
    },
    Unload {
        target: TargetName,
        generation: String,
    },
    Probe {
        target: TargetName,
    },
}
