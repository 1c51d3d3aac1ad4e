//! A simulation of the coordinator's environment: targets that restart without adapters, turn cold
//! and fail loads; nodes that crash and repeat messages; late, lost and duplicated messages.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::coordinator::PoolCoordinator;
use super::event::{
    AcquireKey, AcquireRequest, ListedGeneration, PoolAction, PoolAnswer, PoolConfig, PoolEvent,
    TargetReport, TargetSpec,
};
use crate::clock::Timestamp;
use crate::ids::{AdapterVersion, FencingToken, NodeName, TargetName};

pub(super) const STEP: Duration = Duration::from_millis(25);
pub(super) const ADMISSION_WAIT: Duration = Duration::from_secs(5);
pub(super) const LOAD_TIME: Duration = Duration::from_millis(250);
pub(super) const LOADS_IN_FLIGHT: u32 = 3;
pub(super) const LOADS_PER_SECOND: f64 = 8.0;
pub(super) const TARGETS: usize = 4;
pub(super) const REQUEST_LIMIT: u32 = 8;
/// The number of completed answers after which a cold target is warm.
pub(super) const COLD_ANSWERS: u32 = 4;

#[derive(Debug, Clone, Copy)]
pub(super) enum InjectedFault {
    /// A target restarts cold and without adapters.
    Restart(usize),
    /// A target turns cold, but keeps its adapters.
    TurnCold(usize),
    /// The next four loads on a target fail.
    FailLoads(usize),
    /// A target does not answer for 4 s.
    Unreachable(usize),
    /// The zone of a target goes out of service, or returns to it.
    FlipZone(usize),
    /// A node crashes, and with it its requests.
    KillNode(usize),
    /// The coordinator ends. Its successor starts a second later, without a handover.
    Takeover,
    /// The node that holds the lease crashes, and with it the requests of its own callers.
    CrashHolder(usize),
}

#[derive(Debug, Clone)]
pub(super) enum SimMessage {
    ToCoordinator(PoolEvent),
    ToTarget(PoolAction),
    ToNode(AcquireKey, PoolAnswer),
    /// A target completes its answer.
    Finish(AcquireKey),
}

#[derive(Debug, Default)]
pub(super) struct SimTarget {
    pub(super) boot: u64,
    pub(super) cold_answers_left: u32,
    pub(super) failing_loads: u32,
    pub(super) unreachable_until: Timestamp,
    pub(super) adapters: BTreeSet<String>,
    /// The generation of each running request.
    pub(super) running: BTreeMap<AcquireKey, String>,
    /// Whether the newest probe report that the coordinator received said the target is cold.
    pub(super) known_cold: bool,
    pub(super) asked_at: Timestamp,
}

#[derive(Debug)]
pub(super) struct SimRequest {
    pub(super) request: AcquireRequest,
    pub(super) placement: Option<(TargetName, String)>,
    pub(super) done: bool,
    pub(super) next_send: Timestamp,
}

#[derive(Debug)]
pub(super) struct SimNode {
    pub(super) name: NodeName,
    pub(super) boot: u64,
    pub(super) alive: bool,
    pub(super) serial: u64,
    pub(super) sequence: u64,
    pub(super) requests: BTreeMap<AcquireKey, SimRequest>,
}

#[derive(Debug)]
pub(super) struct PoolSimulation {
    pub(super) now: Timestamp,
    pub(super) rng: StdRng,
    pub(super) coordinator: PoolCoordinator,
    pub(super) fence: u64,
    /// While set, there is no coordinator; its successor starts at this time.
    pub(super) takeover_at: Option<Timestamp>,
    pub(super) config: PoolConfig,
    pub(super) targets: BTreeMap<TargetName, SimTarget>,
    pub(super) nodes: Vec<SimNode>,
    /// By due time and number, each with the fencing token under which it was sent.
    pub(super) messages: BTreeMap<(Timestamp, u64), (u64, SimMessage)>,
    pub(super) messages_sent: u64,
    /// The adapter in each generation's load command.
    pub(super) generation_adapters: BTreeMap<String, AdapterVersion>,
    pub(super) open_loads: BTreeSet<String>,
    pub(super) load_times: Vec<Timestamp>,
    /// The requests that the current coordinator has yet to answer, with their deadlines.
    pub(super) unanswered: BTreeMap<AcquireKey, Timestamp>,
    /// The target and generation of each pinned request, with the coordinator's fencing token,
    /// until the request ends.
    pub(super) pinned: BTreeMap<AcquireKey, (TargetName, String, u64)>,
    /// The target and generation of every pin ever granted, by fencing token and pin id.
    pub(super) granted_placements: BTreeMap<(u64, u64), (TargetName, String)>,
    pub(super) arrivals: bool,
    pub(super) completed: u64,
}

pub(super) fn target_name(index: usize) -> TargetName {
    format!("target-{index}").parse().unwrap()
}

pub(super) fn adapter(index: usize) -> AdapterVersion {
    format!("adapter-{index}@v1").parse().unwrap()
}

pub(super) fn spec(index: usize) -> TargetSpec {
    TargetSpec {
        zone: format!("zone-{}", index % 2).parse().unwrap(),
        in_service: true,
        adapter_slots: 3,
        request_limit: REQUEST_LIMIT,
    }
}

impl PoolSimulation {
    pub(super) fn new(seed: u64) -> Self {
        let targets = (0..TARGETS).map(|index| (target_name(index), spec(index)));
        let config = PoolConfig {
            targets: targets.collect(),
            loads_in_flight: LOADS_IN_FLIGHT,
            loads_per_second: LOADS_PER_SECOND,
        };
        let node = |index: usize| SimNode {
            name: format!("node-{index}").parse().unwrap(),
            boot: index as u64,
            alive: true,
            serial: 0,
            sequence: 0,
            requests: BTreeMap::new(),
        };
        let now = Timestamp::from_millis(1000);
        let fence = FencingToken::from(1);
        let coordinator = PoolCoordinator::new(fence, now, StdRng::seed_from_u64(seed));
        let cold = |name: &TargetName| {
            let target = SimTarget {
                boot: 1,
                cold_answers_left: COLD_ANSWERS,
                ..SimTarget::default()
            };
            (name.clone(), target)
        };
        let mut simulation = Self {
            now,
            rng: StdRng::seed_from_u64(seed ^ 0x5eed),
            coordinator,
            fence: 1,
            takeover_at: None,
            targets: config.targets.keys().map(cold).collect(),
            config,
            nodes: (0..3).map(node).collect(),
            messages: BTreeMap::new(),
            messages_sent: 0,
            generation_adapters: BTreeMap::new(),
            open_loads: BTreeSet::new(),
            load_times: Vec::new(),
            unanswered: BTreeMap::new(),
            pinned: BTreeMap::new(),
            granted_placements: BTreeMap::new(),
            arrivals: true,
            completed: 0,
        };
        simulation.configure_coordinator();
        simulation
    }

    pub(super) fn configure_coordinator(&mut self) {
        self.handle_event(PoolEvent::Configured(self.config.clone()));
        let names = self.nodes.iter().map(|node| node.name.clone()).collect();
        self.handle_event(PoolEvent::NodesKnown(names));
    }

    /// Advances the simulation by one time step.
    pub(super) fn step(&mut self) {
        self.now = self.now + STEP;
        if self.takeover_at.is_some_and(|until| self.now >= until) {
            self.takeover_at = None;
            self.fence += 1;
            self.drop_unreceived_pins();
            let seed = StdRng::seed_from_u64(self.rng.random());
            let fence = FencingToken::from(self.fence);
            self.coordinator = PoolCoordinator::new(fence, self.now, seed);
            self.configure_coordinator();
        }
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (sent_fence, message) = entry.remove();
            self.deliver(sent_fence, message);
        }
        self.handle_event(PoolEvent::Tick);
        for index in 0..self.nodes.len() {
            self.step_node(index);
        }
        self.check_answers();
    }

    /// Sends a message that may be delayed or duplicated.
    pub(super) fn send(&mut self, message: SimMessage) {
        let delay = match self.rng.random_range(0..10) {
            0 => self.rng.random_range(50..600),
            _ => self.rng.random_range(0..10),
        };
        self.send_after(Duration::from_millis(delay), message.clone());
        let repeatable = !matches!(message, SimMessage::ToCoordinator(PoolEvent::Tick));
        if repeatable && self.rng.random_range(0..20) == 0 {
            let delay = self.rng.random_range(0..3000);
            self.send_after(Duration::from_millis(delay), message);
        }
    }

    pub(super) fn send_after(&mut self, delay: Duration, message: SimMessage) {
        self.messages_sent += 1;
        let entry = (self.now + delay, self.messages_sent);
        self.messages.insert(entry, (self.fence, message));
    }

    pub(super) fn deliver(&mut self, sent_fence: u64, message: SimMessage) {
        match message {
            SimMessage::ToCoordinator(event) => {
                if sent_fence == self.fence && self.takeover_at.is_none() {
                    self.handle_event(event);
                }
            }
            SimMessage::ToTarget(command) => self.execute_command(command),
            SimMessage::ToNode(key, answer) => {
                if sent_fence == self.fence {
                    self.receive_answer(&key, answer);
                }
            }
            SimMessage::Finish(key) => self.finish(&key),
        }
    }

    /// Passes an event to the coordinator, checks its actions and sends them on.
    pub(super) fn handle_event(&mut self, event: PoolEvent) {
        if self.takeover_at.is_some() {
            return;
        }
        match &event {
            PoolEvent::Acquire(request) => {
                let key = request.key.clone();
                self.unanswered.entry(key).or_insert(request.deadline);
            }
            PoolEvent::Release { key, .. } => {
                self.unanswered.remove(key);
            }
            PoolEvent::LoadEnded { generation, .. } => {
                self.open_loads.remove(generation);
            }
            PoolEvent::Probed { target, report } => self.record_probe(target, report.as_ref()),
            _ => {}
        }
        for action in self.coordinator.handle(self.now, event) {
            self.check_action(&action);
            match action {
                PoolAction::Answer { key, answer } => self.send(SimMessage::ToNode(key, answer)),
                command => self.send(SimMessage::ToTarget(command)),
            }
        }
    }

    pub(super) fn execute_command(&mut self, command: PoolAction) {
        match command {
            PoolAction::Load {
                target, generation, ..
            } => {
                let state = self.targets.get_mut(&target).unwrap();
                let fails = state.failing_loads > 0 || self.now < state.unreachable_until;
                state.failing_loads = state.failing_loads.saturating_sub(1);
                if !fails {
                    state.adapters.insert(generation.clone());
                }
                let ended = PoolEvent::LoadEnded {
                    generation,
                    loaded: !fails,
                };
                self.send_after(LOAD_TIME, SimMessage::ToCoordinator(ended));
            }
            PoolAction::Unload { target, generation } => {
                let state = self.targets.get_mut(&target).unwrap();
                let used = state.running.values().any(|other| *other == generation);
                assert!(!used, "{generation} was unloaded during a running request");
                let granted = self.pinned.values().any(|(_, name, _)| *name == generation);
                assert!(!granted, "{generation} was unloaded while it was pinned");
                let gone = self.now >= state.unreachable_until;
                if gone {
                    state.adapters.remove(&generation);
                }
                let ended = PoolEvent::UnloadEnded { generation, gone };
                self.send(SimMessage::ToCoordinator(ended));
            }
            PoolAction::Probe { target } => self.answer_probe(target),
            PoolAction::Answer { .. } => {}
        }
    }

    pub(super) fn answer_probe(&mut self, target: TargetName) {
        let state = &self.targets[&target];
        let listed = state.adapters.iter().map(|name| ListedGeneration {
            name: name.clone(),
            adapter: self.generation_adapters.get(name).cloned(),
        });
        let report = TargetReport {
            asked_at: self.now,
            boot: state.boot,
            cold: state.cold_answers_left > 0,
            generations: listed.collect(),
        };
        let reached = self.now >= state.unreachable_until;
        let report = reached.then_some(report);
        let probed = PoolEvent::Probed { target, report };
        self.send(SimMessage::ToCoordinator(probed));
    }
}
