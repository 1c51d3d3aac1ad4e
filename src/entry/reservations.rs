//! This VM's requests in flight on targets and their adapters.

use super::shared::EntryShared;
use super::state::EntryState;
use super::usage::send_adapter_load;
use crate::clock::Timestamp;
use crate::dispatch::cold_start::ColdPermit;
use crate::dispatch::directory::TargetKey;
use crate::ids::{ModelAdapter, NodeName, ServiceName, SoftwareVersion};

/// Capacity for one request on a target, released when dropped.
#[derive(Debug)]
pub(crate) struct TargetReservation<'a> {
    pub(super) shared: &'a EntryShared,
    pub(super) service: ServiceName,
    pub(crate) target: TargetKey,
    pub(super) adapter: Option<ModelAdapter>,
    /// The target's name, for logging.
    pub(crate) name: String,
    /// Whether the target was known to be cold when it was chosen.
    pub(crate) is_cold: bool,
    /// Set if the target was known to be cold.
    pub(crate) permit: Option<ColdPermit>,
    /// The version of the request's adapter on the target.
    pub(crate) version: Option<u64>,
    /// The version of the target's software.
    pub(crate) software: Option<SoftwareVersion>,
    /// Whether another target is tried if this one responds with a server error.
    pub(crate) retry_on_failure: bool,
}

impl Drop for TargetReservation<'_> {
    fn drop(&mut self) {
        let adapter = self.adapter.as_ref();
        self.shared.state.borrow_mut().release(self.target, adapter);
        if let Some(adapter) = adapter {
            send_adapter_load(self.shared, self.target, adapter);
        }
        self.shared
            .wait_queue
            .record_completion(&self.service, self.shared.clock.now());
    }
}

impl EntryState {
    /// Counts a request that is about to be sent. Returns the version of its adapter on the target.
    pub(crate) fn reserve(
        &mut self,
        target: TargetKey,
        adapter: Option<&ModelAdapter>,
    ) -> Option<u64> {
        *self.own_loads.entry(target).or_default() += 1;
        let adapter = adapter?;
        let loads = self.own_adapter_loads.entry(target).or_default();
        *loads.entry(adapter.clone()).or_default() += 1;
        self.residency.held_version(target, adapter)
    }

    /// Releases the capacity of a request that has ended.
    pub(crate) fn release(&mut self, target: TargetKey, adapter: Option<&ModelAdapter>) {
        if let Some(count) = self.own_loads.get_mut(&target) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.own_loads.remove(&target);
            }
        }
        let Some(adapter) = adapter else {
            return;
        };
        if let Some(loads) = self.own_adapter_loads.get_mut(&target) {
            if let Some(count) = loads.get_mut(adapter) {
                *count -= 1;
            }
            loads.retain(|_, count| *count > 0);
            if loads.is_empty() {
                self.own_adapter_loads.remove(&target);
            }
        }
    }

    /// This VM's requests in flight on an adapter of a target.
    pub(crate) fn own_adapter_load(&self, target: TargetKey, adapter: &ModelAdapter) -> u32 {
        let loads = self.own_adapter_loads.get(&target);
        loads
            .and_then(|loads| loads.get(adapter))
            .copied()
            .unwrap_or(0)
    }

    /// Records how many requests `node` has in flight on an adapter of a target that this VM owns.
    pub(crate) fn record_adapter_load(
        &mut self,
        node: &NodeName,
        target: TargetKey,
        adapter: &ModelAdapter,
        in_flight: u32,
        now: Timestamp,
    ) {
        if let Some(planner) = self.planners.get_mut(&target) {
            planner.record_use(node, adapter, in_flight, now);
        }
    }
}
