//! Property tests over random fault sequences, and tests of single faults.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::simulation::{LeaseSimulation, ROLES, fault_sequences};
use super::table::LeaseAction;
use crate::ids::FencingToken;

/// The number of fault sequences; `PROPTEST_CASES` overrides it.
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

    /// Guards against two nodes that both decide for a role, and against fencing tokens that
    /// decrease, under pauses, crashes, broken connections, log outages and delayed appends.
    #[test]
    fn no_two_nodes_hold_a_role_at_once(seed in any::<u64>(), faults in fault_sequences()) {
        let mut sim = LeaseSimulation::new(seed);
        sim.run(3000);
        for fault in &faults {
            sim.inject(fault);
        }
    }

    /// Guards against roles that stay without an owner after the faults have ended.
    #[test]
    fn each_role_regains_an_owner(seed in any::<u64>(), faults in fault_sequences()) {
        let mut sim = LeaseSimulation::new(seed);
        for fault in &faults {
            sim.inject(fault);
        }
        sim.run(60_000);
        for role in &ROLES {
            prop_assert_eq!(sim.holders(role).len(), 1, "{}", role);
        }
    }
}

/// Whether each role had an owner throughout a 20 s fault that `inject` starts, and whether the
/// owners after it are the same as before.
fn owners_during_an_outage(seed: u64, inject: impl Fn(&mut LeaseSimulation)) -> (bool, bool) {
    let mut sim = LeaseSimulation::new(seed);
    sim.run(5000);
    let before: Vec<_> = ROLES.iter().map(|role| sim.holders(role)).collect();
    inject(&mut sim);
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

/// Guards against charging and admission that stop while no node can reach the log.
#[test]
fn holders_keep_their_roles_while_the_log_is_down_for_all() {
    let down = |sim: &mut LeaseSimulation| sim.log_down_until = sim.now + 20_000;
    for seed in 0..20 {
        assert_eq!(
            owners_during_an_outage(seed, down),
            (true, true),
            "seed {seed}"
        );
    }
}

/// Guards against a node that extends its leases although the other nodes can reach the log.
#[test]
fn a_node_that_alone_loses_the_log_loses_its_roles() {
    for seed in 0..20 {
        let mut sim = LeaseSimulation::new(seed);
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

/// Guards against claims by several nodes at once for a role whose holder crashed.
#[test]
fn a_crash_is_followed_by_one_claim() {
    for seed in 0..20 {
        let mut sim = LeaseSimulation::new(seed);
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
