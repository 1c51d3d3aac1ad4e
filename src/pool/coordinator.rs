//! The pool's coordinator: a state machine that admits requests, assigns them to targets and issues
//! load commands. Clock and random source are passed in; the service around it does the I/O.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

use super::event::{
    AcquireKey, AcquireRequest, PoolAction, PoolAnswer, PoolConfig, PoolEvent, RefusalReason,
    ReleaseOutcome,
};
use super::loads::LoadPlanner;
use super::queue::FairQueue;
use super::report::TakeoverState;
use super::residency::{GenerationState, Pin, PinTable, ResidencyTable, UsageTable};
use super::stats::PoolStats;
use super::target::TargetState;
use crate::clock::Timestamp;
use crate::collections::{FastMap, FastSet};
use crate::ids::{AdapterVersion, FencingToken, TargetName};

/// The hard deadline of a pinned request; engines and nodes enforce it.
pub(super) const HARD_DEADLINE: Duration = Duration::from_secs(120);
/// A waiting request is refused this long before its deadline, so that the answer arrives in time.
const REFUSAL_MARGIN: Duration = Duration::from_millis(50);
/// How long ended requests are kept, to answer late repeats of their messages.
const ENDED_RETENTION: Duration = Duration::from_secs(20);
/// The interval between probes of one target.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The assumed mean time of a request on a target until the first request completes.
const INITIAL_HOLD_TIME: Duration = Duration::from_secs(1);
/// The weight of a new sample in the moving average of the time on a target.
const HOLD_TIME_WEIGHT: f64 = 0.05;
/// The bonus for a target that recently served the request's prefix, as a fraction of the target's
/// limit. It outweighs small differences in load, but never selects a much busier target.
const PREFIX_BONUS: f64 = 0.2;
/// The cost of the target on which the previous attempt failed. It exceeds the cost of any other
/// target.
const AVOID_PENALTY: f64 = 100.0;

/// The coordinator of one pool, under one lease.
#[derive(Debug)]
pub struct PoolCoordinator {
    pub(super) fence: FencingToken,
    pub(super) now: Timestamp,
    pub(super) rng: StdRng,
    pub(super) config: PoolConfig,
    pub(super) targets: BTreeMap<TargetName, TargetState>,
    pub(super) residency: ResidencyTable,
    pub(super) pins: PinTable,
    pub(super) queue: FairQueue,
    pub(super) usage: UsageTable,
    pub(super) planner: LoadPlanner,
    pub(super) takeover: TakeoverState,
    pub(super) last_sequence: u64,
    /// Ended requests, each with the reason that answers a repeat of its acquire message.
    ended: FastMap<AcquireKey, (Timestamp, RefusalReason)>,
    pub(super) mean_hold_ms: f64,
    next_cleanup: Timestamp,
    pub(super) actions: Vec<PoolAction>,
    pub(super) stats: PoolStats,
}

impl PoolCoordinator {
    pub fn new(fence: FencingToken, now: Timestamp, rng: StdRng) -> Self {
        Self {
            fence,
            now,
            rng,
            config: PoolConfig::default(),
            targets: BTreeMap::new(),
            residency: ResidencyTable::default(),
            pins: PinTable::new(),
            queue: FairQueue::default(),
            usage: UsageTable::default(),
            planner: LoadPlanner::default(),
            takeover: TakeoverState::new(now),
            last_sequence: 0,
            ended: FastMap::default(),
            mean_hold_ms: INITIAL_HOLD_TIME.as_secs_f64() * 1000.0,
            next_cleanup: now,
            actions: Vec::new(),
            stats: PoolStats::default(),
        }
    }

    /// Applies one event and returns the resulting actions.
    pub fn handle(&mut self, now: Timestamp, event: PoolEvent) -> Vec<PoolAction> {
        self.now = self.now.max(now);
        self.stats.starts.clear();
        match event {
            PoolEvent::Configured(config) => self.configure(config),
            PoolEvent::Acquire(request) => self.acquire(request),
            PoolEvent::Release { key, outcome } => self.release(&key, outcome),
            PoolEvent::LoadEnded { generation, loaded } => {
                self.apply_load_result(&generation, loaded)
            }
            PoolEvent::UnloadEnded { generation, gone } => {
                self.apply_unload_result(&generation, gone)
            }
            PoolEvent::Probed { target, report } => self.apply_probe(&target, report),
            PoolEvent::Reported(report) => self.apply_report(report),
            PoolEvent::NodesKnown(nodes) => self.takeover.expect_nodes(nodes),
            PoolEvent::Tick => self.tick(),
        }
        self.refuse_expired();
        if self.takeover.admits(self.now) {
            self.dispatch();
            self.plan_loads();
        }
        std::mem::take(&mut self.actions)
    }

    /// The number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// The number of pinned requests.
    pub fn pinned(&self) -> usize {
        self.pins.len()
    }

    /// The mean time of a request on a target.
    pub(super) fn mean_hold_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean_hold_ms / 1000.0)
    }

    /// The current limit on the pins of each target.
    pub fn limits(&self) -> BTreeMap<TargetName, u32> {
        let targets = self.targets.iter();
        targets.map(|(name, t)| (name.clone(), t.limit())).collect()
    }

    fn configure(&mut self, config: PoolConfig) {
        for (name, spec) in &config.targets {
            match self.targets.get_mut(name) {
                Some(target) => target.update_spec(spec.clone(), self.now),
                None => {
                    let target = TargetState::new(spec.clone(), self.now);
                    self.targets.insert(name.clone(), target);
                }
            }
        }
        for (name, target) in &mut self.targets {
            if !config.targets.contains_key(name) {
                target.spec.in_service = false;
            }
        }
        self.config = config;
    }

    fn acquire(&mut self, request: AcquireRequest) {
        let key = request.key.clone();
        if let Some(pin) = self.pins.get(&key) {
            let answer = pin.answer(self.fence);
            self.actions.push(PoolAction::Answer { key, answer });
            return;
        }
        if let Some((_, reason)) = self.ended.get(&key) {
            let reason = *reason;
            self.refuse(key, reason);
            return;
        }
        if self.queue.contains(&key) {
            return;
        }
        self.usage.record(&request.adapter, self.now);
        let adapter = request.adapter.clone();
        let wait = request.deadline.since(self.now);
        self.queue.push(request, self.now);
        self.bound_queue(&adapter, wait);
    }

    pub(super) fn refuse(&mut self, key: AcquireKey, reason: RefusalReason) {
        self.ended.insert(key.clone(), (self.now, reason));
        let retry_after = Duration::from_secs(1);
        let answer = PoolAnswer::Refused {
            reason,
            retry_after,
        };
        self.actions.push(PoolAction::Answer { key, answer });
    }

    fn release(&mut self, key: &AcquireKey, outcome: ReleaseOutcome) {
        let ended = (self.now, RefusalReason::Released);
        self.ended.entry(key.clone()).or_insert(ended);
        if self.queue.remove(key).is_some() {
            return;
        }
        let Some(pin) = self.remove_pin(key) else {
            return;
        };
        let hold_ms = self.now.since(pin.since).as_secs_f64() * 1000.0;
        let Some(target) = self.targets.get_mut(&pin.target) else {
            return;
        };
        match outcome {
            ReleaseOutcome::Completed {
                tokens,
                first_token,
            } => {
                self.mean_hold_ms += HOLD_TIME_WEIGHT * (hold_ms - self.mean_hold_ms);
                target.record_completion(self.now, first_token);
                let unused = pin.tokens.saturating_sub(tokens);
                self.queue.refund(&pin.account, unused);
            }
            ReleaseOutcome::ConnectFailed => {
                target.record_connect_failure(self.now);
                target.next_probe = self.now;
                self.queue.refund(&pin.account, pin.tokens);
            }
            ReleaseOutcome::BrokeOff => {
                target.record_broken_answer(self.now);
                target.next_probe = self.now;
            }
            ReleaseOutcome::NotLoaded => {
                target.next_probe = self.now;
                self.queue.refund(&pin.account, pin.tokens);
                self.retire_generation(&pin.generation);
            }
            ReleaseOutcome::Cancelled => {}
        }
    }

    /// Stops pinning requests to a generation that its target reports as not loaded. The generation
    /// is drained before it is unloaded, since the target may be wrong and still run requests on
    /// it.
    fn retire_generation(&mut self, name: &str) {
        let generation = self.residency.get(name);
        if generation.is_some_and(|generation| generation.state == GenerationState::Ready) {
            self.unload(name);
        }
    }

    /// Removes a pin and frees its slot.
    pub(super) fn remove_pin(&mut self, key: &AcquireKey) -> Option<Pin> {
        let pin = self.pins.remove(key)?;
        if let Some(target) = self.targets.get_mut(&pin.target) {
            target.in_flight = target.in_flight.saturating_sub(1);
            target.suspects = target.suspects.saturating_sub(u32::from(pin.suspect));
        }
        if let Some(generation) = self.residency.get_mut(&pin.generation) {
            generation.pins = generation.pins.saturating_sub(1);
        }
        Some(pin)
    }

    /// Adds a pin and counts it on its target and generation.
    pub(super) fn add_pin(&mut self, key: AcquireKey, pin: Pin) {
        if let Some(target) = self.targets.get_mut(&pin.target) {
            target.in_flight += 1;
            target.suspects += u32::from(pin.suspect);
        }
        if let Some(generation) = self.residency.get_mut(&pin.generation) {
            generation.pins += 1;
        }
        self.pins.insert(key, pin);
    }

    pub(super) fn is_ended(&self, key: &AcquireKey) -> bool {
        self.ended.contains_key(key)
    }

    fn refuse_expired(&mut self) {
        for expired in self.queue.take_expired(self.now + REFUSAL_MARGIN) {
            self.refuse(expired.request.key, RefusalReason::DeadlinePassed);
        }
    }

    /// Starts every waiting request for which a slot is free, the account with the least service
    /// first.
    fn dispatch(&mut self) {
        let mut blocked = FastSet::default();
        while let Some((key, placements)) = self.next_admissible(&mut blocked) {
            let index = self.rng.random_range(0..placements.len());
            let (target, generation) = placements[index].clone();
            self.start(&key, target, generation);
        }
    }

    /// The first waiting request that can start, with its best placements. Adapters without a free
    /// slot are added to `blocked`. A suspect request blocks no adapter, since others may use the
    /// slots that it may not.
    fn next_admissible(
        &self,
        blocked: &mut FastSet<AdapterVersion>,
    ) -> Option<(AcquireKey, Vec<(TargetName, String)>)> {
        for account in self.queue.accounts_by_service() {
            for waiting in self.queue.waiting_of(&account) {
                let request = &waiting.request;
                if blocked.contains(&request.adapter) {
                    continue;
                }
                let placements = self.best_placements(request);
                if !placements.is_empty() {
                    return Some((request.key.clone(), placements));
                }
                if !request.suspect {
                    blocked.insert(request.adapter.clone());
                }
            }
        }
        None
    }

    /// The placements of a request with the lowest [`placement_cost`], as target and generation,
    /// among the targets that have its adapter and a free slot.
    pub(super) fn best_placements(&self, request: &AcquireRequest) -> Vec<(TargetName, String)> {
        let mut best: Vec<(TargetName, String)> = Vec::new();
        let mut best_cost = f64::INFINITY;
        for (name, generation) in self.residency.of_adapter(&request.adapter) {
            if generation.state != GenerationState::Ready {
                continue;
            }
            let Some(target) = self.targets.get(&generation.target) else {
                continue;
            };
            if !target.has_free_slot() || (request.suspect && target.suspects > 0) {
                continue;
            }
            let cost = placement_cost(&generation.target, target, request);
            if cost < best_cost {
                best_cost = cost;
                best.clear();
            }
            if cost <= best_cost {
                best.push((generation.target.clone(), name.clone()));
            }
        }
        best
    }

    fn start(&mut self, key: &AcquireKey, target: TargetName, generation: String) {
        let Some(waiting) = self.queue.remove(key) else {
            return;
        };
        let request = waiting.request;
        self.record_start(&request, waiting.since, &target, &generation);
        self.queue.charge(&request.account, request.tokens);
        if let Some(state) = self.targets.get_mut(&target) {
            state.record_prefix(request.prefix);
        }
        self.last_sequence += 1;
        let pin = Pin {
            id: self.last_sequence,
            target,
            generation,
            account: request.account,
            tokens: request.tokens,
            suspect: request.suspect,
            streaming: false,
            since: self.now,
            hard_deadline: self.now + HARD_DEADLINE,
        };
        let (key, answer) = (request.key, pin.answer(self.fence));
        self.add_pin(key.clone(), pin);
        self.actions.push(PoolAction::Answer { key, answer });
    }

    fn tick(&mut self) {
        let now = self.now;
        for (name, target) in &mut self.targets {
            target.step_ramp(now);
            if now >= target.next_probe {
                target.next_probe = now + PROBE_INTERVAL;
                let target = name.clone();
                self.actions.push(PoolAction::Probe { target });
            }
        }
        let expired = self.pins.iter().filter(|(_, pin)| now >= pin.hard_deadline);
        let expired: Vec<AcquireKey> = expired.map(|(key, _)| key.clone()).collect();
        for key in expired {
            self.remove_pin(&key);
        }
        if now >= self.next_cleanup {
            self.next_cleanup = now + PROBE_INTERVAL;
            self.ended
                .retain(|_, (at, _)| now.since(*at) < ENDED_RETENTION);
            self.usage.remove_unused(now);
            self.remove_unconfigured_targets();
        }
    }

    fn remove_unconfigured_targets(&mut self) {
        let removable = |(name, target): &(&TargetName, &TargetState)| {
            target.in_flight == 0 && !self.config.targets.contains_key(*name)
        };
        let removable = self.targets.iter().filter(removable);
        let removable: Vec<TargetName> = removable.map(|(name, _)| name.clone()).collect();
        for name in removable {
            self.targets.remove(&name);
            let generations = self.residency.of_target(&name);
            let generations: Vec<String> = generations.map(|(name, _)| name.clone()).collect();
            for generation in generations {
                self.remove_generation(&generation);
            }
        }
    }
}

/// The cost of a placement; lower is better. Cold targets cost more than all warm ones. For a
/// suspect request it is the reverse, so that a crash affects few other requests.
fn placement_cost(name: &TargetName, target: &TargetState, request: &AcquireRequest) -> f64 {
    let bonus = match target.has_prefix(request.prefix) {
        true => PREFIX_BONUS,
        false => 0.0,
    };
    let avoided = request.avoid.as_ref() == Some(name);
    let avoid_penalty = if avoided { AVOID_PENALTY } else { 0.0 };
    let ramp_cost = match target.is_cold() == request.suspect {
        true => 0.0,
        false => 10.0,
    };
    ramp_cost + avoid_penalty + target.load() - bonus
}

impl Pin {
    fn answer(&self, fence: FencingToken) -> PoolAnswer {
        PoolAnswer::Pinned {
            pin: self.id,
            target: self.target.clone(),
            generation: self.generation.clone(),
            fence,
        }
    }
}
