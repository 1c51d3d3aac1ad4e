//! One node's attempt to run a call under a claim. It sends the call once or not at all.

use std::time::Duration;

use super::index::{ClaimIndex, OutcomePlace};
use super::record::{CallDigest, ClaimKey, ClaimNonce};
use crate::clock::Timestamp;

/// How long after the start of the claim's append the call may be sent, by the node's own clock. It
/// is far shorter than the deduplication window, so that a node that was paused never sends a call
/// whose key has expired and counts as new.
pub(crate) const SEND_TIME_LIMIT: Duration = Duration::from_secs(5);

/// Why an attempt does not send the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ClaimRefusal {
    /// The call was already answered.
    Replay(OutcomePlace),
    /// The call of an earlier claim may be running or may have run.
    InProgress,
    /// The key was used for another request.
    KeyReused,
    /// The claim was not confirmed in time. The call was not sent and will not be sent for it.
    NotClaimed,
}

/// Why a call whose key already has a claim must not be sent; `None` if the key has no claim.
pub(crate) fn check_existing_claim(
    index: &ClaimIndex,
    key: &ClaimKey,
    request: &CallDigest,
) -> Option<ClaimRefusal> {
    let claim = index.first_claim(key)?;
    if claim.request != *request {
        return Some(ClaimRefusal::KeyReused);
    }
    Some(match claim.outcome {
        Some(place) => ClaimRefusal::Replay(place),
        None => ClaimRefusal::InProgress,
    })
}

/// A claim whose append has started and that was not read from the log yet.
#[derive(Debug)]
pub(crate) struct ClaimAttempt {
    key: ClaimKey,
    request: CallDigest,
    nonce: ClaimNonce,
    started: Timestamp,
}

/// The permission to send the call of a claim once. It is not `Clone`, and sending consumes it.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct SendPermit {
    nonce: ClaimNonce,
    started: Timestamp,
}

/// A claim whose call was sent, or may have been.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct SentClaim {
    pub(crate) nonce: ClaimNonce,
}

/// The next step of an attempt. A refused attempt never sends, so the caller must void its claim.
#[derive(Debug)]
pub(crate) enum AttemptStep {
    Wait(ClaimAttempt),
    Send(SendPermit),
    Refuse(ClaimRefusal),
}

impl ClaimAttempt {
    /// Starts an attempt. `now` must be taken before the append.
    pub(crate) fn new(
        key: ClaimKey,
        request: CallDigest,
        nonce: ClaimNonce,
        now: Timestamp,
    ) -> Self {
        Self {
            key,
            request,
            nonce,
            started: now,
        }
    }

    #[cfg(test)]
    pub(crate) fn nonce(&self) -> ClaimNonce {
        self.nonce
    }

    /// Decides by the records that were read so far. The append took effect if its nonce is among
    /// them, so a lost reply makes no difference.
    pub(crate) fn decide(self, index: &ClaimIndex, now: Timestamp) -> AttemptStep {
        let claim = index.first_claim(&self.key);
        let is_first = claim.is_some_and(|claim| claim.nonce == self.nonce);
        if now.since(self.started) > SEND_TIME_LIMIT {
            return AttemptStep::Refuse(self.refusal(index, is_first));
        }
        if !index.contains_nonce(&self.nonce) {
            return AttemptStep::Wait(self);
        }
        if is_first {
            return AttemptStep::Send(SendPermit {
                nonce: self.nonce,
                started: self.started,
            });
        }
        AttemptStep::Refuse(self.refusal(index, is_first))
    }

    fn refusal(&self, index: &ClaimIndex, is_first: bool) -> ClaimRefusal {
        let existing = if is_first {
            None
        } else {
            check_existing_claim(index, &self.key, &self.request)
        };
        existing.unwrap_or(ClaimRefusal::NotClaimed)
    }
}

impl SendPermit {
    pub(crate) fn nonce(&self) -> ClaimNonce {
        self.nonce
    }

    /// Uses the permit. The call counts as sent from here on.
    pub(crate) fn send(self) -> SentClaim {
        SentClaim { nonce: self.nonce }
    }

    /// Whether the call may still be sent. Must be checked right before each connection attempt.
    pub(crate) fn is_valid(&self, now: Timestamp) -> bool {
        now.since(self.started) <= SEND_TIME_LIMIT
    }
}
