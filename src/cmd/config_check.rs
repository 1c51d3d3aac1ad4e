//! `bluebellmux config check`: validate a document without a running node.

use clap::{ArgMatches, Command};

use super::CommandError;
use super::document_file::{self, DocumentFile};

const HELP: &str = "\
Validates a complete document and reports the line, section and entry of the first error. Needs
no running node.

Examples:
    bluebellmux config check site.toml
    bluebellmux config show | bluebellmux config check -";

pub(super) fn command() -> Command {
    Command::new("check")
        .about("Validates a complete document without a running node")
        .long_about(HELP)
        .arg(document_file::arg())
}

pub(super) fn run(args: &ArgMatches) -> Result<(), CommandError> {
    let DocumentFile { path, document } = DocumentFile::read(args)?;
    let checked = document.check();
    checked.map_err(|error| CommandError::failed(format!("{path}: {error}")))?;
    let entries: usize = document
        .sections
        .values()
        .map(|entries| entries.len())
        .sum();
    println!(
        "{path}: valid, {entries} entries in {} sections",
        document.sections.len()
    );
    Ok(())
}
