//! The adapters that a target held before, of which it may have kept copies.
//!
//! Load pattern: thousands of adapters share a few slots, so that most adapters are unloaded and
//! needed again within minutes. A target keeps copies of the adapters that it held most recently, as
//! many as its memory for them takes, until its process ends. A load from a copy takes a tenth of the
//! time of one from the weight store and isn't billed.

use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::dispatch::directory::stable_hash;
use crate::ids::ModelAdapter;

/// The most adapters that are remembered for one target. How many copies a target keeps isn't known;
/// this bounds the memory to a few kilobytes a target.
const MAX_REMEMBERED: usize = 256;
/// Peers that a VM which has just started asks at most. If the first ones don't know either, all VMs
/// have just started.
const MAX_ASKED_PEERS: usize = 3;
/// Queries to one peer without a reply after which the next one is asked.
const MAX_UNANSWERED: u32 = 2;
/// The most queries of one VM. Each reply is one datagram with the copies of at least one target.
const MAX_QUERIES: u32 = 600;

/// An adapter's name hashed to a number, the same on every VM.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    derive_more::Display,
    derive_more::From,
    derive_more::Into,
)]
#[display("{_0:08x}")]
pub(crate) struct AdapterHash(u32);

impl AdapterHash {
    pub(crate) fn new(adapter: &ModelAdapter) -> Self {
        Self(stable_hash(&[adapter.as_str()]) as u32)
    }
}

/// When a target was last known to hold an adapter, in milliseconds of this process's clock. It is
/// negative for times before the process started, which peers know of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
#[display("{_0} ms")]
pub(crate) struct HeldTime(i64);

impl HeldTime {
    pub(crate) fn new(now: Timestamp) -> Self {
        Self(i64::try_from(now.as_millis()).unwrap_or(i64::MAX))
    }

    /// The time that is `age` before `now`.
    pub(crate) fn before(now: Timestamp, age: Duration) -> Self {
        let age = i64::try_from(age.as_millis()).unwrap_or(i64::MAX);
        Self(Self::new(now).0.saturating_sub(age))
    }

    pub(crate) fn age(self, now: Timestamp) -> Duration {
        let millis = Self::new(now).0.saturating_sub(self.0);
        Duration::from_millis(u64::try_from(millis).unwrap_or(0))
    }
}

#[derive(Debug, Clone, Copy)]
struct HeldBefore {
    version: u64,
    held_at: HeldTime,
}

/// What one process of a target held before, at most [`MAX_REMEMBERED`] adapters. It must be
/// discarded when the process ends.
#[derive(Debug, Default)]
pub(crate) struct CopyHistory {
    adapters: FastMap<AdapterHash, HeldBefore>,
}

impl CopyHistory {
    /// Records that the target held a version of an adapter at a time. Of two versions the newer one
    /// is remembered.
    pub(crate) fn record(&mut self, adapter: AdapterHash, version: u64, held_at: HeldTime) {
        let held = HeldBefore { version, held_at };
        let known = self.adapters.entry(adapter).or_insert(held);
        known.version = known.version.max(version);
        known.held_at = known.held_at.max(held_at);
        if self.adapters.len() > MAX_REMEMBERED {
            let oldest = self.adapters.iter().min_by_key(|(_, held)| held.held_at);
            if let Some(oldest) = oldest.map(|(adapter, _)| *adapter) {
                self.adapters.remove(&oldest);
            }
        }
    }

    /// When the target last held `version` of an adapter or a newer one, if it did.
    pub(crate) fn held_at(&self, adapter: AdapterHash, version: u64) -> Option<HeldTime> {
        let held = self.adapters.get(&adapter)?;
        (held.version >= version).then_some(held.held_at)
    }

    /// The adapters held most recently, at most `count`, with their versions.
    pub(crate) fn newest(&self, count: usize) -> Vec<(AdapterHash, u64, HeldTime)> {
        let adapters = self.adapters.iter();
        let adapters = adapters.map(|(adapter, held)| (*adapter, held.version, held.held_at));
        let mut adapters: Vec<_> = adapters.collect();
        adapters.sort_unstable_by_key(|(_, _, held_at)| std::cmp::Reverse(*held_at));
        adapters.truncate(count);
        adapters
    }

    /// The target's process has ended, and its copies with it.
    pub(crate) fn clear(&mut self) {
        self.adapters.clear();
    }
}

/// A query for what the targets after a place in the order of their keys held before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CopyQuery {
    pub(crate) peer: SocketAddr,
    /// The last target that is known already; 0 at the start.
    pub(crate) after: u64,
}

/// A peer's reply to a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CopyReply {
    /// The place that was asked for.
    pub(crate) after: u64,
    /// The last target in the reply; `None` if no further one follows.
    pub(crate) next: Option<u64>,
    /// Whether the peer has run long enough to know what the targets held.
    pub(crate) is_informed: bool,
}

/// How a VM that has just started learns what the targets held before: it asks one peer, for one
/// datagram at a time, and another one if that doesn't reply or knows nothing either.
#[derive(Debug)]
pub(crate) struct CopySync {
    /// Peers that are not asked yet, the first of them last.
    peers: Vec<SocketAddr>,
    peer: Option<SocketAddr>,
    after: u64,
    unanswered: u32,
    queries: u32,
}

impl CopySync {
    pub(crate) fn new(mut peers: Vec<SocketAddr>) -> Self {
        peers.truncate(MAX_ASKED_PEERS);
        peers.reverse();
        Self {
            peer: peers.pop(),
            peers,
            after: 0,
            unanswered: 0,
            queries: 0,
        }
    }

    pub(crate) fn queries(&self) -> u32 {
        self.queries
    }

    /// The next query; `None` if nothing is left to ask. The one before counts as unanswered unless
    /// a reply to it was applied.
    pub(crate) fn next_query(&mut self) -> Option<CopyQuery> {
        if self.unanswered >= MAX_UNANSWERED {
            self.skip_peer();
        }
        if self.queries >= MAX_QUERIES {
            self.peer = None;
        }
        let peer = self.peer?;
        self.unanswered += 1;
        self.queries += 1;
        let after = self.after;
        Some(CopyQuery { peer, after })
    }

    /// Applies a reply. Returns whether it is the one to the last query.
    pub(crate) fn apply_reply(&mut self, from: SocketAddr, reply: CopyReply) -> bool {
        if self.peer != Some(from) || reply.after != self.after {
            return false;
        }
        self.unanswered = 0;
        match (reply.is_informed, reply.next) {
            (false, _) => self.skip_peer(),
            (true, Some(next)) => self.after = next,
            (true, None) => self.peer = None,
        }
        true
    }

    fn skip_peer(&mut self) {
        self.unanswered = 0;
        self.peer = self.peers.pop();
    }
}
