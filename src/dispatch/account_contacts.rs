//! Which peers a VM hears, as a sign of whether it is cut off from most of them.
//!
//! Load pattern: for seconds, reports between zones are lost or late while other messages arrive; or
//! a VM, or a few, lose their links to all others.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::dispatch::account_limit::ReportSender;
use crate::dispatch::peer_usage::{EXPECTED_TIME, MIN_SILENCE, SILENCE_INTERVALS};
use crate::ids::NodeName;

/// The part of all VMs below which those that are heard are a minority.
const MINORITY_FRACTION: f64 = 0.5;
/// For how long a result is used, since each one takes a look at all peers.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug, Clone, Copy)]
struct ContactTime {
    /// When the peer was last heard, or became known.
    heard_at: Timestamp,
    /// The silence up to which it counts as heard.
    max_silence: Duration,
}

impl ContactTime {
    fn expected(now: Timestamp) -> Self {
        Self {
            heard_at: now,
            max_silence: EXPECTED_TIME,
        }
    }

    fn is_silent(&self, now: Timestamp) -> bool {
        now.since(self.heard_at) > self.max_silence
    }
}

/// When each peer was last heard.
#[derive(Debug, Default)]
pub(crate) struct AccountContacts {
    peers: FastMap<NodeName, ContactTime>,
    /// The last result, and when it was computed.
    checked: Option<(bool, Timestamp)>,
}

impl AccountContacts {
    pub(crate) fn expect(&mut self, peer: &NodeName, now: Timestamp) {
        let contact = self.peers.entry(peer.clone());
        contact.or_insert_with(|| ContactTime::expected(now));
    }

    pub(crate) fn remove(&mut self, peer: &NodeName) {
        self.peers.remove(peer);
    }

    /// Records any message of a known peer.
    pub(crate) fn record_message(&mut self, peer: &NodeName, now: Timestamp) {
        if let Some(contact) = self.peers.get_mut(peer) {
            contact.heard_at = now;
        }
    }

    pub(crate) fn record_report(&mut self, sender: &ReportSender<'_>, now: Timestamp) {
        let max_silence = sender.interval.mul_f64(SILENCE_INTERVALS);
        let contact = ContactTime {
            heard_at: now,
            max_silence: max_silence.max(MIN_SILENCE),
        };
        self.peers.insert(sender.node.clone(), contact);
    }

    /// Whether this VM and those that it hears are a minority.
    pub(crate) fn is_minority(&mut self, now: Timestamp) -> bool {
        if let Some((is_minority, checked_at)) = self.checked
            && now.since(checked_at) < CHECK_INTERVAL
        {
            return is_minority;
        }
        let silent = self.peers.values().filter(|contact| contact.is_silent(now));
        let all = self.peers.len() as f64 + 1.0;
        let is_minority = silent.count() as f64 > all * (1.0 - MINORITY_FRACTION);
        self.checked = Some((is_minority, now));
        is_minority
    }
}
