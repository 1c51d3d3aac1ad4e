//! Command line that runs one stand-in as a separate process.

use std::sync::Arc;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use tokio::net::TcpListener;

use crate::engine::{Engine, EngineSettings};
use crate::platform::{Platform, PlatformSettings};
use crate::server::RunningServer;
use crate::service::BookingService;

fn listen_arg() -> Arg {
    Arg::new("listen")
        .long("listen")
        .default_value("127.0.0.1:0")
        .help("Address to serve on")
}

fn number_arg(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

fn command() -> Command {
    let platform = Command::new("platform")
        .arg(listen_arg())
        .arg(number_arg("loads-per-second", "4"))
        .arg(number_arg("load-ms", "250"))
        .arg(number_arg("retention-records", "100000"))
        .arg(number_arg("vm-list-lag-ms", "2000"));
    let engine = Command::new("engine")
        .arg(listen_arg())
        .arg(Arg::new("name").long("name").required(true))
        .arg(Arg::new("base-model").long("base-model").required(true))
        .arg(
            Arg::new("platform")
                .long("platform")
                .required(true)
                .help("The platform's URL"),
        )
        .arg(number_arg("slots", "8"))
        .arg(number_arg("cold-answers", "8").help("Answers until a started engine is warm"))
        .arg(number_arg("token-ms", "10"))
        .arg(
            Arg::new("ignore-fencing")
                .long("ignore-fencing")
                .action(ArgAction::SetTrue),
        );
    let service = Command::new("service")
        .arg(listen_arg())
        .arg(number_arg("delay-ms", "0"));
    Command::new("standin")
        .about("Runs one stand-in until it is killed; prints its address first")
        .subcommand_required(true)
        .subcommands([platform, engine, service])
}

fn number(args: &ArgMatches, name: &str) -> u64 {
    *args
        .get_one::<u64>(name)
        .expect("the argument has a default")
}

fn text<'a>(args: &'a ArgMatches, name: &str) -> &'a str {
    args.get_one::<String>(name)
        .expect("the argument is required")
}

async fn start(name: &str, args: &ArgMatches) -> std::io::Result<RunningServer> {
    let listener = TcpListener::bind(text(args, "listen")).await?;
    match name {
        "platform" => {
            let settings = PlatformSettings {
                loads_per_second: number(args, "loads-per-second") as f64,
                load_time: Duration::from_millis(number(args, "load-ms")),
                retention_records: usize::try_from(number(args, "retention-records"))
                    .unwrap_or(usize::MAX),
                vm_list_lag: Duration::from_millis(number(args, "vm-list-lag-ms")),
                ..PlatformSettings::default()
            };
            Arc::new(Platform::new(settings)).start(listener)
        }
        "engine" => {
            let (name, model) = (text(args, "name"), text(args, "base-model"));
            let mut settings = EngineSettings::new(name, model, text(args, "platform"));
            settings.slots = usize::try_from(number(args, "slots")).unwrap_or(usize::MAX);
            settings.cold_answers = u32::try_from(number(args, "cold-answers")).unwrap_or(u32::MAX);
            settings.token_time = Duration::from_millis(number(args, "token-ms"));
            settings.checks_fencing = !args.get_flag("ignore-fencing");
            Arc::new(Engine::new(settings)).start(listener)
        }
        _ => {
            let delay = Duration::from_millis(number(args, "delay-ms"));
            Arc::new(BookingService::new().with_delay(delay)).start(listener)
        }
    }
}

/// Runs the stand-in selected by the subcommand and prints its address.
pub async fn run() -> std::io::Result<()> {
    let matches = command().get_matches();
    let (name, args) = matches.subcommand().expect("clap requires a subcommand");
    let server = start(name, args).await?;
    println!("{}", server.address);
    server.wait().await;
    Ok(())
}
