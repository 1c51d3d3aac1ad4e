//! Load and fault scenarios against the entry VMs and engines of one site, on loopback.
//!
//! Run with `cargo bench --bench fleet -- --scenario steady --seed 1 --site quito`. Prints one JSON
//! line for each policy: bluebellmux and two simple baselines with the same arrivals.

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
use site::{EntryFleet, Scenario, SiteSize, Standins};

type BenchResult<T> = Result<T, Box<dyn std::error::Error + Send + Sync>>;

#[derive(Debug, Clone)]
struct RunOptions {
    scenario: Scenario,
    size: SiteSize,
    seed: u64,
    /// Requests before this time load adapters into the engines and are not measured.
    warmup: Duration,
    /// The measured time after the warm-up, in which the scenario's faults occur.
    duration: Duration,
    requests_per_second: f64,
}

fn parse_options() -> RunOptions {
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
            .expect("the option has a default")
            .clone()
    };
    RunOptions {
        scenario: Scenario::from_name(&name("scenario")),
        size: SiteSize::from_name(&name("site")),
        seed: *matches.get_one("seed").expect("the option has a default"),
        duration: Duration::from_secs(
            *matches
                .get_one("seconds")
                .expect("the option has a default"),
        ),
        warmup: Duration::from_secs(*matches.get_one("warmup").expect("the option has a default")),
        requests_per_second: *matches.get_one("rate").expect("the option has a default"),
    }
}

/// Runs bluebellmux on its own stand-ins.
async fn run_bluebellmux(options: &RunOptions, plan: &[Arrival]) -> BenchResult<report::RunResult> {
    let standins = Standins::start(&options.size).await?;
    let fleet = EntryFleet::start(&options.size, &standins).await?;
    let fault_task = async {
        tokio::time::sleep(options.warmup).await;
        fleet
            .run_scenario(options.scenario, &standins, options.duration)
            .await
    };
    let (outcomes, fault_result) = tokio::join!(send_all(&fleet, plan), fault_task);
    fault_result?;
    let result = report::RunResult::new(after_warmup(outcomes, options, plan), &standins);
    fleet.stop().await;
    Ok(result)
}

/// Runs a baseline policy on its own stand-ins.
async fn run_baseline(
    options: &RunOptions,
    policy: BaselinePolicy,
    plan: &[Arrival],
) -> BenchResult<report::RunResult> {
    let standins = Standins::start(&options.size).await?;
    let router = BaselineRouter::new(policy, &options.size, &standins, options.seed);
    let fault_task = async {
        tokio::time::sleep(options.warmup).await;
        router
            .run_scenario(options.scenario, &standins, options.duration)
            .await;
    };
    let (outcomes, ()) = tokio::join!(send_all(&router, plan), fault_task);
    Ok(report::RunResult::new(
        after_warmup(outcomes, options, plan),
        &standins,
    ))
}

/// The items that belong to requests after the warm-up.
fn after_warmup<T>(mut items: Vec<T>, options: &RunOptions, plan: &[Arrival]) -> Vec<T> {
    let first = plan.partition_point(|arrival| arrival.at < options.warmup);
    items.split_off(first)
}

/// The arrivals without those of the account that exceeds its rate.
fn without_noisy_account(plan: &[Arrival]) -> Vec<Arrival> {
    plan.iter()
        .filter(|arrival| arrival.account != arrivals::NOISY_ACCOUNT)
        .cloned()
        .collect()
}

#[tokio::main]
async fn main() -> BenchResult<()> {
    let options = parse_options();
    let plan = ArrivalPlan::new(&options).arrivals();
    let run_without_noisy = match options.scenario {
        Scenario::Noisy => Some(run_bluebellmux(&options, &without_noisy_account(&plan)).await?),
        _ => None,
    };
    let result = run_bluebellmux(&options, &plan).await?;
    let measured_plan = after_warmup(plan.clone(), &options, &plan);
    println!(
        "{}",
        result.to_json(
            "bluebellmux",
            &options,
            &measured_plan,
            run_without_noisy.as_ref()
        )
    );
    for policy in [BaselinePolicy::LeastLoaded, BaselinePolicy::Random] {
        let result = run_baseline(&options, policy, &plan).await?;
        println!(
            "{}",
            result.to_json(policy.name(), &options, &measured_plan, None)
        );
    }
    Ok(())
}

/// A policy that routes and sends the request of an arrival.
trait RequestSender: Sync {
    fn send(&self, arrival: &Arrival) -> impl Future<Output = CallOutcome> + Send;
}
