//! The validated settings of an entry VM's process.

use std::net::SocketAddr;
use std::time::Duration;

use super::client_limits::ClientLimits;
use crate::dispatch::stream_origins::StreamLimits;
use crate::ids::{ByteRate, ByteSize, NodeName, RequestRate, ZoneName};

/// Why settings are invalid, as one line of text.
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

/// The address and the limits of the platform's store.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct StoreSettings {
    pub(crate) address: SocketAddr,
    /// Number of partitions of each topic.
    pub(crate) partitions: u32,
    /// The shortest time to live of a group member that the store accepts.
    pub(crate) min_member_ttl: Duration,
    /// The writes that the store takes from all VMs together.
    pub(crate) write_rate: RequestRate,
    /// The largest record that the store takes.
    pub(crate) record_size: ByteSize,
}

/// Service-level bounds that operators guarantee to their users.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ServiceLimits {
    /// The time between SIGTERM and SIGKILL.
    pub(crate) stop_grace: Duration,
    /// How long after the revocation of an API key a request with it may still start to run.
    pub(crate) key_revocation_time: Duration,
    /// Retries per request of a service, averaged over `retry_window`.
    pub(crate) retry_ratio: f64,
    pub(crate) retry_window: Duration,
    /// Retries allowed in addition to the ratio, over all VMs.
    pub(crate) retry_slack: f64,
    /// The requests in any second that a cold target may get from all VMs together, as a multiple of
    /// the requests per second that it bears.
    pub(crate) cold_overage: f64,
    /// The same, in requests in addition to the multiple.
    pub(crate) cold_slack: f64,
    /// The minimum time between the last order of a target's owner and the first of the next one.
    pub(crate) owner_handover_time: Duration,
    /// How long after a target has announced that it leaves a request may still be sent to it.
    pub(crate) drain_time: Duration,
    /// How long after a change of the configuration a request may still be handled by the old one.
    pub(crate) config_time: Duration,
    /// How long after a target has produced a part of a response it must reach the caller.
    pub(crate) forwarding_time: Duration,
    /// How long after the operator has set a version of an adapter a request may still begin on an
    /// older one.
    pub(crate) version_time: Duration,
}

/// How the use of accounts is reported to the platform.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct UsageSettings {
    /// The length of a window; the windows follow each other from the start of Unix time.
    pub(crate) window: Duration,
    /// How long after the end of a window its report may arrive.
    pub(crate) max_delay: Duration,
}

/// The platform's control service, and what one VM at a time does there for all.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct DutySettings {
    pub(crate) address: SocketAddr,
    /// Calls that the service accepts from all VMs together.
    pub(crate) max_call_rate: RequestRate,
    /// Whether the service refuses calls with a fencing token lower than one that it has seen.
    pub(crate) checks_fencing: bool,
    /// Set if the use of accounts is to be reported.
    pub(crate) usage: Option<UsageSettings>,
    /// Whether the number of targets is to be adapted to the load.
    pub(crate) scales_services: bool,
}

/// The settings of one process.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct EntrySettings {
    pub(crate) node: NodeName,
    pub(crate) zone: ZoneName,
    /// The address that accepts callers' connections.
    pub(crate) caller_address: SocketAddr,
    /// The address that serves the load balancer's readiness checks.
    pub(crate) readiness_address: SocketAddr,
    /// The address that receives datagrams from other entry VMs.
    pub(crate) peer_address: SocketAddr,
    /// The address that serves metrics.
    pub(crate) metrics_address: SocketAddr,
    pub(crate) store: StoreSettings,
    /// The rate of the VM's network link, in each direction.
    pub(crate) link_rate: ByteRate,
    /// The memory that the process may use, if it is limited.
    pub(crate) max_memory: Option<ByteSize>,
    /// The file descriptors that the process may have open, if they are limited.
    pub(crate) max_descriptors: Option<u32>,
    /// Whether the whole system starts for the first time, so that nothing has been used yet.
    pub(crate) is_first_start: bool,
    /// Whether an account's owner grants its units. Off by default: while partitions move often, owners and
    /// copies of the buckets together exceed an account's rate.
    pub(crate) has_account_grants: bool,
    /// The availability zones of the deployment.
    pub(crate) zones: Vec<ZoneName>,
    /// The zones that may be lost at the same time while service continues.
    pub(crate) tolerated_zone_losses: u32,
    /// Set where the platform has tasks for one VM at a time.
    pub(crate) duties: Option<DutySettings>,
    pub(crate) bounds: ServiceLimits,
}

impl EntrySettings {
    /// The limits on what is kept and recorded of streams.
    pub(crate) fn stream_limits(&self) -> StreamLimits {
        let limits = ClientLimits::new(self.max_memory, self.max_descriptors);
        let store = &self.store;
        StreamLimits::new(limits.stream_memory, store.record_size, store.write_rate)
    }
}
