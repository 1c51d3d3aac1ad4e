//! `bluebellmux serve`: run an entry VM process.

use std::io::IsTerminal;

use clap::{Arg, ArgMatches, Command, value_parser};
use tokio::signal::unix::{SignalKind, signal};
use tracing_subscriber::EnvFilter;

use super::CommandError;
use crate::node::RunningNode;
use crate::settings::NodeSettings;

const HELP: &str = "\
Runs an entry VM process until SIGTERM or SIGINT, then completes open requests and exits.

Example:
    bluebellmux serve --node entry-1 --zone a --platform-url http://127.0.0.1:7000 \\
        --admin-token secret --listen 127.0.0.1:8080";

pub fn command() -> Command {
    let format = Arg::new("log-format")
        .long("log-format")
        .env("BLUEBELLMUX_LOG_FORMAT")
        .value_parser(value_parser!(String))
        .value_parser(["text", "json"])
        .default_value("text")
        .help("Format of the log lines on standard error");
    let filter = Arg::new("log")
        .long("log")
        .env("BLUEBELLMUX_LOG")
        .default_value("info,poem=warn")
        .help("Log level, or a filter such as \"bluebellmux=debug\"");
    Command::new("serve")
        .about("Runs an entry VM process")
        .long_about(HELP)
        .args(NodeSettings::args())
        .args([format, filter])
}

#[derive(Debug)]
struct ServeArgs<'a>(&'a ArgMatches);

impl ServeArgs<'_> {
    fn settings(&self) -> NodeSettings {
        NodeSettings::from_args(self.0)
    }

    fn init_logging(&self) -> Result<(), String> {
        let text = |name| {
            self.0
                .get_one::<String>(name)
                .expect("the argument has a default")
        };
        let filter = EnvFilter::try_new(text("log")).map_err(|error| format!("--log: {error}"))?;
        let logs = tracing_subscriber::fmt()
            .with_env_filter(filter)
            .with_ansi(std::io::stderr().is_terminal())
            .with_writer(std::io::stderr);
        if text("log-format") == "json" {
            logs.json().init()
        } else {
            logs.init()
        }
        Ok(())
    }
}

pub async fn run(args: &ArgMatches) -> Result<(), CommandError> {
    let args = ServeArgs(args);
    args.init_logging()?;
    let node = RunningNode::start(args.settings()).await;
    let node = node.map_err(|error| format!("cannot start the node: {error}"))?;
    println!("callers {}", node.address);
    println!("peers {}", node.peer_address);
    println!("operators {}", node.admin_address);
    wait_for_signal().await.map_err(|error| error.to_string())?;
    node.shut_down().await;
    Ok(())
}

async fn wait_for_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
