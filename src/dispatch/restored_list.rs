//! Decides when a list of the operator's records is the whole state.
//!
//! Load pattern: the store comes back from a copy that is some seconds old. It may lack an order to take
//! a zone out of service that it has acknowledged, until the operator writes it again; without it,
//! requests would be sent to the zone in between.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::{LogPosition, StoreEra};

/// The time that the operator gets to write again what a restored store lacks.
const REWRITE_GRACE: Duration = Duration::from_secs(10);

/// The eras of the lists read so far.
#[derive(Debug, Default)]
pub(crate) struct RestoredList {
    last_era: Option<StoreEra>,
    /// When the list is to be read once more, to drop what the restored store still lacks.
    due_at: Option<Timestamp>,
}

impl RestoredList {
    /// Whether the list must be read now.
    pub(crate) fn is_due(&self, now: Timestamp) -> bool {
        self.due_at.is_some_and(|time| time <= now)
    }

    /// Records a read of the log up to `next`. Returns whether a record that is missing in it, if it
    /// is a complete list, is gone for good.
    pub(crate) fn record_read(
        &mut self,
        next: LogPosition,
        complete: bool,
        now: Timestamp,
    ) -> bool {
        let is_restored = self.last_era.is_some_and(|era| next.era > era);
        self.last_era = self.last_era.max(Some(next.era));
        if is_restored {
            self.due_at = Some(now + REWRITE_GRACE);
        }
        let is_whole = complete && (self.due_at.is_none() || self.is_due(now));
        if is_whole {
            self.due_at = None;
        }
        is_whole
    }
}
