//! What targets state in their responses about the requests that they take: how many from all VMs
//! together, and for how long none from this one.

use super::gossip::{broadcast, new_message};
use super::http::ResponseHead;
use super::shared::EntryShared;
use super::wire::{PeerMessage, TargetLimit};
use crate::clock::Timestamp;
use crate::dispatch::directory::TargetKey;
use crate::dispatch::target_limit::RateStatement;
use crate::ids::{NodeName, RequestRate};
use crate::platform::headers::{requested_pause, stated_rate};

/// Applies the rate that the response of a target's process, given by its start, states, or that it
/// states none. `sent_at` is when the request was sent.
pub(super) fn record_stated_rate(
    shared: &EntryShared,
    target: TargetKey,
    started_ms: u64,
    sent_at: Timestamp,
    head: &ResponseHead,
) {
    let now = shared.clock.now();
    let rate = match stated_rate(head) {
        Ok(rate) => rate,
        Err(error) => {
            tracing::warn!(
                target = shared.target_name(target), %error,
                "targets: ignored a rate limit that can't be read"
            );
            return;
        }
    };
    let has_changed = {
        let mut state = shared.state.borrow_mut();
        let entry = state.directory.get_mut(target);
        let Some(entry) = entry.filter(|entry| entry.report.started_ms == started_ms) else {
            return;
        };
        let stated_at = now;
        match rate {
            Some(rate) => entry.apply_stated_rate(RateStatement { rate, stated_at }, now),
            None => entry.end_stated_rate(sent_at, now),
        }
    };
    if has_changed {
        tracing::info!(
            target = shared.target_name(target),
            rate = rate.map(RequestRate::as_f64),
            "targets: the rate of requests that a target takes has changed"
        );
        send_limit(shared, target);
    }
}

/// Tells all peers of a target's limit, if it has one, and how much this VM has sent to it.
pub(super) fn send_limit(shared: &EntryShared, target: TargetKey) {
    let message = {
        let state = shared.state.borrow();
        let Some(entry) = state.directory.get(target) else {
            return;
        };
        let Some(limiter) = entry.rate_limiter() else {
            return;
        };
        let statement = limiter.statement();
        let age = shared.clock.now().since(statement.stated_at);
        let limit = TargetLimit {
            target: target.into(),
            started_ms: entry.report.started_ms,
            rate_per_s: statement.rate.as_f64(),
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            sent: limiter.own_sent(),
        };
        PeerMessage {
            limits: vec![limit],
            ..new_message(&state)
        }
    };
    broadcast(shared, &message);
}

/// Applies what a peer has sent to rate-limited targets.
pub(super) fn apply_peer_limits(
    shared: &EntryShared,
    peer: &NodeName,
    limits: &[TargetLimit],
    now: Timestamp,
) {
    let mut state = shared.state.borrow_mut();
    for limit in limits {
        let entry = state.directory.get_mut(limit.target.into());
        let entry = entry.filter(|entry| entry.report.started_ms == limit.started_ms);
        let (Some(entry), Some(rate)) = (entry, RequestRate::per_second(limit.rate_per_s)) else {
            continue;
        };
        let age = std::time::Duration::from_millis(limit.age_ms.into());
        let statement = RateStatement {
            rate,
            stated_at: now.before(age),
        };
        if entry.apply_peer_rate(peer, statement, limit.sent, now) {
            tracing::info!(
                target = %entry.name, rate = limit.rate_per_s, %peer,
                "targets: a peer has learned the rate of requests that a target takes"
            );
        }
    }
}

/// Sends nothing to a target for as long as its response asks for.
pub(super) fn apply_requested_pause(shared: &EntryShared, target: TargetKey, head: &ResponseHead) {
    let now = shared.clock.now();
    if let Some(pause) = requested_pause(head)
        && let Some(entry) = shared.state.borrow_mut().directory.get_mut(target)
    {
        entry.pause(pause, now);
    }
}
