//! The checked settings of an entry VM's process on a platform.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{NodeName, ZoneName};

/// Why settings are unusable, in one sentence.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{message}")]
pub(crate) struct SettingsError {
    message: String,
}

impl SettingsError {
    pub(crate) fn new(message: impl ToString) -> Self {
        Self {
            message: message.to_string().trim_end().replace('\n', " "),
        }
    }
}

/// Where the shared store is and what it allows.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct StoreSettings {
    pub(crate) address: SocketAddr,
    /// Partitions of each topic.
    pub(crate) partitions: u32,
    /// The shortest lifetime of a group member that the store accepts.
    pub(crate) least_lifetime: Duration,
}

/// What operators promise their users.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ServiceBounds {
    /// From SIGTERM to SIGKILL.
    pub(crate) stop_time: Duration,
    /// The time from a key's withdrawal to the last request that runs with it.
    pub(crate) key_age: Duration,
    /// Repeats per request of a service.
    pub(crate) retry_ratio: f64,
    pub(crate) retry_window: Duration,
    /// Repeats besides the ratio, over all VMs.
    pub(crate) retry_slack: f64,
    /// The least time between the orders of two owners of a target.
    pub(crate) owner_pause: Duration,
}

/// The settings of one process.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct EntrySettings {
    pub(crate) node: NodeName,
    pub(crate) zone: ZoneName,
    /// Where callers connect.
    pub(crate) callers: SocketAddr,
    /// Where the load balancer asks for readiness.
    pub(crate) ready: SocketAddr,
    /// Where other entry VMs send messages.
    pub(crate) peers: SocketAddr,
    /// Where metrics and the state dump are served.
    pub(crate) metrics: SocketAddr,
    pub(crate) store: StoreSettings,
    pub(crate) bounds: ServiceBounds,
}
