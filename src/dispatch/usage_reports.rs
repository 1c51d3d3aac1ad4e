//! Decides what the VM that reports usage does next: read the records of reports, write one, or call
//! the control service with one.
//!
//! Load pattern: the VM is suspended, loses its lease, loses responses and is replaced at any step.
//! The first record of a window in the store decides its content for good; every call, also by a
//! later VM, repeats a record. A record is written only where the records were read up to, so that of
//! two VMs one writes. The store may come back from a copy that lacks the records of windows that were
//! called already: a VM that knows their counts records them again before it calls once more.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Timestamp;
use crate::dispatch::fleet_clock::WallTime;
use crate::dispatch::usage_windows::{UsageCollector, UsageSender, WindowGrid, WindowId};
use crate::ids::{AccountName, LogPosition};

/// The delay after a failed call of the store or of the service.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Records are kept for this many windows after they can be reported, so that VMs whose clocks
/// differ find them.
const KEPT_WINDOWS: u64 = 12;
/// Records removed with one write, which bounds its size.
const MAX_REMOVALS: usize = 16;

/// The counts of a window by account, as recorded and reported.
pub(crate) type ReportCounts = BTreeMap<AccountName, u64>;

/// The next step of the reporting VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum UsageStep {
    ReadRecords,
    /// Write a window's record if the log ends at `at`, and remove old ones.
    WriteRecord {
        window: WindowId,
        counts: ReportCounts,
        at: LogPosition,
        removed: Vec<WindowId>,
    },
    /// Report a window as recorded. `repeated` is set if it was called before, perhaps by another VM.
    Call {
        window: WindowId,
        counts: ReportCounts,
        repeated: bool,
    },
    Wait,
}

/// The result of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RecordAnswer {
    /// The record was written, and the log ends at this offset.
    Written(LogPosition),
    /// The log ends elsewhere, or there is no response and the record may still be written.
    Unknown,
}

#[derive(Debug)]
enum WindowState {
    Recorded {
        counts: ReportCounts,
        next_call: Timestamp,
        repeated: bool,
    },
    Reported,
}

/// What the store holds, as last read.
#[derive(Debug)]
struct KnownRecords {
    end: LogPosition,
    windows: BTreeSet<WindowId>,
}

/// The reports of a VM that performs the duty.
///
/// Invariant: a window in `windows` has a record in the store with just these counts, or had one before
/// the store came back from a copy.
#[derive(Debug)]
pub(crate) struct UsageReports {
    grid: WindowGrid,
    records: Option<KnownRecords>,
    windows: BTreeMap<WindowId, WindowState>,
    /// The counts of the windows that this VM has recorded or read, also in earlier tenures.
    known_counts: BTreeMap<WindowId, ReportCounts>,
    /// The first window that is not yet reported or missed; unset while this VM doesn't report.
    first_open: Option<WindowId>,
    retry_at: Timestamp,
}

/// What a step is decided on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UsageView<'a> {
    pub(crate) collector: &'a UsageCollector,
    /// All live VMs, this one included.
    pub(crate) live: &'a [UsageSender],
    pub(crate) wall: WallTime,
    pub(crate) now: Timestamp,
}

impl UsageReports {
    pub(crate) fn new(grid: WindowGrid) -> Self {
        Self {
            grid,
            records: None,
            windows: BTreeMap::new(),
            known_counts: BTreeMap::new(),
            first_open: None,
            retry_at: Timestamp::default(),
        }
    }

    /// Forgets what is known of the store, since another VM may write from now on.
    pub(crate) fn release(&mut self) {
        self.records = None;
        self.first_open = None;
        self.windows
            .retain(|_, state| matches!(state, WindowState::Reported));
    }

    /// Forgets what the store holds, since it has come back from a copy.
    pub(crate) fn forget_records(&mut self) {
        self.records = None;
    }

    /// Gives up the windows that are too old. Returns those that were not reported although a VM
    /// counted in them.
    pub(crate) fn give_up(&mut self, view: UsageView<'_>) -> Vec<WindowId> {
        let oldest = self.grid.oldest_open(view.wall);
        let mut missed = Vec::new();
        let mut window = self.first_open.unwrap_or(oldest);
        while window < oldest {
            let is_open = match self.windows.get(&window) {
                Some(WindowState::Reported) => false,
                Some(WindowState::Recorded { .. }) => true,
                None => view.collector.was_observed(window),
            };
            if is_open {
                missed.push(window);
            }
            window = window.next();
        }
        self.first_open = Some(oldest);
        self.windows = self.windows.split_off(&oldest);
        self.known_counts = self.known_counts.split_off(&oldest);
        missed
    }

    pub(crate) fn next_step(&self, view: UsageView<'_>) -> UsageStep {
        let Some(records) = &self.records else {
            return match view.now >= self.retry_at {
                true => UsageStep::ReadRecords,
                false => UsageStep::Wait,
            };
        };
        self.next_write(records, view)
            .or_else(|| self.next_call(records, view.now))
            .unwrap_or(UsageStep::Wait)
    }

    fn next_write(&self, records: &KnownRecords, view: UsageView<'_>) -> Option<UsageStep> {
        let oldest = self.grid.oldest_open(view.wall);
        let current = self.grid.window_at(view.wall);
        let mut window = oldest;
        while window < current {
            let is_due = view.collector.is_complete(window, view.live)
                || view.wall >= self.grid.latest_start(window);
            let known = self.known_counts.get(&window);
            if !records.windows.contains(&window)
                && (known.is_some() || (is_due && view.collector.was_observed(window)))
            {
                let old = records.windows.range(..oldest.earlier(KEPT_WINDOWS));
                let counted = || view.collector.counts(window);
                return Some(UsageStep::WriteRecord {
                    window,
                    counts: known.cloned().unwrap_or_else(counted),
                    at: records.end,
                    removed: old.take(MAX_REMOVALS).copied().collect(),
                });
            }
            window = window.next();
        }
        None
    }

    fn next_call(&self, records: &KnownRecords, now: Timestamp) -> Option<UsageStep> {
        self.windows.iter().find_map(|(window, state)| match state {
            WindowState::Recorded {
                counts,
                next_call,
                repeated,
            } if now >= *next_call && records.windows.contains(window) => Some(UsageStep::Call {
                window: *window,
                counts: counts.clone(),
                repeated: *repeated,
            }),
            _ => None,
        })
    }

    /// Applies the records that were read, and the offset of the log's end. A record without counts
    /// can't be decoded: its window is neither counted nor reported.
    pub(crate) fn apply_records(
        &mut self,
        end: LogPosition,
        records: Vec<(WindowId, Option<ReportCounts>)>,
        wall: WallTime,
    ) {
        let oldest = self.grid.oldest_open(wall);
        let windows = records.iter().map(|(window, _)| *window).collect();
        for (window, counts) in records {
            if let Some(counts) = counts.filter(|_| window >= oldest) {
                self.known_counts.insert(window, counts.clone());
                self.windows.entry(window).or_insert(WindowState::Recorded {
                    counts,
                    next_call: Timestamp::default(),
                    repeated: true,
                });
            }
        }
        self.records = Some(KnownRecords { end, windows });
    }

    /// Reading the records failed.
    pub(crate) fn delay_read(&mut self, now: Timestamp) {
        self.retry_at = now + RETRY_DELAY;
    }

    /// Applies the result of [`UsageStep::WriteRecord`].
    pub(crate) fn apply_write(
        &mut self,
        window: WindowId,
        counts: ReportCounts,
        removed: &[WindowId],
        answer: RecordAnswer,
        now: Timestamp,
    ) {
        let (RecordAnswer::Written(end), Some(records)) = (answer, &mut self.records) else {
            // The next read shows whose record was written, if any. A write without a response that
            // is executed after that read makes the next one fail.
            self.records = None;
            self.retry_at = now + RETRY_DELAY;
            return;
        };
        records.end = end;
        records.windows.insert(window);
        records.windows.retain(|window| !removed.contains(window));
        let is_new = self.known_counts.insert(window, counts.clone()).is_none();
        self.windows.entry(window).or_insert(WindowState::Recorded {
            counts,
            next_call: now,
            repeated: !is_new,
        });
    }

    /// Applies the result of [`UsageStep::Call`].
    pub(crate) fn apply_call(&mut self, window: WindowId, done: bool, now: Timestamp) {
        let Some(state) = self.windows.get_mut(&window) else {
            return;
        };
        match state {
            WindowState::Recorded { .. } if done => *state = WindowState::Reported,
            WindowState::Recorded {
                next_call,
                repeated,
                ..
            } => {
                *next_call = now + RETRY_DELAY;
                *repeated = true;
            }
            WindowState::Reported => {}
        }
    }
}
