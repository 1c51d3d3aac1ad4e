//! `bluebellmux config`: commands for the configuration document.

use clap::{ArgMatches, Command};

use super::{CommandError, config_check, config_diff, config_publish, config_show};

const HELP: &str = "\
Checks, compares, publishes and shows the configuration document.

Exit codes: 0 success, 1 failure, 2 invalid usage, 3 conflict with another operator's change,
4 the document differs from the current configuration (diff only).";

pub fn command() -> Command {
    Command::new("config")
        .about("Checks, compares, publishes and shows the configuration document")
        .long_about(HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([
            config_check::command(),
            config_diff::command(),
            config_publish::command(),
            config_show::command(),
        ])
}

pub async fn run(args: &ArgMatches) -> Result<(), CommandError> {
    match args.subcommand() {
        Some(("check", args)) => config_check::run(args),
        Some(("diff", args)) => config_diff::run(args).await,
        Some(("publish", args)) => config_publish::run(args).await,
        Some(("show", args)) => config_show::run(args).await,
        _ => unreachable!("clap requires a known subcommand"),
    }
}
