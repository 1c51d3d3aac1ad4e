//! A randomized soak test. It runs entry VMs as processes, injects faults of processes, links,
//! targets and the store that are generated from a seed, and checks the guarantees to callers and
//! targets from outside.
//!
//! `SOAK_SEEDS=1-50 SOAK_SECONDS=12 cargo test --release --test soak` runs more seeds for longer;
//! `SOAK_VMS` and `SOAK_TARGETS` set the size. A seed always generates the same faults, but the
//! state in which they hit the cluster differs from run to run.
//!
//! With the path of an older program in `SOAK_OLDER_PROGRAM`, VMs start with it and are replaced one
//! after the other during the faults; `SOAK_DIRECTION=downgrade` replaces in the other direction.

mod callers;
mod cluster;
mod faults;
mod history;
#[path = "../platform_fixture/mod.rs"]
mod platform_fixture;
mod proxy;
mod repeats;
mod responses;
mod sendings;
mod target;
mod upgrade;

use std::time::Duration;

use cluster::run_soak;
use faults::SoakSize;
use upgrade::SoakUpgrade;

/// The seeds of the short run, which include seeds that have failed before. Seeds 2 and 3 failed
/// because identical requests were refused for a minute after one crash. Seed 10 failed because a
/// VM did not become ready, probably because another process had taken its port in the meantime. Seed
/// 28 failed because a target's link held back requests that were sent before their key was revoked.
/// Seed 4 failed because a copy of a refusal was taken for the answer to a later sending.
const SEEDS: [u64; 6] = [1, 2, 3, 4, 10, 28];

/// Reads a number from an environment variable.
fn env_setting(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |text| text.parse().expect("must be a number"))
}

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        return SEEDS.to_vec();
    };
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));
    let number = |text: &str| text.parse::<u64>().expect("must be a seed or FIRST-LAST");
    (number(first)..=number(last)).collect()
}

/// Guards against violations of the guarantees under faults: requests that run twice or although
/// they were refused, wrong or truncated responses, revoked keys that are still accepted, orders
/// from two owners of a target, and VMs that crash or don't serve requests again.
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_under_random_faults() {
    let size = SoakSize {
        vms: env_setting("SOAK_VMS", 4) as usize,
        targets: env_setting("SOAK_TARGETS", 5) as usize,
        callers: 3 * env_setting("SOAK_VMS", 4) as usize,
        span: Duration::from_secs(env_setting("SOAK_SECONDS", 6)),
    };
    let upgrade = SoakUpgrade::from_env();
    let mut failed = Vec::new();
    for seed in seeds() {
        let report = run_soak(seed, size, upgrade.clone()).await;
        println!(
            "seed {seed}: {} requests, {} sent again, {} served, {} violations",
            report.sent,
            report.sent_again,
            report.served,
            report.violations.len()
        );
        for violation in &report.violations {
            println!("seed {seed}: {violation}");
        }
        if !report.violations.is_empty() {
            failed.push(seed);
        }
    }
    assert!(
        failed.is_empty(),
        "seeds with violated guarantees: {failed:?}"
    );
}
