//! Data shared by all tasks of the process. The tasks run on one thread, and the state is never
//! borrowed across an await point.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

use tokio::sync::Notify;

use super::connections::ConnectionPool;
use super::freshness::FreshnessTracker;
use super::gossip::{AnnouncementTracker, PeerSocket};
use super::state::EntryState;
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
    /// Makes this VM read the targets' records from the store at once, after a lost relay.
    pub(crate) relay_lost: Notify,
    /// Closes callers' idle connections when the process stops.
    pub(crate) stop: Notify,
}

impl EntryShared {
    pub(crate) fn is_small_fleet(&self) -> bool {
        self.state.borrow().is_small_fleet()
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
