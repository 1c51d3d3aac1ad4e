//! This node's index of the claims stream, built from its records in offset order.

use std::collections::VecDeque;
use std::time::Duration;

use super::record::{CallDigest, ClaimBatch, ClaimEntry, ClaimKey, ClaimNonce};
use crate::collections::FastMap;
use crate::ids::LogOffset;

/// How long a key is remembered, unless the stream's retention is shorter.
pub(crate) const CLAIM_WINDOW: Duration = Duration::from_secs(24 * 3600);

/// Where the log keeps the outcome of a claim. Bodies stay in the log to bound this node's memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct OutcomePlace {
    pub(crate) offset: LogOffset,
    pub(crate) nonce: ClaimNonce,
}

/// What the index knows about a claim's nonce.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NonceState {
    /// The claim is in the queue of this key.
    Queued(ClaimKey),
    /// The claim counts as never made, also when its record arrives after the `Void`.
    Void,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct KeyClaim {
    nonce: ClaimNonce,
    request: CallDigest,
    outcome: Option<OutcomePlace>,
}

/// What is known about a key from its first claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct KeyHolder {
    pub(crate) nonce: ClaimNonce,
    pub(crate) request: CallDigest,
    pub(crate) outcome: Option<OutcomePlace>,
}

/// The claims within the window, by key.
#[derive(Debug, Default)]
pub(crate) struct ClaimIndex {
    /// Each key's claims in offset order, without void ones. The first one holds the key.
    queues: FastMap<ClaimKey, VecDeque<KeyClaim>>,
    nonces: FastMap<ClaimNonce, NonceState>,
    /// The nonces in the order in which the log named them first, for their expiry.
    ages: VecDeque<(LogOffset, u64, ClaimNonce)>,
    next: LogOffset,
}

impl ClaimIndex {
    /// The offset of the next record to apply; it only grows.
    pub(crate) fn next_offset(&self) -> LogOffset {
        self.next
    }

    /// The number of claims in the window.
    pub(crate) fn len(&self) -> usize {
        self.nonces.len()
    }

    /// Applies the record at `offset`; records below [`Self::next_offset`] are ignored.
    pub(crate) fn apply(&mut self, offset: LogOffset, at_ms: u64, batch: &ClaimBatch) {
        if offset < self.next {
            return;
        }
        self.next = offset.next();
        for entry in &batch.entries {
            match entry {
                ClaimEntry::Claim {
                    key,
                    request,
                    nonce,
                    ..
                } => self.add_claim((offset, at_ms), *key, *request, *nonce),
                ClaimEntry::Outcome { nonce, .. } => self.add_outcome(offset, *nonce),
                ClaimEntry::Void { nonce } => self.add_void((offset, at_ms), *nonce),
            }
        }
    }

    /// Skips a record that can't be read.
    pub(crate) fn skip(&mut self, offset: LogOffset) {
        self.next = self.next.max(offset.next());
    }

    fn add_claim(
        &mut self,
        (offset, at_ms): (LogOffset, u64),
        key: ClaimKey,
        request: CallDigest,
        nonce: ClaimNonce,
    ) {
        if self.nonces.contains_key(&nonce) {
            return;
        }
        self.nonces.insert(nonce, NonceState::Queued(key));
        self.ages.push_back((offset, at_ms, nonce));
        self.queues.entry(key).or_default().push_back(KeyClaim {
            nonce,
            request,
            outcome: None,
        });
    }

    /// Notes where the first outcome of a claim is; later ones change nothing.
    fn add_outcome(&mut self, offset: LogOffset, nonce: ClaimNonce) {
        let Some(NonceState::Queued(key)) = self.nonces.get(&nonce) else {
            return;
        };
        let queue = self.queues.entry(*key).or_default();
        if let Some(claim) = queue.iter_mut().find(|claim| claim.nonce == nonce) {
            claim.outcome.get_or_insert(OutcomePlace { offset, nonce });
        }
    }

    fn add_void(&mut self, (offset, at_ms): (LogOffset, u64), nonce: ClaimNonce) {
        match self.nonces.insert(nonce, NonceState::Void) {
            Some(NonceState::Queued(key)) => self.remove_claim(key, nonce),
            Some(NonceState::Void) => {}
            None => self.ages.push_back((offset, at_ms, nonce)),
        }
    }

    fn remove_claim(&mut self, key: ClaimKey, nonce: ClaimNonce) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.retain(|claim| claim.nonce != nonce);
            if queue.is_empty() {
                self.queues.remove(&key);
            }
        }
    }

    /// Forgets claims that the stream no longer keeps or that are older than the window, given
    /// the stream's first offset and the log's time.
    pub(crate) fn expire(&mut self, first: LogOffset, now_ms: u64) {
        let window = u64::try_from(CLAIM_WINDOW.as_millis()).unwrap_or(u64::MAX);
        while let Some((offset, at_ms, nonce)) = self.ages.front().copied() {
            if offset >= first && at_ms.saturating_add(window) > now_ms {
                break;
            }
            self.ages.pop_front();
            if let Some(NonceState::Queued(key)) = self.nonces.remove(&nonce) {
                self.remove_claim(key, nonce);
            }
        }
        self.next = self.next.max(first);
    }

    /// The first claim of `key`.
    pub(crate) fn holder(&self, key: &ClaimKey) -> Option<KeyHolder> {
        let first = self.queues.get(key)?.front()?;
        Some(KeyHolder {
            nonce: first.nonce,
            request: first.request,
            outcome: first.outcome,
        })
    }

    /// Whether the log has named this nonce within the window.
    pub(crate) fn knows(&self, nonce: &ClaimNonce) -> bool {
        self.nonces.contains_key(nonce)
    }
}
