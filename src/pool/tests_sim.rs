//! A small simulated site around the coordinator: targets that restart empty, turn cold and fail
//! loads, nodes that die and repeat messages, and messages that are late, lost or duplicated.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::coordinator::PoolCoordinator;
use super::event::{
    AcquireKey, AcquireRequest, ListedGeneration, NodeReport, PoolAction, PoolAnswer, PoolConfig,
    PoolEvent, ReleaseOutcome, ReportedPin, TargetReport, TargetSpec,
};
use crate::clock::Timestamp;
use crate::ids::{AdapterVersion, BootId, FencingToken, NodeName, TargetName, TokenCount};

pub(super) const STEP: Duration = Duration::from_millis(25);
const ADMISSION_WAIT: Duration = Duration::from_secs(5);
const LOAD_TIME: Duration = Duration::from_millis(250);
pub(super) const LOADS_IN_FLIGHT: u32 = 3;
const LOADS_PER_SECOND: f64 = 8.0;
const TARGETS: usize = 4;
const REQUEST_LIMIT: u32 = 8;
const COLD_ANSWERS: u32 = 4;

#[derive(Debug, Clone, Copy)]
pub(super) enum Fault {
    Restart(usize),
    TurnCold(usize),
    FailLoads(usize),
    Unreachable(usize),
    FlipZone(usize),
    KillNode(usize),
    Takeover,
}

#[derive(Debug, Clone)]
enum Message {
    ToCoordinator(PoolEvent),
    ToTarget(PoolAction),
    ToNode(AcquireKey, PoolAnswer),
    /// The answer of a target ends.
    Finish(AcquireKey),
}

#[derive(Debug, Default)]
struct SimTarget {
    boot: u64,
    cold_answers_left: u32,
    failing_loads: u32,
    unreachable_until: Timestamp,
    adapters: BTreeSet<String>,
    /// The running requests and their generations.
    running: BTreeMap<AcquireKey, String>,
    /// When the coordinator learned that the target is cold, until it learns that it is warm.
    known_cold: bool,
    asked_at: Timestamp,
}

#[derive(Debug)]
struct SimRequest {
    request: AcquireRequest,
    place: Option<(TargetName, String)>,
    done: bool,
    next_send: Timestamp,
}

#[derive(Debug)]
struct SimNode {
    name: NodeName,
    boot: u64,
    alive: bool,
    serial: u64,
    sequence: u64,
    requests: BTreeMap<AcquireKey, SimRequest>,
}

#[derive(Debug)]
pub(super) struct Sim {
    pub(super) now: Timestamp,
    rng: StdRng,
    pub(super) coordinator: PoolCoordinator,
    fence: u64,
    /// While set, no coordinator is there; its successor starts then.
    pause_until: Option<Timestamp>,
    config: PoolConfig,
    targets: BTreeMap<TargetName, SimTarget>,
    nodes: Vec<SimNode>,
    messages: BTreeMap<(Timestamp, u64), (u64, Message)>,
    sent: u64,
    /// The adapter that each generation's load order named.
    ordered: BTreeMap<String, AdapterVersion>,
    loads_open: BTreeSet<String>,
    load_times: Vec<Timestamp>,
    /// The requests that the current coordinator must answer.
    owed: BTreeMap<AcquireKey, Timestamp>,
    /// The places that a coordinator gave, with its fencing token, until the request ends.
    pinned: BTreeMap<AcquireKey, (TargetName, String, u64)>,
    pub(super) arrivals: bool,
    pub(super) completed: u64,
}

pub(super) fn target_name(index: usize) -> TargetName {
    format!("target-{index}").parse().unwrap()
}

fn adapter(index: usize) -> AdapterVersion {
    format!("adapter-{index}@v1").parse().unwrap()
}

fn spec(index: usize) -> TargetSpec {
    TargetSpec {
        zone: format!("zone-{}", index % 2).parse().unwrap(),
        in_service: true,
        adapter_slots: 3,
        request_limit: REQUEST_LIMIT,
    }
}

impl Sim {
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
        let mut sim = Self {
            now,
            rng: StdRng::seed_from_u64(seed ^ 0x5eed),
            coordinator,
            fence: 1,
            pause_until: None,
            targets: config.targets.keys().map(cold).collect(),
            config,
            nodes: (0..3).map(node).collect(),
            messages: BTreeMap::new(),
            sent: 0,
            ordered: BTreeMap::new(),
            loads_open: BTreeSet::new(),
            load_times: Vec::new(),
            owed: BTreeMap::new(),
            pinned: BTreeMap::new(),
            arrivals: true,
            completed: 0,
        };
        sim.introduce_coordinator();
        sim
    }

    fn introduce_coordinator(&mut self) {
        self.tell(PoolEvent::Configured(self.config.clone()));
        let names = self.nodes.iter().map(|node| node.name.clone()).collect();
        self.tell(PoolEvent::NodesKnown(names));
    }

    /// Lets one step of time pass.
    pub(super) fn step(&mut self) {
        self.now = self.now + STEP;
        if self.pause_until.is_some_and(|until| self.now >= until) {
            self.pause_until = None;
            self.fence += 1;
            self.forget_unplaced();
            let seed = StdRng::seed_from_u64(self.rng.random());
            let fence = FencingToken::from(self.fence);
            self.coordinator = PoolCoordinator::new(fence, self.now, seed);
            self.introduce_coordinator();
        }
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (epoch, message) = entry.remove();
            self.deliver(epoch, message);
        }
        self.tell(PoolEvent::Tick);
        for index in 0..self.nodes.len() {
            self.step_node(index);
        }
        self.check_answers();
    }

    /// Sends a message that may be late or doubled.
    fn send(&mut self, message: Message) {
        let delay = match self.rng.random_range(0..10) {
            0 => self.rng.random_range(50..600),
            _ => self.rng.random_range(0..10),
        };
        self.send_after(Duration::from_millis(delay), message.clone());
        let repeatable = !matches!(message, Message::ToCoordinator(PoolEvent::Tick));
        if repeatable && self.rng.random_range(0..20) == 0 {
            let delay = self.rng.random_range(0..3000);
            self.send_after(Duration::from_millis(delay), message);
        }
    }

    fn send_after(&mut self, delay: Duration, message: Message) {
        self.sent += 1;
        let entry = (self.now + delay, self.sent);
        self.messages.insert(entry, (self.fence, message));
    }

    fn deliver(&mut self, epoch: u64, message: Message) {
        match message {
            Message::ToCoordinator(event) => {
                if epoch == self.fence && self.pause_until.is_none() {
                    self.tell(event);
                }
            }
            Message::ToTarget(order) => self.order_arrives(order),
            Message::ToNode(key, answer) => {
                if epoch == self.fence {
                    self.answer_arrives(&key, answer);
                }
            }
            Message::Finish(key) => self.finish(&key),
        }
    }

    /// Hands an event to the coordinator and carries out its actions.
    fn tell(&mut self, event: PoolEvent) {
        if self.pause_until.is_some() {
            return;
        }
        match &event {
            PoolEvent::Acquire(request) => {
                let key = request.key.clone();
                self.owed.entry(key).or_insert(request.deadline);
            }
            PoolEvent::Release { key, .. } => {
                self.owed.remove(key);
            }
            PoolEvent::LoadEnded { generation, .. } => {
                self.loads_open.remove(generation);
            }
            PoolEvent::Probed { target, report } => self.note_known_heat(target, report.as_ref()),
            _ => {}
        }
        for action in self.coordinator.handle(self.now, event) {
            self.check_action(&action);
            match action {
                PoolAction::Answer { key, answer } => self.send(Message::ToNode(key, answer)),
                order => self.send(Message::ToTarget(order)),
            }
        }
    }

    fn note_known_heat(&mut self, target: &TargetName, report: Option<&TargetReport>) {
        let target = self.targets.get_mut(target).unwrap();
        let Some(report) = report else { return };
        if report.asked_at > target.asked_at {
            target.asked_at = report.asked_at;
            target.known_cold = report.cold;
        }
    }

    fn check_action(&mut self, action: &PoolAction) {
        match action {
            PoolAction::Answer { key, answer } => {
                self.owed.remove(key);
                if let PoolAnswer::Pinned {
                    target, generation, ..
                } = answer
                {
                    self.check_pin(key, target, generation);
                }
            }
            PoolAction::Load {
                generation,
                adapter,
                ..
            } => {
                let before = self.ordered.insert(generation.clone(), adapter.clone());
                assert_eq!(before, None, "generation {generation} was used twice");
                self.loads_open.insert(generation.clone());
                assert!(
                    self.loads_open.len() <= LOADS_IN_FLIGHT as usize,
                    "too many loads are in flight: {:?}",
                    self.loads_open
                );
                self.load_times.push(self.now);
                let recent = self.load_times.iter();
                let second = Duration::from_secs(1);
                let recent = recent.filter(|at| self.now.since(**at) < second).count();
                assert!(
                    recent <= LOADS_PER_SECOND as usize + 1,
                    "{recent} loads started within a second"
                );
            }
            _ => {}
        }
    }

    fn check_pin(&mut self, key: &AcquireKey, target: &TargetName, generation: &str) {
        let node = self
            .nodes
            .iter()
            .find(|node| node.name == key.node)
            .unwrap();
        let asked = &node.requests[key];
        let adapter = self.ordered[generation].clone();
        let wanted = &asked.request.adapter;
        assert_eq!(adapter, *wanted, "{key:?} was pinned to {generation}");
        if asked.done {
            return;
        }
        let place = (target.clone(), generation.to_owned(), self.fence);
        if self.pinned.insert(key.clone(), place).is_some() {
            return;
        }
        assert!(
            self.config.targets[target].in_service,
            "{key:?} was pinned to {target} out of service"
        );
        if self.targets[target].known_cold {
            let here =
                |place: &&(TargetName, String, u64)| place.0 == *target && place.2 == self.fence;
            let here = self.pinned.values().filter(here).count();
            assert!(
                here <= 1,
                "{here} requests are pinned to {target}, which is cold"
            );
        }
    }

    fn check_answers(&mut self) {
        if self.pause_until.is_some() {
            return;
        }
        for (key, deadline) in &self.owed {
            assert!(self.now <= *deadline, "{key:?} got no answer in time");
        }
    }

    fn order_arrives(&mut self, order: PoolAction) {
        match order {
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
                self.send_after(LOAD_TIME, Message::ToCoordinator(ended));
            }
            PoolAction::Unload { target, generation } => {
                let state = self.targets.get_mut(&target).unwrap();
                let used = state.running.values().any(|other| *other == generation);
                assert!(!used, "{generation} was unloaded under a running request");
                let granted = self.pinned.values().any(|(_, name, _)| *name == generation);
                assert!(!granted, "{generation} was unloaded while it was pinned");
                let gone = self.now >= state.unreachable_until;
                if gone {
                    state.adapters.remove(&generation);
                }
                let ended = PoolEvent::UnloadEnded { generation, gone };
                self.send(Message::ToCoordinator(ended));
            }
            PoolAction::Probe { target } => self.probe_arrives(target),
            PoolAction::Answer { .. } => {}
        }
    }

    fn probe_arrives(&mut self, target: TargetName) {
        let state = &self.targets[&target];
        let listed = state.adapters.iter().map(|name| ListedGeneration {
            name: name.clone(),
            adapter: self.ordered.get(name).cloned(),
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
        self.send_after(Duration::from_millis(2), Message::ToCoordinator(probed));
    }

    fn answer_arrives(&mut self, key: &AcquireKey, answer: PoolAnswer) {
        let node = self.nodes.iter_mut().find(|node| node.name == key.node);
        let node = node.unwrap();
        if !node.alive {
            return;
        }
        let Some(request) = node.requests.get_mut(key) else {
            return;
        };
        if request.done || request.place.is_some() {
            return;
        }
        let PoolAnswer::Pinned {
            target, generation, ..
        } = answer
        else {
            request.done = true;
            return;
        };
        request.place = Some((target.clone(), generation.clone()));
        let state = self.targets.get_mut(&target).unwrap();
        if self.now < state.unreachable_until {
            self.end(key, ReleaseOutcome::ConnectFailed);
        } else if state.adapters.contains(&generation) {
            state.running.insert(key.clone(), generation);
            let run = Duration::from_millis(self.rng.random_range(100..1500));
            self.send_after(run, Message::Finish(key.clone()));
        } else {
            self.end(key, ReleaseOutcome::BrokeOff);
        }
    }

    fn finish(&mut self, key: &AcquireKey) {
        for target in self.targets.values_mut() {
            if target.running.remove(key).is_some() {
                target.cold_answers_left = target.cold_answers_left.saturating_sub(1);
                self.completed += 1;
                let outcome = ReleaseOutcome::Completed {
                    tokens: TokenCount::new(50),
                    first_token: Some(Duration::from_millis(50)),
                };
                self.end(key, outcome);
                return;
            }
        }
        self.end(key, ReleaseOutcome::BrokeOff);
    }

    /// Ends a request at its node and releases its pin. A release may be lost.
    fn end(&mut self, key: &AcquireKey, outcome: ReleaseOutcome) {
        self.pinned.remove(key);
        let node = self.nodes.iter_mut().find(|node| node.name == key.node);
        let node = node.unwrap();
        let Some(request) = node.requests.get_mut(key) else {
            return;
        };
        if !node.alive || request.done {
            return;
        }
        request.done = true;
        if self.rng.random_range(0..20) > 0 {
            let release = PoolEvent::Release {
                key: key.clone(),
                outcome,
            };
            self.send(Message::ToCoordinator(release));
        }
    }

    fn step_node(&mut self, index: usize) {
        if !self.nodes[index].alive {
            return;
        }
        if self.arrivals && self.rng.random_range(0..4) == 0 {
            self.new_request(index);
        }
        let now = self.now;
        let mut sends = Vec::new();
        let node = &mut self.nodes[index];
        for request in node.requests.values_mut() {
            if request.done || request.place.is_some() || now < request.next_send {
                continue;
            }
            if now >= request.request.deadline {
                request.done = true;
                let release = PoolEvent::Release {
                    key: request.request.key.clone(),
                    outcome: ReleaseOutcome::Cancelled,
                };
                self.pinned.remove(&request.request.key);
                sends.push(release);
                continue;
            }
            request.next_send = now + Duration::from_millis(300);
            sends.push(PoolEvent::Acquire(request.request.clone()));
        }
        if now.as_millis() % 1000 < u64::try_from(STEP.as_millis()).unwrap() {
            sends.push(PoolEvent::Reported(node.report(now)));
        }
        let old = |request: &SimRequest| now.since(request.request.deadline) > ADMISSION_WAIT;
        node.requests
            .retain(|_, request| !(request.done && old(request)));
        for event in sends {
            self.send(Message::ToCoordinator(event));
        }
    }

    fn new_request(&mut self, index: usize) {
        let adapter_index = self
            .rng
            .random_range(0..6_usize)
            .min(self.rng.random_range(0..18));
        let suspect = self.rng.random_range(0..30) == 0;
        let node = &mut self.nodes[index];
        node.serial += 1;
        let key = AcquireKey {
            node: node.name.clone(),
            boot: BootId::from(node.boot),
            serial: node.serial,
        };
        let request = AcquireRequest {
            key: key.clone(),
            account: format!("account-{}", adapter_index % 3).parse().unwrap(),
            adapter: adapter(adapter_index),
            tokens: TokenCount::new(100),
            prefix: Some(adapter_index as u64),
            suspect,
            deadline: self.now + ADMISSION_WAIT,
        };
        let request = SimRequest {
            request,
            place: None,
            done: false,
            next_send: self.now,
        };
        node.requests.insert(key, request);
    }

    pub(super) fn strike(&mut self, fault: Fault) {
        match fault {
            Fault::Restart(index) => {
                let target = self.targets.get_mut(&target_name(index)).unwrap();
                target.boot += 1;
                target.cold_answers_left = COLD_ANSWERS;
                target.adapters.clear();
                let broken: Vec<_> = std::mem::take(&mut target.running).into_keys().collect();
                for key in broken {
                    self.end(&key, ReleaseOutcome::BrokeOff);
                }
            }
            Fault::TurnCold(index) => {
                let target = self.targets.get_mut(&target_name(index)).unwrap();
                target.cold_answers_left = COLD_ANSWERS;
            }
            Fault::FailLoads(index) => {
                self.targets
                    .get_mut(&target_name(index))
                    .unwrap()
                    .failing_loads = 4;
            }
            Fault::Unreachable(index) => {
                let until = self.now + Duration::from_secs(4);
                let target = self.targets.get_mut(&target_name(index)).unwrap();
                target.unreachable_until = until;
            }
            Fault::FlipZone(index) => {
                let zone = spec(index).zone;
                for target in self.config.targets.values_mut() {
                    if target.zone == zone {
                        target.in_service = !target.in_service;
                    }
                }
                self.tell(PoolEvent::Configured(self.config.clone()));
            }
            Fault::KillNode(index) => {
                self.nodes[index].alive = false;
                self.forget_unplaced();
            }
            Fault::Takeover => {
                self.pause_until = Some(self.now + Duration::from_secs(1));
                self.owed.clear();
                self.loads_open.clear();
                self.load_times.clear();
            }
        }
    }

    /// Drops the places that no node knows of and whose answers are not accepted any more.
    fn forget_unplaced(&mut self) {
        let nodes = &self.nodes;
        let known = |key: &AcquireKey| {
            let node = nodes.iter().find(|node| node.name == key.node);
            let request = node.and_then(|node| node.requests.get(key));
            request.is_some_and(|request| request.place.is_some())
        };
        self.pinned.retain(|key, _| known(key));
    }
}

impl SimNode {
    fn report(&mut self, now: Timestamp) -> NodeReport {
        self.sequence += 1;
        let open = self.requests.values().filter(|request| !request.done);
        let waiting = open.clone().filter(|request| request.place.is_none());
        let pins = open.filter_map(|request| {
            let (target, generation) = request.place.clone()?;
            Some(ReportedPin {
                serial: request.request.key.serial,
                target,
                generation,
                account: request.request.account.clone(),
                tokens: request.request.tokens,
                suspect: request.request.suspect,
            })
        });
        NodeReport {
            node: self.name.clone(),
            boot: BootId::from(self.boot),
            sequence: self.sequence,
            highest_serial: self.serial,
            waiting: waiting.map(|request| request.request.key.serial).collect(),
            pins: pins.collect(),
            uptime: Duration::from_secs(60) + now.since(Timestamp::default()),
        }
    }
}
