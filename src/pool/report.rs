//! Probe results and pin reports, and the takeover and handover of a pool.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::coordinator::{HARD_DEADLINE, PoolCoordinator};
use super::event::{AcquireKey, NodeReport, ReportedPin, TargetReport};
use super::queue::QueueState;
use super::residency::{Generation, GenerationState, Pin};
use super::target::RampState;
use crate::clock::Timestamp;
use crate::ids::{AdapterVersion, BootId, NodeName, TargetName};

/// A new coordinator admits no requests until all nodes have reported their pins or this time has
/// passed. Nodes report every second.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1500);
/// A new coordinator evicts no generations for this long.
const EVICTION_PAUSE: Duration = Duration::from_secs(15);
/// A process that had run for less than this at the takeover may have replaced one whose pins are
/// not reported by any node.
const MIN_KNOWN_UPTIME: Duration = Duration::from_secs(30);
/// A pin that its node reports is kept for at least this long after the report.
const REPORTED_PIN_EXTENSION: Duration = Duration::from_secs(5);

/// Tracks what a new coordinator has learned since its takeover.
#[derive(Debug)]
pub(super) struct TakeoverState {
    started: Timestamp,
    /// Whether the previous lease holder handed over its state, so that all pins are known.
    has_handover: bool,
    /// The nodes seen before the takeover; `None` until they are known.
    expected_nodes: Option<BTreeSet<NodeName>>,
    /// The nodes that have reported their pins.
    reported_nodes: BTreeSet<NodeName>,
    /// The nodes among them whose process ran for [`MIN_KNOWN_UPTIME`] before the takeover.
    long_running_nodes: BTreeSet<NodeName>,
    /// The sequence of each process's newest report.
    sequences: BTreeMap<(NodeName, BootId), u64>,
}

impl TakeoverState {
    pub(super) fn new(started: Timestamp) -> Self {
        Self {
            started,
            has_handover: false,
            expected_nodes: None,
            reported_nodes: BTreeSet::new(),
            long_running_nodes: BTreeSet::new(),
            sequences: BTreeMap::new(),
        }
    }

    pub(super) fn expect_nodes(&mut self, nodes: Vec<NodeName>) {
        let expected_nodes = self.expected_nodes.get_or_insert_default();
        expected_nodes.extend(nodes);
    }

    /// Whether requests may be admitted.
    pub(super) fn admits(&self, now: Timestamp) -> bool {
        let expected = self.expected_nodes.as_ref();
        self.has_handover
            || expected.is_some_and(|nodes| nodes.is_subset(&self.reported_nodes))
            || now.since(self.started) >= REPORT_TIMEOUT
    }

    /// Whether a generation without known pins may be evicted.
    pub(super) fn may_evict(&self, inherited: bool, now: Timestamp) -> bool {
        let age = now.since(self.started);
        let expected = self.expected_nodes.as_ref();
        let all_pins_known =
            expected.is_some_and(|nodes| nodes.is_subset(&self.long_running_nodes));
        let pins_known = !inherited || all_pins_known || age >= HARD_DEADLINE;
        self.has_handover || (age >= EVICTION_PAUSE && pins_known)
    }

    /// Records a report; `false` if the same process has already sent it or a newer one.
    fn accept_report(&mut self, report: &NodeReport, now: Timestamp) -> bool {
        let process = (report.node.clone(), report.boot);
        let newest = self.sequences.entry(process).or_default();
        if report.sequence <= *newest {
            return false;
        }
        *newest = report.sequence;
        self.reported_nodes.insert(report.node.clone());
        if report.uptime >= now.since(self.started) + MIN_KNOWN_UPTIME {
            self.long_running_nodes.insert(report.node.clone());
        }
        true
    }
}

/// The state passed to the next lease holder in a handover. It contains no waiting requests, since
/// their nodes send them again.
#[derive(Debug, Serialize, Deserialize)]
struct HandoverState {
    queue: QueueState,
    pins: Vec<HandoverPin>,
    generations: Vec<HandoverGeneration>,
    targets: Vec<HandoverTarget>,
}

#[derive(Debug, Serialize, Deserialize)]
struct HandoverPin {
    node: NodeName,
    boot: BootId,
    pin: ReportedPin,
    left_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct HandoverGeneration {
    name: String,
    target: TargetName,
    adapter: Option<AdapterVersion>,
    ready: bool,
}

#[derive(Debug, Serialize, Deserialize)]
struct HandoverTarget {
    name: TargetName,
    boot: Option<u64>,
    warm: bool,
}

impl PoolCoordinator {
    pub(super) fn apply_probe(&mut self, name: &TargetName, report: Option<TargetReport>) {
        let now = self.now;
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        let Some(report) = report else {
            target.record_connect_failure(now);
            return;
        };
        if report.asked_at <= target.asked_at {
            return;
        }
        target.asked_at = report.asked_at;
        target.record_probe_answer(now);
        let first_probe = target.boot.is_none();
        let restarted = target.boot.is_some_and(|boot| boot != report.boot);
        target.boot = Some(report.boot);
        let last_command_ended = target.last_command_ended;
        let listed: BTreeSet<&String> = report.generations.iter().map(|g| &g.name).collect();
        let target_generations = self.residency.of_target(name);
        let lost = target_generations.filter(|(other, generation)| {
            generation.since < report.asked_at
                && !generation.is_load_pending()
                && (restarted || !listed.contains(other))
        });
        let lost: BTreeSet<String> = lost.map(|(other, _)| other.clone()).collect();
        let lost_ready = self.remove_lost_generations(&lost);
        for generation in &report.generations {
            let list_is_current = first_probe || report.asked_at > last_command_ended;
            self.apply_listed_generation(name, generation, first_probe, list_is_current);
        }
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        if restarted || lost_ready {
            target.restart_ramp(now, report.cold);
        }
        target.apply_reported_cold(now, report.cold);
        // A target that has adapters and does not report itself cold was serving before the
        // takeover.
        if first_probe && !report.cold && !report.generations.is_empty() {
            target.ramp = RampState::Warm;
        }
    }

    /// Removes generations that a target no longer lists; `true` if one of them was ready.
    fn remove_lost_generations(&mut self, lost: &BTreeSet<String>) -> bool {
        let mut lost_ready = false;
        for name in lost {
            let state = self.residency.get(name).map(|generation| generation.state);
            lost_ready |= state == Some(GenerationState::Ready);
            self.remove_generation(name);
        }
        lost_ready
    }

    /// Applies one generation from a target's list of loaded adapters. A generation that this
    /// coordinator does not know is taken over if the first probe lists it and it matches a
    /// configured version; otherwise it is unloaded.
    fn apply_listed_generation(
        &mut self,
        target: &TargetName,
        listed: &super::event::ListedGeneration,
        first_probe: bool,
        list_is_current: bool,
    ) {
        match self.residency.get(&listed.name).map(|g| g.state) {
            Some(GenerationState::Draining { unload_sent: false }) => {
                self.unload_if_unused(&listed.name)
            }
            Some(_) => {}
            None if list_is_current => {
                let is_usable = first_probe && listed.adapter.is_some();
                let state = match is_usable {
                    true => GenerationState::Ready,
                    false => GenerationState::Draining { unload_sent: false },
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
                if !is_usable {
                    self.unload_if_unused(&listed.name);
                }
            }
            None => {}
        }
    }

    fn unload_if_unused(&mut self, name: &str) {
        let unused = self.residency.get(name).is_some_and(|generation| {
            generation.pins == 0 && self.takeover.may_evict(generation.inherited, self.now)
        });
        if unused {
            self.unload(name);
        }
    }

    pub(super) fn apply_report(&mut self, report: NodeReport) {
        if !self.takeover.accept_report(&report, self.now) {
            return;
        }
        let key = |serial| AcquireKey {
            node: report.node.clone(),
            boot: report.boot,
            serial,
        };
        let open = report.pins.iter().map(|pin| pin.serial);
        let open: BTreeSet<u64> = open.chain(report.waiting.iter().copied()).collect();
        let process_pins = self.pins.range(key(0)..=key(report.highest_serial));
        let lost = process_pins.filter(|(key, _)| !open.contains(&key.serial));
        let lost: Vec<AcquireKey> = lost.map(|(key, _)| key.clone()).collect();
        for key in lost {
            self.remove_pin(&key);
        }
        for pin in &report.pins {
            let key = key(pin.serial);
            if let Some(known) = self.pins.get_mut(&key) {
                known.hard_deadline = known.hard_deadline.max(self.now + REPORTED_PIN_EXTENSION);
                let first_token = pin.streaming && !known.streaming;
                known.streaming = pin.streaming;
                if first_token && let Some(target) = self.targets.get_mut(&known.target) {
                    target.record_first_token();
                }
            } else if !self.is_ended(&key) {
                self.queue.remove(&key);
                self.adopt_pin(key, pin.clone(), HARD_DEADLINE);
            }
        }
    }

    /// A known pin, in the form in which its node reports it.
    fn known_pin(&self, key: &AcquireKey) -> Option<ReportedPin> {
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

    /// The details of pins that a node reports in the short form of
    /// [`PinReport::held`](super::wire::PinReport::held). `None` if a pin is neither known nor
    /// ended, so that the node has to report its details.
    pub(super) fn resolve_held_pins(
        &self,
        key: impl Fn(u64) -> AcquireKey,
        held: &[u64],
    ) -> Option<Vec<ReportedPin>> {
        let mut pins = Vec::new();
        for entry in held {
            let (key, streaming) = (key(entry >> 1), entry & 1 == 1);
            match self.known_pin(&key) {
                Some(pin) => pins.push(ReportedPin { streaming, ..pin }),
                None if self.is_ended(&key) => {}
                None => return None,
            }
        }
        Some(pins)
    }

    /// Adds a pin that an earlier coordinator granted, with the time `remaining` until its hard
    /// deadline.
    fn adopt_pin(&mut self, key: AcquireKey, pin: ReportedPin, remaining: Duration) {
        self.last_sequence += 1;
        let pin = Pin {
            id: self.last_sequence,
            target: pin.target,
            generation: pin.generation,
            account: pin.account,
            tokens: pin.tokens,
            suspect: pin.suspect,
            streaming: pin.streaming,
            since: self.now,
            hard_deadline: self.now + remaining,
        };
        self.add_pin(key, pin);
    }

    /// The handover state for the next lease holder.
    pub fn export(&self) -> Vec<u8> {
        let pins = self.pins.iter().filter_map(|(key, pin)| {
            Some(HandoverPin {
                node: key.node.clone(),
                boot: key.boot,
                pin: self.known_pin(key)?,
                left_ms: u64::try_from(pin.hard_deadline.since(self.now).as_millis()).unwrap_or(0),
            })
        });
        let generations = self.residency.iter().map(|(name, generation)| {
            // A load that is in flight may or may not take effect, so the new holder only unloads
            // its generation.
            HandoverGeneration {
                name: name.clone(),
                target: generation.target.clone(),
                adapter: generation.adapter.clone(),
                ready: generation.state == GenerationState::Ready,
            }
        });
        let targets = self.targets.iter().map(|(name, target)| HandoverTarget {
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

    /// Imports the state of the previous lease holder, after the configuration has been applied.
    /// `false` if the bytes are malformed; the coordinator then rebuilds its state as after a
    /// crash.
    pub fn import(&mut self, bytes: &[u8]) -> bool {
        let Ok(state) = serde_json::from_slice::<HandoverState>(bytes) else {
            return false;
        };
        self.queue.import(state.queue);
        for entry in state.targets {
            if let Some(target) = self.targets.get_mut(&entry.name) {
                target.boot = entry.boot;
                if entry.warm {
                    target.ramp = RampState::Warm;
                }
            }
        }
        for entry in state.generations {
            let state = match entry.ready {
                true => GenerationState::Ready,
                false => GenerationState::Draining { unload_sent: false },
            };
            let generation = Generation {
                target: entry.target,
                adapter: entry.adapter,
                state,
                sequence: 0,
                pins: 0,
                since: self.now,
                inherited: false,
            };
            self.residency.insert(entry.name, generation);
        }
        for entry in state.pins {
            let key = AcquireKey {
                node: entry.node,
                boot: entry.boot,
                serial: entry.pin.serial,
            };
            self.adopt_pin(key, entry.pin, Duration::from_millis(entry.left_ms));
        }
        self.takeover.has_handover = true;
        true
    }
}
