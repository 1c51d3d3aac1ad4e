//! Strikes against requests, by fingerprint. The result does not depend on the order in which
//! strikes and clearings arrive, since they come by peer message and by log.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::collections::{FastMap, FastSet};
use crate::digest::{HexBytes, digest_parts, parse_hex};

/// The strikes that quarantine a request.
pub(crate) const STRIKE_LIMIT: usize = 3;
/// How long a request stays quarantined, and how long a strike counts at most.
pub(crate) const QUARANTINE_TIME: Duration = Duration::from_secs(10 * 60);
/// The most fingerprints that a node remembers; the oldest are forgotten first.
pub(crate) const FINGERPRINT_LIMIT: usize = 10_000;

/// Identifies equal requests of one account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct RequestFingerprint([u8; 32]);

impl RequestFingerprint {
    /// The fingerprint of a request; `route` is its adapter or service.
    pub(crate) fn of_request(account: &str, route: &str, body: &[u8]) -> Self {
        Self(digest_parts(&[account.as_bytes(), route.as_bytes(), body]))
    }

    pub(crate) fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// The fingerprint that a record names with its hexadecimal digits.
    pub(crate) fn from_hex(text: &str) -> Option<Self> {
        parse_hex(text).map(Self)
    }

    pub(crate) fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }
}

impl std::fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", HexBytes(&self.0))
    }
}

/// How a request is to be treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestVerdict {
    Clear,
    /// It may crash targets: at most one suspect runs on a target at a time.
    Suspect,
    /// It is quarantined and must not run.
    Held,
}

/// One strike: drawn at random where it was observed, so that copies of its record count once.
pub(crate) type StrikeId = u64;

#[derive(Debug, Default)]
struct StrikeList {
    /// When each strike that counts was observed, on this node's clock.
    counting: FastMap<StrikeId, Timestamp>,
    /// Strikes that a completed answer cleared, also those whose record is still to come.
    cleared: FastSet<StrikeId>,
    updated: Timestamp,
}

impl StrikeList {
    fn forget_old(&mut self, now: Timestamp) {
        if now.since(self.updated) >= QUARANTINE_TIME {
            self.counting.clear();
            self.cleared.clear();
        }
    }
}

/// The strikes of the last minutes.
#[derive(Debug, Default)]
pub(crate) struct StrikeTable {
    lists: FastMap<RequestFingerprint, StrikeList>,
}

impl StrikeTable {
    /// Counts a strike that was observed at `at`.
    pub(crate) fn strike(
        &mut self,
        fingerprint: RequestFingerprint,
        strike: StrikeId,
        at: Timestamp,
        now: Timestamp,
    ) -> RequestVerdict {
        if now.since(at) >= QUARANTINE_TIME {
            return self.verdict(&fingerprint, now);
        }
        let list = self.lists.entry(fingerprint).or_default();
        list.forget_old(now);
        // Strikes age one by one, so that rare ones never add up to a quarantine.
        let is_recent = |seen: &Timestamp| now.since(*seen) < QUARANTINE_TIME;
        list.counting.retain(|_, seen| is_recent(seen));
        if !list.cleared.contains(&strike) {
            list.counting.entry(strike).or_insert(at);
        }
        list.updated = list.updated.max(at);
        self.keep_limit();
        self.verdict(&fingerprint, now)
    }

    /// Clears the strikes that count; gives them for the other nodes.
    pub(crate) fn clear(
        &mut self,
        fingerprint: &RequestFingerprint,
        now: Timestamp,
    ) -> Vec<StrikeId> {
        let Some(list) = self.lists.get_mut(fingerprint) else {
            return Vec::new();
        };
        list.forget_old(now);
        let strikes: Vec<StrikeId> = list.counting.drain().map(|(strike, _)| strike).collect();
        list.cleared.extend(&strikes);
        strikes
    }

    /// Clears strikes that another node cleared.
    pub(crate) fn clear_strikes(
        &mut self,
        fingerprint: RequestFingerprint,
        strikes: &[StrikeId],
        now: Timestamp,
    ) {
        let list = self.lists.entry(fingerprint).or_default();
        list.forget_old(now);
        for strike in strikes {
            list.counting.remove(strike);
        }
        list.cleared.extend(strikes);
        list.updated = list.updated.max(now);
        self.keep_limit();
    }

    pub(crate) fn verdict(
        &self,
        fingerprint: &RequestFingerprint,
        now: Timestamp,
    ) -> RequestVerdict {
        let Some(list) = self.lists.get(fingerprint) else {
            return RequestVerdict::Clear;
        };
        let counting = match now.since(list.updated) >= QUARANTINE_TIME {
            true => 0,
            false => list.counting.len(),
        };
        match counting {
            0 => RequestVerdict::Clear,
            1..STRIKE_LIMIT => RequestVerdict::Suspect,
            _ => RequestVerdict::Held,
        }
    }

    /// The number of fingerprints with this verdict.
    pub(crate) fn count(&self, verdict: RequestVerdict, now: Timestamp) -> usize {
        let fingerprints = self.lists.keys();
        fingerprints
            .filter(|fingerprint| self.verdict(fingerprint, now) == verdict)
            .count()
    }

    fn keep_limit(&mut self) {
        while self.lists.len() > FINGERPRINT_LIMIT {
            let oldest = self.lists.iter().min_by_key(|(_, list)| list.updated);
            let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.lists.remove(&fingerprint);
        }
    }
}
