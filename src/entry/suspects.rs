//! Exchanges with other VMs which parts of prompts crash targets.
//!
//! A crash is reported at once to all VMs, since the next request with the part may arrive at any
//! of them. Refused parts are repeated each second by a few VMs while there are any, which makes up
//! for lost messages, cuts and restarts.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::admission::AdmittedRequest;
use super::freshness::STORE_READERS;
use super::gossip::{broadcast, new_message};
use super::shared::EntryShared;
use super::state::EntryState;
use super::wire::{AnsweredPart, PartCrash, PeerMessage, RefusedPart};
use crate::clock::Timestamp;
use crate::dispatch::directory::TargetKey;
use crate::dispatch::prompt_suspects::{PartVerdict, PromptPart, VerdictReply};

/// The interval at which refused parts are repeated.
const VERDICT_INTERVAL: Duration = Duration::from_secs(1);

/// Records that a target has begun to answer a request.
pub(super) fn record_answer(shared: &EntryShared, request: &AdmittedRequest<'_>) {
    let parts = &request.headers.shared_parts;
    if parts.is_empty() {
        return;
    }
    let now = shared.clock.now();
    let acquitted = {
        let mut state = shared.state.borrow_mut();
        state.suspects.record_answer(parts, now)
    };
    if acquitted.is_empty() {
        return;
    }
    let answer = |part: &PromptPart| {
        tracing::warn!(%part, request = %request.id(), "suspects: a refused part was answered");
        answered_part(*part, Duration::ZERO)
    };
    let answers = acquitted.iter().map(answer).collect();
    broadcast(shared, &answer_message(shared, answers));
}

/// Records that a target crashed before it began to answer a request.
pub(super) fn record_crash(shared: &EntryShared, request: &AdmittedRequest<'_>, target: TargetKey) {
    let parts = &request.headers.shared_parts;
    if parts.is_empty() {
        return;
    }
    let now = shared.clock.now();
    let message = {
        let mut state = shared.state.borrow_mut();
        let reported = state.suspects.parts_to_report(parts, now);
        let refused = state.suspects.record_crash(parts, target, now);
        log_refused(&refused);
        if reported.is_empty() && refused.is_empty() {
            return;
        }
        let crash = PartCrash {
            target: target.into(),
            parts: reported.into_iter().map(u64::from).collect(),
        };
        PeerMessage {
            crashes: vec![crash],
            verdicts: refused_parts(&state, false, now),
            ..new_message(&state)
        }
    };
    broadcast(shared, &message);
}

fn log_refused(parts: &[PromptPart]) {
    for part in parts {
        tracing::warn!(%part, "suspects: requests with a part that crashes targets are refused");
    }
}

fn answered_part(part: PromptPart, age: Duration) -> AnsweredPart {
    AnsweredPart {
        part: part.into(),
        age_ms: millis(age),
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// The parts that this VM has decided to refuse, or `all` that it refuses.
fn refused_parts(state: &EntryState, all: bool, now: Timestamp) -> Vec<RefusedPart> {
    let verdicts = state.suspects.verdicts(now);
    let verdicts = verdicts.filter(|verdict| all || verdict.is_own);
    let refused = verdicts.map(|verdict| RefusedPart {
        part: verdict.part.into(),
        age_ms: millis(verdict.age),
        idle_ms: millis(verdict.idle),
    });
    refused.take(MAX_VERDICTS).collect()
}

/// The largest number of refused parts in a message, which keeps it below the usual MTU.
const MAX_VERDICTS: usize = 60;

/// Repeats refused parts as long as the process runs.
pub(super) async fn run_verdicts(shared: Rc<EntryShared>) {
    loop {
        tokio::time::sleep(VERDICT_INTERVAL).await;
        let now = shared.clock.now();
        let message = {
            let mut state = shared.state.borrow_mut();
            let repeats_all = state.rank() < STORE_READERS;
            if !repeats_all {
                state.suspects.drop_unconfirmed(now);
            }
            let verdicts = refused_parts(&state, repeats_all, now);
            PeerMessage {
                verdicts,
                ..new_message(&state)
            }
        };
        if !message.verdicts.is_empty() {
            broadcast(&shared, &message);
        }
    }
}

/// Applies the parts of a peer's message that concern suspected parts. Contests a part that a target
/// has begun to answer, and tells all VMs of one that is no longer refused.
pub(super) fn apply_message(shared: &EntryShared, message: &PeerMessage, from: SocketAddr) {
    let now = shared.clock.now();
    let (mut contested, mut acquitted) = (Vec::new(), Vec::new());
    {
        let mut state = shared.state.borrow_mut();
        let suspects = &mut state.suspects;
        for crash in &message.crashes {
            let parts: Vec<_> = crash.parts.iter().copied().map(PromptPart::from).collect();
            let target = TargetKey::from(crash.target);
            suspects.apply_crash(&parts, target, now);
        }
        for refused in &message.verdicts {
            let verdict = PartVerdict {
                part: refused.part.into(),
                is_own: false,
                age: Duration::from_millis(refused.age_ms.into()),
                idle: Duration::from_millis(refused.idle_ms.into()),
            };
            match suspects.apply_verdict(verdict, now) {
                VerdictReply::Accepted { is_new: true } => log_refused(&[verdict.part]),
                VerdictReply::Accepted { is_new: false } => {}
                VerdictReply::Contested { age } => contested.push(answered_part(verdict.part, age)),
            }
        }
        for answer in &message.answers {
            let part = PromptPart::from(answer.part);
            let age = Duration::from_millis(answer.age_ms.into());
            if let Some(own) = suspects.apply_answer(part, age, now) {
                tracing::warn!(%part, %from, own, "suspects: a refused part was answered");
                acquitted.extend(own.then(|| answered_part(part, age)));
            }
        }
    }
    if !contested.is_empty() {
        let message = answer_message(shared, contested);
        shared.peer_socket.send(&message, from);
    }
    if !acquitted.is_empty() {
        broadcast(shared, &answer_message(shared, acquitted));
    }
}

fn answer_message(shared: &EntryShared, answers: Vec<AnsweredPart>) -> PeerMessage {
    PeerMessage {
        answers,
        ..new_message(&shared.state.borrow())
    }
}
