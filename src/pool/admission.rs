//! Queue limits: requests that can't start in time are refused at once.

use std::collections::BTreeMap;
use std::time::Duration;

use super::coordinator::PoolCoordinator;
use super::demand::AdapterDemand;
use super::event::RefusalReason;
use crate::ids::{AccountName, AdapterVersion};

/// The minimum queue limit, so that a pool that is still starting up refuses no requests.
const MIN_QUEUE_LIMIT: usize = 16;

impl PoolCoordinator {
    /// Refuses requests that can't start within `wait`, after a request for `adapter` was queued.
    pub(super) fn bound_queue(&mut self, adapter: &AdapterVersion, wait: Duration) {
        while self.queue.len() > self.queue_limit(wait) {
            let Some(removed) = self.queue.pop_from_largest() else {
                return;
            };
            self.refuse(removed.request.key, RefusalReason::QueueFull);
        }
        if self.is_missing(adapter) && self.all_targets_probed() {
            self.bound_missing_adapters(wait);
        }
    }

    /// The number of requests that can start within `wait`, given their mean time on a target.
    fn queue_limit(&self, wait: Duration) -> usize {
        let serving = self
            .targets
            .values()
            .filter(|target| target.spec.in_service && !target.suspended);
        // A cold target reaches its limit within the usual wait, so half of its limit counts.
        let slots = serving.map(|target| match target.is_cold() {
            true => f64::from(target.spec.request_limit) / 2.0,
            false => f64::from(target.spec.request_limit),
        });
        let rounds = wait.as_secs_f64() * 1000.0 / self.mean_hold_ms.max(1.0);
        MIN_QUEUE_LIMIT.max((slots.sum::<f64>() * rounds) as usize)
    }

    /// Refuses the requests for adapters that the weight store can't load within `wait`, so that
    /// their callers can retry at once instead of after the whole wait. The account with the most
    /// missing adapters loses the adapter with the fewest and newest requests.
    fn bound_missing_adapters(&mut self, wait: Duration) {
        let limit = (self.config.loads_per_second * wait.as_secs_f64()).ceil() as usize;
        loop {
            let demand = self.demand();
            let missing = self.missing_adapters(&demand);
            if missing.values().map(Vec::len).sum::<usize>() <= limit.max(1) {
                return;
            }
            let Some(adapters) = missing.into_values().max_by_key(Vec::len) else {
                return;
            };
            let removed = adapters.into_iter().min_by_key(|adapter| {
                let adapter_demand = demand.get(adapter);
                adapter_demand.map(|adapter_demand| {
                    (
                        adapter_demand.requests,
                        std::cmp::Reverse(adapter_demand.oldest),
                    )
                })
            });
            let Some(adapter) = removed else { return };
            let waiting = self.queue.iter().map(|waiting| &waiting.request);
            let waiting = waiting.filter(|request| request.adapter == adapter);
            let keys: Vec<_> = waiting.map(|request| request.key.clone()).collect();
            for key in keys {
                self.queue.remove(&key);
                self.refuse(key, RefusalReason::QueueFull);
            }
        }
    }

    /// The adapters that waiting requests of each account need and that are neither loaded nor
    /// being loaded.
    fn missing_adapters(
        &self,
        demand: &BTreeMap<AdapterVersion, AdapterDemand>,
    ) -> BTreeMap<AccountName, Vec<AdapterVersion>> {
        let mut missing: BTreeMap<AccountName, Vec<AdapterVersion>> = BTreeMap::new();
        for (adapter, adapter_demand) in demand {
            if self.is_missing(adapter) {
                let account_adapters = missing.entry(adapter_demand.account.clone()).or_default();
                account_adapters.push(adapter.clone());
            }
        }
        missing
    }

    fn is_missing(&self, adapter: &AdapterVersion) -> bool {
        self.available_slots(adapter) == 0 && !self.is_load_pending(adapter)
    }

    /// Whether all targets in service have reported their loaded adapters. Until then, a loaded
    /// adapter may appear to be missing.
    fn all_targets_probed(&self) -> bool {
        let mut serving = self.targets.values().filter(|t| t.spec.in_service);
        self.takeover.admits(self.now) && serving.all(|t| t.boot.is_some() || t.suspended)
    }
}
