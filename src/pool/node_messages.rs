//! Handles messages from nodes to the pools that this process coordinates.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::assigned_ids::{MessageError, PoolSession};
use super::event::{
    AcquireKey, AcquireRequest, NodeReport, PoolEvent, ReleaseOutcome, ReportedPin,
};
use super::owned::{OwnedPools, POLL_TIMEOUT};
use super::wire::{
    AcquireMessage, EmptyAnswer, PinReport, PoolKind, PoolMessage, ReleaseItem, ReleaseMessage,
    SessionTag, WireOutcome, delta_decode,
};
use crate::ids::{BaseModel, TokenCount};

/// An unknown id makes the node repeat the message with names; a malformed message gets no answer.
impl From<MessageError> for Option<PoolMessage> {
    fn from(error: MessageError) -> Self {
        let unknown = PoolKind::UnknownId(EmptyAnswer {});
        (error == MessageError::UnknownId).then(|| unknown.into())
    }
}

impl OwnedPools {
    /// Answers a request for a slot within [`POLL_TIMEOUT`], with [`PoolKind::Waiting`] if it is
    /// still queued.
    pub(super) async fn acquire(self: &Arc<Self>, message: AcquireMessage) -> Option<PoolMessage> {
        let held_fence = |model: &BaseModel| self.held_fence(model);
        let names = match self.ids().resolve_request(&message, held_fence) {
            Ok(names) => names,
            Err(error) => return error.into(),
        };
        let model = names.session.model.clone();
        let fence = self.held_fence(&model)?;
        let assigned_ids = self.ids().assign_ids(&message, &names, fence);
        let request = AcquireRequest {
            key: names.session.key(message.serial),
            account: names.account,
            adapter: names.adapter.clone(),
            tokens: TokenCount::new(message.tokens),
            prefix: message.prefix.map(u64::from),
            suspect: message.suspect,
            avoid: message.avoid.as_ref().and_then(|name| name.parse().ok()),
            deadline: self.context.clock.now() + Duration::from_millis(message.wait_ms),
        };
        let (sender, receiver) = oneshot::channel();
        self.add_waiter(&model, request.key.clone(), sender)?;
        self.handle_event(&model, None, PoolEvent::Acquire(request))?;
        let kind = match tokio::time::timeout(POLL_TIMEOUT, receiver).await {
            Ok(Ok(answer)) => self.ids().encode_answer(answer, &message, &names.adapter),
            Ok(Err(_)) => return None,
            Err(_) => PoolKind::Waiting(EmptyAnswer {}),
        };
        let kind = Some(kind);
        Some(PoolMessage { kind, assigned_ids })
    }

    fn resolve_session(&self, tag: Option<&SessionTag>) -> Result<PoolSession, MessageError> {
        self.ids()
            .resolve_session(tag, |model| self.held_fence(model))
    }

    fn acknowledge(&self, session: &PoolSession, tag: Option<&SessionTag>) -> Option<PoolMessage> {
        let fence = self.held_fence(&session.model)?;
        let assigned_ids = self.ids().assign_session_id(tag?, session, fence);
        let kind = Some(PoolKind::Received(EmptyAnswer {}));
        Some(PoolMessage { kind, assigned_ids })
    }

    pub(super) fn release(self: &Arc<Self>, message: &ReleaseMessage) -> Option<PoolMessage> {
        let session = match self.resolve_session(message.session.as_ref()) {
            Ok(session) => session,
            Err(error) => return error.into(),
        };
        for item in &message.items {
            let outcome = item.release_outcome()?;
            let key = session.key(item.serial);
            self.handle_event(&session.model, None, PoolEvent::Release { key, outcome })?;
        }
        self.acknowledge(&session, message.session.as_ref())
    }

    pub(super) fn report(self: &Arc<Self>, report: PinReport) -> Option<PoolMessage> {
        let session = match self.resolve_session(report.session.as_ref()) {
            Ok(session) => session,
            Err(error) => return error.into(),
        };
        let held = delta_decode(&report.held);
        let pools = self.locked();
        let pool = pools.get(&session.model);
        let pins = pool.and_then(|pool| {
            pool.coordinator
                .resolve_held_pins(|n| session.key(n), &held)
        });
        drop(pools);
        let Some(mut pins) = pins else {
            return MessageError::UnknownId.into();
        };
        for entry in report.pins {
            pins.push(ReportedPin {
                serial: entry.serial,
                target: entry.target.parse().ok()?,
                generation: entry.generation,
                account: entry.account.parse().ok()?,
                tokens: TokenCount::new(entry.tokens),
                suspect: entry.suspect,
                streaming: entry.streaming,
            });
        }
        let event = PoolEvent::Reported(NodeReport {
            node: session.node.clone(),
            boot: session.boot,
            sequence: report.sequence,
            highest_serial: report.highest_serial,
            waiting: delta_decode(&report.waiting),
            pins,
            uptime: Duration::from_millis(report.uptime_ms),
        });
        self.handle_event(&session.model, None, event)?;
        self.acknowledge(&session, report.session.as_ref())
    }
}

impl PoolSession {
    fn key(&self, serial: u64) -> AcquireKey {
        AcquireKey {
            node: self.node.clone(),
            boot: self.boot,
            serial,
        }
    }
}

impl ReleaseItem {
    pub(super) fn new(serial: u64, outcome: ReleaseOutcome) -> Self {
        let none = (TokenCount::ZERO, None);
        let (wire, (tokens, first_token)) = match outcome {
            ReleaseOutcome::Completed {
                tokens,
                first_token,
            } => (WireOutcome::Completed, (tokens, first_token)),
            ReleaseOutcome::ConnectFailed => (WireOutcome::ConnectFailed, none),
            ReleaseOutcome::BrokeOff => (WireOutcome::BrokeOff, none),
            ReleaseOutcome::NotLoaded => (WireOutcome::NotLoaded, none),
            ReleaseOutcome::Cancelled => (WireOutcome::Cancelled, none),
        };
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        Self {
            serial,
            outcome: wire.into(),
            tokens: tokens.into(),
            first_token_ms: first_token.map(millis),
        }
    }

    fn release_outcome(&self) -> Option<ReleaseOutcome> {
        Some(match WireOutcome::try_from(self.outcome).ok()? {
            WireOutcome::Completed => ReleaseOutcome::Completed {
                tokens: TokenCount::new(self.tokens),
                first_token: self.first_token_ms.map(Duration::from_millis),
            },
            WireOutcome::ConnectFailed => ReleaseOutcome::ConnectFailed,
            WireOutcome::BrokeOff => ReleaseOutcome::BrokeOff,
            WireOutcome::NotLoaded => ReleaseOutcome::NotLoaded,
            WireOutcome::Cancelled => ReleaseOutcome::Cancelled,
        })
    }
}
