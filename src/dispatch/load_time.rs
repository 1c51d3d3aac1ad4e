//! The expected time of adapter loads, which tells the owner when to check for completion.
//!
//! Load pattern: an adapter that the target held recently loads ten times as fast as one from the
//! weight store. A new owner, and any VM after a restart, doesn't know what the target held, and a
//! check costs little more than a message, so that a copy which may exist is checked for early.

use std::time::Duration;

use crate::clock::Timestamp;

/// Expected time of a reload, which is a load of an adapter that the target held recently.
const WARM_LOAD_TIME: Duration = Duration::from_millis(26);
/// The only early check of a load that may be a reload comes a little later: if it is too early, the
/// next one comes at the time of a load from the weight store.
const POSSIBLE_RELOAD_CHECK: Duration = Duration::from_millis(32);
/// Early checks of a load that is expected to be a reload: the second one allows for a slow reload.
const RELOAD_CHECKS: u32 = 2;
/// The interval between completion checks after the first one.
const LOAD_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Initial time estimate of a weight store load while few run; measured times replace it.
const INITIAL_LOAD_TIME: Duration = Duration::from_millis(250);
/// The fraction of the expected load time after which the owner first checks for completion.
const FIRST_CHECK_FRACTION: f64 = 0.97;
/// The weight of the newest measurement in the moving average of load times.
const LOAD_TIME_WEIGHT: f64 = 0.3;
/// Factor on the expected load time when the first check finds the load already complete.
const EARLY_LOAD_FACTOR: f64 = 0.8;
/// Loads that took less time did not come from the weight store and are not measured.
const MIN_COLD_LOAD_TIME: Duration = Duration::from_millis(120);
/// After this time a pending load is abandoned and the target's report is fetched again.
const LOAD_TIMEOUT: Duration = Duration::from_secs(4);

/// Where a load got the adapter from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum LoadKind {
    /// A copy on the target.
    #[display("reload")]
    Reload,
    /// The weight store.
    #[display("fetch")]
    Fetch,
}

/// What the owner knows of a target's copy of an adapter that it orders the target to load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CopyEvidence {
    /// The target keeps no copies, as far as is known.
    Absent,
    /// The target has held the adapter, but isn't stated to keep copies.
    Unstated,
    /// The target may have held the adapter before this VM owned it.
    Possible,
    /// The target held the adapter since its process started.
    Expected,
}

/// A load that a target has accepted, and the checks of its completion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LoadProgress {
    /// The time of the order, or of the report that listed the load.
    since: Timestamp,
    check_at: Timestamp,
    /// The checks still to come before the expected time of a load from the weight store.
    early_checks: u32,
    /// The later checks that found the load in progress. Early ones tell nothing of how long a load
    /// from the weight store takes.
    late_checks: u32,
}

impl LoadProgress {
    /// A load that a report lists, of which it is unknown how long it has been in progress.
    pub(crate) fn reported(now: Timestamp) -> Self {
        Self {
            since: now,
            check_at: now + LOAD_CHECK_INTERVAL,
            early_checks: 0,
            late_checks: 0,
        }
    }

    pub(crate) fn is_due(&self, now: Timestamp) -> bool {
        self.check_at <= now
    }

    pub(crate) fn time_to_check(&self, now: Timestamp) -> Duration {
        self.check_at.since(now)
    }

    /// The kind of a load that is found complete now, by the time that it took.
    pub(crate) fn kind(&self, now: Timestamp) -> LoadKind {
        if now.since(self.since) < MIN_COLD_LOAD_TIME {
            LoadKind::Reload
        } else {
            LoadKind::Fetch
        }
    }

    /// Whether the load has taken too long.
    pub(crate) fn is_overdue(&self, now: Timestamp) -> bool {
        now.since(self.since) > LOAD_TIMEOUT
    }

    /// Schedules the next check after one that the target has not answered.
    pub(crate) fn postpone(&mut self, now: Timestamp) {
        self.check_at = now + LOAD_CHECK_INTERVAL;
        if self.early_checks == 0 {
            self.late_checks += 1;
        }
    }
}

/// The expected time of a load from the weight store, learned from completed loads.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadTime(Duration);

impl Default for LoadTime {
    fn default() -> Self {
        Self(INITIAL_LOAD_TIME)
    }
}

impl LoadTime {
    /// The time from a load's order to its first check if it needs the weight store.
    fn first_late_check(self) -> Duration {
        self.0.mul_f64(FIRST_CHECK_FRACTION)
    }

    /// A load that the target has just accepted.
    pub(crate) fn start_load(self, evidence: CopyEvidence, now: Timestamp) -> LoadProgress {
        let (first_check, early_checks) = match evidence {
            CopyEvidence::Absent => (self.first_late_check(), 0),
            CopyEvidence::Unstated => (WARM_LOAD_TIME, 0),
            CopyEvidence::Possible => (POSSIBLE_RELOAD_CHECK, 1),
            CopyEvidence::Expected => (WARM_LOAD_TIME, RELOAD_CHECKS),
        };
        LoadProgress {
            since: now,
            check_at: now + first_check,
            early_checks,
            late_checks: 0,
        }
    }

    /// Schedules the next check after one that found the load in progress. A load that outlasts the
    /// early checks comes from the weight store.
    pub(crate) fn record_pending(self, load: &mut LoadProgress, now: Timestamp) {
        load.check_at = now + LOAD_CHECK_INTERVAL;
        match load.early_checks {
            0 => load.late_checks += 1,
            1 => {
                load.early_checks = 0;
                load.check_at = load.check_at.max(load.since + self.first_late_check());
            }
            _ => load.early_checks -= 1,
        }
    }

    /// Updates the expected time. If the first late check finds the load complete, its actual
    /// duration is unknown and may be much shorter.
    pub(crate) fn record_complete(&mut self, load: &LoadProgress, now: Timestamp) {
        let duration = now.since(load.since);
        if duration < MIN_COLD_LOAD_TIME || load.early_checks > 0 {
            return;
        }
        self.0 = match load.late_checks {
            0 => self.0.mul_f64(EARLY_LOAD_FACTOR).max(INITIAL_LOAD_TIME),
            _ => self.0.mul_f64(1.0 - LOAD_TIME_WEIGHT) + duration.mul_f64(LOAD_TIME_WEIGHT),
        };
    }
}
