//! Compares the pool's coordinator with two plain baselines on the same seeded arrivals:
//! least loaded without adapter affinity, and random. Time is simulated.
//!
//! cargo bench --bench placement -- --site quito|austria --seed N --load long|short
//!     --zone-out --only-coordinator

mod arrivals;
mod baseline;
mod coordinated;
mod score;

use arrivals::{Load, Site, arrivals};
use baseline::Routing;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let option = |name: &str| {
        let place = args.iter().position(|arg| arg == name)?;
        args.get(place + 1).cloned()
    };
    let mut site = match option("--site").as_deref() {
        Some("austria") => Site::austria(),
        None | Some("quito") => Site::quito(),
        Some(other) => {
            eprintln!("--site must be quito or austria, not {other}");
            std::process::exit(2);
        }
    };
    site.load = match option("--load").as_deref() {
        Some("short") => Load::short(),
        None | Some("long") => Load::long(),
        Some(other) => {
            eprintln!("--load must be long or short, not {other}");
            std::process::exit(2);
        }
    };
    site.zone_out = args.iter().any(|arg| arg == "--zone-out");
    let seed = match option("--seed").map(|seed| seed.parse()) {
        None => 1,
        Some(Ok(seed)) => seed,
        Some(Err(_)) => {
            eprintln!("--seed must be a whole number");
            std::process::exit(2);
        }
    };
    let arrivals = arrivals(&site, seed);
    let (outcomes, loads) = coordinated::run(&site, &arrivals, seed);
    println!(
        "{}",
        score::line(&site, seed, "coordinator", &arrivals, &outcomes)
    );
    println!("{}", score::causes(&arrivals, &outcomes, loads));
    if args.iter().any(|arg| arg == "--only-coordinator") {
        return;
    }
    for (policy, routing) in [
        ("least_loaded", Routing::LeastLoaded),
        ("random", Routing::Random),
    ] {
        let outcomes = baseline::run(&site, &arrivals, seed, routing);
        println!("{}", score::line(&site, seed, policy, &arrivals, &outcomes));
    }
}
