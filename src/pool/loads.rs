//! Loads and evictions: what is loaded next, where, and what has to go for it.

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

/// The pause after the first failed load of an adapter; it doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(250);
const LONGEST_BACKOFF: Duration = Duration::from_secs(8);
/// After this many failed loads in a row the adapter's waiting requests are refused.
const REFUSE_FAILURES: u32 = 3;
/// An adapter that requests have waited for this long may replace a more used one. Without this,
/// a rarely used adapter could never get a place among popular ones.
const PATIENCE: Duration = Duration::from_secs(1);
/// An adapter that is loaded ahead must be used this many times more than its victim.
const AHEAD_FACTOR: f64 = 2.0;

/// How often all used adapters are looked at, since the cost grows with their number.
const SURVEY_INTERVAL: Duration = Duration::from_millis(50);
/// The pause between loads for relief.
const RELIEF_PAUSE: Duration = Duration::from_secs(4);
/// What a place in a zone that already has the adapter costs, as a part of a target's load.
const SAME_ZONE_COST: f64 = 0.5;

/// Failed loads of one adapter.
#[derive(Debug, Default)]
pub(super) struct LoadFailures {
    count: u32,
    pub(super) next_try: Timestamp,
    targets: FastSet<TargetName>,
}

/// The pace and the failures of loads.
#[derive(Debug, Default)]
pub(super) struct LoadPlanner {
    /// No load starts before this time.
    next_load: Timestamp,
    next_survey: Timestamp,
    /// No load for relief starts before this time, since requests may wait for others.
    pub(super) next_relief: Timestamp,
    pub(super) failures: FastMap<AdapterVersion, LoadFailures>,
    /// The victims whose places planned generations wait for, by the planned name.
    victims: BTreeMap<String, String>,
}

impl PoolCoordinator {
    /// Starts planned loads at the store's rate and plans new ones.
    pub(super) fn plan_loads(&mut self) {
        self.start_planned();
        let limit = self.config.loads_in_flight as usize;
        if self.now < self.planner.next_load || self.residency.loads_in_flight() >= limit {
            return;
        }
        let survey = self.now >= self.planner.next_survey;
        if survey {
            self.planner.next_survey = self.now + SURVEY_INTERVAL;
        }
        let demand = self.demand();
        for (adapter, reason) in self.wanted(&demand, survey) {
            if self.residency.loads_in_flight() >= limit {
                break;
            }
            if let Some((target, victim)) = self.load_place(&adapter, reason, &demand) {
                let account = demand.get(&adapter).map(|demand| demand.account.clone());
                self.plan(adapter, target, victim);
                if reason == LoadReason::Relief {
                    self.planner.next_relief = self.now + RELIEF_PAUSE;
                }
                if let Some(account) = account {
                    self.queue.charge_load(&account);
                }
                self.start_planned();
                if self.now < self.planner.next_load {
                    break;
                }
            }
        }
    }

    /// The best target for a load, with the generation that has to go for it.
    fn load_place(
        &self,
        adapter: &AdapterVersion,
        reason: LoadReason,
        demand: &BTreeMap<AdapterVersion, AdapterDemand>,
    ) -> Option<(TargetName, Option<String>)> {
        let failed = self.planner.failures.get(adapter).map(|f| &f.targets);
        let zones = self.open_zones(adapter);
        let mut best = None;
        for (name, target) in &self.targets {
            let has = |(_, generation): (&String, &Generation)| generation.target == *name;
            let failed_here = failed.is_some_and(|targets| targets.contains(name));
            if !target.is_open() || self.residency.of_adapter(adapter).any(has) {
                continue;
            }
            let same_zone = zones.contains(&target.spec.zone);
            if same_zone && reason == LoadReason::Spread {
                continue;
            }
            if target.returning && self.returning_loads() >= self.returning_limit() {
                continue;
            }
            let spread = self.residency.of_target(name);
            let arriving = spread.filter(|(_, g)| g.is_arriving()).count() as f64;
            let mut score = target.load() + 0.25 * arriving;
            score += if same_zone { SAME_ZONE_COST } else { 0.0 };
            score += if target.is_cold() { 1.0 } else { 0.0 };
            // Another target is better, but the only open one is tried again.
            score += if failed_here { 100.0 } else { 0.0 };
            let mut victim = None;
            if self.residency.of_target(name).count() >= target.spec.adapter_slots as usize {
                let Some((used, found)) = self.victim_on(name, adapter, reason, demand) else {
                    continue;
                };
                score += 0.5 + used.min(10.0) * 0.1;
                victim = Some(found);
            }
            if best.as_ref().is_none_or(|(least, _, _)| score < *least) {
                best = Some((score, name.clone(), victim));
            }
        }
        best.map(|(_, target, victim)| (target, victim))
    }

    /// The least used generation of a target that may be evicted for `newcomer`.
    pub(super) fn victim_on(
        &self,
        target: &TargetName,
        newcomer: &AdapterVersion,
        reason: LoadReason,
        demand: &BTreeMap<AdapterVersion, impl Sized>,
    ) -> Option<(f64, String)> {
        let wanted = self.usage.expected_use(newcomer, self.now);
        let least_gain = match reason {
            LoadReason::Missing { since } if self.now.since(since) >= PATIENCE => f64::INFINITY,
            LoadReason::Missing { .. } | LoadReason::Replica | LoadReason::Relief => wanted,
            LoadReason::Ahead | LoadReason::Spread => wanted / AHEAD_FACTOR,
        };
        let idle = self.residency.of_target(target).filter(|(_, generation)| {
            generation.state == GenerationState::Ready
                && generation.pins == 0
                && self.takeover.may_evict(generation.inherited, self.now)
        });
        let mut victims: Vec<(f64, &String)> = Vec::new();
        for (name, generation) in idle {
            let used = match &generation.adapter {
                Some(adapter) if demand.contains_key(adapter) => continue,
                Some(adapter) => self.usage.expected_use(adapter, self.now),
                None => 0.0,
            };
            if used < least_gain {
                victims.push((used, name));
            }
        }
        let least = victims.into_iter().min_by(|a, b| a.0.total_cmp(&b.0));
        least.map(|(used, name)| (used, name.clone()))
    }

    /// Loads in flight to targets on their way back.
    fn returning_loads(&self) -> u32 {
        let arriving = self.residency.iter().filter(|(_, g)| g.is_arriving());
        let returning = arriving.filter(|(_, generation)| {
            let target = self.targets.get(&generation.target);
            target.is_some_and(|target| target.returning)
        });
        u32::try_from(returning.count()).unwrap_or(u32::MAX)
    }

    fn returning_limit(&self) -> u32 {
        (self.config.loads_in_flight / 2).max(1)
    }

    fn plan(&mut self, adapter: AdapterVersion, target: TargetName, victim: Option<String>) {
        let name = loop {
            self.next_number += 1;
            let name = format!("{adapter}#{}-{}", self.fence, self.next_number);
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
            sequence: self.next_number,
            pins: 0,
            since: self.now,
            inherited: false,
        };
        self.residency.insert(name, generation);
    }

    /// Orders the loads whose places are free, oldest plan first, as the store's rate allows.
    fn start_planned(&mut self) {
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
            let open = self.targets.get(&target).is_some_and(TargetState::is_open);
            let Some(adapter) = adapter.filter(|_| open) else {
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

    /// Marks a generation as draining and orders its unload, if it has no pins.
    pub(super) fn unload(&mut self, name: &str) {
        let Some(generation) = self.residency.get_mut(name) else {
            return;
        };
        let order_sent = generation.pins == 0;
        generation.state = GenerationState::Draining { order_sent };
        if order_sent {
            generation.since = self.now;
            self.actions.push(PoolAction::Unload {
                target: generation.target.clone(),
                generation: name.to_owned(),
            });
        }
    }

    pub(super) fn load_ended(&mut self, name: &str, loaded: bool) {
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
            state.orders_ended = self.now;
        }
        if loaded {
            generation.state = GenerationState::Ready;
            generation.since = self.now;
            self.planner.failures.remove(&adapter);
            return;
        }
        // The load may still take effect later, so that the name is unloaded in any case.
        self.unload(name);
        self.note_load_failure(&adapter, target);
    }

    fn note_load_failure(&mut self, adapter: &AdapterVersion, target: TargetName) {
        let open = self.targets.iter().filter(|(_, t)| t.is_open());
        let open: Vec<TargetName> = open.map(|(name, _)| name.clone()).collect();
        let failures = self.planner.failures.entry(adapter.clone()).or_default();
        failures.targets.insert(target);
        if open.iter().all(|name| failures.targets.contains(name)) {
            failures.targets.clear();
        }
        let pause = FIRST_BACKOFF * 2_u32.pow(failures.count.min(8));
        failures.count += 1;
        failures.next_try = self.now + pause.min(LONGEST_BACKOFF);
        if failures.count < REFUSE_FAILURES || self.open_places(adapter) > 0 {
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

    pub(super) fn unload_ended(&mut self, name: &str, gone: bool) {
        let Some(generation) = self.residency.get_mut(name) else {
            return;
        };
        if generation.state != (GenerationState::Draining { order_sent: true }) {
            return;
        }
        if let Some(target) = self.targets.get_mut(&generation.target) {
            target.orders_ended = self.now;
        }
        if gone {
            self.forget_generation(name);
            return;
        }
        // A listing that still shows the generation repeats the order.
        generation.state = GenerationState::Draining { order_sent: false };
        self.abandon_plans_on(name);
    }

    /// Drops the plans that wait for `victim`; their adapters are planned elsewhere.
    fn abandon_plans_on(&mut self, victim: &str) {
        let plans = self.planner.victims.iter().filter(|(_, v)| *v == victim);
        let plans: Vec<String> = plans.map(|(name, _)| name.clone()).collect();
        for name in plans {
            self.planner.victims.remove(&name);
            self.residency.remove(&name);
        }
    }

    /// Forgets a generation that is no longer on its target; a plan that waits for its place may
    /// go on.
    pub(super) fn forget_generation(&mut self, name: &str) {
        self.residency.remove(name);
        self.planner
            .victims
            .retain(|plan, victim| plan != name && victim != name);
    }
}
