//! Data shared by all tasks of the process. The tasks run on one thread, and the state is never
//! borrowed across an await point.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, watch};

use super::caller_body::BodyMemory;
use super::callers::CallerConnections;
use super::client_limits::ClientLimits;
use super::connections::ConnectionPool;
use super::copies::CopyLearner;
use super::freshness::FreshnessTracker;
use super::gossip::{AnnouncementTracker, PeerSocket};
use super::response_memory::ResponseMemory;
use super::state::EntryState;
use super::stream_records::StreamReads;
use super::usage_counts::UsageCounts;
use super::wait_queue::WaitQueue;
use crate::clock::Clock;
use crate::collections::FastMap;
use crate::dispatch::directory::TargetKey;
use crate::platform::store::StoreClient;

/// Everything that the tasks of one process share.
#[derive(Debug)]
pub(crate) struct EntryShared {
    pub(crate) clock: Clock,
    pub(crate) state: RefCell<EntryState>,
    pub(crate) store: StoreClient,
    /// The limits on what untrusted clients may occupy.
    pub(crate) limits: ClientLimits,
    pub(crate) callers: CallerConnections,
    pub(crate) body_memory: BodyMemory,
    /// The memory for responses of targets.
    pub(crate) target_memory: Arc<ResponseMemory>,
    /// The memory for responses of the store and the control service.
    pub(crate) service_memory: Arc<ResponseMemory>,
    pub(crate) connections: ConnectionPool,
    pub(crate) peer_socket: PeerSocket,
    pub(crate) wait_queue: WaitQueue,
    /// Wakes the task that sends orders to a target.
    pub(crate) order_wakeups: RefCell<FastMap<TargetKey, std::rc::Rc<Notify>>>,
    /// The number of callers' requests in progress.
    pub(crate) open_requests: Cell<usize>,
    pub(crate) metrics: super::server::EntryMetrics,
    pub(crate) freshness: FreshnessTracker,
    pub(crate) announcements: RefCell<AnnouncementTracker>,
    pub(crate) copy_learner: RefCell<CopyLearner>,
    /// Notified of a reply to this VM's query for copies.
    pub(crate) copy_reply_received: Notify,
    /// Notified of each relay of target records, which may show that an earlier one was lost.
    pub(crate) relay_received: Notify,
    /// Notified when the operator sets a version of an adapter.
    pub(crate) version_set: Notify,
    /// Notified when connections to a service's targets are to be tried.
    pub(crate) probe_wanted: Notify,
    /// Notified of each answer to an ask for units of an account.
    pub(crate) grant_received: Notify,
    /// The requests that targets started, where their use is reported.
    pub(crate) usage: Option<RefCell<UsageCounts>>,
    /// Reads of other VMs' records of streams.
    pub(crate) stream_reads: StreamReads,
    /// Closes callers' idle connections when the process stops.
    pub(crate) stop: Notify,
    /// Whether the list of entry VMs has been read once, or could not be read.
    pub(crate) peers_listed: watch::Sender<bool>,
}

impl EntryShared {
    pub(crate) fn is_small_fleet(&self) -> bool {
        self.state.borrow().is_small_fleet()
    }

    pub(crate) fn mark_peers_listed(&self) {
        self.peers_listed.send_replace(true);
    }

    /// Waits until the other entry VMs are known from the store, so that the VMs that start at the
    /// same time share its calls.
    pub(crate) async fn wait_for_peer_list(&self) {
        /// The time after which a VM goes on alone, because the store is slow or unreachable.
        const PEER_LIST_TIMEOUT: Duration = Duration::from_millis(500);
        let mut listed = self.peers_listed.subscribe();
        let _ = tokio::time::timeout(PEER_LIST_TIMEOUT, listed.wait_for(|listed| *listed)).await;
    }

    pub(crate) fn target_address(&self, target: TargetKey) -> Option<SocketAddr> {
        let state = self.state.borrow();
        state
            .directory
            .get(target)
            .map(|entry| entry.report.address)
    }

    /// A target's name for logging; empty if the target was removed.
    pub(crate) fn target_name(&self, target: TargetKey) -> String {
        let state = self.state.borrow();
        let entry = state.directory.get(target);
        entry.map_or(String::new(), |entry| entry.name.to_string())
    }
}
