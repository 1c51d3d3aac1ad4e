//! Decides which callers' connections are closed when there are more than the process may have.
//!
//! Handles clients that open many connections and complete no request: those with an incomplete
//! head go first, the longest waiting one before others, so that a new caller is still accepted.

use std::collections::BTreeSet;

use derive_more::{Display, From, FromStr, Into};

use super::client_limits::ClientLimits;
use crate::collections::FastMap;

/// Identifies a caller's connection.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, FromStr, From, Into,
)]
pub(crate) struct CallerId(u64);

/// What a connection waits for, in the order in which connections are closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CallerPhase {
    /// The rest of a head, or the caller's close after a refusal.
    Incomplete,
    /// A request.
    Idle,
    /// The rest of a body.
    Body,
    /// A response. Such connections are not closed.
    Serving,
}

#[derive(Debug)]
struct CallerEntry<H> {
    phase: CallerPhase,
    /// The position in the order of phase changes.
    sequence: u64,
    handle: H,
}

/// The connections of one process, each with a handle that closes it.
///
/// Invariants: `order` has one element for each entry. There are at most `max_callers` entries, and
/// `incomplete` of them are in the phase `Incomplete`.
#[derive(Debug)]
pub(crate) struct CallerTable<H> {
    max_callers: usize,
    max_incomplete: usize,
    entries: FastMap<CallerId, CallerEntry<H>>,
    order: BTreeSet<(CallerPhase, u64, CallerId)>,
    incomplete: usize,
    next_sequence: u64,
}

impl<H> CallerTable<H> {
    pub(crate) fn new(limits: &ClientLimits) -> Self {
        Self {
            max_callers: limits.max_callers,
            max_incomplete: limits.max_incomplete_heads,
            entries: FastMap::default(),
            order: BTreeSet::new(),
            incomplete: 0,
            next_sequence: 0,
        }
    }

    pub(crate) fn new_id(&mut self) -> CallerId {
        CallerId(self.take_sequence())
    }

    fn take_sequence(&mut self) -> u64 {
        self.next_sequence += 1;
        self.next_sequence
    }

    /// Makes room for one more connection. Returns whether there is room, and the handle of a
    /// connection to be closed for it.
    pub(crate) fn make_room(&mut self) -> (bool, Option<H>) {
        if self.entries.len() < self.max_callers {
            return (true, None);
        }
        let first = self.order.first().copied();
        match first.filter(|(phase, ..)| *phase != CallerPhase::Serving) {
            Some((.., id)) => (true, self.remove(id)),
            None => (false, None),
        }
    }

    pub(crate) fn insert(&mut self, id: CallerId, handle: H) {
        let sequence = self.take_sequence();
        let phase = CallerPhase::Idle;
        self.order.insert((phase, sequence, id));
        let entry = CallerEntry {
            phase,
            sequence,
            handle,
        };
        self.entries.insert(id, entry);
    }

    pub(crate) fn remove(&mut self, id: CallerId) -> Option<H> {
        let entry = self.entries.remove(&id)?;
        self.order.remove(&(entry.phase, entry.sequence, id));
        self.incomplete -= usize::from(entry.phase == CallerPhase::Incomplete);
        Some(entry.handle)
    }

    /// Records a connection's phase. Returns the handle of a connection to be closed because too
    /// many heads are incomplete.
    pub(crate) fn set_phase(&mut self, id: CallerId, phase: CallerPhase) -> Option<H> {
        let sequence = self.take_sequence();
        let entry = self.entries.get_mut(&id)?;
        self.order.remove(&(entry.phase, entry.sequence, id));
        self.incomplete -= usize::from(entry.phase == CallerPhase::Incomplete);
        (entry.phase, entry.sequence) = (phase, sequence);
        self.order.insert((phase, sequence, id));
        if phase != CallerPhase::Incomplete {
            return None;
        }
        self.incomplete += 1;
        if self.incomplete <= self.max_incomplete {
            return None;
        }
        let (.., oldest) = *self.order.first()?;
        self.remove(oldest)
    }
}
