//! The loads that a waiting request has requested.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::dispatch::directory::TargetKey;
use crate::dispatch::residency::ResidencyTable;

/// If a target's owner has not announced a requested load within this time, it may have failed, and
/// the load is requested on another target. Messages between VMs take a few milliseconds and are
/// repeated every 60 ms.
const LOAD_ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(250);

/// The targets on which a request that waits for one has requested a load of its adapter, and when.
#[derive(Debug)]
pub(super) struct LoadRequests {
    pub(super) waits_since: Timestamp,
    targets: Vec<(TargetKey, Timestamp)>,
}

impl LoadRequests {
    pub(super) fn new(waits_since: Timestamp) -> Self {
        let targets = Vec::new();
        Self {
            waits_since,
            targets,
        }
    }

    /// Adds a target. Returns whether it is new.
    pub(super) fn add(&mut self, target: TargetKey, now: Timestamp) -> bool {
        let new = self.targets.iter().all(|(known, _)| *known != target);
        if new {
            self.targets.push((target, now));
        }
        new
    }

    pub(super) fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Removes the targets that have refused the load; they may be asked again later.
    pub(super) fn remove_refused(&mut self, residency: &ResidencyTable, now: Timestamp) {
        self.targets
            .retain(|(target, _)| !residency.is_full(*target, now));
    }

    pub(super) fn stalled(&self, now: Timestamp) -> Vec<TargetKey> {
        let stalled = self
            .targets
            .iter()
            .filter(|(_, since)| now.since(*since) > LOAD_ANNOUNCE_TIMEOUT);
        stalled.map(|(target, _)| *target).collect()
    }
}
