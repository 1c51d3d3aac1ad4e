//! Fault injection: when the faults of a cell are injected, and their effects.

use super::faults::Fault;
use super::network::{Endpoint, LinkFault};
use super::node::SimNode;
use super::steps::{Flow, Step};
use super::world::{
    CUT_MS, DOWN_MS, FAULTS_FROM_MS, FREEZE_MS, LOADS_FAIL_MS, NODES, OUTAGE_MS, REPEAT_DELAY_MS,
    World,
};

/// The faults of a run, and the point at which they are injected.
#[derive(Debug, Clone)]
pub(super) struct Plan {
    pub(super) step: Step,
    pub(super) flow: Flow,
    pub(super) faults: Vec<Fault>,
    /// Whether kills and freezes affect the peer of the step instead of the acting node.
    pub(super) at_peer: bool,
    /// Whether kills and freezes are injected after the step's action instead of before it.
    pub(super) after: bool,
}

/// The step in progress, with the acting node and its peer.
#[derive(Debug, Clone, Copy)]
pub(super) struct Scope {
    pub(super) step: Step,
    pub(super) flow: Flow,
    pub(super) actor: usize,
    pub(super) peer: Option<Endpoint>,
}

impl World {
    /// Begins a step of a node and injects the faults due at it. Returns `false` if the node was
    /// killed or paused by one of them.
    pub(super) fn begin_step(
        &mut self,
        step: Step,
        flow: Flow,
        actor: usize,
        peer: Option<Endpoint>,
    ) -> bool {
        let scope = Scope {
            step,
            flow,
            actor,
            peer,
        };
        self.scope = Some(scope);
        self.inject_message_repeats(scope);
        if let Some(plan) = self.due_plan(scope) {
            self.injected_at = Some(self.now);
            self.faulted_step = Some((step, flow));
            self.inject_plan(&plan, scope, Fault::affects_message);
            if plan.after {
                self.deferred_plan = Some((plan, scope));
            } else {
                self.inject_plan(&plan, scope, |fault| !fault.affects_message());
            }
        }
        let continues = self.nodes[actor].is_running(self.now);
        if !continues {
            self.scope = None;
        }
        continues
    }

    /// Ends the current step and injects the faults deferred to its end.
    pub(super) fn end_step(&mut self) {
        self.scope = None;
        if let Some((plan, scope)) = self.deferred_plan.take() {
            self.inject_plan(&plan, scope, |fault| !fault.affects_message());
        }
    }

    pub(super) fn due_plan(&self, scope: Scope) -> Option<Plan> {
        let plan = self.plan.as_ref()?;
        let due = self.now >= FAULTS_FROM_MS && self.injected_at.is_none();
        // A step whose peer is the node itself exchanges no messages.
        let is_remote = scope.peer != Some(Endpoint::Node(scope.actor));
        let matches = plan.step == scope.step && plan.flow == scope.flow;
        (due && is_remote && matches).then(|| plan.clone())
    }

    /// Injects the faults that `is_selected` accepts. A fault listed twice is scheduled to repeat.
    pub(super) fn inject_plan(
        &mut self,
        plan: &Plan,
        scope: Scope,
        is_selected: impl Fn(Fault) -> bool,
    ) {
        let mut affected: Option<usize> = None;
        for (index, fault) in plan.faults.iter().enumerate() {
            if !is_selected(*fault) {
                continue;
            }
            if index > 0 && plan.faults[..index].contains(fault) {
                self.repeats
                    .push((self.now + REPEAT_DELAY_MS, *fault, scope));
                continue;
            }
            // After a kill or freeze of the acting node, a second one affects the peer.
            let node = match (*fault, scope.peer) {
                (Fault::Kill | Fault::Freeze, Some(Endpoint::Node(peer)))
                    if plan.at_peer || affected == Some(scope.actor) =>
                {
                    peer
                }
                _ => scope.actor,
            };
            if matches!(fault, Fault::Kill | Fault::Freeze) {
                // A dead process can't be paused, so the second fault affects another node.
                let node = if affected == Some(node) {
                    (node + 1) % NODES
                } else {
                    node
                };
                affected = Some(node);
                self.inject(*fault, scope, node);
            } else {
                self.inject(*fault, scope, node);
            }
        }
    }

    /// Repeats faults that affect messages when their step is reached again.
    pub(super) fn inject_message_repeats(&mut self, scope: Scope) {
        let now = self.now;
        let due = self.repeats.extract_if(.., |(at, fault, repeated)| {
            let reached = (repeated.step, repeated.flow) == (scope.step, scope.flow);
            let is_remote = scope.peer != Some(Endpoint::Node(scope.actor));
            *at <= now && fault.affects_message() && reached && is_remote
        });
        for (_, fault, _) in due.collect::<Vec<_>>() {
            self.inject(fault, scope, scope.actor);
        }
    }

    pub(super) fn inject_repeats(&mut self) {
        let now = self.now;
        let due = |(at, fault, _): &mut (u64, Fault, Scope)| *at <= now && !fault.affects_message();
        let due: Vec<_> = self.repeats.extract_if(.., due).collect();
        for (_, fault, scope) in due {
            // The first affected node may still be down, so the next running node is used.
            let alive = |index: &usize| self.nodes[*index].is_running(now);
            let node = (0..NODES)
                .map(|step| (scope.actor + step) % NODES)
                .find(alive);
            self.inject(fault, scope, node.unwrap_or(scope.actor));
        }
    }

    pub(super) fn inject(&mut self, fault: Fault, scope: Scope, node: usize) {
        let (own, now) = (Endpoint::Node(scope.actor), self.now);
        let peer = scope.peer.unwrap_or(own);
        let engine = match scope.peer {
            Some(Endpoint::Engine(engine)) => engine,
            _ => 0,
        };
        // On the link to the log, a late reply delays the reply to an append. Duplication and
        // reordering affect the append itself, which is stored twice or out of order.
        let (from, to) = match scope.peer {
            Some(Endpoint::Log) if fault != Fault::LateReply => (own, Endpoint::Log),
            _ => (peer, own),
        };
        match fault {
            Fault::Kill => self.kill(node, now + DOWN_MS),
            Fault::Freeze => self.nodes[node].frozen_until = now + FREEZE_MS,
            Fault::CutTowards => {
                self.cuts.insert((own, peer), now + CUT_MS);
            }
            Fault::CutFrom => {
                self.cuts.insert((peer, own), now + CUT_MS);
            }
            Fault::LateReply => self.link_faults.push((from, to, LinkFault::Delay, fault)),
            Fault::DuplicatedReply => {
                self.link_faults
                    .push((from, to, LinkFault::Duplicate, fault));
                self.duplicate_unloads_until = now + CUT_MS;
            }
            Fault::CrossedReplies => self.link_faults.push((from, to, LinkFault::Reorder, fault)),
            Fault::AppendReplyLost => {
                self.link_faults
                    .push((Endpoint::Log, own, LinkFault::Drop, fault))
            }
            Fault::LogDown => self.log.down_until = now + OUTAGE_MS,
            Fault::LogSlow => self.log.slow_until = now + OUTAGE_MS,
            Fault::LoadFails => {
                for engine in &mut self.engines {
                    engine.failing_until = now + LOADS_FAIL_MS;
                }
            }
            Fault::EngineRestarts => self.restart_engine(engine),
            Fault::ZoneOut => self.take_zone_out(engine),
            Fault::KeyRevoked => self.revoke_key(),
            Fault::TwoOperators => self.race_operators(),
        }
        if !fault.affects_message() {
            self.effective_faults.push(fault);
        }
    }

    pub(super) fn kill(&mut self, index: usize, up_from: u64) {
        let (boot, old) = (self.next_id(), self.nodes[index].boot);
        self.nodes[index] = SimNode::new(index, boot, up_from, &mut self.random);
        self.pinned.retain(|key, _| u64::from(key.boot) != old);
        self.observed.reset_node(index);
    }

    /// Ends a process as in a planned stop; its successor starts 500 ms later.
    pub(super) fn restart(&mut self, index: usize) {
        self.kill(index, self.now + 500);
    }
}
