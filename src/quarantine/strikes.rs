//! Strikes against requests, by fingerprint. Strikes and clearings arrive both by peer message and
//! by log, so the result does not depend on their order.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::collections::{FastMap, FastSet};
use crate::digest::{HexBytes, decode_hex_array, digest_parts};

/// The number of strikes at which a request is quarantined.
pub(crate) const STRIKE_LIMIT: usize = 3;
/// How long a request stays quarantined, and the longest time for which a strike counts.
pub(crate) const QUARANTINE_DURATION: Duration = Duration::from_secs(10 * 60);
/// The most fingerprints that a node keeps; those with the oldest update are evicted first.
pub(crate) const MAX_FINGERPRINTS: usize = 10_000;

/// Identifies equal requests of one account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct RequestFingerprint([u8; 32]);

impl RequestFingerprint {
    /// The fingerprint of a request to `route`, which is the name of an adapter or a service.
    pub(crate) fn of_request(account: &str, route: &str, body: &[u8]) -> Self {
        Self(digest_parts(&[account.as_bytes(), route.as_bytes(), body]))
    }

    pub(crate) fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Parses the hexadecimal digits of a log record.
    pub(crate) fn from_hex(text: &str) -> Option<Self> {
        decode_hex_array(text).map(Self)
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

/// Whether and how a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestVerdict {
    Clear,
    /// The request may crash targets: at most one suspect runs on a target at a time.
    Suspect,
    /// The request is quarantined and must not run.
    Held,
}

/// A random number that the observing node draws, so that copies of a strike count once.
pub(crate) type StrikeId = u64;

#[derive(Debug, Default)]
struct StrikeList {
    /// The strikes that count, with the time of observation on this node's clock.
    active: FastMap<StrikeId, Timestamp>,
    /// Strikes that a complete answer cleared. Some may not have arrived here yet.
    cleared: FastSet<StrikeId>,
    updated: Timestamp,
}

impl StrikeList {
    fn clear_expired(&mut self, now: Timestamp) {
        if now.since(self.updated) >= QUARANTINE_DURATION {
            self.active.clear();
            self.cleared.clear();
        }
    }
}

/// The strikes and clearings of all requests, until they expire.
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
        if now.since(at) >= QUARANTINE_DURATION {
            return self.verdict(&fingerprint, now);
        }
        let list = self.lists.entry(fingerprint).or_default();
        list.clear_expired(now);
        // Each strike expires by itself, so that rare strikes never add up to a quarantine.
        let is_recent = |observed_at: &Timestamp| now.since(*observed_at) < QUARANTINE_DURATION;
        list.active.retain(|_, observed_at| is_recent(observed_at));
        if !list.cleared.contains(&strike) {
            list.active.entry(strike).or_insert(at);
        }
        list.updated = list.updated.max(at);
        self.evict_oldest();
        self.verdict(&fingerprint, now)
    }

    /// Clears all strikes that count and returns them, so that the other nodes clear them too.
    pub(crate) fn clear(
        &mut self,
        fingerprint: &RequestFingerprint,
        now: Timestamp,
    ) -> Vec<StrikeId> {
        let Some(list) = self.lists.get_mut(fingerprint) else {
            return Vec::new();
        };
        list.clear_expired(now);
        let strikes: Vec<StrikeId> = list.active.drain().map(|(strike, _)| strike).collect();
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
        list.clear_expired(now);
        for strike in strikes {
            list.active.remove(strike);
        }
        list.cleared.extend(strikes);
        list.updated = list.updated.max(now);
        self.evict_oldest();
    }

    pub(crate) fn verdict(
        &self,
        fingerprint: &RequestFingerprint,
        now: Timestamp,
    ) -> RequestVerdict {
        let Some(list) = self.lists.get(fingerprint) else {
            return RequestVerdict::Clear;
        };
        let active = match now.since(list.updated) >= QUARANTINE_DURATION {
            true => 0,
            false => list.active.len(),
        };
        match active {
            0 => RequestVerdict::Clear,
            1..STRIKE_LIMIT => RequestVerdict::Suspect,
            _ => RequestVerdict::Held,
        }
    }

    pub(crate) fn count(&self, verdict: RequestVerdict, now: Timestamp) -> usize {
        let fingerprints = self.lists.keys();
        fingerprints
            .filter(|fingerprint| self.verdict(fingerprint, now) == verdict)
            .count()
    }

    fn evict_oldest(&mut self) {
        while self.lists.len() > MAX_FINGERPRINTS {
            let oldest = self.lists.iter().min_by_key(|(_, list)| list.updated);
            let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.lists.remove(&fingerprint);
        }
    }
}
