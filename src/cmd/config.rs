//! `bluebellmux config`: work with the configuration document.

use clap::{ArgMatches, Command};

use super::{CommandError, config_check, config_diff, config_publish, config_show};

const HELP: &str = "\
Works with the configuration document.

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 another operator's change came first,
4 the document differs from the configuration in force (diff only).";

/// The command's arguments.
pub fn command() -> Command {
    Command::new("config")
        .about("Works with the configuration document")
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

/// Runs the command.
pub async fn run(args: &ArgMatches) -> Result<(), CommandError> {
    match args.subcommand() {
        Some(("check", args)) => config_check::run(args),
        Some(("diff", args)) => config_diff::run(args).await,
        Some(("publish", args)) => config_publish::run(args).await,
        Some(("show", args)) => config_show::run(args).await,
        _ => unreachable!("clap requires a known subcommand"),
    }
}
