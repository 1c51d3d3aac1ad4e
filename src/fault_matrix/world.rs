//! Three nodes, the log and the targets in one simulated time, and the network between them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::calls::FakeService;
use super::checks::Observed;
use super::engine::{ENGINES, FakeEngine, GIVE_UP_MS, StreamPart, failed_order, lost_reply};
use super::faults::Fault;
use super::log::{FakeLog, Record, Stream};
use super::node::SimNode;
use super::steps::{Exchange, Flow, Step};
use crate::claims::record::ClaimNonce;
use crate::clock::Timestamp;
use crate::config::change::ConfigEdit;
use crate::ids::{AdapterVersion, FencingToken};
use crate::lease::RoleName;
use crate::ledger::wire::LedgerKind;
use crate::membership::wire::{Heartbeat, HeartbeatAnswer};
use crate::pool::event::{
    AcquireKey, AcquireRequest, NodeReport, PoolAction, PoolAnswer, PoolEvent, ReleaseOutcome,
};

pub(super) const NODES: usize = 3;
pub(super) const TICK_MS: u64 = 25;
/// Faults strike at the first step reached after this time.
pub(super) const ARMED_MS: u64 = 6_000;
/// Callers and operators begin nothing after this time.
pub(super) const LAST_ARRIVAL_MS: u64 = 14_000;
pub(super) const END_MS: u64 = 20_000;
/// Longer than a lease and than the time in which a claim may be sent.
const FREEZE_MS: u64 = 6_000;
const CUT_MS: u64 = 6_000;
const OUTAGE_MS: u64 = 6_000;
const DOWN_MS: u64 = 3_000;
const LOADS_FAIL_MS: u64 = 4_000;
const LATE_MS: u64 = 2_500;
const CROSSED_MS: u64 = 1_500;
/// The time after which a fault that a cell has twice strikes again.
const AGAIN_MS: u64 = 1_000;

/// One end of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Place {
    Node(usize),
    Log,
    Engine(usize),
    Service,
}

#[derive(Debug, Clone)]
pub(super) enum Message {
    /// A record, and the number of the append for the reply.
    Append(Record, u64),
    /// The log took the record, or refuses it for certain.
    Appended {
        stream: Stream,
        number: u64,
        stored: bool,
    },
    /// A page of a stream up to a record, and the log's time and when the read was sent.
    Page {
        stream: Stream,
        next: usize,
        at_ms: u64,
        sent: u64,
    },
    Heartbeat(Heartbeat, Timestamp),
    HeartbeatAnswer(HeartbeatAnswer, Timestamp),
    /// To the owner of the ledger partition, and back.
    Ledger(LedgerKind),
    /// To the pool's coordinator.
    ToPool(PoolAsk),
    PoolAnswer(AcquireKey, PoolAnswer),
    /// From a coordinator to an engine, with its process.
    Order {
        action: PoolAction,
        fence: FencingToken,
        asked_at: Timestamp,
        boot: u64,
    },
    OrderDone(PoolEvent, FencingToken),
    /// A completion on its way to an engine.
    Run {
        key: AcquireKey,
        generation: String,
        adapter: AdapterVersion,
    },
    Cancel(AcquireKey),
    Part(StreamPart),
    RunFailed(AcquireKey, ReleaseOutcome),
    Handover {
        role: RoleName,
        fence: FencingToken,
        state: bytes::Bytes,
    },
    Kept(RoleName, bool),
    /// A claimed call on its way to the service, and its answer.
    Call(ClaimNonce, u8),
    CallAnswer(ClaimNonce),
}

/// What a node asks the pool's coordinator.
#[derive(Debug, Clone)]
pub(super) enum PoolAsk {
    Acquire {
        request: AcquireRequest,
        left: Duration,
    },
    Release {
        key: AcquireKey,
        outcome: ReleaseOutcome,
    },
    Report(NodeReport),
}

#[derive(Debug, Clone)]
struct Envelope {
    from: Place,
    from_boot: u64,
    to: Place,
    /// The process that the message is for: the network keeps nothing for its successor.
    boot: u64,
    message: Message,
}

/// What happens to the next message on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shape {
    Late,
    Twice,
    Crossed,
    Lost,
}

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
struct Scope {
    step: Step,
    flow: Flow,
    actor: usize,
    peer: Option<Place>,
}

#[derive(Debug)]
pub(super) struct World {
    pub(super) now: u64,
    pub(super) random: StdRng,
    pub(super) log: FakeLog,
    pub(super) nodes: Vec<SimNode>,
    pub(super) service: FakeService,
    pub(super) engines: Vec<FakeEngine>,
    /// The places that coordinators gave, until the requests end.
    pub(super) pinned: BTreeMap<AcquireKey, (usize, String, FencingToken)>,
    pub(super) has_drained: bool,
    /// When each zone that was taken out returns.
    pub(super) zone_returns: Vec<(u64, usize)>,
    /// The time before which no later part of a connection arrives.
    floors: BTreeMap<AcquireKey, u64>,
    pub(super) seen: Observed,
    pub(super) next_number: u64,
    /// Changes that operators wait to make.
    pub(super) operations: Vec<Vec<ConfigEdit>>,
    messages: BTreeMap<(u64, u64), Envelope>,
    cuts: BTreeMap<(Place, Place), u64>,
    shapes: Vec<(Place, Place, Shape, Fault)>,
    /// The step that the shapes are for.
    shaped: Option<(Step, Flow)>,
    crossed: Vec<Envelope>,
    plan: Option<Plan>,
    scope: Option<Scope>,
    struck_at: Option<u64>,
    /// The faults that strike at the end of the step that has begun.
    rest: Option<(Plan, Scope)>,
    /// The process whose message is being handled: replies go to it alone.
    replies_to: Option<(Place, u64)>,
    again: Vec<(u64, Fault, Scope)>,
    /// Faults that took effect.
    pub(super) effective: Vec<Fault>,
    pub(super) exchanges: BTreeSet<(Step, Flow, String)>,
}

impl World {
    pub(super) fn new(seed: u64, plan: Option<Plan>) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let nodes = (0..NODES).map(|index| SimNode::new(index, index as u64 + 1, 0, &mut random));
        let mut world = Self {
            now: 0,
            nodes: nodes.collect(),
            random,
            log: FakeLog::default(),
            service: FakeService::default(),
            engines: (0..ENGINES).map(|_| FakeEngine::default()).collect(),
            pinned: BTreeMap::new(),
            has_drained: false,
            zone_returns: Vec::new(),
            floors: BTreeMap::new(),
            seen: Observed::default(),
            next_number: 100,
            operations: Vec::new(),
            messages: BTreeMap::new(),
            cuts: BTreeMap::new(),
            shapes: Vec::new(),
            shaped: None,
            crossed: Vec::new(),
            plan,
            scope: None,
            struck_at: None,
            rest: None,
            replies_to: None,
            again: Vec::new(),
            effective: Vec::new(),
            exchanges: BTreeSet::new(),
        };
        world.log.publish_first(&mut world.seen);
        world
    }

    /// Whether faults are planned in this run.
    pub(super) fn has_plan(&self) -> bool {
        self.plan.is_some()
    }

    pub(super) fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// Runs the whole scenario.
    pub(super) fn run(&mut self) {
        while self.now < END_MS {
            self.now += TICK_MS;
            self.strike_again();
            self.deliver();
            self.step_operators();
            self.step_zones();
            self.step_service();
            self.step_engines();
            self.step_drains();
            self.arrivals();
            for index in 0..NODES {
                if self.nodes[index].runs(self.now) {
                    self.step_node(index);
                    self.check();
                }
            }
        }
        self.check_end();
    }

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

    fn due_plan(&self, scope: Scope) -> Option<Plan> {
        let plan = self.plan.as_ref()?;
        let due = self.now >= ARMED_MS && self.struck_at.is_none();
        // A node that is its own peer exchanges no message.
        let apart = scope.peer != Some(Place::Node(scope.actor));
        let matches = plan.step == scope.step && plan.flow == scope.flow;
        (due && apart && matches).then(|| plan.clone())
    }

    /// Strikes the faults that `chosen` selects. A fault that the cell has twice strikes again.
    fn strike_plan(&mut self, plan: &Plan, scope: Scope, chosen: impl Fn(Fault) -> bool) {
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
    fn strike_message_again(&mut self, scope: Scope) {
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

    fn strike_again(&mut self) {
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

    fn strike(&mut self, fault: Fault, scope: Scope, node: usize) {
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
            Fault::DuplicatedReply => self.shapes.push((from, to, Shape::Twice, fault)),
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

    fn kill(&mut self, index: usize, up_from: u64) {
        let (boot, old) = (self.number(), self.nodes[index].boot);
        self.nodes[index] = SimNode::new(index, boot, up_from, &mut self.random);
        self.pinned.retain(|key, _| u64::from(key.boot) != old);
        self.seen.node_restarted(index);
    }

    /// Ends a process as planned; a new one starts soon.
    pub(super) fn restart(&mut self, index: usize) {
        self.kill(index, self.now + 500);
    }

    fn boot_of(&self, place: Place) -> u64 {
        match place {
            Place::Node(index) => self.nodes[index].boot,
            _ => 0,
        }
    }

    pub(super) fn is_cut(&self, from: Place, to: Place) -> bool {
        self.cuts
            .get(&(from, to))
            .is_some_and(|until| *until > self.now)
    }

    /// Sends a message.
    pub(super) fn post(&mut self, from: Place, to: Place, message: Message) {
        let boot = match self.replies_to {
            Some((asker, boot)) if asker == to => boot,
            _ => self.boot_of(to),
        };
        self.post_to(from, to, boot, message);
    }

    /// Sends a message to one process, which may be gone.
    pub(super) fn post_to(&mut self, from: Place, to: Place, boot: u64, message: Message) {
        self.note_exchange(from, to, &message);
        let from_boot = self.boot_of(from);
        let envelope = Envelope {
            from,
            from_boot,
            to,
            boot,
            message,
        };
        let delay = self.random.random_range(1..=30);
        let due = self
            .crossed
            .extract_if(.., |other| (other.from, other.to) == (from, to));
        let crossed: Vec<Envelope> = due.collect();
        let shapes = self.take_shapes(&envelope);
        if shapes.is_empty() && self.is_cut(from, to) {
            self.meet_cut(envelope);
            return;
        }
        self.deliver_shaped(delay, envelope, &shapes);
        for envelope in crossed {
            self.deliver_after(delay + TICK_MS, envelope);
        }
    }

    /// The shapes for a message, each once. A shaped message was under way before any cut.
    fn take_shapes(&mut self, envelope: &Envelope) -> Vec<Shape> {
        let (link, shaped) = ((envelope.from, envelope.to), self.shaped);
        let mut taken: Vec<Shape> = Vec::new();
        let due = self.shapes.extract_if(.., |(from, to, shape, _)| {
            let fits = (*from, *to) == link && shape.takes(&envelope.message, shaped);
            let is_new = fits && !taken.contains(shape);
            if is_new {
                taken.push(*shape);
            }
            is_new
        });
        let faults: Vec<Fault> = due.map(|(.., fault)| fault).collect();
        self.effective.extend(faults);
        taken
    }

    fn deliver_shaped(&mut self, delay: u64, mut envelope: Envelope, shapes: &[Shape]) {
        let has = |shape| shapes.contains(&shape);
        if has(Shape::Lost) {
            return;
        }
        let late = if has(Shape::Late) { LATE_MS } else { 0 };
        if has(Shape::Twice) {
            self.deliver_after(delay + late + CROSSED_MS, envelope.clone());
        }
        if has(Shape::Crossed) {
            let Message::Part(part) = &mut envelope.message else {
                self.crossed.push(envelope);
                return;
            };
            // On one connection nothing overtakes: the target names another request.
            part.id.serial += 1;
        }
        self.deliver_after(delay + late, envelope);
    }

    /// Puts a message on its way that its sender posted before.
    pub(super) fn post_later(&mut self, delay: u64, from: Place, to: Place, message: Message) {
        let (boot, from_boot) = (self.boot_of(to), self.boot_of(from));
        if !self.is_cut(from, to) {
            self.deliver_after(
                delay,
                Envelope {
                    from,
                    from_boot,
                    to,
                    boot,
                    message,
                },
            );
        }
    }

    /// Sends a message after a time in which its sender works.
    pub(super) fn post_delayed(&mut self, delay: u64, from: Place, to: Place, message: Message) {
        // The shapes and cuts of now apply, since the step is now.
        let sent = self.now;
        self.now += delay;
        self.post(from, to, message);
        self.now = sent;
    }

    /// What the ends of a cut link see. Connections deliver when the cut is over, and orders and
    /// connection attempts fail after a while; other messages are lost.
    fn meet_cut(&mut self, mut envelope: Envelope) {
        let (from, to) = (envelope.from, envelope.to);
        let until = self.cuts.get(&(from, to)).copied().unwrap_or(self.now);
        match envelope.message {
            Message::Part(_)
            | Message::RunFailed(..)
            | Message::Cancel(_)
            | Message::CallAnswer(_) => {
                self.deliver_after(until - self.now, envelope);
            }
            Message::Run { key, .. } => {
                let failed = Message::RunFailed(key, ReleaseOutcome::ConnectFailed);
                self.post_later(GIVE_UP_MS, to, from, failed);
            }
            Message::Order { action, fence, .. } => {
                if let Some(event) = failed_order(&action) {
                    self.post_later(GIVE_UP_MS, to, from, Message::OrderDone(event, fence));
                }
            }
            Message::OrderDone(event, fence) => {
                envelope.message = Message::OrderDone(lost_reply(event), fence);
                self.deliver_after(GIVE_UP_MS, envelope);
            }
            _ => {}
        }
    }

    fn deliver_after(&mut self, delay: u64, envelope: Envelope) {
        let mut due = self.now + delay;
        if let Message::Part(StreamPart { key, .. }) | Message::RunFailed(key, _) =
            &envelope.message
        {
            let floor = self.floors.entry(key.clone()).or_default();
            due = due.max(*floor);
            *floor = due;
        }
        let number = self.number();
        self.messages.insert((due, number), envelope);
    }

    fn note_exchange(&mut self, from: Place, to: Place, message: &Message) {
        let Some(scope) = self.scope else { return };
        let own = Place::Node(scope.actor);
        let ends = [(own, scope.peer), (scope.peer.unwrap_or(own), Some(own))];
        if !ends.contains(&(from, Some(to))) || from == to {
            return;
        }
        let exchange = match message {
            Message::Append(..) => Exchange::Log,
            Message::Call(..) | Message::CallAnswer(_) | Message::Run { .. } | Message::Part(_) => {
                Exchange::Connection
            }
            _ => Exchange::Peer,
        };
        self.exchanges
            .insert((scope.step, scope.flow, exchange.to_string()));
    }

    fn deliver(&mut self) {
        let later = self.messages.split_off(&(self.now + 1, 0));
        let arrived = std::mem::replace(&mut self.messages, later);
        for envelope in arrived.into_values() {
            self.replies_to = Some((envelope.from, envelope.from_boot));
            match envelope.to {
                Place::Node(index) => {
                    let node = &self.nodes[index];
                    if node.boot != envelope.boot || node.up_from > self.now {
                        continue;
                    }
                    if node.frozen_until > self.now {
                        let delay = node.frozen_until - self.now;
                        self.deliver_after(delay, envelope);
                        continue;
                    }
                    self.receive(index, envelope.from, envelope.message);
                }
                Place::Log => self.log_receives(envelope.from, envelope.message),
                Place::Service => self.service_receives(envelope.from, envelope.message),
                Place::Engine(engine) => {
                    self.engine_receives(engine, envelope.from, envelope.message)
                }
            }
            self.check();
        }
        self.replies_to = None;
    }

    fn receive(&mut self, index: usize, from: Place, message: Message) {
        let now = self.nodes[index].local(self.now);
        match message {
            Message::Page {
                stream,
                next,
                at_ms,
                sent,
            } => {
                self.read_page(index, stream, next, at_ms, sent);
            }
            Message::Appended { number, stored, .. } => self.appended(index, number, stored),
            Message::Heartbeat(ask, sent) => {
                let answer = self.nodes[index].peers.answer(now, &ask);
                self.post(
                    Place::Node(index),
                    from,
                    Message::HeartbeatAnswer(answer, sent),
                );
            }
            Message::HeartbeatAnswer(answer, sent) => {
                self.nodes[index].peers.accept_answer(sent, now, &answer);
            }
            Message::CallAnswer(nonce) => self.call_answered(index, nonce),
            Message::Ledger(kind @ (LedgerKind::Ask(_) | LedgerKind::Report(_))) => {
                self.ledger_asked(index, from, &kind);
            }
            Message::Ledger(kind) => self.nodes[index].shares.receive(now, &kind),
            Message::ToPool(ask) => self.pool_asked(index, ask),
            Message::PoolAnswer(key, answer) => self.pool_answered(index, &key, answer),
            Message::OrderDone(event, fence) => self.feed_pool(index, Some(fence), event),
            Message::Part(part) => self.part_arrives(index, part),
            Message::RunFailed(key, outcome) => self.run_failed(index, &key, outcome),
            Message::Handover { role, fence, state } => {
                self.handover_arrives(index, from, role, fence, state);
            }
            Message::Kept(role, accepted) => self.handover_kept(index, &role, accepted),
            Message::Append(..)
            | Message::Call(..)
            | Message::Order { .. }
            | Message::Run { .. }
            | Message::Cancel(_) => {}
        }
    }
}

impl Shape {
    /// Whether the shape is for this message, which belongs to the step.
    fn takes(self, message: &Message, of: Option<(Step, Flow)>) -> bool {
        let Some((step, flow)) = of else { return false };
        let stream = match message {
            Message::Appended { stream, .. } if matches!(self, Self::Lost | Self::Late) => *stream,
            Message::Page { stream, .. } if self == Self::Late => *stream,
            Message::Append(record, _) if matches!(self, Self::Twice | Self::Crossed) => {
                record.stream()
            }
            Message::Ledger(LedgerKind::Answer(_)) => return step == Step::Charge,
            Message::Ledger(LedgerKind::Reported(_)) => return step == Step::Settle,
            Message::PoolAnswer(..) => return step == Step::Choose,
            Message::OrderDone(PoolEvent::LoadEnded { .. }, _) => return step == Step::Load,
            Message::Kept(..) => return step == Step::Drain,
            Message::Part(_) => return flow == Flow::Completion && step != Step::Load,
            Message::CallAnswer(_) => return flow == Flow::Call,
            _ => return false,
        };
        step.stream() == Some(stream)
    }
}
