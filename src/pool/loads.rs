//! Plans loads and evictions: which adapter is loaded next, on which target, and what it replaces.

use std::collections::BTreeMap;
use std::time::Duration;

use super::coordinator::PoolCoordinator;
use super::demand::{AdapterDemand, LoadReason};
use super::event::{PoolAction, RefusalReason};
use super::residency::{Generation, GenerationState};
use super::target::TargetState;
use crate::clock::Timestamp;
use crate::collections::{FastMap, FastSet};
use crate::ids::{AdapterVersion, TargetName};

/// The backoff after the first failed load of an adapter; it doubles with each further failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// After this many consecutive failed loads, the adapter's waiting requests are refused.
const REFUSE_AFTER_FAILURES: u32 = 3;
/// An adapter whose requests have waited this long may replace a more used one. Otherwise a rarely
/// used adapter could never be loaded while all others are popular.
const EVICTION_OVERRIDE_WAIT: Duration = Duration::from_secs(1);
/// An adapter that is loaded as a prefetch or for a second zone must be used more than this many
/// times as often as the one it replaces.
const PREFETCH_FACTOR: f64 = 2.0;

/// The interval between scans of all used adapters, whose cost grows with the number of adapters.
const SCAN_INTERVAL: Duration = Duration::from_millis(50);
/// The interval between loads of crowded adapters.
const CROWDED_LOAD_INTERVAL: Duration = Duration::from_secs(4);
/// The cost of a target in a zone that already has the adapter, as a fraction of a target's limit.
const SAME_ZONE_COST: f64 = 0.5;

/// Failed loads of one adapter.
#[derive(Debug, Default)]
pub(super) struct LoadFailures {
    count: u32,
    pub(super) retry_at: Timestamp,
    targets: FastSet<TargetName>,
}

/// The rate limits, failures and planned evictions of loads.
#[derive(Debug, Default)]
pub(super) struct LoadPlanner {
    /// No load starts before this time.
    next_load: Timestamp,
    next_scan: Timestamp,
    /// No crowded adapter is loaded before this time, since requests may wait for other loads.
    pub(super) next_crowded_load: Timestamp,
    pub(super) failures: FastMap<AdapterVersion, LoadFailures>,
    /// The generation whose eviction each planned generation waits for, by planned name.
    victims: BTreeMap<String, String>,
}

impl PoolCoordinator {
    /// Starts planned loads at the weight store's rate and plans new ones.
    pub(super) fn plan_loads(&mut self) {
        self.start_planned_loads();
        let limit = self.config.loads_in_flight as usize;
        if self.now < self.planner.next_load || self.residency.loads_in_flight() >= limit {
            return;
        }
        let scan_all = self.now >= self.planner.next_scan;
        if scan_all {
            self.planner.next_scan = self.now + SCAN_INTERVAL;
        }
        let demand = self.demand();
        for (adapter, reason) in self.load_candidates(&demand, scan_all) {
            if self.residency.loads_in_flight() >= limit {
                break;
            }
            if let Some((target, victim)) = self.choose_target(&adapter, reason, &demand) {
                let account = demand.get(&adapter).map(|demand| demand.account.clone());
                self.plan_load(adapter, target, victim);
                if reason == LoadReason::Crowded {
                    self.planner.next_crowded_load = self.now + CROWDED_LOAD_INTERVAL;
                }
                if let Some(account) = account {
                    self.queue.charge_load(&account);
                }
                self.start_planned_loads();
                if self.now < self.planner.next_load {
                    break;
                }
            }
        }
    }

    /// The best target for a load, and the generation to evict for it, if any.
    fn choose_target(
        &self,
        adapter: &AdapterVersion,
        reason: LoadReason,
        demand: &BTreeMap<AdapterVersion, AdapterDemand>,
    ) -> Option<(TargetName, Option<String>)> {
        let failed = self.planner.failures.get(adapter).map(|f| &f.targets);
        let zones = self.available_zones(adapter);
        let mut best = None;
        for (name, target) in &self.targets {
            let is_on_target = |(_, generation): (&String, &Generation)| generation.target == *name;
            let failed_here = failed.is_some_and(|targets| targets.contains(name));
            if !target.accepts_work() || self.residency.of_adapter(adapter).any(is_on_target) {
                continue;
            }
            let same_zone = zones.contains(&target.spec.zone);
            if same_zone && reason == LoadReason::SingleZone {
                continue;
            }
            if target.returning && self.returning_loads() >= self.max_returning_loads() {
                continue;
            }
            let generations = self.residency.of_target(name);
            let pending_loads = generations.filter(|(_, g)| g.is_load_pending()).count() as f64;
            let mut cost = target.load() + 0.25 * pending_loads;
            cost += if same_zone { SAME_ZONE_COST } else { 0.0 };
            cost += if target.is_cold() { 1.0 } else { 0.0 };
            // A target on which the load failed is used again only if there is no other.
            cost += if failed_here { 100.0 } else { 0.0 };
            let mut victim = None;
            if self.residency.of_target(name).count() >= target.spec.adapter_slots as usize {
                let Some((victim_use, found)) = self.choose_victim(name, adapter, reason, demand)
                else {
                    continue;
                };
                cost += 0.5 + victim_use.min(10.0) * 0.1;
                victim = Some(found);
            }
            if best
                .as_ref()
                .is_none_or(|(best_cost, _, _)| cost < *best_cost)
            {
                best = Some((cost, name.clone(), victim));
            }
        }
        best.map(|(_, target, victim)| (target, victim))
    }

    /// The least used generation of a target that may be evicted for `candidate`.
    pub(super) fn choose_victim(
        &self,
        target: &TargetName,
        candidate: &AdapterVersion,
        reason: LoadReason,
        demand: &BTreeMap<AdapterVersion, impl Sized>,
    ) -> Option<(f64, String)> {
        let candidate_use = self.usage.decayed_count(candidate, self.now);
        let use_limit = match reason {
            LoadReason::Missing { since } if self.now.since(since) >= EVICTION_OVERRIDE_WAIT => {
                f64::INFINITY
            }
            LoadReason::Missing { .. } | LoadReason::Replica | LoadReason::Crowded => candidate_use,
            LoadReason::Prefetch | LoadReason::SingleZone => candidate_use / PREFETCH_FACTOR,
        };
        let idle = self.residency.of_target(target).filter(|(_, generation)| {
            generation.state == GenerationState::Ready
                && generation.pins == 0
                && self.takeover.may_evict(generation.inherited, self.now)
        });
        let mut victims: Vec<(f64, &String)> = Vec::new();
        for (name, generation) in idle {
            let victim_use = match &generation.adapter {
                Some(adapter) if demand.contains_key(adapter) => continue,
                Some(adapter) => self.usage.decayed_count(adapter, self.now),
                None => 0.0,
            };
            if victim_use < use_limit {
                victims.push((victim_use, name));
            }
        }
        let least_used = victims.into_iter().min_by(|a, b| a.0.total_cmp(&b.0));
        least_used.map(|(victim_use, name)| (victim_use, name.clone()))
    }

    /// Loads in flight to targets that are returning to service.
    fn returning_loads(&self) -> u32 {
        let pending_loads = self.residency.iter().filter(|(_, g)| g.is_load_pending());
        let returning = pending_loads.filter(|(_, generation)| {
            let target = self.targets.get(&generation.target);
            target.is_some_and(|target| target.returning)
        });
        u32::try_from(returning.count()).unwrap_or(u32::MAX)
    }

    fn max_returning_loads(&self) -> u32 {
        (self.config.loads_in_flight / 2).max(1)
    }

    fn plan_load(&mut self, adapter: AdapterVersion, target: TargetName, victim: Option<String>) {
        let name = loop {
            self.last_sequence += 1;
            let name = format!("{adapter}#{}-{}", self.fence, self.last_sequence);
            if self.residency.get(&name).is_none() {
                break name;
            }
        };
        if let Some(victim) = victim {
            self.unload(&victim);
            self.planner.victims.insert(name.clone(), victim);
        }
        let generation = Generation {
            target,
            adapter: Some(adapter),
            state: GenerationState::Planned,
            sequence: self.last_sequence,
            pins: 0,
            since: self.now,
            inherited: false,
        };
        self.residency.insert(name, generation);
    }

    /// Starts planned loads whose adapter slots are free, oldest first, at the weight store's rate.
    fn start_planned_loads(&mut self) {
        while self.now >= self.planner.next_load {
            let planned = self.residency.iter().filter(|(name, generation)| {
                generation.state == GenerationState::Planned
                    && !self.planner.victims.contains_key(*name)
            });
            let Some(name) = planned
                .min_by_key(|(_, generation)| generation.sequence)
                .map(|(name, _)| name.clone())
            else {
                return;
            };
            let Some(generation) = self.residency.get_mut(&name) else {
                return;
            };
            generation.state = GenerationState::Loading;
            generation.since = self.now;
            let (target, adapter) = (generation.target.clone(), generation.adapter.clone());
            let available = self
                .targets
                .get(&target)
                .is_some_and(TargetState::accepts_work);
            let Some(adapter) = adapter.filter(|_| available) else {
                self.residency.remove(&name);
                continue;
            };
            let pause = 1.0 / self.config.loads_per_second.max(0.01);
            self.planner.next_load = self.now + Duration::from_secs_f64(pause);
            self.actions.push(PoolAction::Load {
                target,
                generation: name,
                adapter,
            });
        }
    }

    /// Marks a generation as draining, and unloads it at once if it has no pins.
    pub(super) fn unload(&mut self, name: &str) {
        let Some(generation) = self.residency.get_mut(name) else {
            return;
        };
        let unload_sent = generation.pins == 0;
        generation.state = GenerationState::Draining { unload_sent };
        if unload_sent {
            generation.since = self.now;
            self.actions.push(PoolAction::Unload {
                target: generation.target.clone(),
                generation: name.to_owned(),
            });
        }
    }

    pub(super) fn apply_load_result(&mut self, name: &str, loaded: bool) {
        let Some(generation) = self.residency.get_mut(name) else {
            return;
        };
        if generation.state != GenerationState::Loading {
            return;
        }
        let Some(adapter) = generation.adapter.clone() else {
            return;
        };
        let target = generation.target.clone();
        if let Some(state) = self.targets.get_mut(&target) {
            state.last_command_ended = self.now;
        }
        if loaded {
            generation.state = GenerationState::Ready;
            generation.since = self.now;
            self.planner.failures.remove(&adapter);
            return;
        }
        // The load may still take effect later, so the generation is unloaded in any case.
        self.unload(name);
        self.record_load_failure(&adapter, target);
    }

    fn record_load_failure(&mut self, adapter: &AdapterVersion, target: TargetName) {
        let available = self.targets.iter().filter(|(_, t)| t.accepts_work());
        let available: Vec<TargetName> = available.map(|(name, _)| name.clone()).collect();
        let failures = self.planner.failures.entry(adapter.clone()).or_default();
        failures.targets.insert(target);
        if available.iter().all(|name| failures.targets.contains(name)) {
            failures.targets.clear();
        }
        let pause = FIRST_BACKOFF * 2_u32.pow(failures.count.min(8));
        failures.count += 1;
        failures.retry_at = self.now + pause.min(MAX_BACKOFF);
        if failures.count < REFUSE_AFTER_FAILURES || self.available_slots(adapter) > 0 {
            return;
        }
        let waiting = self.queue.iter().map(|waiting| &waiting.request);
        let waiting = waiting.filter(|request| request.adapter == *adapter);
        let keys: Vec<_> = waiting.map(|request| request.key.clone()).collect();
        for key in keys {
            self.queue.remove(&key);
            self.refuse(key, RefusalReason::LoadFailed);
        }
    }

    pub(super) fn apply_unload_result(&mut self, name: &str, gone: bool) {
        let Some(generation) = self.residency.get_mut(name) else {
            return;
        };
        if generation.state != (GenerationState::Draining { unload_sent: true }) {
            return;
        }
        if let Some(target) = self.targets.get_mut(&generation.target) {
            target.last_command_ended = self.now;
        }
        if gone {
            self.remove_generation(name);
            return;
        }
        // The unload is sent again when a probe still lists the generation.
        generation.state = GenerationState::Draining { unload_sent: false };
        self.cancel_plans_for(name);
    }

    /// Cancels the planned loads that wait for `victim`, so that their adapters are planned again.
    fn cancel_plans_for(&mut self, victim: &str) {
        let planned = self.planner.victims.iter().filter(|(_, v)| *v == victim);
        let planned: Vec<String> = planned.map(|(name, _)| name.clone()).collect();
        for name in planned {
            self.planner.victims.remove(&name);
            self.residency.remove(&name);
        }
    }

    /// Removes a generation that is no longer on its target. A planned load that waits for its
    /// adapter slot can then start.
    pub(super) fn remove_generation(&mut self, name: &str) {
        self.residency.remove(name);
        self.planner
            .victims
            .retain(|planned, victim| planned != name && victim != name);
    }
}
