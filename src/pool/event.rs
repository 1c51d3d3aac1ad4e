//! Input events of a pool's coordinator, and the actions that it returns.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Timestamp;
use crate::ids::{
    AccountName, AdapterVersion, BootId, FencingToken, NodeName, TargetName, TokenCount, ZoneName,
};

/// Identifies one attempt of a request. Callers choose request ids and may repeat them, so the key
/// uses a serial that is unique within the node's process.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AcquireKey {
    pub node: NodeName,
    pub boot: BootId,
    pub serial: u64,
}

/// A request for a slot on a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcquireRequest {
    pub key: AcquireKey,
    pub account: AccountName,
    pub adapter: AdapterVersion,
    /// Tokens charged to the account.
    pub tokens: TokenCount,
    /// Hash of the prompt prefix.
    pub prefix: Option<u64>,
    /// Whether the request is suspected of having crashed a target.
    pub suspect: bool,
    /// The target on which the previous attempt failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub avoid: Option<TargetName>,
    /// The coordinator answers the request before this time.
    pub deadline: Timestamp,
}

/// How a pinned request ended. A pin is a request's reservation of a slot on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseOutcome {
    Completed {
        tokens: TokenCount,
        /// Time to the first token; measured for streamed answers only.
        first_token: Option<Duration>,
    },
    /// The connection to the target failed, so the request was not sent.
    ConnectFailed,
    /// The target did not run the request because the generation is not loaded, for example after
    /// a restart.
    NotLoaded,
    /// The target's answer ended before it was complete.
    BrokeOff,
    /// The caller disconnected, or the node abandoned the request.
    Cancelled,
}

/// The configuration of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetSpec {
    pub zone: ZoneName,
    /// Whether the target's zone is in service and the target itself is not leaving.
    pub in_service: bool,
    pub adapter_slots: u32,
    pub request_limit: u32,
}

/// The part of the configuration that the coordinator uses.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolConfig {
    pub targets: BTreeMap<TargetName, TargetSpec>,
    pub loads_in_flight: u32,
    pub loads_per_second: f64,
}

/// A generation in a target's list of loaded adapters. A generation is one load of an adapter on
/// one target, and has a name of its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedGeneration {
    pub name: String,
    /// `None` if the name and the weights path do not match one configured version.
    pub adapter: Option<AdapterVersion>,
}

/// A target's answer to a probe.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// When the probe was sent.
    pub asked_at: Timestamp,
    /// Identifies the target's process, and so changes with each restart.
    pub boot: u64,
    /// Whether the target reports that it is cold. It gets one request at a time until it reports
    /// that it is warm.
    pub cold: bool,
    pub generations: Vec<ListedGeneration>,
}

/// A pin in a node's report.
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
    /// Increases with each report of the process. A report that arrives after a newer one is
    /// ignored.
    pub sequence: u64,
    /// The highest serial assigned so far. A serial up to this one that is neither waiting nor
    /// pinned has ended.
    pub highest_serial: u64,
    pub waiting: Vec<u64>,
    pub pins: Vec<ReportedPin>,
    /// Time since the process started.
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
        /// Whether the target confirmed that the generation is not loaded.
        gone: bool,
    },
    Probed {
        target: TargetName,
        report: Option<TargetReport>,
    },
    Reported(NodeReport),
    /// The nodes seen in the 30 s before the takeover.
    NodesKnown(Vec<NodeName>),
    Tick,
}

/// Why a request was refused. It was not sent to any target.
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
