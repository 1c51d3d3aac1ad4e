//! Fake model engines: loaded adapters by generation, streams, cold starts and failing loads.

use std::collections::{BTreeMap, BTreeSet};

use rand::RngExt;

use super::network::{Endpoint, Message};
use super::steps::{Flow, Step};
use super::world::World;
use crate::ids::{AdapterVersion, FencingToken};
use crate::pool::event::{
    AcquireKey, ListedGeneration, PoolAction, PoolEvent, ReleaseOutcome, TargetReport,
};

pub(super) const ENGINES: usize = 2;
/// The number of parts in an answer.
const PARTS: u32 = 4;
/// The number of parts in a long answer, which outlasts a takeover.
const LONG_PARTS: u32 = 60;
const PART_MS: u64 = 100;
const LOAD_MS: u64 = 200;
/// The number of complete answers after which a restarted engine is warm.
const COLD_ANSWERS: u32 = 2;
/// The sender of an order or of a connection attempt gives up after this time without a reply.
pub(super) const SENDER_TIMEOUT_MS: u64 = 1_000;

/// A part of an answer, on the connection of the request `key`.
#[derive(Debug, Clone)]
pub(super) struct StreamPart {
    pub(super) key: AcquireKey,
    /// The request that the engine names in the part.
    pub(super) id: AcquireKey,
    pub(super) engine: usize,
    pub(super) generation: String,
    pub(super) number: u32,
    pub(super) is_last: bool,
}

#[derive(Debug)]
struct RunningAnswer {
    generation: String,
    sent: u32,
    parts: u32,
    next_at: u64,
}

#[derive(Debug, Default)]
pub(super) struct FakeEngine {
    pub(super) boot: u64,
    cold_remaining: u32,
    pub(super) failing_until: u64,
    adapters: BTreeMap<String, AdapterVersion>,
    running: BTreeMap<AcquireKey, RunningAnswer>,
    /// The highest fencing token of the load and unload orders received.
    newest_fence: FencingToken,
    /// The fencing token of the coordinator that knows from a probe that the engine is cold.
    pub(super) known_cold: Option<FencingToken>,
}

impl FakeEngine {
    pub(super) fn is_running(&self, key: &AcquireKey) -> bool {
        self.running.contains_key(key)
    }

    /// Whether an order with this fencing token is accepted. Engine 0 accepts stale tokens.
    fn accepts(&mut self, index: usize, fence: FencingToken) -> bool {
        let is_current = fence >= self.newest_fence;
        self.newest_fence = self.newest_fence.max(fence);
        index == 0 || is_current
    }
}

/// The event that a coordinator receives when an order gets no answer.
pub(super) fn failed_order(action: &PoolAction) -> Option<PoolEvent> {
    Some(match action {
        PoolAction::Load { generation, .. } => PoolEvent::LoadEnded {
            generation: generation.clone(),
            loaded: false,
        },
        PoolAction::Unload { generation, .. } => PoolEvent::UnloadEnded {
            generation: generation.clone(),
            gone: false,
        },
        PoolAction::Probe { target } => PoolEvent::Probed {
            target: target.clone(),
            report: None,
        },
        PoolAction::Answer { .. } => return None,
    })
}

/// Replaces the result of an order by the one that its sender assumes when the reply is lost.
pub(super) fn with_reply_lost(event: PoolEvent) -> PoolEvent {
    match event {
        PoolEvent::LoadEnded { generation, .. } => PoolEvent::LoadEnded {
            generation,
            loaded: false,
        },
        PoolEvent::UnloadEnded { generation, .. } => PoolEvent::UnloadEnded {
            generation,
            gone: false,
        },
        PoolEvent::Probed { target, .. } => PoolEvent::Probed {
            target,
            report: None,
        },
        other => other,
    }
}

impl World {
    pub(super) fn handle_engine_message(
        &mut self,
        engine: usize,
        from: Endpoint,
        message: Message,
    ) {
        match message {
            Message::Order {
                action,
                fence,
                asked_at,
                boot,
            } => {
                if let Some((delay, event)) = self.execute_order(engine, &action, fence, asked_at) {
                    let done = Message::OrderDone(event, fence);
                    self.now += delay;
                    self.post_to(Endpoint::Engine(engine), from, boot, done);
                    self.now -= delay;
                }
            }
            Message::Run {
                key,
                generation,
                adapter,
            } => {
                self.handle_run(engine, key, generation, &adapter);
            }
            Message::Cancel(key) => {
                self.engines[engine].running.remove(&key);
            }
            _ => {}
        }
    }

    fn execute_order(
        &mut self,
        engine: usize,
        action: &PoolAction,
        fence: FencingToken,
        asked_at: crate::clock::Timestamp,
    ) -> Option<(u64, PoolEvent)> {
        let now = self.now;
        let state = &mut self.engines[engine];
        match action {
            PoolAction::Load {
                generation,
                adapter,
                ..
            } => {
                let loaded = state.failing_until <= now && state.accepts(engine, fence);
                if loaded {
                    state.adapters.insert(generation.clone(), adapter.clone());
                }
                let generation = generation.clone();
                Some((LOAD_MS, PoolEvent::LoadEnded { generation, loaded }))
            }
            PoolAction::Unload { generation, .. } => {
                let gone = state.accepts(engine, fence);
                if gone {
                    let is_serving = state
                        .running
                        .values()
                        .any(|run| run.generation == *generation);
                    let is_pinned = self.pinned.values().any(|(_, name, _)| name == generation);
                    state.adapters.remove(generation);
                    if is_serving || is_pinned {
                        self.observed.record_violation(
                            "2 a serving adapter is not evicted",
                            if is_serving { "serving" } else { "pinned" },
                        );
                    }
                }
                let generation = generation.clone();
                Some((10, PoolEvent::UnloadEnded { generation, gone }))
            }
            PoolAction::Probe { target } => {
                let listed = state
                    .adapters
                    .iter()
                    .map(|(name, adapter)| ListedGeneration {
                        name: name.clone(),
                        adapter: Some(adapter.clone()),
                    });
                let report = TargetReport {
                    asked_at,
                    boot: state.boot,
                    cold: state.cold_remaining > 0,
                    generations: listed.collect(),
                };
                let (target, report) = (target.clone(), Some(report));
                Some((10, PoolEvent::Probed { target, report }))
            }
            PoolAction::Answer { .. } => None,
        }
    }

    fn handle_run(
        &mut self,
        engine: usize,
        key: AcquireKey,
        generation: String,
        adapter: &AdapterVersion,
    ) {
        let now = self.now;
        self.observed.record_completion_run(now, &key, engine);
        let state = &mut self.engines[engine];
        let Some(loaded) = state.adapters.get(&generation) else {
            let to = Endpoint::Node(self.node_of(&key));
            self.post_delayed(
                10,
                Endpoint::Engine(engine),
                to,
                Message::RunFailed(key, ReleaseOutcome::BrokeOff),
            );
            return;
        };
        if loaded != adapter {
            self.observed.record_violation(
                "1 the requested adapter and version",
                "the generation is another adapter",
            );
        }
        let parts = match self.random.random_range(0..15) {
            0 => LONG_PARTS,
            _ => PARTS,
        };
        let run = RunningAnswer {
            generation,
            sent: 0,
            parts,
            next_at: now + PART_MS,
        };
        state.running.insert(key, run);
    }

    pub(super) fn step_engines(&mut self) {
        for engine in 0..ENGINES {
            let now = self.now;
            let running = self.engines[engine].running.iter();
            let due = running.filter(|(_, run)| run.next_at <= now);
            let due: BTreeSet<AcquireKey> = due.map(|(key, _)| key.clone()).collect();
            for key in due {
                self.send_next_part(engine, key);
            }
        }
    }

    fn send_next_part(&mut self, engine: usize, key: AcquireKey) {
        let node = self.node_of(&key);
        let Some(run) = self.engines[engine].running.get_mut(&key) else {
            return;
        };
        run.next_at += PART_MS;
        let (number, is_last) = (run.sent, run.sent + 1 == run.parts);
        run.sent += 1;
        let generation = run.generation.clone();
        let step = match number {
            0 => Some(Step::FirstByte),
            2 => Some(Step::MidStream),
            _ => None,
        };
        if let Some(step) = step {
            self.begin_step(step, Flow::Completion, node, Some(Endpoint::Engine(engine)));
        }
        // The connection of a dead process is closed, and a restarted engine has lost its answers.
        let alive = u64::from(key.boot) == self.nodes[node].boot;
        let state = &mut self.engines[engine];
        let continues = alive && state.running.contains_key(&key);
        if is_last || !alive {
            state.running.remove(&key);
        }
        if is_last {
            state.cold_remaining = state.cold_remaining.saturating_sub(1);
        }
        if continues {
            let part = StreamPart {
                id: key.clone(),
                key,
                engine,
                generation,
                number,
                is_last,
            };
            self.post(
                Endpoint::Engine(engine),
                Endpoint::Node(node),
                Message::Part(part),
            );
        }
        if step.is_some() {
            self.end_step();
        }
    }

    /// Restarts an engine without adapters and cold; answers in progress break off.
    pub(super) fn restart_engine(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        state.boot += 1;
        state.cold_remaining = COLD_ANSWERS;
        state.adapters.clear();
        state.known_cold = None;
        for key in std::mem::take(&mut state.running).into_keys() {
            let node = self.node_of(&key);
            if u64::from(key.boot) == self.nodes[node].boot {
                let failed = Message::RunFailed(key, ReleaseOutcome::BrokeOff);
                self.post_delayed(10, Endpoint::Engine(engine), Endpoint::Node(node), failed);
            }
        }
    }
}
