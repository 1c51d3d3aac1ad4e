//! The messages between nodes, log and targets, and the simulated network.

use std::time::Duration;

use rand::RngExt;

use super::engine::{SENDER_TIMEOUT_MS, StreamPart, failed_order, with_reply_lost};
use super::faults::Fault;
use super::log::{Record, Stream};
use super::steps::{Exchange, Flow, Step};
use super::world::{DUPLICATE_DELAY_MS, LATE_REPLY_MS, TICK_MS, World};
use crate::claims::record::ClaimNonce;
use crate::clock::Timestamp;
use crate::ids::{AdapterVersion, FencingToken};
use crate::lease::RoleName;
use crate::ledger::wire::LedgerKind;
use crate::membership::wire::{Heartbeat, HeartbeatAnswer};
use crate::pool::event::{
    AcquireKey, AcquireRequest, NodeReport, PoolAction, PoolAnswer, PoolEvent, ReleaseOutcome,
};

/// The sender or receiver of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Endpoint {
    Node(usize),
    Log,
    Engine(usize),
    Service,
}

#[derive(Debug, Clone)]
pub(super) enum Message {
    /// A record, and the ID of the append, which the reply repeats.
    Append(Record, u64),
    /// The reply to an append: stored, or definitely not stored.
    Appended {
        stream: Stream,
        number: u64,
        stored: bool,
    },
    /// A page of a stream: the offset after its last record, the log's time and when the read
    /// was sent.
    Page {
        stream: Stream,
        next: usize,
        at_ms: u64,
        sent: u64,
    },
    Heartbeat(Heartbeat, Timestamp),
    HeartbeatAnswer(HeartbeatAnswer, Timestamp),
    /// Requests to the owner of the ledger partition, and its replies.
    Ledger(LedgerKind),
    /// A request to the pool's coordinator.
    ToPool(PoolRequest),
    PoolAnswer(AcquireKey, PoolAnswer),
    /// An order from a coordinator to an engine, with the boot of the coordinator's process.
    Order {
        action: PoolAction,
        fence: FencingToken,
        asked_at: Timestamp,
        boot: u64,
    },
    /// The result of an order, with the fencing token of the order.
    OrderDone(PoolEvent, FencingToken),
    /// A completion sent to an engine.
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
    HandoverReply(RoleName, bool),
    /// A claimed call sent to the service, and its answer.
    Call(ClaimNonce, u8),
    CallAnswer(ClaimNonce),
}

/// A request from a node to the pool's coordinator.
#[derive(Debug, Clone)]
pub(super) enum PoolRequest {
    Acquire {
        request: AcquireRequest,
        /// The time until the request's deadline.
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
    pub(super) from: Endpoint,
    pub(super) from_boot: u64,
    pub(super) to: Endpoint,
    /// The receiving process. The message is dropped if that process has been replaced.
    pub(super) boot: u64,
    pub(super) message: Message,
}

/// A fault that affects the next matching message on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LinkFault {
    Delay,
    Duplicate,
    Reorder,
    Drop,
}

impl World {
    pub(super) fn boot_of(&self, endpoint: Endpoint) -> u64 {
        match endpoint {
            Endpoint::Node(index) => self.nodes[index].boot,
            _ => 0,
        }
    }

    pub(super) fn is_cut(&self, from: Endpoint, to: Endpoint) -> bool {
        self.cuts
            .get(&(from, to))
            .is_some_and(|until| *until > self.now)
    }

    /// Sends a message to the current process at `to`, or to the one that is being replied to.
    pub(super) fn post(&mut self, from: Endpoint, to: Endpoint, message: Message) {
        let boot = match self.reply_recipient {
            Some((recipient, boot)) if recipient == to => boot,
            _ => self.boot_of(to),
        };
        self.post_to(from, to, boot, message);
    }

    /// Sends a message to a given process, which may have ended.
    pub(super) fn post_to(&mut self, from: Endpoint, to: Endpoint, boot: u64, message: Message) {
        self.record_exchange(from, to, &message);
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
            .reordered
            .extract_if(.., |other| (other.from, other.to) == (from, to));
        let reordered: Vec<Envelope> = due.collect();
        let is_unload = matches!(
            envelope.message,
            Message::Order {
                action: PoolAction::Unload { .. },
                ..
            }
        );
        if is_unload && self.duplicate_unloads_until > self.now {
            self.deliver_after(delay + DUPLICATE_DELAY_MS, envelope.clone());
        }
        let link_faults = self.take_link_faults(&envelope);
        if link_faults.is_empty() && self.is_cut(from, to) {
            self.deliver_over_cut(envelope);
            return;
        }
        self.deliver_with_faults(delay, envelope, &link_faults);
        for envelope in reordered {
            self.deliver_after(delay + TICK_MS, envelope);
        }
    }

    /// Removes and returns the link faults for a message, at most one of each kind. A message with
    /// link faults counts as sent before any cut.
    pub(super) fn take_link_faults(&mut self, envelope: &Envelope) -> Vec<LinkFault> {
        let (link, faulted_step) = ((envelope.from, envelope.to), self.faulted_step);
        let mut taken: Vec<LinkFault> = Vec::new();
        let due = self
            .link_faults
            .extract_if(.., |(from, to, link_fault, _)| {
                let fits =
                    (*from, *to) == link && link_fault.applies_to(&envelope.message, faulted_step);
                let is_new = fits && !taken.contains(link_fault);
                if is_new {
                    taken.push(*link_fault);
                }
                is_new
            });
        let faults: Vec<Fault> = due.map(|(.., fault)| fault).collect();
        self.effective_faults.extend(faults);
        taken
    }

    pub(super) fn deliver_with_faults(
        &mut self,
        delay: u64,
        mut envelope: Envelope,
        link_faults: &[LinkFault],
    ) {
        let has = |link_fault| link_faults.contains(&link_fault);
        if has(LinkFault::Drop) {
            return;
        }
        let late = if has(LinkFault::Delay) {
            LATE_REPLY_MS
        } else {
            0
        };
        if has(LinkFault::Duplicate) {
            self.deliver_after(delay + late + DUPLICATE_DELAY_MS, envelope.clone());
        }
        if has(LinkFault::Reorder) {
            let Message::Part(part) = &mut envelope.message else {
                self.reordered.push(envelope);
                return;
            };
            // The bytes of a connection stay in order, so the part names another request instead.
            part.id.serial += 1;
        }
        self.deliver_after(delay + late, envelope);
    }

    /// Schedules a message without link faults. It is lost if the link is cut now.
    pub(super) fn schedule_message(
        &mut self,
        delay: u64,
        from: Endpoint,
        to: Endpoint,
        message: Message,
    ) {
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

    /// Sends a message after its sender's processing time.
    pub(super) fn post_delayed(
        &mut self,
        delay: u64,
        from: Endpoint,
        to: Endpoint,
        message: Message,
    ) {
        // The step is in progress now, so the current link faults apply.
        let sent = self.now;
        self.now += delay;
        self.post(from, to, message);
        self.now = sent;
    }

    /// Handles a message on a cut link. Connections deliver it when the cut is over, orders and
    /// connection attempts fail after a timeout, and other messages are lost.
    pub(super) fn deliver_over_cut(&mut self, mut envelope: Envelope) {
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
                self.schedule_message(SENDER_TIMEOUT_MS, to, from, failed);
            }
            Message::Order { action, fence, .. } => {
                if let Some(event) = failed_order(&action) {
                    self.schedule_message(
                        SENDER_TIMEOUT_MS,
                        to,
                        from,
                        Message::OrderDone(event, fence),
                    );
                }
            }
            Message::OrderDone(event, fence) => {
                envelope.message = Message::OrderDone(with_reply_lost(event), fence);
                self.deliver_after(SENDER_TIMEOUT_MS, envelope);
            }
            _ => {}
        }
    }

    pub(super) fn deliver_after(&mut self, delay: u64, envelope: Envelope) {
        let mut due = self.now + delay;
        if let Message::Part(StreamPart { key, .. }) | Message::RunFailed(key, _) =
            &envelope.message
        {
            let earliest = self.earliest_arrivals.entry(key.clone()).or_default();
            due = due.max(*earliest);
            *earliest = due;
        }
        let number = self.next_id();
        self.messages.insert((due, number), envelope);
    }

    pub(super) fn record_exchange(&mut self, from: Endpoint, to: Endpoint, message: &Message) {
        let Some(scope) = self.scope else { return };
        let own = Endpoint::Node(scope.actor);
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
            self.reply_recipient = Some((envelope.from, envelope.from_boot));
            self.record_message(&envelope);
            match envelope.to {
                Endpoint::Node(index) => {
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
                Endpoint::Log => self.handle_log_message(envelope.from, envelope.message),
                Endpoint::Service => self.handle_service_message(envelope.from, envelope.message),
                Endpoint::Engine(engine) => {
                    self.handle_engine_message(engine, envelope.from, envelope.message)
                }
            }
            self.check();
        }
        self.reply_recipient = None;
    }

    pub(super) fn receive(&mut self, index: usize, from: Endpoint, message: Message) {
        let now = self.nodes[index].local_time(self.now);
        match message {
            Message::Page {
                stream,
                next,
                at_ms,
                sent,
            } => {
                self.read_page(index, stream, next, at_ms, sent);
            }
            Message::Appended { number, stored, .. } => {
                self.handle_append_reply(index, number, stored)
            }
            Message::Heartbeat(heartbeat, sent) => {
                let answer = self.nodes[index].peers.answer_heartbeat(now, &heartbeat);
                self.post(
                    Endpoint::Node(index),
                    from,
                    Message::HeartbeatAnswer(answer, sent),
                );
            }
            Message::HeartbeatAnswer(answer, sent) => {
                self.nodes[index].peers.apply_answer(sent, now, &answer);
            }
            Message::CallAnswer(nonce) => self.handle_call_answer(index, nonce),
            Message::Ledger(kind @ (LedgerKind::GrantRequest(_) | LedgerKind::Report(_))) => {
                self.handle_ledger_request(index, from, &kind);
            }
            Message::Ledger(kind) => self.nodes[index].limiter.receive(now, &kind),
            Message::ToPool(request) => self.handle_pool_request(index, request),
            Message::PoolAnswer(key, answer) => self.handle_pool_reply(index, &key, answer),
            Message::OrderDone(event, fence) => self.handle_pool_event(index, Some(fence), event),
            Message::Part(part) => self.handle_part(index, part),
            Message::RunFailed(key, outcome) => self.fail_run(index, &key, outcome),
            Message::Handover { role, fence, state } => {
                self.handle_handover(index, from, role, fence, state);
            }
            Message::HandoverReply(role, accepted) => {
                self.handle_handover_reply(index, &role, accepted)
            }
            Message::Append(..)
            | Message::Call(..)
            | Message::Order { .. }
            | Message::Run { .. }
            | Message::Cancel(_) => {}
        }
    }
}

impl LinkFault {
    /// Whether the fault applies to this message as part of the given step.
    fn applies_to(self, message: &Message, faulted_step: Option<(Step, Flow)>) -> bool {
        let Some((step, flow)) = faulted_step else {
            return false;
        };
        let stream = match message {
            Message::Appended { stream, .. } if matches!(self, Self::Drop | Self::Delay) => *stream,
            Message::Page { stream, .. } if self == Self::Delay => *stream,
            Message::Append(record, _) if matches!(self, Self::Duplicate | Self::Reorder) => {
                record.stream()
            }
            Message::Ledger(LedgerKind::GrantResponse(_)) => return step == Step::Charge,
            Message::Ledger(LedgerKind::ReportResponse(_)) => return step == Step::Settle,
            Message::PoolAnswer(..) => return step == Step::Choose,
            Message::OrderDone(PoolEvent::LoadEnded { .. }, _) => return step == Step::Load,
            Message::HandoverReply(..) => return step == Step::Drain,
            Message::Part(_) => return flow == Flow::Completion && step != Step::Load,
            Message::CallAnswer(_) => return flow == Flow::Call,
            _ => return false,
        };
        step.stream() == Some(stream)
    }
}
