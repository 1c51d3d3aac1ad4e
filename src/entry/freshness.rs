//! Confirmation of the configuration through peers, so that a large fleet doesn't read the store
//! from every VM every second.
//!
//! A VM asks a peer how long ago the peer's view was confirmed and subtracts that age from the time
//! at which it sent the query. A delayed reply therefore makes the view look older, never newer.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use tokio::sync::Notify;

use super::gossip::{broadcast, new_message};
use super::shared::EntryShared;
use super::wire::PeerMessage;
use super::wire_log::{ConfigFreshness, PeerRecord};
use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::ids::LogPosition;

/// How long replies to a query are accepted.
const QUERY_LIFETIME: Duration = Duration::from_secs(2);
/// The number of VMs in a large fleet that read the store for all others. Two of them may be
/// unreachable at the same time.
pub(crate) const STORE_READERS: usize = 3;
/// How long to wait for replies. Peers are a few milliseconds away, but a VM that has used up its
/// CPU quota replies 100 ms later.
const REPLY_TIMEOUT: Duration = Duration::from_millis(200);

/// How long a VM that starts waits for replies, while it reads the operator's records: after a crash of
/// all VMs, nobody replies.
const START_REPLY_TIMEOUT: Duration = Duration::from_millis(100);

/// The pending queries of this VM, and whether its view is known to be outdated.
#[derive(Debug, Default)]
pub(crate) struct FreshnessTracker {
    next_query: Cell<u64>,
    pending: RefCell<FastMap<u64, Timestamp>>,
    /// Set when a peer is known to have newer records.
    behind: Cell<bool>,
    behind_notify: Notify,
    confirmed_notify: Notify,
    /// The peers' messages that stated their configuration.
    stated: Cell<u64>,
    stated_notify: Notify,
}

impl FreshnessTracker {
    /// Handles a peer's reply or its announcement of new records.
    pub(crate) fn handle_reply(
        &self,
        shared: &EntryShared,
        reply: &ConfigFreshness,
        now: Timestamp,
    ) {
        let mut state = shared.state.borrow_mut();
        let next = state.operator_next;
        if next.is_none_or(|next| reply.next() > next) {
            self.behind.set(true);
            self.behind_notify.notify_one();
            return;
        }
        let sent_at = self.pending.borrow_mut().remove(&reply.query);
        let (Some(sent_at), true) = (sent_at, next == Some(reply.next())) else {
            return;
        };
        if now.since(sent_at) < QUERY_LIFETIME {
            let confirmed_at = sent_at.before(Duration::from_millis(reply.age_ms));
            state.confirmed_at = state.confirmed_at.max(Some(confirmed_at));
            self.confirmed_notify.notify_waiters();
        }
    }

    /// Queries the peers that read the store and waits until one confirms this VM's view, for at
    /// most [`REPLY_TIMEOUT`].
    pub(crate) async fn query_peers(&self, shared: &EntryShared) {
        self.send_queries(shared);
        let _ = tokio::time::timeout(REPLY_TIMEOUT, self.confirmed_notify.notified()).await;
    }

    /// Asks peers for their configurations and waits for the replies, for at most
    /// [`START_REPLY_TIMEOUT`].
    pub(crate) async fn ask_for_configs(&self, shared: &EntryShared) {
        let stated = self.stated.get();
        let asked = self.send_queries(shared);
        let replies = async {
            while self.stated.get() < stated + asked {
                self.stated_notify.notified().await;
            }
        };
        let _ = tokio::time::timeout(START_REPLY_TIMEOUT, replies).await;
    }

    /// Records that a peer has stated its configuration.
    pub(crate) fn record_statement(&self) {
        self.stated.set(self.stated.get() + 1);
        self.stated_notify.notify_one();
    }

    /// Queries the peers that read the store. Returns their number.
    fn send_queries(&self, shared: &EntryShared) -> u64 {
        let now = shared.clock.now();
        let addresses = shared.state.borrow().peers.first_addresses(STORE_READERS);
        self.pending
            .borrow_mut()
            .retain(|_, sent| now.since(*sent) < QUERY_LIFETIME);
        let asked = addresses.len() as u64;
        for address in addresses {
            let query = self.next_query.get() + 1;
            self.next_query.set(query);
            self.pending.borrow_mut().insert(query, now);
            let empty = new_message(&shared.state.borrow());
            let message = PeerMessage {
                freshness_query: Some(query),
                ..empty
            };
            shared.peer_socket.send(&message, address);
        }
        asked
    }

    /// Forgets the announcements so far, which the next read covers.
    pub(crate) fn clear_behind(&self) {
        self.behind.set(false);
    }

    /// Waits until a peer is known to have newer records, for at most `limit`. Returns whether one
    /// has.
    pub(crate) async fn wait_until_behind(&self, limit: Duration) -> bool {
        if !self.behind.get() {
            let _ = tokio::time::timeout(limit, self.behind_notify.notified()).await;
        }
        self.behind.replace(false)
    }
}

/// Announces to all peers that there are new records from `from` on, which were written
/// at most `age` ago. `records` is empty if they don't fit in a datagram.
pub(crate) fn announce_records(
    shared: &EntryShared,
    from: LogPosition,
    records: Vec<PeerRecord>,
    age: Duration,
) {
    let message = {
        let state = shared.state.borrow();
        let next = state.operator_next;
        let Some(next) = next.filter(|next| next.era == from.era) else {
            return;
        };
        let freshness = Some(ConfigFreshness {
            query: 0,
            next_offset: next.offset.into(),
            age_ms: age.as_millis() as u64,
            first_offset: from.offset.into(),
            records,
            era: next.era.into(),
            version: state.config.as_ref().map(|config| config.version),
        });
        PeerMessage {
            freshness,
            ..new_message(&state)
        }
    };
    broadcast(shared, &message);
}
