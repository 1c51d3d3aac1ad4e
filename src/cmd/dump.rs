//! `bluebellmux dump`: print the state of entry VM processes.

use clap::{ArgAction, ArgMatches, Command};

use super::{CommandError, client};

const HELP: &str = "\
Prints the state of one or more entry VM processes as JSON, one object per line. The output
contains no keys. If a process can't be reached, the command prints the others and fails.

Examples:
    bluebellmux dump
    bluebellmux dump --admin-url http://10.0.0.1:8082 --admin-url http://10.0.0.2:8082";

pub fn command() -> Command {
    Command::new("dump")
        .about("Prints the state of entry VM processes")
        .long_about(HELP)
        .arg(client::url_arg().action(ArgAction::Append))
        .arg(client::token_arg())
}

fn clients(args: &ArgMatches) -> Vec<client::AdminClient> {
    let token = args
        .get_one::<String>("admin-token")
        .map_or("", String::as_str);
    let urls = args.get_many::<String>("admin-url").unwrap_or_default();
    urls.map(|url| client::AdminClient::new(url, token))
        .collect()
}

pub async fn run(args: &ArgMatches) -> Result<(), CommandError> {
    let mut failures = Vec::new();
    for client in clients(args) {
        match client.dump().await {
            Ok(dump) => println!("{dump}"),
            Err(error) => failures.push(error.to_string()),
        }
    }
    if failures.is_empty() {
        return Ok(());
    }
    Err(CommandError::failed(failures.join("; ")))
}
