//! `bluebellmux key digest`: compute the digest of a key for the configuration.

use clap::{ArgMatches, Command};

use super::CommandError;
use crate::config::model::KeyDigest;

const HELP: &str = "\
Reads a key from standard input and prints its SHA-256 digest for the configuration section
\"keys\". The key is not an argument, so that it stays out of the shell history and the process
list. One line ending after the key is ignored.

Examples:
    bluebellmux key digest < key.txt
    printf %s \"$KEY\" | bluebellmux key digest";

pub fn command() -> Command {
    let digest = Command::new("digest")
        .about("Prints the digest of a key from standard input")
        .long_about(HELP);
    Command::new("key")
        .about("Computes digests of callers' keys")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(digest)
}

pub fn run(_args: &ArgMatches) -> Result<(), CommandError> {
    let text = std::io::read_to_string(std::io::stdin());
    let text = text.map_err(|error| format!("cannot read the key: {error}"))?;
    let key = text.strip_suffix('\n').unwrap_or(&text);
    let key = key.strip_suffix('\r').unwrap_or(key);
    if key.is_empty() || !key.bytes().all(|byte| byte.is_ascii_graphic()) {
        let message = "a key is one word of printable ASCII characters";
        return Err(CommandError::failed(message));
    }
    println!("{}", KeyDigest::of_key(key));
    Ok(())
}
