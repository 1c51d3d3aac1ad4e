//! Counts how many requests of each account began in each window of time: on every VM its own, and
//! on the VM that reports them those of all VMs.
//!
//! Load pattern: datagrams are lost, repeated and reordered, VMs are killed and replaced, and the
//! reporting VM changes. Counts are cumulative for a window and a process, so that any datagram
//! replaces all earlier ones, and each VM keeps its windows until they can't be reported any more.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::dispatch::fleet_clock::{FleetClock, WallTime};
use crate::ids::{AccountName, BootId, NodeName};

/// How long after the end of a window its counts are final. A request counts at the time at which
/// it was sent to its target, which is known to run it only with the response.
const FINAL_DELAY: Duration = Duration::from_millis(300);
/// Starts that are kept until the clock is settled; further ones are attributed with the clock as it
/// is.
const MAX_EARLY_STARTS: usize = 20_000;

/// The number of a window: window k begins k times its length after 1970.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    derive_more::Display,
    derive_more::FromStr,
    derive_more::From,
    derive_more::Into,
)]
pub(crate) struct WindowId(u64);

impl WindowId {
    pub(crate) fn next(self) -> Self {
        Self(self.0 + 1)
    }

    pub(crate) fn earlier(self, windows: u64) -> Self {
        Self(self.0.saturating_sub(windows))
    }
}

/// How time is divided into windows, and until when a window is reported.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct WindowGrid {
    /// The length of a window in milliseconds; at least 1.
    window_ms: u64,
    /// How long after the end of a window its report is due.
    max_delay: Duration,
}

impl WindowGrid {
    pub(crate) fn new(window: Duration, max_delay: Duration) -> Self {
        Self {
            window_ms: (window.as_millis() as u64).max(1),
            max_delay,
        }
    }

    pub(crate) fn window_at(&self, time: WallTime) -> WindowId {
        WindowId(u64::from(time) / self.window_ms)
    }

    pub(crate) fn end(&self, window: WindowId) -> WallTime {
        WallTime::from((window.0 + 1).saturating_mul(self.window_ms))
    }

    /// The time from which a window is reported even if counts are missing. Half of the delay is
    /// left for the write, the call and two retries.
    pub(crate) fn latest_start(&self, window: WindowId) -> WallTime {
        self.end(window) + self.max_delay / 2
    }

    /// The first window that is not yet given up: one is repeated until its length after it was due.
    pub(crate) fn oldest_open(&self, now: WallTime) -> WindowId {
        let given_up = self.max_delay + Duration::from_millis(self.window_ms);
        self.window_at(now.before(given_up))
    }
}

/// The counts of one window on one VM.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct WindowCounts {
    pub(crate) window: WindowId,
    /// The sum over all accounts, which shows whether `counts` is complete.
    pub(crate) total: u64,
    pub(crate) counts: Vec<(AccountName, u64)>,
}

/// What a VM sends to the reporting VM. It may be sent in parts, each with some of the counts.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct UsageReport {
    /// The window in which the sender's process started.
    pub(crate) first: WindowId,
    /// The counts of this window and all earlier ones are final.
    pub(crate) final_through: WindowId,
    pub(crate) windows: Vec<WindowCounts>,
}

type AccountCounts = FastMap<AccountName, u64>;

/// Counts the requests that this VM's targets started.
///
/// Invariant: the counts of windows up to `final_through` never change.
#[derive(Debug)]
pub(crate) struct UsageCounter {
    grid: WindowGrid,
    windows: BTreeMap<WindowId, AccountCounts>,
    /// Starts from before the clock was settled.
    early_starts: Vec<(Timestamp, AccountName)>,
    /// The window in which the process started, once the clock is settled.
    first: Option<WindowId>,
    final_through: WindowId,
    /// The windows whose final counts the reporting VM has, by its last acknowledgement.
    acknowledged: BTreeSet<WindowId>,
}

impl UsageCounter {
    pub(crate) fn new(grid: WindowGrid) -> Self {
        Self {
            grid,
            windows: BTreeMap::new(),
            early_starts: Vec::new(),
            first: None,
            final_through: WindowId::default(),
            acknowledged: BTreeSet::new(),
        }
    }

    /// Counts a request of `account` that a target started at `started`.
    pub(crate) fn count(&mut self, account: &AccountName, started: Timestamp, clock: &FleetClock) {
        if self.first.is_none() && self.early_starts.len() < MAX_EARLY_STARTS {
            self.early_starts.push((started, account.clone()));
            return;
        }
        let window = self.grid.window_at(clock.wall_time(started));
        let window = window.max(self.final_through.next());
        let counts = self.windows.entry(window).or_default();
        match counts.get_mut(account) {
            Some(count) => *count += 1,
            None => {
                counts.insert(account.clone(), 1);
            }
        }
    }

    /// Closes the windows that have ended and drops those that can't be reported any more.
    pub(crate) fn advance(&mut self, clock: &FleetClock, now: Timestamp) {
        if !clock.is_settled(now) {
            return;
        }
        if self.first.is_none() {
            let start = clock.wall_time(clock.started_at());
            self.first = Some(self.grid.window_at(start));
            for (started, account) in std::mem::take(&mut self.early_starts) {
                self.count(&account, started, clock);
            }
        }
        let wall = clock.wall_time(now);
        let ended = self.grid.window_at(wall.before(FINAL_DELAY)).earlier(1);
        self.final_through = self.final_through.max(ended);
        let oldest = self.grid.oldest_open(wall);
        self.windows = self.windows.split_off(&oldest);
        self.acknowledged = self.acknowledged.split_off(&oldest);
    }

    /// What to send to the reporting VM; `None` until the clock is settled. Of the windows that it
    /// has acknowledged only the totals are sent: they show to another VM that it lacks the counts.
    pub(crate) fn report(&self) -> Option<UsageReport> {
        let part = |(window, counts): (&WindowId, &AccountCounts)| {
            let unknown = counts
                .iter()
                .filter(|_| !self.acknowledged.contains(window));
            WindowCounts {
                window: *window,
                total: counts.values().sum(),
                counts: unknown
                    .map(|(name, count)| (name.clone(), *count))
                    .collect(),
            }
        };
        Some(UsageReport {
            first: self.first?,
            final_through: self.final_through,
            windows: self.windows.iter().map(part).collect(),
        })
    }

    /// Applies the reporting VM's statement of the windows whose final counts it has. It replaces
    /// the earlier ones, since another VM may report now.
    pub(crate) fn acknowledge(&mut self, windows: impl Iterator<Item = WindowId>) {
        let final_through = self.final_through;
        self.acknowledged = windows.filter(|window| *window <= final_through).collect();
    }

    /// Forgets what another reporting VM has acknowledged.
    pub(crate) fn forget_acknowledgements(&mut self) {
        self.acknowledged.clear();
    }
}

/// The process of a VM, whose counts are cumulative.
pub(crate) type UsageSender = (NodeName, BootId);

#[derive(Debug, Default)]
struct SenderWindow {
    total: u64,
    counts: AccountCounts,
}

impl SenderWindow {
    fn is_whole(&self) -> bool {
        self.counts.values().sum::<u64>() == self.total
    }
}

#[derive(Debug, Default)]
struct SenderUsage {
    first: WindowId,
    final_through: WindowId,
    windows: BTreeMap<WindowId, SenderWindow>,
}

impl SenderUsage {
    fn has_final(&self, window: WindowId) -> bool {
        let counts = self.windows.get(&window);
        self.final_through >= window && counts.is_none_or(SenderWindow::is_whole)
    }
}

/// The counts that a VM has received from all VMs, itself included. The processes of VMs that have
/// died or restarted stay in it for as long as their windows may be reported.
#[derive(Debug, Default)]
pub(crate) struct UsageCollector {
    senders: FastMap<UsageSender, SenderUsage>,
}

impl UsageCollector {
    /// Merges a report. The order of reports doesn't matter.
    pub(crate) fn apply(&mut self, sender: UsageSender, report: UsageReport) {
        let known = self.senders.entry(sender).or_default();
        known.first = report.first;
        known.final_through = known.final_through.max(report.final_through);
        for part in report.windows {
            let window = known.windows.entry(part.window).or_default();
            window.total = window.total.max(part.total);
            for (account, count) in part.counts {
                let known = window.counts.entry(account).or_default();
                *known = (*known).max(count);
            }
        }
    }

    /// The windows whose final counts a sender need not send again.
    pub(crate) fn final_windows(&self, sender: &UsageSender, oldest: WindowId) -> Vec<WindowId> {
        let Some(usage) = self.senders.get(sender) else {
            return Vec::new();
        };
        let windows = usage.windows.range(oldest..);
        let windows = windows.map(|(window, _)| *window);
        windows.filter(|window| usage.has_final(*window)).collect()
    }

    /// Whether the final counts of all live VMs have arrived.
    pub(crate) fn is_complete(&self, window: WindowId, live: &[UsageSender]) -> bool {
        let has_final = |usage: &SenderUsage| usage.has_final(window);
        let mut live = live.iter();
        live.all(|sender| self.senders.get(sender).is_some_and(has_final))
    }

    /// Whether any VM that has reported ran in the window. Of other windows nothing is known.
    pub(crate) fn was_observed(&self, window: WindowId) -> bool {
        let mut senders = self.senders.values();
        senders.any(|usage| usage.first <= window)
    }

    /// The sums over all VMs.
    pub(crate) fn counts(&self, window: WindowId) -> BTreeMap<AccountName, u64> {
        let mut sums = BTreeMap::new();
        let senders = self.senders.values();
        for counts in senders.filter_map(|usage| usage.windows.get(&window)) {
            for (account, count) in &counts.counts {
                *sums.entry(account.clone()).or_insert(0) += count;
            }
        }
        sums
    }

    /// Drops the windows before `oldest`, and the senders that are not live and have no others.
    pub(crate) fn expire(&mut self, oldest: WindowId, live: &[UsageSender]) {
        self.senders.retain(|sender, usage| {
            usage.windows = usage.windows.split_off(&oldest);
            !usage.windows.is_empty() || usage.final_through >= oldest || live.contains(sender)
        });
    }
}
