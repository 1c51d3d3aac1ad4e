//! Decides which callers' bodies may be held in memory, by a budget for the whole process.
//!
//! Handles many large or incomplete bodies at a time: memory is reserved before it is filled, in the
//! order of arrival, with a part that only small bodies may take. While bodies wait, one that makes
//! no progress gives its memory up.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use derive_more::{Display, From, FromStr, Into};

use super::client_limits::ClientLimits;
use crate::clock::Timestamp;

/// The longest body that counts as small. Ordinary bodies are shorter.
pub(crate) const SMALL_BODY_BYTES: usize = 16 * 1024;
/// A body has made progress once this much more of it was read.
const PROGRESS_BYTES: usize = 64 * 1024;
/// How long a body may make no progress while others wait.
const STALL_TIME: Duration = Duration::from_secs(2);
/// The larger receive buffer of a connection with a large body.
const LARGE_RECEIVE_BYTES: u64 = 128 * 1024;

/// Identifies a body in the budget.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, FromStr, From, Into,
)]
pub(crate) struct BodyId(u64);

/// The result of a request for memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyGrant {
    Granted,
    /// The body is in the queue; see [`BodyBudget::retry`].
    Waiting,
    /// Too many bodies wait already.
    Rejected,
}

#[derive(Debug)]
struct HeldBody {
    /// The memory charged to it.
    charged: u64,
    /// The charge that it waits for.
    wanted: Option<u64>,
    /// Its length at `progress_at`.
    progress_bytes: usize,
    progress_at: Timestamp,
    is_complete: bool,
    /// Whether it must give up its memory.
    is_evicted: bool,
}

/// The bodies of all connections.
///
/// Invariants: `charged` is the sum of all bodies' charges and `large_charged` that of the large
/// ones. `charged` exceeds the limit only by one large body that has no other beside it. Each id in
/// `queue` is in `bodies` and has a `wanted` charge.
#[derive(Debug)]
pub(crate) struct BodyBudget {
    limit: u64,
    large_limit: u64,
    max_waiting: usize,
    bodies: BTreeMap<BodyId, HeldBody>,
    queue: VecDeque<BodyId>,
    charged: u64,
    large_charged: u64,
    next_id: u64,
}

/// The memory for a body of `bytes` and its encoded copy for the target.
fn charge_for(bytes: usize) -> u64 {
    let twice = 2 * bytes as u64;
    match bytes > SMALL_BODY_BYTES {
        true => twice + LARGE_RECEIVE_BYTES,
        false => twice,
    }
}

fn is_large(charge: u64) -> bool {
    charge > 2 * SMALL_BODY_BYTES as u64
}

impl BodyBudget {
    pub(crate) fn new(limits: &ClientLimits) -> Self {
        Self {
            limit: limits.body_memory.into(),
            large_limit: limits.large_body_memory.into(),
            max_waiting: limits.max_unread_connections,
            bodies: BTreeMap::new(),
            queue: VecDeque::new(),
            charged: 0,
            large_charged: 0,
            next_id: 0,
        }
    }

    /// Adds a body without memory.
    pub(crate) fn open(&mut self, now: Timestamp) -> BodyId {
        let id = BodyId(self.next_id);
        self.next_id += 1;
        let body = HeldBody {
            charged: 0,
            wanted: None,
            progress_bytes: 0,
            progress_at: now,
            is_complete: false,
            is_evicted: false,
        };
        self.bodies.insert(id, body);
        id
    }

    /// Removes a body. Returns whether others wait for its memory.
    pub(crate) fn close(&mut self, id: BodyId) -> bool {
        self.set_charge(id, 0);
        self.bodies.remove(&id);
        self.queue.retain(|waiting| *waiting != id);
        !self.queue.is_empty()
    }

    /// Asks for memory for `bytes` of the body in total.
    pub(crate) fn request(&mut self, id: BodyId, bytes: usize, now: Timestamp) -> BodyGrant {
        let wanted = charge_for(bytes);
        let is_first = !self
            .queue
            .iter()
            .any(|other| self.blocks(*other, is_large(wanted)));
        if is_first && self.fits(id, wanted) {
            self.grant(id, wanted, now);
            return BodyGrant::Granted;
        }
        if self.queue.len() >= self.max_waiting {
            return BodyGrant::Rejected;
        }
        if let Some(body) = self.bodies.get_mut(&id) {
            body.wanted = Some(wanted);
            self.queue.push_back(id);
        }
        BodyGrant::Waiting
    }

    /// Tries again for a waiting body. Returns whether it has its memory now.
    pub(crate) fn retry(&mut self, id: BodyId, now: Timestamp) -> bool {
        let Some(wanted) = self.bodies.get(&id).and_then(|body| body.wanted) else {
            return false;
        };
        let ahead = self.queue.iter().take_while(|other| **other != id);
        let is_first = !ahead
            .into_iter()
            .any(|other| self.blocks(*other, is_large(wanted)));
        if !is_first || !self.fits(id, wanted) {
            return false;
        }
        self.queue.retain(|waiting| *waiting != id);
        self.grant(id, wanted, now);
        true
    }

    /// Whether a waiting body goes before one of the given size. Small ones don't wait for large
    /// ones.
    fn blocks(&self, waiting: BodyId, is_other_large: bool) -> bool {
        let wanted = self.bodies.get(&waiting).and_then(|body| body.wanted);
        is_other_large || !wanted.is_some_and(is_large)
    }

    fn fits(&self, id: BodyId, wanted: u64) -> bool {
        let own = self.bodies.get(&id).map_or(0, |body| body.charged);
        let others = self.charged - own;
        let others_large = self.large_charged - if is_large(own) { own } else { 0 };
        let others_small = others - others_large;
        if is_large(wanted) {
            // A single body of legal length is served however little memory the VM has.
            let is_alone = others_large == 0;
            is_alone || (others_large + wanted <= self.large_limit && others + wanted <= self.limit)
        } else {
            others + wanted <= self.limit || others_small + wanted <= self.limit - self.large_limit
        }
    }

    fn grant(&mut self, id: BodyId, wanted: u64, now: Timestamp) {
        self.set_charge(id, wanted);
        if let Some(body) = self.bodies.get_mut(&id) {
            body.wanted = None;
            body.progress_at = now;
        }
    }

    fn set_charge(&mut self, id: BodyId, charge: u64) {
        let Some(body) = self.bodies.get_mut(&id) else {
            return;
        };
        let previous = std::mem::replace(&mut body.charged, charge);
        self.charged = self.charged - previous + charge;
        let large = |charge| if is_large(charge) { charge } else { 0 };
        self.large_charged = self.large_charged - large(previous) + large(charge);
    }

    /// Records that `bytes` of the body were read so far.
    pub(crate) fn record_read(&mut self, id: BodyId, bytes: usize, now: Timestamp) {
        if let Some(body) = self.bodies.get_mut(&id)
            && bytes >= body.progress_bytes + PROGRESS_BYTES
        {
            body.progress_bytes = bytes;
            body.progress_at = now;
        }
    }

    /// Records that the body was read to its end. It keeps its memory until it is closed.
    pub(crate) fn complete(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.is_complete = true;
        }
    }

    pub(crate) fn is_evicted(&self, id: BodyId) -> bool {
        self.bodies.get(&id).is_some_and(|body| body.is_evicted)
    }

    /// While bodies wait, tells those that hold memory without progress to give it up. Returns
    /// whether there is a new one.
    pub(crate) fn evict_stalled(&mut self, now: Timestamp) -> bool {
        if self.queue.is_empty() {
            return false;
        }
        let mut found = false;
        for body in self.bodies.values_mut() {
            let is_stalled = now.since(body.progress_at) > STALL_TIME;
            let is_read = body.wanted.is_none() && !body.is_complete;
            if body.charged > 0 && is_read && !body.is_evicted && is_stalled {
                body.is_evicted = true;
                found = true;
            }
        }
        found
    }
}
