//! This node's index of the claims stream, built from the records in offset order.

use std::collections::VecDeque;
use std::time::Duration;

use super::record::{CallDigest, ClaimBatch, ClaimEntry, ClaimKey, ClaimNonce};
use crate::collections::FastMap;
use crate::ids::LogOffset;

/// How long repeats of a key are recognized, unless the stream's retention is shorter.
pub(crate) const DEDUPLICATION_WINDOW: Duration = Duration::from_secs(24 * 3600);

/// The location of a claim's outcome in the log. Bodies stay in the log to bound memory use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct OutcomePlace {
    pub(crate) offset: LogOffset,
    pub(crate) nonce: ClaimNonce,
}

/// The state of a claim by its nonce.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NonceState {
    /// The claim is in the queue of the given key.
    Queued(ClaimKey),
    /// The claim has no effect, even if its record follows the `Void`.
    Void,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct QueuedClaim {
    nonce: ClaimNonce,
    request: CallDigest,
    outcome: Option<OutcomePlace>,
}

/// The first claim of a key, which holds the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct FirstClaim {
    pub(crate) nonce: ClaimNonce,
    pub(crate) request: CallDigest,
    pub(crate) outcome: Option<OutcomePlace>,
}

/// The claims within the deduplication window, by key.
#[derive(Debug, Default)]
pub(crate) struct ClaimIndex {
    /// The claims of each key in offset order, without voided ones. The first one holds the key.
    queues: FastMap<ClaimKey, VecDeque<QueuedClaim>>,
    nonces: FastMap<ClaimNonce, NonceState>,
    /// The nonces in the order of their first entries, each with the offset and log time of that
    /// entry, for expiry.
    expiry_queue: VecDeque<(LogOffset, u64, ClaimNonce)>,
    next: LogOffset,
}

impl ClaimIndex {
    /// The offset of the next record to apply. It never decreases.
    pub(crate) fn next_offset(&self) -> LogOffset {
        self.next
    }

    /// The number of claims within the window.
    pub(crate) fn len(&self) -> usize {
        self.nonces.len()
    }

    /// Applies the record at `offset`. Records below [`Self::next_offset`] are ignored.
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

    /// Skips a malformed record.
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
        self.expiry_queue.push_back((offset, at_ms, nonce));
        self.queues.entry(key).or_default().push_back(QueuedClaim {
            nonce,
            request,
            outcome: None,
        });
    }

    /// Stores the location of a claim's first outcome. Later outcomes are ignored.
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
            None => self.expiry_queue.push_back((offset, at_ms, nonce)),
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

    /// Removes claims that are older than the window or whose records have expired. `first` is the
    /// lowest offset that the stream keeps, `now_ms` the log's time.
    pub(crate) fn expire(&mut self, first: LogOffset, now_ms: u64) {
        let window = u64::try_from(DEDUPLICATION_WINDOW.as_millis()).unwrap_or(u64::MAX);
        while let Some((offset, at_ms, nonce)) = self.expiry_queue.front().copied() {
            if offset >= first && at_ms.saturating_add(window) > now_ms {
                break;
            }
            self.expiry_queue.pop_front();
            if let Some(NonceState::Queued(key)) = self.nonces.remove(&nonce) {
                self.remove_claim(key, nonce);
            }
        }
        self.next = self.next.max(first);
    }

    /// The claim that holds `key`.
    pub(crate) fn first_claim(&self, key: &ClaimKey) -> Option<FirstClaim> {
        let first = self.queues.get(key)?.front()?;
        Some(FirstClaim {
            nonce: first.nonce,
            request: first.request,
            outcome: first.outcome,
        })
    }

    /// Whether the records within the window contain this nonce.
    pub(crate) fn contains_nonce(&self, nonce: &ClaimNonce) -> bool {
        self.nonces.contains_key(nonce)
    }
}
