//! The messages between nodes, log and targets, and the network that carries them.

use std::time::Duration;

use rand::RngExt;

use super::engine::{GIVE_UP_MS, StreamPart, failed_order, lost_reply};
use super::faults::Fault;
use super::log::{Record, Stream};
use super::steps::{Exchange, Flow, Step};
use super::world::{CROSSED_MS, LATE_MS, TICK_MS, World};
use crate::claims::record::ClaimNonce;
use crate::clock::Timestamp;
use crate::ids::{AdapterVersion, FencingToken};
use crate::lease::RoleName;
use crate::ledger::wire::LedgerKind;
use crate::membership::wire::{Heartbeat, HeartbeatAnswer};
use crate::pool::event::{
    AcquireKey, AcquireRequest, NodeReport, PoolAction, PoolAnswer, PoolEvent, ReleaseOutcome,
};

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
pub(super) struct Envelope {
    pub(super) from: Place,
    pub(super) from_boot: u64,
    pub(super) to: Place,
    /// The process that the message is for: the network keeps nothing for its successor.
    pub(super) boot: u64,
    pub(super) message: Message,
}

/// What happens to the next message on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Shape {
    Late,
    Twice,
    Crossed,
    Lost,
}

impl World {
    pub(super) fn boot_of(&self, place: Place) -> u64 {
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
        let is_unload = matches!(
            envelope.message,
            Message::Order {
                action: PoolAction::Unload { .. },
                ..
            }
        );
        if is_unload && self.copies_until > self.now {
            self.deliver_after(delay + CROSSED_MS, envelope.clone());
        }
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
    pub(super) fn take_shapes(&mut self, envelope: &Envelope) -> Vec<Shape> {
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

    pub(super) fn deliver_shaped(&mut self, delay: u64, mut envelope: Envelope, shapes: &[Shape]) {
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
    pub(super) fn meet_cut(&mut self, mut envelope: Envelope) {
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

    pub(super) fn deliver_after(&mut self, delay: u64, envelope: Envelope) {
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

    pub(super) fn note_exchange(&mut self, from: Place, to: Place, message: &Message) {
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

    pub(super) fn deliver(&mut self) {
        let later = self.messages.split_off(&(self.now + 1, 0));
        let arrived = std::mem::replace(&mut self.messages, later);
        for envelope in arrived.into_values() {
            self.replies_to = Some((envelope.from, envelope.from_boot));
            self.note_message(&envelope);
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

    pub(super) fn receive(&mut self, index: usize, from: Place, message: Message) {
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
