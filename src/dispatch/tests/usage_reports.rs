use std::collections::BTreeMap;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::usage_windows::{grid, sender, wall, window};
use super::{at, position};
use crate::dispatch::usage_reports::{
    RecordAnswer, ReportCounts, UsageReports, UsageStep, UsageView,
};
use crate::dispatch::usage_windows::{
    UsageCollector, UsageReport, UsageSender, WindowCounts, WindowId,
};
use crate::ids::LogPosition;

fn counts(total: u64) -> ReportCounts {
    BTreeMap::from([("a".parse().unwrap(), total)])
}

/// A VM that may report, and what it has received of one sender's counts.
struct ReportingVm {
    reports: UsageReports,
    collector: UsageCollector,
    live: Vec<UsageSender>,
}

impl ReportingVm {
    fn new() -> Self {
        Self {
            reports: UsageReports::new(grid()),
            collector: UsageCollector::default(),
            live: vec![sender("vm-0", 1)],
        }
    }

    /// Receives the final counts of a window.
    fn receive(&mut self, window: WindowId, total: u64) {
        let counts = vec![("a".parse().unwrap(), total)];
        let part = WindowCounts {
            window,
            total,
            counts,
        };
        let report = UsageReport {
            first: super::usage_windows::window(0),
            final_through: window,
            windows: vec![part],
        };
        self.collector.apply(sender("vm-0", 1), report);
    }

    fn view(&self, now: u64) -> UsageView<'_> {
        UsageView {
            collector: &self.collector,
            live: &self.live,
            wall: wall(now),
            now: at(now),
        }
    }

    fn step(&self, now: u64) -> UsageStep {
        self.reports.next_step(self.view(now))
    }

    fn give_up(&mut self, now: u64) -> Vec<WindowId> {
        let view = UsageView {
            collector: &self.collector,
            live: &self.live,
            wall: wall(now),
            now: at(now),
        };
        self.reports.give_up(view)
    }

    fn read(&mut self, end: u64, records: Vec<(WindowId, ReportCounts)>, now: u64) {
        let end = position(end);
        let records = records.into_iter();
        let records = records.map(|(window, counts)| (window, Some(counts)));
        let records = records.collect();
        self.reports.apply_records(end, records, wall(now));
    }
}

/// Guards against a report without a record, and against a window that is reported before it is
/// complete or not at all.
#[test]
fn window_is_recorded_and_then_called_until_it_is_answered() {
    let mut vm = ReportingVm::new();
    assert_eq!(vm.step(100), UsageStep::ReadRecords);
    vm.read(7, Vec::new(), 100);
    assert_eq!(vm.step(5_200), UsageStep::Wait);
    vm.receive(window(0), 12);
    let write = UsageStep::WriteRecord {
        window: window(0),
        counts: counts(12),
        at: position(7),
        removed: Vec::new(),
    };
    assert_eq!(vm.step(5_400), write);
    let written = RecordAnswer::Written(position(8));
    vm.reports
        .apply_write(window(0), counts(12), &[], written, at(5_400));
    vm.receive(window(0), 13);
    let call = |repeated| UsageStep::Call {
        window: window(0),
        counts: counts(12),
        repeated,
    };
    assert_eq!(vm.step(5_400), call(false));
    vm.reports.apply_call(window(0), false, at(5_500));
    assert_eq!(vm.step(5_600), UsageStep::Wait);
    assert_eq!(vm.step(6_000), call(true));
    vm.reports.apply_call(window(0), true, at(6_000));
    assert_eq!(vm.step(9_000), UsageStep::Wait);
    assert_eq!(vm.give_up(25_000), []);
}

/// Guards against waiting for a VM that has hung, until the report is too late.
#[test]
fn window_is_recorded_in_time_without_all_counts() {
    let mut vm = ReportingVm::new();
    vm.live.push(sender("vm-1", 4));
    vm.receive(window(0), 5);
    vm.read(0, Vec::new(), 100);
    assert_eq!(vm.step(9_900), UsageStep::Wait);
    let is_write = |step| matches!(step, UsageStep::WriteRecord { .. });
    assert!(is_write(vm.step(10_000)));
}

/// Guards against a VM that makes its own counts for a window that another VM has recorded, after
/// its write failed its condition or got no response.
#[test]
fn record_of_another_vm_is_repeated_exactly() {
    let mut vm = ReportingVm::new();
    vm.receive(window(0), 5);
    vm.read(0, Vec::new(), 100);
    vm.reports
        .apply_write(window(0), counts(5), &[], RecordAnswer::Unknown, at(5_400));
    assert_eq!(vm.step(5_500), UsageStep::Wait);
    assert_eq!(vm.step(5_900), UsageStep::ReadRecords);
    vm.read(1, vec![(window(0), counts(4))], 5_900);
    let call = UsageStep::Call {
        window: window(0),
        counts: counts(4),
        repeated: true,
    };
    assert_eq!(vm.step(5_900), call);
}

/// Guards against counts of its own for a window whose record a VM can't decode.
#[test]
fn unreadable_record_is_not_replaced() {
    let mut vm = ReportingVm::new();
    vm.receive(window(0), 5);
    let records = vec![(window(0), None)];
    vm.reports.apply_records(position(1), records, wall(5_400));
    assert_eq!(vm.step(5_400), UsageStep::Wait);
}

/// Guards against reports for windows that are given up, and against misses that nobody sees.
#[test]
fn old_windows_are_given_up_and_named_once() {
    let mut vm = ReportingVm::new();
    assert_eq!(vm.give_up(100), []);
    vm.receive(window(1), 5);
    assert_eq!(vm.give_up(19_900), []);
    assert_eq!(vm.give_up(20_100), [window(0)]);
    assert_eq!(vm.give_up(20_200), []);
    vm.reports.release();
    assert_eq!(vm.give_up(40_000), [], "other VMs were responsible since");
}

/// Guards against a topic that grows for ever, and against removing records that another VM may
/// still need.
#[test]
fn write_removes_old_records() {
    let mut vm = ReportingVm::new();
    let old = window(0).earlier(40);
    let kept = window(0).earlier(5);
    vm.receive(window(0), 5);
    vm.read(9, vec![(old, counts(1)), (kept, counts(1))], 5_400);
    let UsageStep::WriteRecord { removed, .. } = vm.step(5_400) else {
        panic!("the window must be recorded");
    };
    assert_eq!(removed, [old]);
    let written = RecordAnswer::Written(position(11));
    vm.reports
        .apply_write(window(0), counts(5), &removed, written, at(5_400));
    vm.receive(window(1), 5);
    let step = vm.step(10_400);
    assert!(
        matches!(&step, UsageStep::WriteRecord { at, removed, .. } if *at == position(11) && removed.is_empty()),
        "{step:?}"
    );
}

/// Guards against two contents of a window: the store came back from a copy without the record of one
/// that was called already, and a VM would count the window anew.
#[yare::parameterized(called = {false}, reported = {true})]
fn window_is_recorded_again_with_the_same_counts_after_a_restore(reported: bool) {
    let mut vm = ReportingVm::new();
    vm.receive(window(0), 5);
    vm.read(7, Vec::new(), 5_400);
    let written = RecordAnswer::Written(position(8));
    vm.reports
        .apply_write(window(0), counts(5), &[], written, at(5_400));
    vm.reports.apply_call(window(0), reported, at(5_500));
    // Another sender's counts arrive, which the record lacks.
    vm.collector = UsageCollector::default();
    vm.receive(window(0), 6);
    vm.reports.forget_records();
    vm.reports.release();
    assert_eq!(vm.step(6_000), UsageStep::ReadRecords);
    vm.read(3, Vec::new(), 6_000);
    let step = vm.step(6_000);
    let UsageStep::WriteRecord {
        counts: again, at, ..
    } = &step
    else {
        panic!("{step:?}");
    };
    assert_eq!((again, *at), (&counts(5), position(3)));
    let written = RecordAnswer::Written(position(4));
    vm.reports
        .apply_write(window(0), counts(5), &[], written, super::at(6_100));
    let is_called = matches!(vm.step(6_200), UsageStep::Call { repeated: true, .. });
    assert_eq!(is_called, !reported);
}

/// Guards against a call on a record that the restored store lacks, in the same tenure.
#[test]
fn window_is_not_called_before_it_is_recorded_again() {
    let mut vm = ReportingVm::new();
    vm.receive(window(0), 5);
    vm.read(7, Vec::new(), 5_400);
    let written = RecordAnswer::Written(position(8));
    vm.reports
        .apply_write(window(0), counts(5), &[], written, at(5_400));
    vm.reports.forget_records();
    assert_eq!(vm.step(5_500), UsageStep::ReadRecords);
    vm.read(3, Vec::new(), 5_500);
    assert!(matches!(vm.step(5_500), UsageStep::WriteRecord { .. }));
}

/// A request on its way to the store or to the service.
enum SentRequest {
    Write {
        window: WindowId,
        counts: ReportCounts,
        at: LogPosition,
    },
    Call {
        window: WindowId,
        counts: ReportCounts,
        token: u64,
    },
}

/// The store's topic and the control service.
#[derive(Default)]
struct Platform {
    records: Vec<(WindowId, ReportCounts)>,
    accepted: BTreeMap<WindowId, ReportCounts>,
    highest_token: u64,
    checks_fencing: bool,
    /// Requests that are executed later.
    late: Vec<(u64, SentRequest)>,
}

impl Platform {
    /// Executes a request. Returns whether it succeeded.
    fn execute(&mut self, request: SentRequest, seed: u64) -> bool {
        match request {
            SentRequest::Write { window, counts, at } => {
                let fits = u64::from(at.offset) == self.records.len() as u64;
                if fits {
                    self.records.push((window, counts));
                }
                fits
            }
            SentRequest::Call {
                window,
                counts,
                token,
            } => {
                if self.checks_fencing && token < self.highest_token {
                    return false;
                }
                self.highest_token = self.highest_token.max(token);
                let known = self.accepted.entry(window).or_insert(counts.clone());
                assert_eq!(*known, counts, "seed {seed}: two reports of {window}");
                true
            }
        }
    }

    fn execute_late(&mut self, now: u64, seed: u64) {
        while let Some(index) = self.late.iter().position(|(time, _)| *time <= now) {
            let (_, request) = self.late.swap_remove(index);
            self.execute(request, seed);
        }
    }

    /// Sends a request that may be executed late, or lose its response. Returns whether there was
    /// a response, and whether it states success.
    fn send(
        &mut self,
        request: SentRequest,
        faults: f64,
        now: u64,
        random: &mut SmallRng,
        seed: u64,
    ) -> Option<bool> {
        if random.random_bool(faults) {
            self.late
                .push((now + random.random_range(0..8_000), request));
            return None;
        }
        let done = self.execute(request, seed);
        (!random.random_bool(faults)).then_some(done)
    }
}

/// Lets one VM perform its next step.
fn perform_step(
    vm: &mut ReportingVm,
    platform: &mut Platform,
    token: u64,
    now: u64,
    faults: f64,
    random: &mut SmallRng,
    seed: u64,
) {
    match vm.step(now) {
        UsageStep::Wait => {}
        UsageStep::ReadRecords if random.random_bool(faults) => vm.reports.delay_read(at(now)),
        UsageStep::ReadRecords => {
            let records = platform.records.clone();
            vm.read(records.len() as u64, records, now);
        }
        UsageStep::WriteRecord {
            window,
            counts,
            at: end,
            ..
        } => {
            let write = SentRequest::Write {
                window,
                counts: counts.clone(),
                at: end,
            };
            let answer = match platform.send(write, faults, now, random, seed) {
                Some(true) => RecordAnswer::Written(end.next()),
                _ => RecordAnswer::Unknown,
            };
            vm.reports.apply_write(window, counts, &[], answer, at(now));
        }
        UsageStep::Call { window, counts, .. } => {
            let call = SentRequest::Call {
                window,
                counts,
                token,
            };
            let answer = platform.send(call, faults, now, random, seed);
            vm.reports.apply_call(window, answer == Some(true), at(now));
        }
    }
}

/// Replays reports by VMs that each have other counts, since they miss other datagrams. The leader
/// changes at random; with `overlap`, VMs act now and then although they have lost the lease, as
/// after a suspension between the check and the request. Returns how many windows were accepted.
fn replay(seed: u64, faults: f64, overlap: f64, checks_fencing: bool) -> (usize, usize) {
    const WINDOWS: u64 = 40;
    let mut random = SmallRng::seed_from_u64(seed);
    let mut vms = [ReportingVm::new(), ReportingVm::new(), ReportingVm::new()];
    let mut tokens = [1, 0, 0];
    let mut platform = Platform {
        checks_fencing,
        ..Platform::default()
    };
    let (mut leader, mut generation, mut missed) = (0, 1, 0);
    for now in (0..WINDOWS * 5_000 + 5_000).step_by(100) {
        if now % 5_000 == 400 && now >= 5_000 {
            let ended = window(now / 5_000 - 1);
            for vm in &mut vms {
                vm.receive(ended, random.random_range(100..200));
            }
        }
        if random.random_bool(faults / 20.0) {
            vms[leader].reports.release();
            leader = random.random_range(0..vms.len());
            generation += 1;
            tokens[leader] = generation;
        }
        platform.execute_late(now, seed);
        for index in 0..vms.len() {
            if index == leader || random.random_bool(overlap) {
                missed += vms[index].give_up(now).len();
                let (vm, token) = (&mut vms[index], tokens[index]);
                perform_step(vm, &mut platform, token, now, faults, &mut random, seed);
            }
        }
    }
    (platform.accepted.len(), missed)
}

/// Guards against two different reports of a window through lost and late responses, late writes
/// and calls, takeovers, and VMs that act without a lease, with and without fencing by the service.
#[yare::parameterized(
    fenced = {true, 0.1, 0.05},
    unfenced = {false, 0.1, 0.05},
    unfenced_and_mostly_broken = {false, 0.5, 0.2},
    fenced_and_mostly_broken = {true, 0.5, 0.2},
)]
fn replayed_faults_never_report_two_contents(checks_fencing: bool, faults: f64, overlap: f64) {
    let mut accepted = 0;
    for seed in 0..60 {
        accepted += replay(seed, faults, overlap, checks_fencing).0;
    }
    assert!(accepted > 60 * 20, "only {accepted} windows were reported");
}

/// Guards against windows that are missed although nothing fails.
#[test]
fn replay_without_faults_reports_each_window() {
    assert_eq!(replay(1, 0.0, 0.0, false), (40, 0));
}
