//! Parses the command line and runs a subcommand. Each subcommand has a module in `cmd`.

use std::process::ExitCode;

use bluebellmux::cmd;
use clap::Command;

fn main() -> ExitCode {
    let matches = Command::new("bluebellmux")
        .about("A serving layer for very many LoRA adapters")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([
            cmd::serve::command(),
            cmd::entry::command(),
            cmd::config::command(),
            cmd::key_digest::command(),
            cmd::dump::command(),
        ])
        .get_matches();
    let result = match matches.subcommand() {
        Some(("serve", args)) => cmd::block_on(cmd::serve::run(args)),
        Some(("entry", args)) => cmd::entry::run(args),
        Some(("config", args)) => cmd::block_on(cmd::config::run(args)),
        Some(("key", args)) => cmd::key_digest::run(args),
        Some(("dump", args)) => cmd::block_on(cmd::dump::run(args)),
        _ => unreachable!("clap requires a known subcommand"),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bluebellmux: {error}");
            error.exit_code()
        }
    }
}
