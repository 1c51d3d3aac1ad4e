//! The requests in flight on each adapter of one target, as all VMs report them to its owner.
//!
//! Load pattern: few slots, each used by one adapter's requests for seconds. A target that is
//! ordered to unload an adapter in use refuses every other order until that adapter's requests have
//! ended, so that all loads on the target stop for seconds.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::ids::{ModelAdapter, NodeName};

/// How often VMs repeat their counts, to make up for lost messages.
pub(crate) const USAGE_REFRESH_INTERVAL: Duration = Duration::from_millis(1000);
/// How long a count stays valid without a repeat: two lost messages and a delay.
const USAGE_LIFETIME: Duration = Duration::from_millis(3500);

#[derive(Debug, Clone, Copy)]
struct ReportedUsage {
    /// At least 1; a count of 0 removes the entry.
    in_flight: u32,
    reported_at: Timestamp,
}

/// The adapters in use on one target.
#[derive(Debug, Default)]
pub(crate) struct AdapterUsage {
    by_adapter: FastMap<ModelAdapter, FastMap<NodeName, ReportedUsage>>,
}

impl AdapterUsage {
    /// Records how many requests `node` has in flight on `adapter`.
    pub(crate) fn record(
        &mut self,
        node: &NodeName,
        adapter: &ModelAdapter,
        in_flight: u32,
        now: Timestamp,
    ) {
        if in_flight > 0 {
            let usage = ReportedUsage {
                in_flight,
                reported_at: now,
            };
            let nodes = self.by_adapter.entry(adapter.clone()).or_default();
            nodes.insert(node.clone(), usage);
        } else if let Some(nodes) = self.by_adapter.get_mut(adapter) {
            nodes.remove(node);
            if nodes.is_empty() {
                self.by_adapter.remove(adapter);
            }
        }
    }

    pub(crate) fn in_flight(&self, adapter: &ModelAdapter, now: Timestamp) -> u32 {
        let nodes = self.by_adapter.get(adapter).into_iter().flatten();
        let valid = nodes.filter(|(_, usage)| now.since(usage.reported_at) < USAGE_LIFETIME);
        valid.map(|(_, usage)| usage.in_flight).sum()
    }

    /// Forgets all counts, when the target's process has ended and its requests with it.
    pub(crate) fn clear(&mut self) {
        self.by_adapter.clear();
    }
}
