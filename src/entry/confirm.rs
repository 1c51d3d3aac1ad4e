//! Confirming the configuration through peers, so that not each of many VMs reads the store each
//! second.
//!
//! A VM asks a peer how long ago the peer's view was confirmed, and counts that age from the
//! sending of its own ask: an answer that was delayed on its way makes the view older, never newer.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use tokio::sync::Notify;

use super::gossip::{blank_message, send_to_all};
use super::shared::EntryShared;
use super::wire::{ConfirmNote, PeerMessage, RecordNote};
use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::ids::LogOffset;

/// Asks that are remembered; older ones are not answered any more.
const ASK_LIFETIME: Duration = Duration::from_secs(2);
/// Of many VMs, this many read the store's records for all: two of them may be cut off at once.
pub(crate) const STORE_READERS: usize = 3;
/// How long answers are waited for: peers are some milliseconds away, but a VM that has used up its
/// processor share answers a tenth of a second later.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// The open asks of one VM.
#[derive(Debug, Default)]
pub(crate) struct Confirmations {
    next_ask: Cell<u64>,
    asks: RefCell<FastMap<u64, Timestamp>>,
    /// Set when a peer has newer records than this VM.
    behind: Cell<bool>,
    wake: Notify,
    answered: Notify,
}

impl Confirmations {
    /// Takes in a peer's answer, or its word that there are new records.
    pub(crate) fn take(&self, shared: &EntryShared, note: &ConfirmNote, now: Timestamp) {
        let mut state = shared.state.borrow_mut();
        let next = state.operator_next.map(u64::from);
        if next.is_none_or(|next| note.next > next) {
            self.behind.set(true);
            self.wake.notify_one();
            return;
        }
        let sent_at = self.asks.borrow_mut().remove(&note.ask);
        let (Some(sent_at), true) = (sent_at, next == Some(note.next)) else {
            return;
        };
        if now.since(sent_at) < ASK_LIFETIME {
            let confirmed_at = sent_at.before(Duration::from_millis(note.age_ms));
            state.confirmed_at = state.confirmed_at.max(Some(confirmed_at));
            self.answered.notify_waiters();
        }
    }

    /// Asks some peers and waits for their answers.
    pub(crate) async fn ask(&self, shared: &EntryShared) {
        let now = shared.clock.now();
        let addresses = shared.state.borrow().peers.first_addresses(STORE_READERS);
        self.asks
            .borrow_mut()
            .retain(|_, sent| now.since(*sent) < ASK_LIFETIME);
        for address in addresses {
            let ask = self.next_ask.get() + 1;
            self.next_ask.set(ask);
            self.asks.borrow_mut().insert(ask, now);
            let blank = blank_message(&shared.state.borrow());
            let message = PeerMessage {
                confirm_ask: Some(ask),
                ..blank
            };
            shared.peers.send(&message, address);
        }
        let _ = tokio::time::timeout(ANSWER_TIME, self.answered.notified()).await;
    }

    /// Waits for `pause`, or until a peer has newer records. Returns whether one has.
    pub(crate) async fn wait(&self, pause: Duration) -> bool {
        if !self.behind.get() {
            let _ = tokio::time::timeout(pause, self.wake.notified()).await;
        }
        self.behind.replace(false)
    }
}

/// Tells all peers that there are new records from `from` on, with the records if they are short.
pub(crate) fn tell_new(shared: &EntryShared, from: LogOffset, records: Vec<RecordNote>) {
    let message = {
        let state = shared.state.borrow();
        let Some(next) = state.operator_next else {
            return;
        };
        let confirm = Some(ConfirmNote {
            ask: 0,
            next: next.into(),
            age_ms: 0,
            from: from.into(),
            records,
        });
        PeerMessage {
            confirm,
            ..blank_message(&state)
        }
    };
    send_to_all(shared, &message);
}
