//! Compares the pool's coordinator with two plain baselines on the same seeded arrivals:
//! least loaded without adapter affinity, and random. Time is simulated.
//!
//! cargo bench --bench placement -- --site quito|austria --seed N

mod arrivals;
mod baseline;
mod coordinated;
mod score;

use arrivals::{Site, arrivals};
use baseline::Routing;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let option = |name: &str| {
        let place = args.iter().position(|arg| arg == name)?;
        args.get(place + 1).cloned()
    };
    let site = match option("--site").as_deref() {
        Some("austria") => Site::austria(),
        None | Some("quito") => Site::quito(),
        Some(other) => {
            eprintln!("--site must be quito or austria, not {other}");
            std::process::exit(2);
        }
    };
    let seed = match option("--seed").map(|seed| seed.parse()) {
        None => 1,
        Some(Ok(seed)) => seed,
        Some(Err(_)) => {
            eprintln!("--seed must be a whole number");
            std::process::exit(2);
        }
    };
    let arrivals = arrivals(&site, seed);
    let outcomes = [
        ("coordinator", coordinated::run(&site, &arrivals, seed)),
        (
            "least_loaded",
            baseline::run(&site, &arrivals, seed, Routing::LeastLoaded),
        ),
        (
            "random",
            baseline::run(&site, &arrivals, seed, Routing::Random),
        ),
    ];
    for (policy, outcomes) in outcomes {
        println!("{}", score::line(&site, seed, policy, &arrivals, &outcomes));
    }
}
