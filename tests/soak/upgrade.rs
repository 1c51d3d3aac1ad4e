//! An upgrade or downgrade during a soak: all VMs start with one program and are replaced one after
//! the other by another one.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

use super::faults::{PlannedFault, SoakFault, SoakSize};
use super::history::SoakHistory;
use super::platform_fixture::EntryVm;
use super::sendings::SendingKey;

/// A program that VMs run.
#[derive(Debug, Clone)]
pub(crate) struct VmProgram {
    pub(crate) path: PathBuf,
    /// Stated beside a VM in the descriptions of violations.
    pub(crate) label: &'static str,
}

/// The programs before and after the replacement.
#[derive(Debug, Clone)]
pub(crate) struct SoakUpgrade {
    pub(crate) first: VmProgram,
    pub(crate) second: VmProgram,
}

impl SoakUpgrade {
    /// The upgrade from the program `SOAK_OLDER_PROGRAM` to the one under test, or the other way round
    /// if `SOAK_DIRECTION` is `downgrade`.
    pub(crate) fn from_env() -> Option<Self> {
        let path = PathBuf::from(std::env::var_os("SOAK_OLDER_PROGRAM")?);
        assert!(path.is_file(), "SOAK_OLDER_PROGRAM must name a program");
        let label = "older program";
        let older = VmProgram { path, label };
        let (path, label) = (EntryVm::current_program(), "newer program");
        let newer = VmProgram { path, label };
        let direction = std::env::var("SOAK_DIRECTION");
        let (first, second) = match direction.as_deref().unwrap_or("upgrade") {
            "upgrade" => (older, newer),
            "downgrade" => (newer, older),
            other => panic!("SOAK_DIRECTION is {other:?} instead of upgrade or downgrade"),
        };
        Some(Self { first, second })
    }
}

/// Generates the replacements of all VMs, drawn apart from the faults of the seed.
pub(crate) fn generate_replacements(seed: u64, size: SoakSize) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed.swap_bytes());
    let mut order: Vec<_> = (0..size.vms).collect();
    order.shuffle(&mut random);
    let interval = size.span.div_f64(size.vms as f64);
    let replacement = |(position, vm): (usize, usize)| PlannedFault {
        start: interval.mul_f64(position as f64 + random.random_range(0.0..1.0)),
        duration: Duration::ZERO,
        fault: SoakFault::ReplaceVm(vm),
    };
    order.into_iter().enumerate().map(replacement).collect()
}

impl SoakHistory {
    /// Records that a VM runs a program from now on.
    pub(crate) fn record_program(&mut self, vm: usize, label: &'static str) {
        self.programs.push((vm, Instant::now(), label));
    }

    /// Describes the VM that a sending went to, and the program that it ran.
    pub(crate) fn describe_vm(&self, sending: &SendingKey) -> String {
        let Some((vm, sent_at)) = self.sends.get(sending) else {
            return "an unknown VM".to_owned();
        };
        let mut programs = self.programs.iter();
        let program = programs.rfind(|(other, from, _)| other == vm && from <= sent_at);
        match program {
            Some((_, _, label)) => format!("VM {vm} ({label})"),
            None => format!("VM {vm}"),
        }
    }
}
