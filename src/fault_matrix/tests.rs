//! Runs all cells of the fault matrix.

use super::coverage::{Cell, Coverage, pair_cells, single_cells};
use super::injection::Plan;
use super::steps::{EXCHANGES, Exchange, Flow};
use super::world::World;

/// The injection modes `(at_peer, after)`: whether kills and freezes affect the peer of the step,
/// and whether they come after the step's action.
const INJECTION_MODES: [(bool, bool); 4] =
    [(false, false), (false, true), (true, false), (true, true)];

/// The number of threads that share the cells.
const THREADS: usize = 4;

/// How often a cell is run until all of its faults take effect in one run.
const MAX_ATTEMPTS: u64 = 5;

fn run_cell(number: usize, cell: &Cell, modes: &[(bool, bool)], coverage: &mut Coverage) {
    for (flow, _) in cell.flows() {
        // A message fault needs a message to be sent, so the other faults are injected after it.
        let message_faults = cell
            .faults
            .iter()
            .filter(|fault| fault.affects_message())
            .count();
        let is_mixed = (1..cell.faults.len()).contains(&message_faults);
        for (at_peer, after) in modes {
            let (at_peer, after) = (*at_peer && !is_mixed, *after || is_mixed);
            let plan = Plan {
                step: cell.step,
                flow,
                faults: cell.faults.clone(),
                at_peer,
                after,
            };
            // One fault may use up the event that the other needs. Another seed changes the order
            // of events.
            for attempt in 0..MAX_ATTEMPTS {
                if run_plan(number as u64 + attempt * 10_000, &plan, cell, coverage) {
                    break;
                }
            }
        }
    }
}

/// Runs a cell once. Returns whether all of its faults took effect.
fn run_plan(seed: u64, plan: &Plan, cell: &Cell, coverage: &mut Coverage) -> bool {
    let mut world = World::new(seed, Some(plan.clone()));
    world.run();
    coverage.runs += 1;
    world.effective_faults.sort();
    let mut faults = cell.faults.clone();
    faults.sort();
    if !world.observed.violations.is_empty() {
        let failed = coverage.failed.entry(cell.clone()).or_default();
        let Plan {
            flow,
            at_peer,
            after,
            ..
        } = plan;
        let describe =
            |text: &String| format!("{text} ({flow} at_peer={at_peer} after={after} seed={seed})");
        failed.extend(world.observed.violations.iter().map(describe));
    }
    let all_effective = world.effective_faults == faults;
    if all_effective {
        coverage.covered.insert(cell.clone());
    }
    all_effective
}

/// Runs all cells, each in the injection modes that `modes_of` returns for its number.
fn run_cells(
    cells: &[Cell],
    modes_of: impl Fn(usize) -> &'static [(bool, bool)] + Sync,
) -> Coverage {
    let run_share = &|share: usize| {
        let mut coverage = Coverage::default();
        for (number, cell) in cells.iter().enumerate().skip(share).step_by(THREADS) {
            run_cell(number, cell, modes_of(number), &mut coverage);
        }
        coverage
    };
    std::thread::scope(|scope| {
        let shares = (0..THREADS).map(|share| scope.spawn(move || run_share(share)));
        let shares: Vec<_> = shares.collect();
        let mut all = Coverage::default();
        for share in shares {
            let share = share.join().expect("the worker thread does not panic");
            all.covered.extend(share.covered);
            all.failed.extend(share.failed);
            all.runs += share.runs;
        }
        all
    })
}

fn check(title: &str, cells: &[Cell], coverage: &Coverage) -> String {
    let table = coverage.table(title, cells);
    println!("{table}{} runs", coverage.runs);
    for (cell, failed) in &coverage.failed {
        for text in failed {
            println!("FAILED {cell}: {text}");
        }
    }
    let gaps = coverage.gaps(cells);
    assert!(
        coverage.failed.is_empty(),
        "{} cells failed",
        coverage.failed.len()
    );
    assert!(gaps.is_empty(), "{gaps:#?}");
    table
}

/// Guards against a step whose messages differ from `EXCHANGES`: a cell declared impossible could
/// then be reached.
#[test]
fn fault_matrix_exchanges_match_the_table() {
    let mut world = World::new(1, None);
    world.run();
    assert_eq!(world.observed.violations, [].into());
    let exchanged = world.exchanges.iter().cloned();
    let exchanged: Vec<(_, Flow, String)> = exchanged.collect();
    let mut declared: Vec<(_, Flow, String)> = EXCHANGES
        .iter()
        .filter(|(.., exchange)| *exchange != Exchange::Internal)
        .map(|(step, flow, exchange)| (*step, *flow, exchange.to_string()))
        .collect();
    declared.sort();
    assert_eq!(exchanged, declared);
    assert!(
        world.observed.calls_run > 5,
        "{} calls ran",
        world.observed.calls_run
    );
}

/// Guards against an invariant that is violated after one fault at a step.
#[test]
fn fault_matrix_single_faults() {
    let cells = single_cells();
    let coverage = run_cells(&cells, |_| &INJECTION_MODES);
    insta::assert_snapshot!(check("single faults", &cells, &coverage));
}

/// Guards against an invariant that is violated after two faults at a step.
#[test]
fn fault_matrix_pairs_of_faults() {
    let cells = pair_cells();
    let coverage = run_cells(&cells, |number| {
        &INJECTION_MODES[number % INJECTION_MODES.len()..][..1]
    });
    insta::assert_snapshot!(check("pairs of faults", &cells, &coverage));
}
