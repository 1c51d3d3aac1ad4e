//! Parses the top level of the command line and dispatches to one module a command.

use std::process::ExitCode;

use bluebellmux::cmd;
use clap::Command;

#[tokio::main]
async fn main() -> ExitCode {
    let matches = Command::new("bluebellmux")
        .about("A serving layer for very many LoRA adapters")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([
            cmd::serve::command(),
            cmd::config::command(),
            cmd::key_digest::command(),
            cmd::dump::command(),
        ])
        .get_matches();
    let done = match matches.subcommand() {
        Some(("serve", args)) => cmd::serve::run(args).await,
        Some(("config", args)) => cmd::config::run(args).await,
        Some(("key", args)) => cmd::key_digest::run(args),
        Some(("dump", args)) => cmd::dump::run(args).await,
        _ => unreachable!("clap requires a known subcommand"),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bluebellmux: {error}");
            error.exit_code()
        }
    }
}
