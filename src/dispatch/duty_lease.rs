//! Decides when a VM may call the control service for a duty, and with which fencing token.
//!
//! Load pattern: the store moves partitions at any moment, also twice within a second, while VMs are
//! suspended, cut off or restarted. The partition's lease excludes that two VMs call at once; the
//! rules here keep a VM that gets a duty back from calling too soon after its own last call, and
//! from using a token again that the service has rejected.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::FencingToken;

/// What the lease of a duty's partition permits at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct DutyGrant {
    /// The group's generation when this VM got the partition. It is the same for as long as the VM
    /// holds the partition, and each later holder's is higher.
    pub(crate) acquired: FencingToken,
    /// The group's generation now.
    pub(crate) current: FencingToken,
    /// How long the lease lasts without a renewal.
    pub(crate) time_left: Duration,
}

/// The calls of this VM for one duty.
///
/// Invariant: the tokens that [`Self::token`] returns never become lower.
#[derive(Debug)]
pub(crate) struct DutyHolder {
    /// The minimum time between calls of one VM before and after those of another.
    handover_time: Duration,
    /// The highest token that the service has rejected.
    fenced: Option<FencingToken>,
    /// The tenure of the last call and when the call ended.
    last_call: Option<(FencingToken, Timestamp)>,
    /// Since when this VM performs the duty.
    since: Option<Timestamp>,
}

impl DutyHolder {
    pub(crate) fn new(handover_time: Duration) -> Self {
        Self {
            handover_time,
            fenced: None,
            last_call: None,
            since: None,
        }
    }

    /// The token for a call now, if this VM may call.
    pub(crate) fn token(&self, grant: Option<DutyGrant>, now: Timestamp) -> Option<FencingToken> {
        let grant = grant?;
        if let Some((acquired, at)) = self.last_call
            && acquired != grant.acquired
            && now.since(at) < self.handover_time
        {
            // Another VM may have called in between.
            return None;
        }
        // The store names one holder of a partition in each generation, so the current one serves
        // as a token too after an earlier one was rejected.
        let tokens = [grant.acquired, grant.current];
        let mut usable = tokens.into_iter();
        usable.find(|token| self.fenced.is_none_or(|fenced| *token > fenced))
    }

    /// Records a call that was sent under `grant` and has ended.
    pub(crate) fn record_call(&mut self, grant: DutyGrant, now: Timestamp) {
        self.last_call = Some((grant.acquired, now));
    }

    /// Records that the service has rejected a token.
    pub(crate) fn record_fenced(&mut self, token: FencingToken) {
        self.fenced = self.fenced.max(Some(token));
    }

    /// Updates since when this VM performs the duty. Returns whether that has changed.
    pub(crate) fn update_holding(&mut self, holds: bool, now: Timestamp) -> bool {
        let changed = holds != self.since.is_some();
        if changed {
            self.since = holds.then_some(now);
        }
        changed
    }

    pub(crate) fn held_since(&self) -> Option<Timestamp> {
        self.since
    }
}
