//! What the tasks of one process share. All run on one thread; the state is borrowed for decisions
//! only, never across a wait.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

use tokio::sync::Notify;

use super::channels::ChannelPool;
use super::confirm::Confirmations;
use super::gossip::{AnnouncementBook, PeerSocket};
use super::state::EntryState;
use super::waiting::WaitingRoom;
use crate::clock::Clock;
use crate::collections::FastMap;
use crate::dispatch::directory::TargetKey;
use crate::platform::store::StoreClient;

/// The shared parts of one process.
#[derive(Debug)]
pub(crate) struct EntryShared {
    pub(crate) clock: Clock,
    pub(crate) state: RefCell<EntryState>,
    pub(crate) store: StoreClient,
    pub(crate) channels: ChannelPool,
    pub(crate) peers: PeerSocket,
    pub(crate) waiting: WaitingRoom,
    /// Wakes the task that gives orders to a target.
    pub(crate) order_wakes: RefCell<FastMap<TargetKey, std::rc::Rc<Notify>>>,
    /// Requests of callers that are being served.
    pub(crate) open_requests: Cell<usize>,
    pub(crate) metrics: super::server::EntryMetrics,
    pub(crate) confirmations: Confirmations,
    pub(crate) announcements: RefCell<AnnouncementBook>,
    /// Wakes the reader of the targets' records.
    pub(crate) relay_lost: Notify,
    pub(crate) stop: Notify,
}

impl EntryShared {
    pub(crate) fn is_small_fleet(&self) -> bool {
        self.state.borrow().is_small_fleet()
    }

    /// A target's address, while it is known.
    pub(crate) fn target_address(&self, target: TargetKey) -> Option<SocketAddr> {
        let state = self.state.borrow();
        state
            .directory
            .get(target)
            .map(|entry| entry.report.address)
    }

    /// A target's name, for the log; empty once the target is gone.
    pub(crate) fn target_name(&self, target: TargetKey) -> String {
        let state = self.state.borrow();
        let entry = state.directory.get(target);
        entry.map_or(String::new(), |entry| entry.name.to_string())
    }
}
