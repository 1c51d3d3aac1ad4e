//! Compares the pool coordinator with two baselines on the same seeded arrivals: least-loaded and
//! random routing, both without adapter affinity. Time is simulated.
//!
//! ```text
//! cargo bench --bench placement -- --site quito|austria --seed N --load long|short
//!     --zone-out --only-coordinator
//! ```

mod arrivals;
mod baseline;
mod coordinated;
mod score;

use arrivals::{LoadProfile, SimulatedSite, arrivals};
use baseline::Routing;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let option = |name: &str| {
        let position = args.iter().position(|arg| arg == name)?;
        args.get(position + 1).cloned()
    };
    let mut site = match option("--site").as_deref() {
        Some("austria") => SimulatedSite::austria(),
        None | Some("quito") => SimulatedSite::quito(),
        Some(other) => {
            eprintln!("--site must be quito or austria, not {other}");
            std::process::exit(2);
        }
    };
    site.load = match option("--load").as_deref() {
        Some("short") => LoadProfile::short(),
        None | Some("long") => LoadProfile::long(),
        Some(other) => {
            eprintln!("--load must be long or short, not {other}");
            std::process::exit(2);
        }
    };
    site.zone_outage = args.iter().any(|arg| arg == "--zone-out");
    let seed = match option("--seed").map(|seed| seed.parse()) {
        None => 1,
        Some(Ok(seed)) => seed,
        Some(Err(_)) => {
            eprintln!("--seed must be an integer from 0 to 2^64 - 1");
            std::process::exit(2);
        }
    };
    let arrivals = arrivals(&site, seed);
    let (outcomes, loads) = coordinated::run(&site, &arrivals, seed);
    println!(
        "{}",
        score::metrics_line(&site, seed, "coordinator", &arrivals, &outcomes)
    );
    println!("{}", score::stall_metrics(&arrivals, &outcomes, loads));
    if args.iter().any(|arg| arg == "--only-coordinator") {
        return;
    }
    for (policy, routing) in [
        ("least_loaded", Routing::LeastLoaded),
        ("random", Routing::Random),
    ] {
        let outcomes = baseline::run(&site, &arrivals, seed, routing);
        println!(
            "{}",
            score::metrics_line(&site, seed, policy, &arrivals, &outcomes)
        );
    }
}
