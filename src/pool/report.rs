//! What targets and nodes report, and the takeover and handover of a pool.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::coordinator::{HARD_DEADLINE, PoolCoordinator};
use super::event::{AcquireKey, NodeReport, ReportedPin, TargetReport};
use super::queue::QueueState;
use super::residency::{Generation, GenerationState, Pin};
use super::target::TargetHeat;
use crate::clock::Timestamp;
use crate::ids::{AdapterVersion, BootId, NodeName, TargetName};

/// A new coordinator admits nobody before the nodes reported their pins or this time is over:
/// nodes report each second.
const REPORT_WAIT: Duration = Duration::from_millis(1500);
/// A new coordinator evicts nothing for this long.
const EVICTION_PAUSE: Duration = Duration::from_secs(15);
/// A process younger than this at the takeover may follow one whose pins nobody reports.
const KNOWN_UPTIME: Duration = Duration::from_secs(30);
/// A pin that its node still reports is kept at least this much longer.
const REPORTED_KEEP: Duration = Duration::from_secs(5);

/// What a new coordinator does not know yet.
#[derive(Debug)]
pub(super) struct TakeoverState {
    started: Timestamp,
    /// Whether the previous holder handed over its exact state.
    exact: bool,
    /// The nodes seen before the takeover; `None` while not known.
    expected: Option<BTreeSet<NodeName>>,
    /// The nodes that reported their pins.
    reported: BTreeSet<NodeName>,
    /// The nodes among them that already ran before the takeover.
    complete: BTreeSet<NodeName>,
    /// The newest report of each process.
    sequences: BTreeMap<(NodeName, BootId), u64>,
}

impl TakeoverState {
    pub(super) fn new(started: Timestamp) -> Self {
        Self {
            started,
            exact: false,
            expected: None,
            reported: BTreeSet::new(),
            complete: BTreeSet::new(),
            sequences: BTreeMap::new(),
        }
    }

    pub(super) fn expect_nodes(&mut self, nodes: Vec<NodeName>) {
        let expected = self.expected.get_or_insert_default();
        expected.extend(nodes);
    }

    /// Whether requests may be admitted.
    pub(super) fn admits(&self, now: Timestamp) -> bool {
        let known = self.expected.as_ref();
        self.exact
            || known.is_some_and(|nodes| nodes.is_subset(&self.reported))
            || now.since(self.started) >= REPORT_WAIT
    }

    /// Whether a generation without known pins may be evicted.
    pub(super) fn may_evict(&self, inherited: bool, now: Timestamp) -> bool {
        let age = now.since(self.started);
        let known = self.expected.as_ref();
        let all_known = known.is_some_and(|nodes| nodes.is_subset(&self.complete));
        let certain = !inherited || all_known || age >= HARD_DEADLINE;
        self.exact || (age >= EVICTION_PAUSE && certain)
    }

    /// Notes a report; `false` when a newer one of the same process came before.
    fn note_report(&mut self, report: &NodeReport, now: Timestamp) -> bool {
        let process = (report.node.clone(), report.boot);
        let newest = self.sequences.entry(process).or_default();
        if report.sequence <= *newest {
            return false;
        }
        *newest = report.sequence;
        self.reported.insert(report.node.clone());
        if report.uptime >= now.since(self.started) + KNOWN_UPTIME {
            self.complete.insert(report.node.clone());
        }
        true
    }
}

/// The state that moves to the successor at a handover. Waiting requests are not part of it,
/// since their nodes send them again.
#[derive(Debug, Serialize, Deserialize)]
struct HandoverState {
    queue: QueueState,
    pins: Vec<HandedPin>,
    generations: Vec<HandedGeneration>,
    targets: Vec<HandedTarget>,
}

#[derive(Debug, Serialize, Deserialize)]
struct HandedPin {
    node: NodeName,
    boot: BootId,
    pin: ReportedPin,
    left_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct HandedGeneration {
    name: String,
    target: TargetName,
    adapter: Option<AdapterVersion>,
    ready: bool,
}

#[derive(Debug, Serialize, Deserialize)]
struct HandedTarget {
    name: TargetName,
    boot: Option<u64>,
    warm: bool,
}

impl PoolCoordinator {
    pub(super) fn probed(&mut self, name: &TargetName, report: Option<TargetReport>) {
        let now = self.now;
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        let Some(report) = report else {
            target.note_connect_failure(now);
            return;
        };
        if report.asked_at <= target.asked_at {
            return;
        }
        target.asked_at = report.asked_at;
        target.note_contact(now);
        let first = target.boot.is_none();
        let restarted = target.boot.is_some_and(|boot| boot != report.boot);
        target.boot = Some(report.boot);
        let orders_ended = target.orders_ended;
        let listed: BTreeSet<&String> = report.generations.iter().map(|g| &g.name).collect();
        let of_target = self.residency.of_target(name);
        let lost = of_target.filter(|(other, generation)| {
            generation.since < report.asked_at
                && !generation.is_arriving()
                && (restarted || !listed.contains(other))
        });
        let lost: BTreeSet<String> = lost.map(|(other, _)| other.clone()).collect();
        let emptied = self.forget_lost(&lost);
        for generation in &report.generations {
            let fresh = first || report.asked_at > orders_ended;
            self.note_listed(name, generation, first, fresh);
        }
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        if restarted || emptied {
            target.turn_cold(now, report.cold);
        }
        target.note_reported_heat(now, report.cold);
        // A target with adapters that does not call itself cold was serving before the takeover.
        if first && !report.cold && !report.generations.is_empty() {
            target.heat = TargetHeat::Warm;
        }
    }

    /// Forgets generations that a target no longer lists; `true` when one should have been there.
    fn forget_lost(&mut self, lost: &BTreeSet<String>) -> bool {
        let mut emptied = false;
        for name in lost {
            let state = self.residency.get(name).map(|generation| generation.state);
            emptied |= state == Some(GenerationState::Ready);
            self.forget_generation(name);
        }
        emptied
    }

    /// Applies one generation that a target lists.
    fn note_listed(
        &mut self,
        target: &TargetName,
        listed: &super::event::ListedGeneration,
        first: bool,
        fresh: bool,
    ) {
        match self.residency.get(&listed.name).map(|g| g.state) {
            Some(GenerationState::Draining { order_sent: false }) => {
                self.unload_if_free(&listed.name)
            }
            Some(_) => {}
            None if fresh => {
                let serves = first && listed.adapter.is_some();
                let state = match serves {
                    true => GenerationState::Ready,
                    false => GenerationState::Draining { order_sent: false },
                };
                let pins = self
                    .pins
                    .values()
                    .filter(|pin| pin.generation == listed.name);
                let generation = Generation {
                    target: target.clone(),
                    adapter: listed.adapter.clone(),
                    state,
                    sequence: 0,
                    pins: u32::try_from(pins.count()).unwrap_or(u32::MAX),
                    since: self.now,
                    inherited: true,
                };
                self.residency.insert(listed.name.clone(), generation);
                if !serves {
                    self.unload_if_free(&listed.name);
                }
            }
            None => {}
        }
    }

    fn unload_if_free(&mut self, name: &str) {
        let free = self.residency.get(name).is_some_and(|generation| {
            generation.pins == 0 && self.takeover.may_evict(generation.inherited, self.now)
        });
        if free {
            self.unload(name);
        }
    }

    pub(super) fn reported(&mut self, report: NodeReport) {
        if !self.takeover.note_report(&report, self.now) {
            return;
        }
        let key = |serial| AcquireKey {
            node: report.node.clone(),
            boot: report.boot,
            serial,
        };
        let open = report.pins.iter().map(|pin| pin.serial);
        let open: BTreeSet<u64> = open.chain(report.waiting.iter().copied()).collect();
        let own = self.pins.range(key(0)..=key(report.highest_serial));
        let lost = own.filter(|(key, _)| !open.contains(&key.serial));
        let lost: Vec<AcquireKey> = lost.map(|(key, _)| key.clone()).collect();
        for key in lost {
            self.drop_pin(&key);
        }
        for pin in &report.pins {
            let key = key(pin.serial);
            if let Some(known) = self.pins.get_mut(&key) {
                known.hard_deadline = known.hard_deadline.max(self.now + REPORTED_KEEP);
                let first_token = pin.streaming && !known.streaming;
                known.streaming = pin.streaming;
                if first_token && let Some(target) = self.targets.get_mut(&known.target) {
                    target.note_first_token();
                }
            } else if !self.is_ended(&key) {
                self.queue.remove(&key);
                self.adopt(key, pin.clone(), HARD_DEADLINE);
            }
        }
    }

    /// A pin as its node would report it, if it is known.
    fn held_pin(&self, key: &AcquireKey) -> Option<ReportedPin> {
        let pin = self.pins.get(key)?;
        Some(ReportedPin {
            serial: key.serial,
            target: pin.target.clone(),
            generation: pin.generation.clone(),
            account: pin.account.clone(),
            tokens: pin.tokens,
            suspect: pin.suspect,
            streaming: pin.streaming,
        })
    }

    /// The details of pins that a node reports as serials with a lowest bit for the first token;
    /// `None` when a pin is neither known nor ended, so that its details are needed.
    pub(super) fn held_pins(
        &self,
        key: impl Fn(u64) -> AcquireKey,
        held: &[u64],
    ) -> Option<Vec<ReportedPin>> {
        let mut pins = Vec::new();
        for mark in held {
            let (key, streaming) = (key(mark >> 1), mark & 1 == 1);
            match self.held_pin(&key) {
                Some(pin) => pins.push(ReportedPin { streaming, ..pin }),
                None if self.is_ended(&key) => {}
                None => return None,
            }
        }
        Some(pins)
    }

    /// Enters a pin that an earlier coordinator gave.
    fn adopt(&mut self, key: AcquireKey, pin: ReportedPin, left: Duration) {
        self.next_number += 1;
        let pin = Pin {
            id: self.next_number,
            target: pin.target,
            generation: pin.generation,
            account: pin.account,
            tokens: pin.tokens,
            suspect: pin.suspect,
            streaming: pin.streaming,
            since: self.now,
            hard_deadline: self.now + left,
        };
        self.add_pin(key, pin);
    }

    /// The state for the successor at a handover.
    pub fn export(&self) -> Vec<u8> {
        let pins = self.pins.iter().filter_map(|(key, pin)| {
            Some(HandedPin {
                node: key.node.clone(),
                boot: key.boot,
                pin: self.held_pin(key)?,
                left_ms: u64::try_from(pin.hard_deadline.since(self.now).as_millis()).unwrap_or(0),
            })
        });
        let generations = self.residency.iter().map(|(name, generation)| {
            // An order that is on its way may or may not take effect, so that its name only
            // gets unloaded.
            HandedGeneration {
                name: name.clone(),
                target: generation.target.clone(),
                adapter: generation.adapter.clone(),
                ready: generation.state == GenerationState::Ready,
            }
        });
        let targets = self.targets.iter().map(|(name, target)| HandedTarget {
            name: name.clone(),
            boot: target.boot,
            warm: !target.is_cold(),
        });
        let state = HandoverState {
            queue: self.queue.export(),
            pins: pins.collect(),
            generations: generations.collect(),
            targets: targets.collect(),
        };
        serde_json::to_vec(&state).expect("the state has only string keys")
    }

    /// Takes over the state of the previous holder. The configuration must be applied before.
    /// `false` when the bytes are not a state; the coordinator then learns it as after a crash.
    pub fn import(&mut self, bytes: &[u8]) -> bool {
        let Ok(state) = serde_json::from_slice::<HandoverState>(bytes) else {
            return false;
        };
        self.queue.import(state.queue);
        for handed in state.targets {
            if let Some(target) = self.targets.get_mut(&handed.name) {
                target.boot = handed.boot;
                if handed.warm {
                    target.heat = TargetHeat::Warm;
                }
            }
        }
        for handed in state.generations {
            let state = match handed.ready {
                true => GenerationState::Ready,
                false => GenerationState::Draining { order_sent: false },
            };
            let generation = Generation {
                target: handed.target,
                adapter: handed.adapter,
                state,
                sequence: 0,
                pins: 0,
                since: self.now,
                inherited: false,
            };
            self.residency.insert(handed.name, generation);
        }
        for handed in state.pins {
            let key = AcquireKey {
                node: handed.node,
                boot: handed.boot,
                serial: handed.pin.serial,
            };
            self.adopt(key, handed.pin, Duration::from_millis(handed.left_ms));
        }
        self.takeover.exact = true;
        true
    }
}
