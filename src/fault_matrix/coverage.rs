//! The cells of the matrix and their results.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use super::faults::{Fault, Impossible};
use super::steps::{Exchange, Flow, Step};

/// The faults of a cell: one, or two at the same step. The same fault twice is injected twice.
pub(super) type FaultSet = Vec<Fault>;

/// A combination of a step with one or two faults.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Cell {
    pub(super) step: Step,
    pub(super) faults: FaultSet,
}

impl std::fmt::Display for Cell {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let faults: Vec<String> = self.faults.iter().map(ToString::to_string).collect();
        write!(f, "{} x {}", self.step, faults.join(" + "))
    }
}

impl Cell {
    /// The flows in which the cell can be run.
    pub(super) fn flows(&self) -> Vec<(Flow, Exchange)> {
        let admits = |(_, exchange): &(Flow, Exchange)| {
            let faults = self.faults.iter();
            faults
                .map(|fault| fault.impossible_in(*exchange))
                .all(|reason| reason.is_none())
        };
        self.step.flows().filter(admits).collect()
    }

    /// Why the cell can't run in any flow, if so.
    pub(super) fn impossible(&self) -> Option<Impossible> {
        if !self.flows().is_empty() {
            let is_twice = self.faults.len() == 2 && self.faults[0] == self.faults[1];
            let is_once = self.step == Step::Drain && is_twice && self.faults[0].affects_message();
            return is_once.then_some(Impossible::ReachedOnce);
        }
        let impossible_alone = self
            .faults
            .iter()
            .find_map(|fault| fault.impossible_at(self.step));
        // If each fault is possible, they are possible only in different flows.
        let (_, exchange) = self.step.flows().next()?;
        impossible_alone.or_else(|| {
            self.faults
                .iter()
                .find_map(|fault| fault.impossible_in(exchange))
        })
    }
}

pub(super) fn single_cells() -> Vec<Cell> {
    let cells = Step::ALL.iter().flat_map(|step| {
        Fault::ALL.iter().map(|fault| Cell {
            step: *step,
            faults: vec![*fault],
        })
    });
    cells.collect()
}

/// All cells with an unordered pair of faults, including the same fault twice.
pub(super) fn pair_cells() -> Vec<Cell> {
    let mut cells = Vec::new();
    for step in Step::ALL {
        for (index, first) in Fault::ALL.iter().enumerate() {
            for second in &Fault::ALL[index..] {
                let faults = vec![*first, *second];
                cells.push(Cell { step, faults });
            }
        }
    }
    cells
}

/// The results of all runs.
#[derive(Debug, Default)]
pub(super) struct Coverage {
    /// The cells whose faults all took effect in a run.
    pub(super) covered: BTreeSet<Cell>,
    pub(super) runs: usize,
    /// The violated invariants of each cell, with flow, injection mode and seed.
    pub(super) failed: BTreeMap<Cell, BTreeSet<String>>,
}

impl Coverage {
    /// The cells that are neither run nor declared impossible, and those that are both.
    pub(super) fn gaps(&self, cells: &[Cell]) -> Vec<String> {
        let mut gaps = Vec::new();
        for cell in cells {
            match (self.covered.contains(cell), cell.impossible()) {
                (false, None) => gaps.push(format!("{cell}: neither run nor impossible")),
                (true, Some(reason)) => gaps.push(format!("{cell}: run, but declared: {reason}")),
                _ => {}
            }
        }
        gaps
    }

    /// Formats the number of covered and impossible cells by step.
    pub(super) fn table(&self, title: &str, cells: &[Cell]) -> String {
        let mut text = format!("{title}\n{:<14}{:>6}{:>12}\n", "step", "run", "impossible");
        let mut reasons: BTreeMap<Impossible, usize> = BTreeMap::new();
        let mut totals = (0, 0);
        for step in Step::ALL {
            let of_step = cells.iter().filter(|cell| cell.step == step);
            let impossible = of_step.clone().filter_map(Cell::impossible);
            let impossible: Vec<Impossible> = impossible.collect();
            let run = of_step.filter(|cell| self.covered.contains(cell)).count();
            totals = (totals.0 + run, totals.1 + impossible.len());
            let name = step.to_string();
            let _ = writeln!(text, "{name:<14}{run:>6}{:>12}", impossible.len());
            for reason in impossible {
                *reasons.entry(reason).or_default() += 1;
            }
        }
        let _ = writeln!(text, "{:<14}{:>6}{:>12}", "total", totals.0, totals.1);
        for (reason, count) in reasons {
            let _ = writeln!(text, "impossible in {count}: {reason}");
        }
        text
    }
}
