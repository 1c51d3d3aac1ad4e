//! Requests permits to send to cold targets from their owners, and answers permit requests.

use std::net::SocketAddr;
use std::time::Duration;

use super::gossip::new_message;
use super::shared::EntryShared;
use super::state::EntryState;
use super::wait_queue::WaitTicket;
use super::wire::{PeerMessage, PermitAnswer, PermitAsk};
use crate::clock::Timestamp;
use crate::dispatch::cold_start::{AskNumber, ColdBound, PermitGrant, PermitTerms};
use crate::dispatch::directory::TargetKey;

/// A request that waits for a permit, as long as this value exists.
pub(super) struct PermitInterest<'a> {
    shared: &'a EntryShared,
    target: TargetKey,
}

impl<'a> PermitInterest<'a> {
    /// Registers the request and asks for a permit, unless enough permits have been asked for.
    /// Returns `None` if this VM owns the target and has granted a permit that is valid at once.
    pub(super) fn register(
        shared: &'a EntryShared,
        target: TargetKey,
        now: Timestamp,
    ) -> Option<Self> {
        shared.state.borrow_mut().permits.add_waiting(target);
        let interest = Self { shared, target };
        ask(shared, target, now);
        let is_granted = shared.state.borrow().permits.has_valid(target, now);
        (!is_granted).then_some(interest)
    }

    /// How long to wait before the request chooses again. The ticket is notified of new permits.
    pub(super) fn max_wait(&self, ticket: &WaitTicket<'_>, now: Timestamp) -> Duration {
        ticket.set_awaited_permit(self.target);
        let state = self.shared.state.borrow();
        let next = state.permits.time_to_next(self.target, now);
        next.unwrap_or(Duration::MAX)
    }
}

impl Drop for PermitInterest<'_> {
    fn drop(&mut self) {
        let mut state = self.shared.state.borrow_mut();
        state.permits.remove_waiting(self.target);
    }
}

fn ask(shared: &EntryShared, target: TargetKey, now: Timestamp) {
    let mut state = shared.state.borrow_mut();
    let number = AskNumber::from(rand::random::<u64>());
    let Some(wanted) = state.permits.begin_ask(target, number, now) else {
        return;
    };
    if state.lease.token_for(target, now).is_some() {
        let grant = grant_permits(&mut state, target, wanted, now);
        state.permits.apply_answer(target, number, &grant, now);
        drop(state);
        shared.metrics.cold.record_grant(&grant, wanted);
        return;
    }
    let Some(owner) = state.owner_address(target) else {
        state.permits.refuse(target, now);
        return;
    };
    let ask = PermitAsk {
        target: target.into(),
        number: number.into(),
        wanted,
    };
    let message = PeerMessage {
        permit_asks: vec![ask],
        ..new_message(&state)
    };
    drop(state);
    shared.peer_socket.send(&message, owner);
}

/// Hands out permits for a target, if this VM owns it now.
pub(super) fn grant_permits(
    state: &mut EntryState,
    target: TargetKey,
    wanted: u32,
    now: Timestamp,
) -> PermitGrant {
    let bound = ColdBound {
        overage: state.settings.bounds.cold_overage,
        slack: state.settings.bounds.cold_slack,
    };
    let entry = state.directory.get(target);
    let terms = entry.and_then(|entry| {
        let period = entry.cold_period(now);
        Some(PermitTerms {
            rate: bound.permit_rate(state.service(&entry.report.service)?.cold_per_s),
            tenure: state.lease.tenure_of(target, now)?,
            period,
            draw: rand::random(),
        })
    });
    match terms {
        Some(terms) => {
            let schedule = state.permit_schedules.entry(target).or_default();
            schedule.grant(wanted, terms, now)
        }
        None => PermitGrant::refused(),
    }
}

/// Answers a peer's permit requests, and applies its answers to those of this VM.
pub(super) fn handle_message(
    shared: &EntryShared,
    message: &PeerMessage,
    from: SocketAddr,
    now: Timestamp,
) {
    for ask in &message.permit_asks {
        let mut state = shared.state.borrow_mut();
        let grant = grant_permits(&mut state, ask.target.into(), ask.wanted, now);
        let millis = |time: &Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        let answer = PermitAnswer {
            target: ask.target,
            number: ask.number,
            delays_ms: grant.delays.iter().map(millis).collect(),
            retry_ms: millis(&grant.retry_after),
        };
        let reply = PeerMessage {
            permit_answers: vec![answer],
            ..new_message(&state)
        };
        drop(state);
        shared.metrics.cold.record_grant(&grant, ask.wanted);
        shared.peer_socket.send(&reply, from);
    }
    for answer in &message.permit_answers {
        let target = TargetKey::from(answer.target);
        let millis = |time: u32| Duration::from_millis(time.into());
        let grant = PermitGrant {
            delays: answer.delays_ms.iter().copied().map(millis).collect(),
            retry_after: millis(answer.retry_ms),
        };
        let number = AskNumber::from(answer.number);
        let mut state = shared.state.borrow_mut();
        let is_new = state.permits.apply_answer(target, number, &grant, now);
        drop(state);
        if is_new {
            shared.wait_queue.wake_requests_for_permit(target);
        }
    }
}
