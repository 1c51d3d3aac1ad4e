//! When the faults of a cell strike, and what they do.

use super::faults::Fault;
use super::network::{Place, Shape};
use super::node::SimNode;
use super::steps::{Flow, Step};
use super::world::{
    AGAIN_MS, ARMED_MS, CUT_MS, DOWN_MS, FREEZE_MS, LOADS_FAIL_MS, NODES, OUTAGE_MS, World,
};

/// The faults of a run, and where and when they strike.
#[derive(Debug, Clone)]
pub(super) struct Plan {
    pub(super) step: Step,
    pub(super) flow: Flow,
    pub(super) faults: Vec<Fault>,
    /// Whether kills and freezes strike the other node of the step.
    pub(super) at_peer: bool,
    /// Whether kills and freezes strike after the step's action and not before it.
    pub(super) after: bool,
}

/// A step that is being carried out.
#[derive(Debug, Clone, Copy)]
pub(super) struct Scope {
    pub(super) step: Step,
    pub(super) flow: Flow,
    pub(super) actor: usize,
    pub(super) peer: Option<Place>,
}

impl World {
    /// Begins a step of a node. `false` when a fault ended or paused the node just before.
    pub(super) fn begin(
        &mut self,
        step: Step,
        flow: Flow,
        actor: usize,
        peer: Option<Place>,
    ) -> bool {
        let scope = Scope {
            step,
            flow,
            actor,
            peer,
        };
        self.scope = Some(scope);
        self.strike_message_again(scope);
        if let Some(plan) = self.due_plan(scope) {
            self.struck_at = Some(self.now);
            self.shaped = Some((step, flow));
            self.strike_plan(&plan, scope, Fault::is_of_message);
            if plan.after {
                self.rest = Some((plan, scope));
            } else {
                self.strike_plan(&plan, scope, |fault| !fault.is_of_message());
            }
        }
        let goes_on = self.nodes[actor].runs(self.now);
        if !goes_on {
            self.scope = None;
        }
        goes_on
    }

    /// Ends the step that was begun last.
    pub(super) fn end(&mut self) {
        self.scope = None;
        if let Some((plan, scope)) = self.rest.take() {
            self.strike_plan(&plan, scope, |fault| !fault.is_of_message());
        }
    }

    pub(super) fn due_plan(&self, scope: Scope) -> Option<Plan> {
        let plan = self.plan.as_ref()?;
        let due = self.now >= ARMED_MS && self.struck_at.is_none();
        // A node that is its own peer exchanges no message.
        let apart = scope.peer != Some(Place::Node(scope.actor));
        let matches = plan.step == scope.step && plan.flow == scope.flow;
        (due && apart && matches).then(|| plan.clone())
    }

    /// Strikes the faults that `chosen` selects. A fault that the cell has twice strikes again.
    pub(super) fn strike_plan(
        &mut self,
        plan: &Plan,
        scope: Scope,
        chosen: impl Fn(Fault) -> bool,
    ) {
        let mut hit: Option<usize> = None;
        for (index, fault) in plan.faults.iter().enumerate() {
            if !chosen(*fault) {
                continue;
            }
            if index > 0 && plan.faults[..index].contains(fault) {
                self.again.push((self.now + AGAIN_MS, *fault, scope));
                continue;
            }
            let node = match (*fault, scope.peer) {
                (Fault::Kill | Fault::Freeze, Some(Place::Node(peer)))
                    if plan.at_peer || hit == Some(scope.actor) =>
                {
                    peer
                }
                _ => scope.actor,
            };
            if matches!(fault, Fault::Kill | Fault::Freeze) {
                // A dead process can't be paused: the second fault hits another node.
                let node = if hit == Some(node) {
                    (node + 1) % NODES
                } else {
                    node
                };
                hit = Some(node);
                self.strike(*fault, scope, node);
            } else {
                self.strike(*fault, scope, node);
            }
        }
    }

    /// A fault of messages strikes again when the step is reached again.
    pub(super) fn strike_message_again(&mut self, scope: Scope) {
        let now = self.now;
        let due = self.again.extract_if(.., |(at, fault, of)| {
            let reached = (of.step, of.flow) == (scope.step, scope.flow);
            let apart = scope.peer != Some(Place::Node(scope.actor));
            *at <= now && fault.is_of_message() && reached && apart
        });
        for (_, fault, _) in due.collect::<Vec<_>>() {
            self.strike(fault, scope, scope.actor);
        }
    }

    pub(super) fn strike_again(&mut self) {
        let now = self.now;
        let due = |(at, fault, _): &mut (u64, Fault, Scope)| *at <= now && !fault.is_of_message();
        let due: Vec<_> = self.again.extract_if(.., due).collect();
        for (_, fault, scope) in due {
            // The node of the first strike may be down: the second kill hits the next node.
            let alive = |index: &usize| self.nodes[*index].runs(now);
            let node = (0..NODES)
                .map(|step| (scope.actor + step) % NODES)
                .find(alive);
            self.strike(fault, scope, node.unwrap_or(scope.actor));
        }
    }

    pub(super) fn strike(&mut self, fault: Fault, scope: Scope, node: usize) {
        let (own, now) = (Place::Node(scope.actor), self.now);
        let peer = scope.peer.unwrap_or(own);
        let engine = match scope.peer {
            Some(Place::Engine(engine)) => engine,
            _ => 0,
        };
        // The log answers an append late, stores it twice, or stores two in the other order.
        let (from, to) = match scope.peer {
            Some(Place::Log) if fault != Fault::LateReply => (own, Place::Log),
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
            Fault::LateReply => self.shapes.push((from, to, Shape::Late, fault)),
            Fault::DuplicatedReply => {
                self.shapes.push((from, to, Shape::Twice, fault));
                self.copies_until = now + CUT_MS;
            }
            Fault::CrossedReplies => self.shapes.push((from, to, Shape::Crossed, fault)),
            Fault::AppendReplyLost => self.shapes.push((Place::Log, own, Shape::Lost, fault)),
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
        if !fault.is_of_message() {
            self.effective.push(fault);
        }
    }

    pub(super) fn kill(&mut self, index: usize, up_from: u64) {
        let (boot, old) = (self.number(), self.nodes[index].boot);
        self.nodes[index] = SimNode::new(index, boot, up_from, &mut self.random);
        self.pinned.retain(|key, _| u64::from(key.boot) != old);
        self.seen.node_restarted(index);
    }

    /// Ends a process as planned; a new one starts soon.
    pub(super) fn restart(&mut self, index: usize) {
        self.kill(index, self.now + 500);
    }
}
