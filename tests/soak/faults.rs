//! The faults of one soak, generated from a seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::proxy::LinkMode;

/// A fault and the index of the VM or target that it affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SoakFault {
    /// SIGSTOP, then SIGCONT when the fault ends.
    PauseVm(usize),
    /// SIGKILL, then a new process when the fault ends.
    KillVm(usize),
    /// SIGTERM, then a new process as soon as the old one has ended.
    StopVm(usize),
    /// SIGTERM, then a process of the other program of an upgrade.
    ReplaceVm(usize),
    /// SIGHUP.
    ReloadVm(usize),
    /// A fault of the link from callers to a VM.
    CallerLink(usize, LinkMode),
    /// A fault of the link from a VM to the store.
    StoreLink(usize, LinkMode),
    /// A fault of the link from all VMs to a target.
    TargetLink(usize, LinkMode),
    /// The target's connections are reset, and it restarts without its adapters when the fault
    /// ends.
    CrashTarget(usize),
    /// The target reports that it is draining, and restarts when the fault ends.
    DrainTarget(usize),
    /// The target responds to all requests with failures.
    FailTarget(usize),
    /// The target states that it takes only a few requests a second.
    LimitTarget(usize),
    /// The target refuses most requests.
    RefuseTarget(usize),
    StoreDown,
    /// The store deletes all records but the newest of each key.
    CompactStore,
    /// The store goes away when the fault ends, and comes back from a copy made at its start.
    RestoreStore,
    /// A new configuration replaces the callers' key.
    RotateKey,
}

/// A fault with its start, relative to the start of the soak, and its duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PlannedFault {
    pub(crate) start: Duration,
    pub(crate) duration: Duration,
    pub(crate) fault: SoakFault,
}

/// The dimensions of a soak.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SoakSize {
    pub(crate) vms: usize,
    pub(crate) targets: usize,
    pub(crate) callers: usize,
    /// The period in which faults start.
    pub(crate) span: Duration,
}

/// The mean time between the starts of two faults.
const MEAN_FAULT_GAP_MS: u64 = 450;
/// The upper bound of a fault's duration. It exceeds the leases of partitions and the time for
/// which keys are accepted while the store can't be read.
const LONGEST_FAULT_MS: u64 = 4_500;

/// Generates the faults of a seed, in the order in which they start. They may overlap.
pub(crate) fn generate_faults(seed: u64, size: SoakSize) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut start_ms = 0;
    loop {
        start_ms += random.random_range(0..=2 * MEAN_FAULT_GAP_MS);
        let start = Duration::from_millis(start_ms);
        if start >= size.span {
            faults.extend(generate_limits(seed, size));
            faults.push(generate_restore(seed, size));
            faults.extend(generate_refusals(seed, size));
            return faults;
        }
        let duration = Duration::from_millis(random.random_range(50..LONGEST_FAULT_MS));
        let fault = generate_fault(&mut random, size);
        faults.push(PlannedFault {
            start,
            duration,
            fault,
        });
    }
}

/// Generates the times in which targets state limits. They are drawn apart from the other faults, so
/// that these stay what they were for each seed.
fn generate_limits(seed: u64, size: SoakSize) -> impl Iterator<Item = PlannedFault> {
    /// Long enough for requests to be counted, which begins three seconds after the start.
    const DURATIONS_MS: std::ops::Range<u64> = 5_000..8_000;
    let mut random = StdRng::seed_from_u64(!seed);
    let limited = size.targets.div_ceil(2);
    (0..limited).map(move |target| PlannedFault {
        start: size.span.mul_f64(random.random_range(0.0..0.5)),
        duration: Duration::from_millis(random.random_range(DURATIONS_MS)),
        fault: SoakFault::LimitTarget(target),
    })
}

/// Generates the restore of the store, drawn apart from the other faults as well.
fn generate_restore(seed: u64, size: SoakSize) -> PlannedFault {
    let mut random = StdRng::seed_from_u64(seed.rotate_left(32));
    PlannedFault {
        start: size.span.mul_f64(random.random_range(0.0..0.7)),
        duration: Duration::from_millis(random.random_range(500..LONGEST_FAULT_MS)),
        fault: SoakFault::RestoreStore,
    }
}

/// Generates the times in which targets refuse requests, drawn apart from the other faults as well.
fn generate_refusals(seed: u64, size: SoakSize) -> impl Iterator<Item = PlannedFault> {
    let mut random = StdRng::seed_from_u64(!seed.rotate_left(32));
    (0..size.targets).map(move |target| PlannedFault {
        start: size.span.mul_f64(random.random_range(0.0..0.6)),
        duration: Duration::from_millis(random.random_range(500..LONGEST_FAULT_MS)),
        fault: SoakFault::RefuseTarget(target),
    })
}

fn generate_fault(random: &mut StdRng, size: SoakSize) -> SoakFault {
    let vm = random.random_range(0..size.vms);
    let target = random.random_range(0..size.targets);
    match random.random_range(0..15) {
        0 => SoakFault::PauseVm(vm),
        1 | 2 => SoakFault::KillVm(vm),
        3 => SoakFault::StopVm(vm),
        4 => SoakFault::ReloadVm(vm),
        5 => SoakFault::CallerLink(vm, generate_mode(random)),
        6 => SoakFault::StoreLink(vm, generate_mode(random)),
        7 | 8 => SoakFault::TargetLink(target, generate_mode(random)),
        9 => SoakFault::CrashTarget(target),
        10 => SoakFault::DrainTarget(target),
        11 => SoakFault::StoreDown,
        12 => SoakFault::CompactStore,
        13 => SoakFault::FailTarget(target),
        _ => SoakFault::RotateKey,
    }
}

fn generate_mode(random: &mut StdRng) -> LinkMode {
    match random.random_range(0..5) {
        0 => LinkMode::Delay(Duration::from_millis(random.random_range(5..400))),
        1 => LinkMode::BlockForward,
        2 => LinkMode::BlockBackward,
        3 => LinkMode::BlockBoth,
        _ => LinkMode::Reset,
    }
}
