//! Load and faults against a whole site of stand-ins on loopback.
//!
//! `cargo bench --bench fleet -- --scenario steady --seed 1 --site quito`
//!
//! Prints one JSON line for each policy: the product's and two plain baselines, on the same
//! arrivals in one run.

mod arrivals;
mod baseline;
mod caller;
#[path = "../support/publish.rs"]
mod publish;
mod report;
mod site;

use std::time::Duration;

use clap::{Arg, Command, value_parser};

use arrivals::{Arrival, ArrivalPlan};
use baseline::{BaselinePolicy, BaselineRouter};
use caller::{CallOutcome, send_all};
use site::{Product, Scenario, SiteSize, Standins};

type BenchResult<T> = Result<T, Box<dyn std::error::Error + Send + Sync>>;

/// What one run needs to know.
#[derive(Debug, Clone)]
struct RunOptions {
    scenario: Scenario,
    size: SiteSize,
    seed: u64,
    /// Requests before this time fill the engines and are not measured.
    warmup: Duration,
    /// The measured time; faults come in it.
    duration: Duration,
    requests_per_second: f64,
}

fn options() -> RunOptions {
    let text = |name: &'static str, default: &'static str| {
        Arg::new(name).long(name).default_value(default)
    };
    let matches = Command::new("fleet")
        .arg(text("scenario", "steady").value_parser(Scenario::NAMES))
        .arg(text("site", "quito").value_parser(["quito", "austria"]))
        .arg(text("seed", "1").value_parser(value_parser!(u64)))
        .arg(text("seconds", "20").value_parser(value_parser!(u64).range(3..=300)))
        .arg(text("warmup", "15").value_parser(value_parser!(u64).range(0..=300)))
        .arg(
            text("rate", "30")
                .value_parser(value_parser!(f64))
                .help("Requests per second"),
        )
        .arg(Arg::new("bench").long("bench").num_args(0).hide(true))
        .get_matches();
    let name = |name: &str| {
        matches
            .get_one::<String>(name)
            .expect("it has a default")
            .clone()
    };
    RunOptions {
        scenario: Scenario::from_name(&name("scenario")),
        size: SiteSize::from_name(&name("site")),
        seed: *matches.get_one("seed").expect("it has a default"),
        duration: Duration::from_secs(*matches.get_one("seconds").expect("it has a default")),
        warmup: Duration::from_secs(*matches.get_one("warmup").expect("it has a default")),
        requests_per_second: *matches.get_one("rate").expect("it has a default"),
    }
}

/// The product on its own stand-ins.
async fn run_product(options: &RunOptions, plan: &[Arrival]) -> BenchResult<report::RunFacts> {
    let standins = Standins::start(&options.size).await?;
    let product = Product::start(&options.size, &standins).await?;
    let faults = async {
        tokio::time::sleep(options.warmup).await;
        product
            .run_scenario(options.scenario, &standins, options.duration)
            .await
    };
    let (outcomes, faulted) = tokio::join!(send_all(&product, plan), faults);
    faulted?;
    let facts = report::RunFacts::new(measured(outcomes, options, plan), &standins);
    product.stop().await;
    Ok(facts)
}

/// A plain policy on stand-ins of its own.
async fn run_baseline(
    options: &RunOptions,
    policy: BaselinePolicy,
    plan: &[Arrival],
) -> BenchResult<report::RunFacts> {
    let standins = Standins::start(&options.size).await?;
    let router = BaselineRouter::new(policy, &options.size, &standins, options.seed);
    let faults = async {
        tokio::time::sleep(options.warmup).await;
        router
            .run_scenario(options.scenario, &standins, options.duration)
            .await;
    };
    let (outcomes, ()) = tokio::join!(send_all(&router, plan), faults);
    Ok(report::RunFacts::new(
        measured(outcomes, options, plan),
        &standins,
    ))
}

/// The items of the requests after the warm-up.
fn measured<T>(mut items: Vec<T>, options: &RunOptions, plan: &[Arrival]) -> Vec<T> {
    let first = plan.partition_point(|arrival| arrival.at < options.warmup);
    items.split_off(first)
}

/// The arrivals without the account that sends several times its rate.
fn without_noisy(plan: &[Arrival]) -> Vec<Arrival> {
    plan.iter()
        .filter(|arrival| arrival.account != arrivals::NOISY_ACCOUNT)
        .cloned()
        .collect()
}

#[tokio::main]
async fn main() -> BenchResult<()> {
    let options = options();
    let plan = ArrivalPlan::new(&options).arrivals();
    let alone = match options.scenario {
        Scenario::Noisy => Some(run_product(&options, &without_noisy(&plan)).await?),
        _ => None,
    };
    let product = run_product(&options, &plan).await?;
    let counted = measured(plan.clone(), &options, &plan);
    println!(
        "{}",
        product.to_json("bluebellmux", &options, &counted, alone.as_ref())
    );
    for policy in [BaselinePolicy::LeastLoaded, BaselinePolicy::Random] {
        let facts = run_baseline(&options, policy, &plan).await?;
        println!("{}", facts.to_json(policy.name(), &options, &counted, None));
    }
    Ok(())
}

/// Sends one arrival's request by some policy.
trait RequestSender: Sync {
    fn send(&self, arrival: &Arrival) -> impl Future<Output = CallOutcome> + Send;
}
