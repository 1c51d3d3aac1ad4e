//! Properties over random sequences of faults, and sequences that need a certain fault.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::simulation::{ROLES, Sim, faults};
use super::table::LeaseAction;
use crate::ids::FencingToken;

/// The sequences in a run; `PROPTEST_CASES` sets another number.
const CASES: u32 = 96;

fn config() -> Config {
    let default = Config::default();
    Config {
        cases: if std::env::var_os("PROPTEST_CASES").is_some() {
            default.cases
        } else {
            CASES
        },
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..default
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against two nodes that both decide for a role, and against a fencing token that
    /// goes back, through pauses, crashes, cuts, outages and late appends.
    #[test]
    fn no_two_nodes_hold_a_role_at_once(seed in any::<u64>(), faults in faults()) {
        let mut sim = Sim::new(seed);
        sim.run(3000);
        for fault in &faults {
            sim.strike(fault);
        }
    }

    /// Guards against roles that stay without an owner after the faults are over.
    #[test]
    fn each_role_has_an_owner_again_after_the_faults(seed in any::<u64>(), faults in faults()) {
        let mut sim = Sim::new(seed);
        for fault in &faults {
            sim.strike(fault);
        }
        sim.run(60_000);
        for role in &ROLES {
            prop_assert_eq!(sim.holders(role).len(), 1, "{}", role);
        }
    }
}

/// The owners after an outage of the log for all of 20 s, and whether all decided throughout.
fn owners_through_an_outage(seed: u64, cut: impl Fn(&mut Sim)) -> (bool, bool) {
    let mut sim = Sim::new(seed);
    sim.run(5000);
    let before: Vec<_> = ROLES.iter().map(|role| sim.holders(role)).collect();
    cut(&mut sim);
    let mut throughout = true;
    for _ in 0..200 {
        sim.run(100);
        throughout &= ROLES.iter().all(|role| sim.holders(role).len() == 1);
    }
    sim.run(10_000);
    let owner = |holders: &Vec<(usize, FencingToken)>| holders.first().map(|(index, _)| *index);
    let same = ROLES.iter().zip(&before);
    let same = same
        .into_iter()
        .all(|(role, old)| owner(&sim.holders(role)) == owner(old));
    (throughout, same)
}

/// Guards against charging and admission that stop while the log is down for all nodes.
#[test]
fn holders_hold_over_while_the_log_is_down_for_all() {
    let down = |sim: &mut Sim| sim.log_down_until = sim.now + 20_000;
    for seed in 0..20 {
        assert_eq!(
            owners_through_an_outage(seed, down),
            (true, true),
            "seed {seed}"
        );
    }
}

/// Guards against a node that holds over although only it is cut off from the log.
#[test]
fn a_node_that_alone_lost_the_log_loses_its_roles() {
    for seed in 0..20 {
        let mut sim = Sim::new(seed);
        sim.run(5000);
        let (owner, _) = sim.holders(&ROLES[0])[0];
        sim.nodes[owner].log_cut_until = sim.now + 20_000;
        sim.run(8000);
        let holders = sim.holders(&ROLES[0]);
        assert!(
            holders.len() == 1 && holders[0].0 != owner,
            "seed {seed}: {holders:?}"
        );
    }
}

/// Guards against a claim of every node for a role whose holder crashed.
#[test]
fn claims_after_a_crash_come_one_after_another() {
    for seed in 0..20 {
        let mut sim = Sim::new(seed);
        sim.run(5000);
        let (owner, _) = sim.holders(&ROLES[0])[0];
        let before = sim.log.len();
        sim.restart(owner, sim.now + 20_000);
        sim.run(8000);
        let mut claims = 0;
        for (_, record) in &sim.log[before..] {
            if let LeaseAction::Claim { names, .. } = &record.action {
                claims += usize::from(names.contains(&ROLES[0]));
            }
        }
        assert_eq!(claims, 1, "seed {seed}");
    }
}
