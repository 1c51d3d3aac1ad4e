//! `bluebellmux entry`: run an entry VM process with a settings file that the platform writes.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use super::CommandError;
use crate::entry::{EntryServer, logs};
use crate::platform::settings::{CONFIG_PATH_VARIABLE, parse_settings};

const HELP: &str = "\
Runs an entry VM process with the settings file that the platform writes, until SIGTERM or
SIGINT. SIGHUP reloads the file.

Example:
    BLUEBELLMUX_CONFIG=/etc/bluebellmux/local.toml bluebellmux entry --metrics-port 9464";

pub fn command() -> Command {
    let path = Arg::new("settings")
        .long("settings")
        .env(CONFIG_PATH_VARIABLE)
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Path of the platform's settings file");
    let port = Arg::new("metrics-port")
        .long("metrics-port")
        .env("BLUEBELLMUX_METRICS_PORT")
        .value_parser(value_parser!(u16).range(1..))
        .default_value("9464")
        .help("Port for metrics, on the VM's address");
    let filter = Arg::new("log")
        .long("log")
        .env("BLUEBELLMUX_LOG")
        .default_value("info")
        .help("Log level, or a filter such as \"bluebellmux=debug\"");
    Command::new("entry")
        .about("Runs an entry VM process on a platform")
        .long_about(HELP)
        .args([path, port, filter])
}

/// Runs the command on one thread, which is enough for a VM's share of a core and avoids waking
/// other threads.
pub fn run(args: &ArgMatches) -> Result<(), CommandError> {
    let path = args
        .get_one::<PathBuf>("settings")
        .expect("the argument is required");
    let port = *args
        .get_one::<u16>("metrics-port")
        .expect("the argument has a default");
    let filter = args
        .get_one::<String>("log")
        .expect("the argument has a default");
    let text = std::fs::read_to_string(path)
        .map_err(|error| format!("cannot read the settings file {}: {error}", path.display()))?;
    let settings = parse_settings(&text, port)
        .map_err(|error| format!("the settings file {} is invalid: {error}", path.display()))?;
    let sink = logs::start(filter)?;
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| format!("cannot start tokio: {error}"))?;
    let served = LocalSet::new().block_on(&runtime, async {
        let server = EntryServer::start(settings, path.clone(), port).await?;
        server.run().await
    });
    // If this fails, standard output is closed and nobody reads the logs.
    let _ = sink.flush_to(&mut std::io::stdout().lock());
    served.map_err(|error| format!("cannot serve: {error}").into())
}
