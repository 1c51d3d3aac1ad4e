//! What a reader of the targets' log has read and may not claim to have relayed yet, since it defers a
//! removal: the other VMs would take the removal for known and ignore it in the relays of others.
//!
//! Load pattern: a reader was cut off from the store for some seconds, and targets leave right after;
//! the other readers were not cut off and don't defer their removals.

use crate::dispatch::directory::{DeferredRemoval, TargetKey};
use crate::ids::LogPosition;

/// A change of a target that a reader has found in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct FoundChange<R> {
    pub(crate) record: R,
    pub(crate) position: LogPosition,
    /// Set if the record removes this target and the reader defers the removal.
    pub(crate) deferred: Option<TargetKey>,
}

/// What to send after a read.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct RelayPart<R> {
    /// All changes before `until` that were not claimed before.
    pub(crate) claimed: Vec<R>,
    /// The end of what may be claimed.
    pub(crate) until: LogPosition,
    /// New changes from `until` on, which other VMs need at once.
    pub(crate) unclaimed: Vec<R>,
}

/// The changes from the first deferred removal on, in the order of the log.
#[derive(Debug)]
pub(crate) struct RelayBacklog<R>(Vec<FoundChange<R>>);

impl<R> Default for RelayBacklog<R> {
    fn default() -> Self {
        Self(Vec::new())
    }
}

impl<R: Clone> RelayBacklog<R> {
    /// Adds the changes of a read up to `read_until`, and takes what may be sent. `removal` returns
    /// what has become of a deferred removal.
    pub(crate) fn take_part(
        &mut self,
        found: Vec<FoundChange<R>>,
        read_until: LogPosition,
        removal: impl Fn(TargetKey) -> DeferredRemoval,
    ) -> RelayPart<R> {
        let new_from = found.first().map(|change| change.position);
        self.0.extend(found);
        self.0.retain_mut(|change| {
            let state = change.deferred.map(&removal);
            if state == Some(DeferredRemoval::Done) {
                change.deferred = None;
            }
            state != Some(DeferredRemoval::Cancelled)
        });
        let deferred_at = self.0.iter().position(|change| change.deferred.is_some());
        let rest = self.0.split_off(deferred_at.unwrap_or(self.0.len()));
        let claimed = std::mem::replace(&mut self.0, rest);
        let is_unclaimed = |change: &&FoundChange<R>| {
            change.deferred.is_none() && new_from.is_some_and(|from| change.position >= from)
        };
        RelayPart {
            claimed: claimed.into_iter().map(|change| change.record).collect(),
            until: self.0.first().map_or(read_until, |first| first.position),
            unclaimed: self
                .0
                .iter()
                .filter(is_unclaimed)
                .map(|change| change.record.clone())
                .collect(),
        }
    }
}
