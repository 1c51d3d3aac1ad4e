//! The faults of one soak, drawn from a seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::proxy::LinkMode;

/// A fault and what it is done to, by index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SoakFault {
    /// SIGSTOP, and SIGCONT at the end.
    PauseVm(usize),
    /// SIGKILL, and a new process at the end.
    KillVm(usize),
    /// SIGTERM, and a new process once the old one has ended.
    StopVm(usize),
    ReloadVm(usize),
    /// The link from callers to a VM.
    CallerLink(usize, LinkMode),
    /// The link from a VM to the store.
    StoreLink(usize, LinkMode),
    /// The link from all VMs to a target.
    TargetLink(usize, LinkMode),
    /// The target's process ends, and a new one begins at the end.
    CrashTarget(usize),
    DrainTarget(usize),
    /// The target answers all requests with failures.
    FailTarget(usize),
    StoreDown,
    /// The store forgets all but the newest records.
    CompactStore,
    /// A configuration with a new key for callers.
    RotateKey,
}

/// A fault with its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PlannedFault {
    pub(crate) at: Duration,
    pub(crate) lasts: Duration,
    pub(crate) fault: SoakFault,
}

/// How large a soak is.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SoakSize {
    pub(crate) vms: usize,
    pub(crate) targets: usize,
    pub(crate) callers: usize,
    /// The time in which faults begin.
    pub(crate) span: Duration,
}

/// The mean pause between two faults.
const FAULT_PAUSE_MS: u64 = 450;
/// The longest fault: longer than the leases of partitions and the trust in a key.
const LONGEST_MS: u64 = 4_500;

/// Draws the faults of a seed. They come in series and overlap.
pub(crate) fn draw_faults(seed: u64, size: SoakSize) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut at = 0;
    loop {
        at += random.random_range(0..=2 * FAULT_PAUSE_MS);
        let begin = Duration::from_millis(at);
        if begin >= size.span {
            return faults;
        }
        let lasts = Duration::from_millis(random.random_range(50..LONGEST_MS));
        let fault = draw_fault(&mut random, size);
        faults.push(PlannedFault {
            at: begin,
            lasts,
            fault,
        });
    }
}

fn draw_fault(random: &mut StdRng, size: SoakSize) -> SoakFault {
    let vm = random.random_range(0..size.vms);
    let target = random.random_range(0..size.targets);
    match random.random_range(0..15) {
        0 => SoakFault::PauseVm(vm),
        1 | 2 => SoakFault::KillVm(vm),
        3 => SoakFault::StopVm(vm),
        4 => SoakFault::ReloadVm(vm),
        5 => SoakFault::CallerLink(vm, draw_mode(random)),
        6 => SoakFault::StoreLink(vm, draw_mode(random)),
        7 | 8 => SoakFault::TargetLink(target, draw_mode(random)),
        9 => SoakFault::CrashTarget(target),
        10 => SoakFault::DrainTarget(target),
        11 => SoakFault::StoreDown,
        12 => SoakFault::CompactStore,
        13 => SoakFault::FailTarget(target),
        _ => SoakFault::RotateKey,
    }
}

fn draw_mode(random: &mut StdRng) -> LinkMode {
    match random.random_range(0..5) {
        0 => LinkMode::Delayed(Duration::from_millis(random.random_range(5..400))),
        1 => LinkMode::CutForward,
        2 => LinkMode::CutBack,
        3 => LinkMode::Silent,
        _ => LinkMode::Reset,
    }
}
