//! The nodes and the fault injection of the pool simulation.

use std::time::Duration;

use rand::RngExt;

use super::event::{
    AcquireKey, AcquireRequest, NodeReport, PoolAnswer, PoolEvent, ReleaseOutcome, ReportedPin,
};
use super::tests_sim::{
    ADMISSION_WAIT, COLD_ANSWERS, InjectedFault, PoolSimulation, STEP, SimMessage, SimNode,
    SimRequest, adapter, spec, target_name,
};
use crate::clock::Timestamp;
use crate::ids::{BootId, TokenCount};

impl PoolSimulation {
    pub(super) fn receive_answer(&mut self, key: &AcquireKey, answer: PoolAnswer) {
        let node = self.nodes.iter_mut().find(|node| node.name == key.node);
        let node = node.unwrap();
        if !node.alive {
            return;
        }
        let Some(request) = node.requests.get_mut(key) else {
            return;
        };
        if request.done || request.placement.is_some() {
            return;
        }
        let PoolAnswer::Pinned {
            target, generation, ..
        } = answer
        else {
            request.done = true;
            return;
        };
        request.placement = Some((target.clone(), generation.clone()));
        let state = self.targets.get_mut(&target).unwrap();
        if self.now < state.unreachable_until {
            self.end(key, ReleaseOutcome::ConnectFailed);
        } else if state.adapters.contains(&generation) {
            state.running.insert(key.clone(), generation);
            // Some requests run longer than the 15 s in which a new coordinator evicts nothing.
            let longest = match self.rng.random_range(0..12) {
                0 => 40_000,
                _ => 1500,
            };
            let run = Duration::from_millis(self.rng.random_range(100..longest));
            self.send_after(run, SimMessage::Finish(key.clone()));
        } else {
            self.end(key, ReleaseOutcome::BrokeOff);
        }
    }

    pub(super) fn finish(&mut self, key: &AcquireKey) {
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

    /// Ends a request at its node and releases its pin. Some releases are lost.
    pub(super) fn end(&mut self, key: &AcquireKey, outcome: ReleaseOutcome) {
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
            self.send(SimMessage::ToCoordinator(release));
        }
    }

    pub(super) fn step_node(&mut self, index: usize) {
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
            if request.done || request.placement.is_some() || now < request.next_send {
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
            self.send(SimMessage::ToCoordinator(event));
        }
    }

    pub(super) fn new_request(&mut self, index: usize) {
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
            avoid: None,
            deadline: self.now + ADMISSION_WAIT,
        };
        let request = SimRequest {
            request,
            placement: None,
            done: false,
            next_send: self.now,
        };
        node.requests.insert(key, request);
    }

    pub(super) fn inject_fault(&mut self, fault: InjectedFault) {
        match fault {
            InjectedFault::Restart(index) => {
                let target = self.targets.get_mut(&target_name(index)).unwrap();
                target.boot += 1;
                target.cold_answers_left = COLD_ANSWERS;
                target.adapters.clear();
                let broken: Vec<_> = std::mem::take(&mut target.running).into_keys().collect();
                for key in broken {
                    self.end(&key, ReleaseOutcome::BrokeOff);
                }
            }
            InjectedFault::TurnCold(index) => {
                let target = self.targets.get_mut(&target_name(index)).unwrap();
                target.cold_answers_left = COLD_ANSWERS;
            }
            InjectedFault::FailLoads(index) => {
                self.targets
                    .get_mut(&target_name(index))
                    .unwrap()
                    .failing_loads = 4;
            }
            InjectedFault::Unreachable(index) => {
                let until = self.now + Duration::from_secs(4);
                let target = self.targets.get_mut(&target_name(index)).unwrap();
                target.unreachable_until = until;
            }
            InjectedFault::FlipZone(index) => {
                let zone = spec(index).zone;
                for target in self.config.targets.values_mut() {
                    if target.zone == zone {
                        target.in_service = !target.in_service;
                    }
                }
                self.handle_event(PoolEvent::Configured(self.config.clone()));
            }
            InjectedFault::CrashHolder(index) => {
                self.inject_fault(InjectedFault::KillNode(index));
                self.inject_fault(InjectedFault::Takeover);
            }
            InjectedFault::KillNode(index) => {
                self.nodes[index].alive = false;
                self.drop_unreceived_pins();
            }
            InjectedFault::Takeover => {
                self.takeover_at = Some(self.now + Duration::from_secs(1));
                self.unanswered.clear();
                self.open_loads.clear();
                self.load_times.clear();
            }
        }
    }

    /// Removes pins whose answers no node has received. Answers of a replaced coordinator are not
    /// accepted any more, and a crashed node receives none.
    pub(super) fn drop_unreceived_pins(&mut self) {
        let nodes = &self.nodes;
        let known = |key: &AcquireKey| {
            let node = nodes.iter().find(|node| node.name == key.node);
            let request = node.and_then(|node| node.requests.get(key));
            request.is_some_and(|request| request.placement.is_some())
        };
        self.pinned.retain(|key, _| known(key));
    }
}

impl SimNode {
    pub(super) fn report(&mut self, now: Timestamp) -> NodeReport {
        self.sequence += 1;
        let open = self.requests.values().filter(|request| !request.done);
        let waiting = open.clone().filter(|request| request.placement.is_none());
        let pins = open.filter_map(|request| {
            let (target, generation) = request.placement.clone()?;
            Some(ReportedPin {
                serial: request.request.key.serial,
                target,
                generation,
                account: request.request.account.clone(),
                tokens: request.request.tokens,
                suspect: request.request.suspect,
                streaming: false,
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
