//! `bluebellmux config show`: print the current configuration.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::{CommandError, client};
use crate::config::model::SectionName;

const HELP: &str = "\
Prints the current configuration as a document, with the revision of each section as a comment.
Keys are shown as digests.

Examples:
    bluebellmux config show > site.toml
    bluebellmux config show --section keys --section rates
    bluebellmux config show --json";

pub(super) fn command() -> Command {
    let section = Arg::new("section")
        .long("section")
        .action(ArgAction::Append)
        .value_parser(value_parser!(SectionName))
        .help("Print only this section; may be repeated");
    let json = Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Print JSON instead of TOML");
    Command::new("show")
        .about("Prints the current configuration")
        .long_about(HELP)
        .args([section, json])
        .args(client::args())
}

fn selected_sections(args: &ArgMatches) -> Vec<SectionName> {
    match args.get_many::<SectionName>("section") {
        Some(sections) => sections.copied().collect(),
        None => SectionName::ALL.to_vec(),
    }
}

pub(super) async fn run(args: &ArgMatches) -> Result<(), CommandError> {
    let client = client::AdminClient::from_args(args);
    let view = client.view(&selected_sections(args)).await?;
    if args.get_flag("json") {
        let text = serde_json::to_string_pretty(&view);
        println!("{}", text.expect("a view has only string keys"));
        return Ok(());
    }
    for (section, revision) in &view.revisions {
        if view.sections.contains_key(section) {
            println!("# {section}: revision {revision}");
        }
    }
    print!("\n{}", view.to_toml());
    Ok(())
}
