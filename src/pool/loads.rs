//! Loads and evictions: what is loaded next, where, and what has to go for it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::coordinator::PoolCoordinator;
use super::event::{PoolAction, RefusalReason};
use super::residency::{Generation, GenerationState};
use super::target::TargetState;
use crate::clock::Timestamp;
use crate::collections::{FastMap, FastSet};
use crate::ids::{AccountName, AdapterVersion, TargetName};

/// The pause after the first failed load of an adapter; it doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(250);
const LONGEST_BACKOFF: Duration = Duration::from_secs(8);
/// After this many failed loads in a row the adapter's waiting requests are refused.
const REFUSE_FAILURES: u32 = 3;
/// What a further replica costs, which must save more waiting than this. It is more than the 0.25 s
/// of its own load, since the adapter that goes for it may have to be loaded again.
const REPLICA_COST: Duration = Duration::from_secs(2);
/// An adapter that requests have waited for this long may replace a more used one. Without this,
/// a rarely used adapter could never get a place among popular ones.
const PATIENCE: Duration = Duration::from_secs(1);
/// The expected use from which an adapter without waiting requests is loaded ahead.
const AHEAD_USE: f64 = 2.0;
/// An adapter that is loaded ahead must be used this many times more than its victim.
const AHEAD_FACTOR: f64 = 2.0;

/// Failed loads of one adapter.
#[derive(Debug, Default)]
struct LoadFailures {
    count: u32,
    next_try: Timestamp,
    targets: FastSet<TargetName>,
}

/// The pace and the failures of loads.
#[derive(Debug, Default)]
pub(super) struct LoadPlanner {
    /// No load starts before this time.
    next_load: Timestamp,
    failures: FastMap<AdapterVersion, LoadFailures>,
    /// The victims whose places planned generations wait for, by the planned name.
    victims: BTreeMap<String, String>,
}

/// The requests that wait for one adapter.
#[derive(Debug, Clone)]
struct AdapterDemand {
    account: AccountName,
    tokens: u64,
    requests: u32,
    oldest: Timestamp,
}

/// Why an adapter is to be loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoadReason {
    /// Requests wait, and no open target has the adapter.
    Missing { since: Timestamp },
    /// Requests wait longer than a load takes.
    Replica,
    /// Requests are expected.
    Ahead,
}

impl PoolCoordinator {
    /// Starts planned loads at the store's rate and plans new ones.
    pub(super) fn plan_loads(&mut self) {
        self.start_planned();
        let limit = self.config.loads_in_flight as usize;
        if self.now < self.planner.next_load || self.residency.loads_in_flight() >= limit {
            return;
        }
        let demand = self.demand();
        for (adapter, reason) in self.wanted(&demand) {
            if self.residency.loads_in_flight() >= limit {
                break;
            }
            if let Some((target, victim)) = self.load_place(&adapter, reason, &demand) {
                let account = demand.get(&adapter).map(|demand| demand.account.clone());
                self.plan(adapter, target, victim);
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

    fn demand(&self) -> BTreeMap<AdapterVersion, AdapterDemand> {
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

    /// The adapters to load, most urgent first.
    fn wanted(
        &self,
        demand: &BTreeMap<AdapterVersion, AdapterDemand>,
    ) -> Vec<(AdapterVersion, LoadReason)> {
        let mut missing = Vec::new();
        let mut replicas = Vec::new();
        for (adapter, need) in demand {
            if !self.may_load(adapter) {
                continue;
            }
            let age = self.now.since(need.oldest).as_millis() as f64;
            let urgency = need.tokens as f64 * (age + 100.0);
            let places = self.open_places(adapter);
            if places == 0 {
                let turn = self.queue.load_turn(&need.account);
                missing.push((turn, urgency, adapter, need.oldest));
            } else if self.replica_pays(need.requests, places) {
                replicas.push((urgency, adapter));
            }
        }
        missing.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)));
        replicas.sort_by(|a, b| b.0.total_cmp(&a.0));
        let missing = missing
            .into_iter()
            .map(|(_, _, adapter, since)| (adapter.clone(), LoadReason::Missing { since }));
        let mut wanted: Vec<_> = missing.collect();
        let replicas = replicas.into_iter();
        wanted.extend(replicas.map(|(_, adapter)| (adapter.clone(), LoadReason::Replica)));
        if wanted.is_empty() {
            let popular = self.usage.popular(AHEAD_USE, self.now);
            let absent = popular
                .into_iter()
                .filter(|a| self.may_load(a) && self.open_places(a) == 0);
            wanted.extend(absent.take(1).map(|adapter| (adapter, LoadReason::Ahead)));
        }
        wanted
    }

    /// Whether no load of the adapter is in flight on an open target and its last failure is long
    /// enough ago.
    fn may_load(&self, adapter: &AdapterVersion) -> bool {
        let failures = self.planner.failures.get(adapter);
        let rested = failures.is_none_or(|failures| self.now >= failures.next_try);
        let mut generations = self.residency.of_adapter(adapter);
        let arriving = generations.any(|(_, generation)| {
            let target = self.targets.get(&generation.target);
            generation.is_arriving() && target.is_some_and(TargetState::is_open)
        });
        rested && !arriving
    }

    /// The places for requests of the adapter on open targets.
    fn open_places(&self, adapter: &AdapterVersion) -> u32 {
        let ready = self
            .residency
            .of_adapter(adapter)
            .filter(|(_, generation)| generation.state == GenerationState::Ready);
        let targets = ready.filter_map(|(_, generation)| self.targets.get(&generation.target));
        let open = targets.filter(|target| target.is_open());
        open.map(TargetState::limit).sum()
    }

    fn replica_pays(&self, waiting: u32, places: u32) -> bool {
        let rounds = f64::from(waiting) / f64::from(places.max(1));
        rounds * self.mean_hold().as_secs_f64() > REPLICA_COST.as_secs_f64()
    }

    /// The best target for a load, with the generation that has to go for it.
    fn load_place(
        &self,
        adapter: &AdapterVersion,
        reason: LoadReason,
        demand: &BTreeMap<AdapterVersion, AdapterDemand>,
    ) -> Option<(TargetName, Option<String>)> {
        let failed = self.planner.failures.get(adapter).map(|f| &f.targets);
        let mut best = None;
        for (name, target) in &self.targets {
            let has = |(_, generation): (&String, &Generation)| generation.target == *name;
            let failed_here = failed.is_some_and(|targets| targets.contains(name));
            if !target.is_open() || self.residency.of_adapter(adapter).any(has) {
                continue;
            }
            if target.returning && self.returning_loads() >= self.returning_limit() {
                continue;
            }
            let spread = self.residency.of_target(name);
            let arriving = spread.filter(|(_, g)| g.is_arriving()).count() as f64;
            let mut score = target.load() + 0.25 * arriving;
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
            LoadReason::Missing { .. } | LoadReason::Replica => wanted,
            LoadReason::Ahead => wanted / AHEAD_FACTOR,
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
