//! Decides whether this VM's configuration is older than that of a peer, although it has read the whole
//! log.
//!
//! Load pattern: the store comes back from a copy that lacks the newest configuration, and a process
//! starts before the operator has written it again. It would accept keys that were taken away and
//! refuse routes that were added.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::LogPosition;

/// How long an older configuration is out of use. A restored store lacks a newer one only until the
/// operator writes it again, so the bound matters only if that never happens.
const MAX_LAG: Duration = Duration::from_secs(10);

/// A VM's configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ConfigView {
    pub(crate) version: u64,
    /// The position up to which the VM has read the operator's log.
    pub(crate) next: LogPosition,
}

impl ConfigView {
    /// Whether a peer has a newer configuration, which this VM's part of the log lacks.
    fn lacks(self, peer: Self) -> bool {
        peer.version > self.version && peer.next <= self.next
    }
}

/// The newest configuration that this VM's log is known to lack.
#[derive(Debug, Default)]
pub(crate) struct ConfigLag {
    /// Its version, and when this VM learned of it.
    missing: Option<(u64, Timestamp)>,
    /// The peer's configuration of the highest version that was stated before this VM had one.
    stated_early: Option<ConfigView>,
}

impl ConfigLag {
    /// Keeps the configuration of a live peer until this VM has one to compare it with.
    pub(crate) fn keep_early(&mut self, peer: ConfigView) {
        let kept = self.stated_early;
        if kept.is_none_or(|kept| kept.version < peer.version) {
            self.stated_early = Some(peer);
        }
    }

    /// Compares this VM's first configuration with what peers stated before. Returns the version that
    /// is missing, if any.
    pub(crate) fn compare_early(&mut self, own: ConfigView, now: Timestamp) -> Option<u64> {
        let peer = self.stated_early.take()?;
        self.compare(own, peer, now).then_some(peer.version)
    }

    /// Compares this VM's configuration with that of a live peer. Returns whether the peer's is newly
    /// known to be missing.
    pub(crate) fn compare(&mut self, own: ConfigView, peer: ConfigView, now: Timestamp) -> bool {
        let known = self.missing.map(|(version, _)| version);
        let is_new = own.lacks(peer) && known < Some(peer.version);
        if is_new {
            self.missing = Some((peer.version, now));
        }
        is_new
    }

    /// Whether a configuration of this version is too old to be used.
    pub(crate) fn is_behind(&self, version: u64, now: Timestamp) -> bool {
        self.missing
            .is_some_and(|(missing, known_at)| missing > version && now.since(known_at) < MAX_LAG)
    }
}
