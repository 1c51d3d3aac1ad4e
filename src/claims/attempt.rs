//! One node's attempt to run a call under a claim: it ends in one send or in none.

use std::time::Duration;

use super::index::{ClaimIndex, OutcomePlace};
use super::record::{CallDigest, ClaimKey, ClaimNonce};
use crate::clock::Timestamp;

/// How long after the start of its append a claim may be sent, on the node's own clock. It is far
/// below the window, so that a node that was paused never sends for a key that counts as new.
pub(crate) const SEND_LIMIT: Duration = Duration::from_secs(5);

/// Why an attempt does not send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ClaimRefusal {
    /// The key has an answer.
    Replay(OutcomePlace),
    /// The call of an earlier claim may still run or may have run.
    InProgress,
    /// The key was used for another request.
    KeyReused,
    /// The claim was not known to hold in time. Nothing was and nothing will be sent for it.
    NotClaimed,
}

/// The answer to a call whose key already has a claim. `None` when there is none.
pub(crate) fn known_answer(
    index: &ClaimIndex,
    key: &ClaimKey,
    request: &CallDigest,
) -> Option<ClaimRefusal> {
    let holder = index.holder(key)?;
    if holder.request != *request {
        return Some(ClaimRefusal::KeyReused);
    }
    Some(match holder.outcome {
        Some(place) => ClaimRefusal::Replay(place),
        None => ClaimRefusal::InProgress,
    })
}

/// A claim whose append was begun and whose place in the log is not known yet.
#[derive(Debug)]
pub(crate) struct ClaimAttempt {
    key: ClaimKey,
    request: CallDigest,
    nonce: ClaimNonce,
    begun: Timestamp,
}

/// The right to send the call of a claim once. It is not `Clone`, and sending consumes it.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct SendPermit {
    nonce: ClaimNonce,
    begun: Timestamp,
}

/// A claim whose call was sent, or may have been.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct SentClaim {
    pub(crate) nonce: ClaimNonce,
}

/// What an attempt came to. A refused attempt never sends, so its claim is to be made void.
#[derive(Debug)]
pub(crate) enum AttemptStep {
    Wait(ClaimAttempt),
    Send(SendPermit),
    Refuse(ClaimRefusal),
}

impl ClaimAttempt {
    /// Begins an attempt; `now` is before the append.
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
            begun: now,
        }
    }

    #[cfg(test)]
    pub(crate) fn nonce(&self) -> ClaimNonce {
        self.nonce
    }

    /// Decides by the records up to the claim. The nonce alone tells whether the append took
    /// effect, so a lost reply changes nothing.
    pub(crate) fn decide(self, index: &ClaimIndex, now: Timestamp) -> AttemptStep {
        let holder = index.holder(&self.key);
        let is_first = holder.is_some_and(|holder| holder.nonce == self.nonce);
        if now.since(self.begun) > SEND_LIMIT {
            return AttemptStep::Refuse(self.refusal(index, is_first));
        }
        if !index.knows(&self.nonce) {
            return AttemptStep::Wait(self);
        }
        if is_first {
            return AttemptStep::Send(SendPermit {
                nonce: self.nonce,
                begun: self.begun,
            });
        }
        AttemptStep::Refuse(self.refusal(index, is_first))
    }

    fn refusal(&self, index: &ClaimIndex, is_first: bool) -> ClaimRefusal {
        let known = if is_first {
            None
        } else {
            known_answer(index, &self.key, &self.request)
        };
        known.unwrap_or(ClaimRefusal::NotClaimed)
    }
}

impl SendPermit {
    pub(crate) fn nonce(&self) -> ClaimNonce {
        self.nonce
    }

    /// Uses the permit: from here on the call counts as sent.
    pub(crate) fn send(self) -> SentClaim {
        SentClaim { nonce: self.nonce }
    }

    /// Whether the call may still be sent. To be asked right before each connection attempt.
    pub(crate) fn is_valid(&self, now: Timestamp) -> bool {
        now.since(self.begun) <= SEND_LIMIT
    }
}
