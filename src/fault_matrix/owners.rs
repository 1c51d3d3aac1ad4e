//! The roles with a single owner, the ledger partition and the pool, as run by their services.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::completions::engine_index;
use super::network::{Endpoint, Message, PoolRequest};
use super::node::{node_index, node_name, roles};
use super::steps::{Flow, Step};
use super::world::{NODES, World};
use crate::config::state::ConfigState;
use crate::ids::{FencingToken, LogOffset, NodeName};
use crate::lease::rank::successor;
use crate::lease::{RoleName, RoleOrigin};
use crate::ledger::PartitionOwner;
use crate::ledger::wire::LedgerKind;
use crate::pool::coordinator::PoolCoordinator;
use crate::pool::event::{PoolAction, PoolAnswer, PoolConfig, PoolEvent, TargetSpec};

/// When the planned stop of the pool's owner begins.
const DRAIN_AT_MS: u64 = 8_000;
const HANDOVER_LIMIT_MS: u64 = 900;
/// The longest duration of a planned stop with open requests.
const DRAIN_LIMIT_MS: u64 = 7_500;

#[derive(Debug)]
pub(super) struct OwnedPool {
    pub(super) fence: FencingToken,
    coordinator: PoolCoordinator,
    applied: LogOffset,
}

#[derive(Debug)]
pub(super) struct PlannedStop {
    started: u64,
    /// The roles to hand over, their next owners, and whether the handover is complete: the state
    /// was accepted, or there is none.
    handovers: Vec<(RoleName, FencingToken, Option<NodeName>, bool)>,
    is_released: bool,
}

fn pool_config(config: &ConfigState) -> PoolConfig {
    let targets = config.targets.iter().map(|(name, target)| {
        let zone = config.zones.get(&target.zone);
        let spec = TargetSpec {
            zone: target.zone.clone(),
            in_service: zone.is_some_and(|zone| zone.in_service) && !target.leaving,
            adapter_slots: target.adapter_slots,
            request_limit: target.request_limit,
        };
        (name.clone(), spec)
    });
    let (_, model) = config
        .base_models
        .iter()
        .next()
        .expect("there is one base model");
    PoolConfig {
        targets: targets.collect(),
        loads_in_flight: model.loads_in_flight,
        loads_per_second: model.loads_per_second,
    }
}

impl World {
    /// Initialises the state of an acquired role, as the ledger and pool services do.
    pub(super) fn import_role(
        &mut self,
        index: usize,
        role: &RoleName,
        fence: FencingToken,
        origin: RoleOrigin,
    ) {
        let node = &mut self.nodes[index];
        let now = node.local_time(self.now);
        match role {
            RoleName::Ledger(_) => {
                let exact = match origin {
                    RoleOrigin::New => {
                        Some(PartitionOwner::after_claim(fence, now).with_full_accounts(now))
                    }
                    RoleOrigin::HandedOver(bytes) => PartitionOwner::import(&bytes, fence, now),
                    RoleOrigin::Kept => node
                        .partition
                        .take()
                        .and_then(|owner| PartitionOwner::import(&owner.export(now), fence, now)),
                    RoleOrigin::Lost => None,
                };
                node.partition =
                    Some(exact.unwrap_or_else(|| PartitionOwner::after_claim(fence, now)));
            }
            RoleName::Pool(_) => {
                node.pool_handover = match origin {
                    RoleOrigin::HandedOver(bytes) => Some(bytes.into()),
                    _ => None,
                };
            }
            RoleName::ConfigSnapshot => {}
        }
    }

    /// Answers a request to the ledger partition if this node owns it.
    pub(super) fn handle_ledger_request(
        &mut self,
        index: usize,
        from: Endpoint,
        kind: &LedgerKind,
    ) {
        let held = self.nodes[index].fence(&roles()[0], self.now);
        let node = &mut self.nodes[index];
        let now = node.local_time(self.now);
        let rates = &node.config.rates;
        let rate_of = |account: &_| rates.get(account).copied();
        let Some(owner) = node
            .partition
            .as_mut()
            .filter(|owner| Some(owner.fence) == held)
        else {
            return;
        };
        let answer = match kind {
            LedgerKind::GrantRequest(request) => {
                let rate = request
                    .account
                    .parse()
                    .ok()
                    .and_then(|account| rate_of(&account));
                rate.and_then(|rate| owner.grant(now, rate, request))
                    .map(LedgerKind::GrantResponse)
            }
            LedgerKind::Report(report) => owner
                .apply_report(now, rate_of, report)
                .map(LedgerKind::ReportResponse),
            _ => None,
        };
        if let Some(answer) = answer {
            self.post(Endpoint::Node(index), from, Message::Ledger(answer));
        }
    }

    /// Starts a coordinator when the node acquires the pool, and passes time and configuration
    /// changes to it.
    pub(super) fn step_pool(&mut self, index: usize) {
        let now = self.now;
        let held = self.nodes[index].fence(&roles()[1], now);
        let Some(fence) = held else { return };
        let offset = self.nodes[index].config.next_offset();
        if offset == LogOffset::default() {
            return;
        }
        if self.nodes[index]
            .pool
            .as_ref()
            .is_none_or(|pool| pool.fence != fence)
        {
            let seed = StdRng::seed_from_u64(self.random.random());
            let node = &mut self.nodes[index];
            let local = node.local_time(now);
            let mut coordinator = PoolCoordinator::new(fence, local, seed);
            let actions =
                coordinator.handle(local, PoolEvent::Configured(pool_config(&node.config)));
            if let Some(state) = node.pool_handover.take() {
                assert!(
                    coordinator.import(&state),
                    "the handed over state is malformed"
                );
            }
            node.pool = Some(OwnedPool {
                fence,
                coordinator,
                applied: offset,
            });
            self.execute_actions(index, fence, actions);
            let names = (0..NODES).map(node_name).collect();
            self.handle_pool_event(index, Some(fence), PoolEvent::NodesKnown(names));
        }
        if let Some(pool) = &mut self.nodes[index].pool
            && pool.applied != offset
        {
            pool.applied = offset;
            let config = pool_config(&self.nodes[index].config);
            self.handle_pool_event(index, Some(fence), PoolEvent::Configured(config));
        }
        self.handle_pool_event(index, Some(fence), PoolEvent::Tick);
    }

    /// Passes an event to the coordinator if the node holds the pool's lease.
    pub(super) fn handle_pool_event(
        &mut self,
        index: usize,
        sender_fence: Option<FencingToken>,
        event: PoolEvent,
    ) {
        let Some(held) = self.nodes[index].fence(&roles()[1], self.now) else {
            return;
        };
        if let PoolEvent::Probed {
            target,
            report: Some(report),
        } = &event
            && sender_fence == Some(held)
        {
            let engine = &mut self.engines[engine_index(target)];
            if engine.boot == report.boot {
                engine.known_cold = report.cold.then_some(held);
            }
        }
        let node = &mut self.nodes[index];
        let local = node.local_time(self.now);
        let Some(pool) = node.pool.as_mut().filter(|pool| pool.fence == held) else {
            return;
        };
        if sender_fence.is_some_and(|fence| fence != held) {
            return;
        }
        let actions = pool.coordinator.handle(local, event);
        self.execute_actions(index, held, actions);
    }

    fn execute_actions(&mut self, index: usize, fence: FencingToken, actions: Vec<PoolAction>) {
        for action in actions {
            let own = Endpoint::Node(index);
            let (PoolAction::Load { target, .. }
            | PoolAction::Unload { target, .. }
            | PoolAction::Probe { target }) = &action
            else {
                self.answer_acquire(index, fence, action);
                continue;
            };
            let engine = Endpoint::Engine(engine_index(target));
            let is_load = matches!(action, PoolAction::Load { .. });
            if is_load && !self.begin_step(Step::Load, Flow::Completion, index, Some(engine)) {
                return;
            }
            let (asked_at, boot) = (
                self.nodes[index].local_time(self.now),
                self.nodes[index].boot,
            );
            self.post(
                own,
                engine,
                Message::Order {
                    action,
                    fence,
                    asked_at,
                    boot,
                },
            );
            if is_load {
                self.end_step();
            }
            if !self.nodes[index].is_running(self.now) {
                return;
            }
        }
    }

    fn answer_acquire(&mut self, index: usize, fence: FencingToken, action: PoolAction) {
        let PoolAction::Answer { key, answer } = action else {
            return;
        };
        let node = self.node_of(&key);
        let boot = u64::from(key.boot);
        let is_up = self.nodes[node].boot == boot;
        if let PoolAnswer::Pinned {
            target, generation, ..
        } = &answer
        {
            let engine = engine_index(target);
            // A pin of an earlier coordinator counts only while the engine runs its request.
            let running = &self.engines[engine];
            let pinned_here =
                self.pinned
                    .iter()
                    .filter(|(other, (pinned_engine, _, pin_fence))| {
                        *pinned_engine == engine
                            && **other != key
                            && (*pin_fence == fence || running.is_running(other))
                    });
            let is_second = pinned_here.count() > 0 && !self.pinned.contains_key(&key);
            if is_second && running.known_cold == Some(fence) {
                self.observed.record_violation(
                    "7 a cold target gets one request at a time",
                    "a second request was pinned",
                );
            }
            let open = &self.nodes[node].completions.open;
            if is_up && open.contains_key(&key.serial) {
                self.pinned
                    .insert(key.clone(), (engine, generation.clone(), fence));
            }
        }
        let message = Message::PoolAnswer(key, answer);
        self.post_to(Endpoint::Node(index), Endpoint::Node(node), boot, message);
    }

    pub(super) fn handle_pool_request(&mut self, index: usize, request: PoolRequest) {
        let event = match request {
            PoolRequest::Acquire { mut request, left } => {
                request.deadline = self.nodes[index].local_time(self.now) + left;
                PoolEvent::Acquire(request)
            }
            PoolRequest::Release { key, outcome } => PoolEvent::Release { key, outcome },
            PoolRequest::Report(report) => PoolEvent::Reported(report),
        };
        self.handle_pool_event(index, None, event);
    }

    /// Starts the planned stop of the pool's owner once per run, and advances stops in progress.
    pub(super) fn step_drains(&mut self) {
        let now = self.now;
        if now >= DRAIN_AT_MS && !self.has_drained && !self.is_scripted {
            let is_holder = |index: &usize| {
                self.nodes[*index].is_running(now)
                    && self.nodes[*index].fence(&roles()[1], now).is_some()
            };
            if let Some(index) = (0..NODES).find(is_holder) {
                self.has_drained = true;
                self.begin_stop(index);
            }
        }
        for index in 0..NODES {
            if self.nodes[index].is_running(now) && self.nodes[index].stop.is_some() {
                self.step_stop(index);
            }
        }
    }

    fn begin_stop(&mut self, index: usize) {
        let boot = self.nodes[index].boot;
        let node = &mut self.nodes[index];
        node.peers.local.leaving = true;
        let (local, own) = (node.local_time(self.now), node_name(index));
        let live = node.peers.live_nodes(local);
        let relinquished = node.leases.relinquish_all();
        let mut handovers = Vec::new();
        for (role, fence) in &relinquished {
            let next = successor(role, &own, &live).cloned();
            let state = self.export_role(index, role);
            let is_complete = state.is_none();
            handovers.push((role.clone(), *fence, next.clone(), is_complete));
        }
        let (started, is_released) = (self.now, false);
        self.nodes[index].stop = Some(PlannedStop {
            started,
            handovers: handovers.clone(),
            is_released,
        });
        for (role, fence, next, is_complete) in handovers {
            let Some(next) = next.filter(|_| !is_complete) else {
                continue;
            };
            let peer = Endpoint::Node(node_index(&next));
            let Some(state) = self.export_role(index, &role) else {
                continue;
            };
            if !self.begin_step(Step::Drain, Flow::Control, index, Some(peer)) {
                return;
            }
            let message = Message::Handover { role, fence, state };
            self.post(Endpoint::Node(index), peer, message);
            self.end_step();
            if self.nodes[index].boot != boot {
                return;
            }
        }
    }

    fn export_role(&self, index: usize, role: &RoleName) -> Option<bytes::Bytes> {
        let node = &self.nodes[index];
        match role {
            RoleName::Ledger(_) => {
                let owner = node.partition.as_ref()?;
                Some(owner.export(node.local_time(self.now)).into())
            }
            RoleName::Pool(_) => Some(node.pool.as_ref()?.coordinator.export().into()),
            RoleName::ConfigSnapshot => None,
        }
    }

    pub(super) fn handle_handover(
        &mut self,
        index: usize,
        from: Endpoint,
        role: RoleName,
        fence: FencingToken,
        state: bytes::Bytes,
    ) {
        let node = &mut self.nodes[index];
        let accepted = !node.peers.local.leaving;
        if accepted {
            node.leases.store_handover(role.clone(), fence, state);
        }
        self.post(
            Endpoint::Node(index),
            from,
            Message::HandoverReply(role, accepted),
        );
    }

    pub(super) fn handle_handover_reply(&mut self, index: usize, role: &RoleName, accepted: bool) {
        if let Some(stop) = &mut self.nodes[index].stop {
            for handover in &mut stop.handovers {
                handover.3 |= handover.0 == *role && accepted;
            }
        }
    }

    fn step_stop(&mut self, index: usize) {
        let now = self.now;
        let Some(stop) = &self.nodes[index].stop else {
            return;
        };
        let (age, all_complete) = (
            now - stop.started,
            stop.handovers.iter().all(|handover| handover.3),
        );
        if !stop.is_released && (all_complete || age >= HANDOVER_LIMIT_MS) {
            self.release_roles(index);
        }
        let node = &self.nodes[index];
        let idle =
            node.completions.open.is_empty() && node.calls.is_empty() && node.writing.is_none();
        if age >= 2_000 && (idle || age >= DRAIN_LIMIT_MS) {
            if !idle && !self.has_plan() {
                self.observed.record_violation(
                    "13 a planned stop cuts no request",
                    "a request is still open when the process ends",
                );
            }
            self.restart(index);
        }
    }

    fn release_roles(&mut self, index: usize) {
        let Some(stop) = &mut self.nodes[index].stop else {
            return;
        };
        stop.is_released = true;
        let handovers = stop.handovers.clone();
        for (role, _, next, is_complete) in handovers {
            let number = self.next_id();
            let next = next.filter(|_| is_complete);
            let record = self.nodes[index].leases.release(number, vec![role], next);
            self.append(index, super::log::Record::Lease(record));
        }
    }
}
