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
        .subcommand(cmd::serve::command())
        .get_matches();
    let done = match matches.subcommand() {
        Some(("serve", args)) => cmd::serve::run(args).await,
        _ => unreachable!("clap requires a known subcommand"),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("bluebellmux: {message}");
            ExitCode::FAILURE
        }
    }
}
