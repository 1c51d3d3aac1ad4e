//! Which adapters are to be loaded: those that requests wait for, and copies ahead of need.

use std::collections::BTreeMap;
use std::time::Duration;

use super::coordinator::PoolCoordinator;
use super::residency::GenerationState;
use super::target::TargetState;
use crate::clock::Timestamp;
use crate::collections::FastSet;
use crate::ids::{AccountName, AdapterVersion, ZoneName};

/// What a further replica costs, which must save more waiting than this. It is more than the 0.25 s
/// of its own load, since the adapter that goes for it may have to be loaded again.
const REPLICA_MIN_SAVING: Duration = Duration::from_secs(2);
/// The expected use from which an adapter without waiting requests is loaded ahead.
const PREFETCH_MIN_USE: f64 = 2.0;
/// An adapter with at least this part of all use gets a copy in a second zone while the store is
/// idle: the copy takes over when its zone leaves, and serves when the first target is full.
const SINGLE_ZONE_MIN_SHARE: f64 = 0.03;
/// An adapter whose usual requests take more than this part of all places on its targets is loaded
/// on a further target before requests wait: other adapters need places on the same targets.
const CROWDED_FRACTION: f64 = 0.5;

/// The requests that wait for one adapter.
#[derive(Debug, Clone)]
pub(super) struct AdapterDemand {
    pub(super) account: AccountName,
    pub(super) tokens: u64,
    pub(super) requests: u32,
    pub(super) oldest: Timestamp,
}

/// Why an adapter is to be loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoadReason {
    /// Requests wait, and no open target has the adapter.
    Missing { since: Timestamp },
    /// Requests wait longer than a load takes.
    Replica,
    /// Requests are expected.
    Prefetch,
    /// The usual requests of the adapter nearly fill its targets.
    Crowded,
    /// The adapter is often used and in one zone only.
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

    /// The adapters to load, most urgent first. Adapters that no request waits for are looked at
    /// in a `survey` only.
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

    /// The most used adapter whose usual requests take more than their part of its places.
    fn crowded_adapter(&self) -> Option<AdapterVersion> {
        let hold = self.mean_hold_time();
        let most_used = self.usage.most_used(PREFETCH_MIN_USE, self.now);
        most_used.into_iter().find(|adapter| {
            let slots = self.available_slots(adapter);
            let expected_requests = self.usage.rate(adapter, self.now) * hold.as_secs_f64();
            slots > 0
                && expected_requests > f64::from(slots) * CROWDED_FRACTION
                && self.may_load(adapter)
        })
    }

    /// The most used adapter with a large share of all use that only one zone has, though
    /// another one is in service.
    fn single_zone_adapter(&self) -> Option<AdapterVersion> {
        let open = self.targets.values().filter(|target| target.accepts_work());
        let zones: FastSet<&ZoneName> = open.map(|target| &target.spec.zone).collect();
        if zones.len() < 2 || self.residency.loads_in_flight() > 0 {
            return None;
        }
        let least = self.usage.total(self.now) * SINGLE_ZONE_MIN_SHARE;
        let most_used = self.usage.most_used(least.max(PREFETCH_MIN_USE), self.now);
        most_used
            .into_iter()
            .find(|adapter| self.may_load(adapter) && self.available_zones(adapter).len() == 1)
    }

    /// The zones with an open target that has the adapter.
    pub(super) fn available_zones(&self, adapter: &AdapterVersion) -> FastSet<&ZoneName> {
        let generations = self.residency.of_adapter(adapter);
        let generations =
            generations.filter(|(_, generation)| generation.state == GenerationState::Ready);
        let targets =
            generations.filter_map(|(_, generation)| self.targets.get(&generation.target));
        let open = targets.filter(|target| target.accepts_work());
        open.map(|target| &target.spec.zone).collect()
    }

    /// Whether no load of the adapter is in flight on an open target and its last failure is long
    /// enough ago.
    pub(super) fn may_load(&self, adapter: &AdapterVersion) -> bool {
        let failures = self.planner.failures.get(adapter);
        let rested = failures.is_none_or(|failures| self.now >= failures.retry_at);
        rested && !self.is_load_pending(adapter)
    }

    /// Whether a load of the adapter is in flight on an open target.
    pub(super) fn is_load_pending(&self, adapter: &AdapterVersion) -> bool {
        let mut generations = self.residency.of_adapter(adapter);
        generations.any(|(_, generation)| {
            let target = self.targets.get(&generation.target);
            generation.is_load_pending() && target.is_some_and(TargetState::accepts_work)
        })
    }

    /// The places for requests of the adapter on open targets.
    pub(super) fn available_slots(&self, adapter: &AdapterVersion) -> u32 {
        let ready = self
            .residency
            .of_adapter(adapter)
            .filter(|(_, generation)| generation.state == GenerationState::Ready);
        let targets = ready.filter_map(|(_, generation)| self.targets.get(&generation.target));
        let open = targets.filter(|target| target.accepts_work());
        open.map(TargetState::limit).sum()
    }

    fn replica_saves_time(&self, waiting: u32, slots: u32) -> bool {
        let rounds = f64::from(waiting) / f64::from(slots.max(1));
        rounds * self.mean_hold_time().as_secs_f64() > REPLICA_MIN_SAVING.as_secs_f64()
    }
}
