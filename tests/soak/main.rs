//! A randomized soak: entry VMs as processes, with faults of processes, links, targets and the
//! store drawn from a seed, and the promises to callers and targets checked from outside.
//!
//! `SOAK_SEEDS=1-50 SOAK_SECONDS=12 cargo test --release --test soak` runs more seeds for longer;
//! `SOAK_VMS` and `SOAK_TARGETS` set the size. A seed draws the same faults each time; what they
//! meet differs from run to run.

mod callers;
mod ledger;
mod plan;
#[path = "../platform_fixture/mod.rs"]
mod platform_fixture;
mod proxy;
mod target;
mod world;

use std::time::Duration;

use plan::SoakSize;
use world::run_soak;

/// The seeds of the short run. 2 and 3 once failed: equal requests were refused for a minute after
/// one crash. With 10 a VM did not become ready, whose port had probably been taken meanwhile.
const SEEDS: [u64; 4] = [1, 2, 3, 10];

fn setting(name: &str, usual: u64) -> u64 {
    std::env::var(name).map_or(usual, |text| text.parse().expect("a number"))
}

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        return SEEDS.to_vec();
    };
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));
    let number = |text: &str| text.parse::<u64>().expect("a seed");
    (number(first)..=number(last)).collect()
}

/// Guards against promises that hold without faults only: requests that run twice, or after they
/// were refused; answers that are wrong or cut; withdrawn keys that work on; orders by two owners;
/// VMs that end by themselves or don't serve again.
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_through_random_faults() {
    let size = SoakSize {
        vms: setting("SOAK_VMS", 4) as usize,
        targets: setting("SOAK_TARGETS", 5) as usize,
        callers: 3 * setting("SOAK_VMS", 4) as usize,
        span: Duration::from_secs(setting("SOAK_SECONDS", 6)),
    };
    let mut failed = Vec::new();
    for seed in seeds() {
        let report = run_soak(seed, size).await;
        println!(
            "seed {seed}: {} requests, {} served, {} broken",
            report.asked,
            report.served,
            report.broken.len()
        );
        for broken in &report.broken {
            println!("seed {seed}: {broken}");
        }
        if !report.broken.is_empty() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds with broken promises: {failed:?}");
}
