//! Selects the adapters to load: those that requests wait for, and those for which requests are
//! expected.

use std::collections::BTreeMap;
use std::time::Duration;

use super::coordinator::PoolCoordinator;
use super::residency::GenerationState;
use super::target::TargetState;
use crate::clock::Timestamp;
use crate::collections::FastSet;
use crate::ids::{AccountName, AdapterVersion, ZoneName};

/// The waiting time that a further replica must save. It exceeds the 0.25 s of the load itself,
/// since the evicted adapter may have to be loaded again.
const REPLICA_MIN_SAVING: Duration = Duration::from_secs(2);
/// The decayed request count from which an adapter is prefetched without waiting requests.
const PREFETCH_MIN_USE: f64 = 2.0;
/// An adapter with at least this share of all requests is also loaded in a second zone while the
/// weight store is idle. The replica takes over if the first zone goes out of service, and serves
/// requests when the first target is full.
const SINGLE_ZONE_MIN_SHARE: f64 = 0.03;
/// An adapter whose expected concurrent requests exceed this fraction of the slots on its targets
/// is loaded on a further target before requests wait, since other adapters share those slots.
const CROWDED_FRACTION: f64 = 0.5;

/// The waiting requests for one adapter.
#[derive(Debug, Clone)]
pub(super) struct AdapterDemand {
    pub(super) account: AccountName,
    pub(super) tokens: u64,
    pub(super) requests: u32,
    pub(super) oldest: Timestamp,
}

/// Why an adapter is a candidate for a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoadReason {
    /// Requests wait, and no available target has the adapter.
    Missing { since: Timestamp },
    /// Enough requests wait that a further replica saves more than [`REPLICA_MIN_SAVING`].
    Replica,
    /// Requests are expected, and no available target has the adapter.
    Prefetch,
    /// The expected requests for the adapter take most of the slots on its targets.
    Crowded,
    /// The adapter is used often and loaded in one zone only.
    SingleZone,
}

impl PoolCoordinator {
    pub(super) fn demand(&self) -> BTreeMap<AdapterVersion, AdapterDemand> {
        let mut demand: BTreeMap<AdapterVersion, AdapterDemand> = BTreeMap::new();
        for waiting in self.queue.iter() {
            let request = &waiting.request;
            let entry = demand.entry(request.adapter.clone());
            let entry = entry.or_insert_with(|| AdapterDemand {
                account: request.account.clone(),
                tokens: 0,
                requests: 0,
                oldest: waiting.since,
            });
            entry.tokens += u64::from(request.tokens);
            entry.requests += 1;
            entry.oldest = entry.oldest.min(waiting.since);
        }
        demand
    }

    /// The adapters to load, most urgent first. Adapters without waiting requests are considered
    /// only if `scan_all` is set.
    pub(super) fn load_candidates(
        &self,
        demand: &BTreeMap<AdapterVersion, AdapterDemand>,
        scan_all: bool,
    ) -> Vec<(AdapterVersion, LoadReason)> {
        let mut missing = Vec::new();
        let mut replicas = Vec::new();
        for (adapter, adapter_demand) in demand {
            if !self.may_load(adapter) {
                continue;
            }
            let age = self.now.since(adapter_demand.oldest).as_millis() as f64;
            let urgency = adapter_demand.tokens as f64 * (age + 100.0);
            let slots = self.available_slots(adapter);
            if slots == 0 {
                let virtual_time = self.queue.load_virtual_time(&adapter_demand.account);
                missing.push((virtual_time, urgency, adapter, adapter_demand.oldest));
            } else if self.replica_saves_time(adapter_demand.requests, slots) {
                replicas.push((urgency, adapter));
            }
        }
        missing.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)));
        replicas.sort_by(|a, b| b.0.total_cmp(&a.0));
        let missing = missing
            .into_iter()
            .map(|(_, _, adapter, since)| (adapter.clone(), LoadReason::Missing { since }));
        let mut candidates: Vec<_> = missing.collect();
        let replicas = replicas.into_iter();
        candidates.extend(replicas.map(|(_, adapter)| (adapter.clone(), LoadReason::Replica)));
        if scan_all && candidates.is_empty() {
            let most_used = self.usage.most_used(PREFETCH_MIN_USE, self.now);
            let not_loaded = most_used
                .into_iter()
                .filter(|a| self.may_load(a) && self.available_slots(a) == 0);
            candidates.extend(
                not_loaded
                    .take(1)
                    .map(|adapter| (adapter, LoadReason::Prefetch)),
            );
        }
        if scan_all && self.now >= self.planner.next_crowded_load {
            let crowded = self.crowded_adapter();
            candidates.splice(0..0, crowded.map(|adapter| (adapter, LoadReason::Crowded)));
        }
        if scan_all && candidates.is_empty() {
            let single_zone = self.single_zone_adapter();
            candidates.extend(single_zone.map(|adapter| (adapter, LoadReason::SingleZone)));
        }
        candidates
    }

    /// The most used adapter whose expected requests exceed [`CROWDED_FRACTION`] of its slots.
    fn crowded_adapter(&self) -> Option<AdapterVersion> {
        let hold_time = self.mean_hold_time();
        let most_used = self.usage.most_used(PREFETCH_MIN_USE, self.now);
        most_used.into_iter().find(|adapter| {
            let slots = self.available_slots(adapter);
            let expected_requests = self.usage.rate(adapter, self.now) * hold_time.as_secs_f64();
            slots > 0
                && expected_requests > f64::from(slots) * CROWDED_FRACTION
                && self.may_load(adapter)
        })
    }

    /// The most used adapter with a large share of all requests that is loaded in one zone only,
    /// although another zone is in service.
    fn single_zone_adapter(&self) -> Option<AdapterVersion> {
        let available = self.targets.values().filter(|target| target.accepts_work());
        let zones: FastSet<&ZoneName> = available.map(|target| &target.spec.zone).collect();
        if zones.len() < 2 || self.residency.loads_in_flight() > 0 {
            return None;
        }
        let min_use = self.usage.total(self.now) * SINGLE_ZONE_MIN_SHARE;
        let most_used = self
            .usage
            .most_used(min_use.max(PREFETCH_MIN_USE), self.now);
        most_used
            .into_iter()
            .find(|adapter| self.may_load(adapter) && self.available_zones(adapter).len() == 1)
    }

    /// The zones with an available target that has the adapter.
    pub(super) fn available_zones(&self, adapter: &AdapterVersion) -> FastSet<&ZoneName> {
        let generations = self.residency.of_adapter(adapter);
        let generations =
            generations.filter(|(_, generation)| generation.state == GenerationState::Ready);
        let targets =
            generations.filter_map(|(_, generation)| self.targets.get(&generation.target));
        let available = targets.filter(|target| target.accepts_work());
        available.map(|target| &target.spec.zone).collect()
    }

    /// Whether no load of the adapter is in flight on an available target and the backoff after its
    /// last failure is over.
    pub(super) fn may_load(&self, adapter: &AdapterVersion) -> bool {
        let failures = self.planner.failures.get(adapter);
        let backoff_over = failures.is_none_or(|failures| self.now >= failures.retry_at);
        backoff_over && !self.is_load_pending(adapter)
    }

    /// Whether a load of the adapter is in flight on an available target.
    pub(super) fn is_load_pending(&self, adapter: &AdapterVersion) -> bool {
        let mut generations = self.residency.of_adapter(adapter);
        generations.any(|(_, generation)| {
            let target = self.targets.get(&generation.target);
            generation.is_load_pending() && target.is_some_and(TargetState::accepts_work)
        })
    }

    /// The total request limit of the available targets that have the adapter.
    pub(super) fn available_slots(&self, adapter: &AdapterVersion) -> u32 {
        let ready = self
            .residency
            .of_adapter(adapter)
            .filter(|(_, generation)| generation.state == GenerationState::Ready);
        let targets = ready.filter_map(|(_, generation)| self.targets.get(&generation.target));
        let available = targets.filter(|target| target.accepts_work());
        available.map(TargetState::limit).sum()
    }

    fn replica_saves_time(&self, waiting: u32, slots: u32) -> bool {
        let rounds = f64::from(waiting) / f64::from(slots.max(1));
        rounds * self.mean_hold_time().as_secs_f64() > REPLICA_MIN_SAVING.as_secs_f64()
    }
}
