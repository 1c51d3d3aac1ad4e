//! `bluebellmux config publish`: apply a document to the configuration.

use clap::{ArgMatches, Command};
use reqwest::StatusCode;

use super::config_diff::DocumentDiff;
use super::document_file::{self, DocumentFile};
use super::{CommandError, client};
use crate::admin::error::AdminError;
use crate::config::change::ConfigEdit;

const HELP: &str = "\
Publishes the edits that turn the current configuration into the document, as one change with
the revisions that it is based on. In sections that the document contains, entries that are not
in the document are deleted. Other sections stay as they are. Returns once the change is applied
on the node that accepted it. The other nodes apply it within 4 s.

If another operator changed one of the entries in the meantime, nothing is changed, the error
names the entry and the exit code is 3. Check the differences and publish again.

Examples:
    bluebellmux config publish site.toml --admin-url http://10.0.0.1:8082
    bluebellmux config publish keys.toml";

pub(super) fn command() -> Command {
    Command::new("publish")
        .about("Applies a document to the configuration")
        .long_about(HELP)
        .arg(document_file::arg())
        .args(client::args())
}

fn summary(edits: &[ConfigEdit]) -> String {
    let is_put = |edit: &&ConfigEdit| matches!(edit, ConfigEdit::Put { .. });
    let puts = edits.iter().filter(is_put).count();
    format!("{puts} entries put, {} deleted", edits.len() - puts)
}

/// The error for a rejected change, with the line of the entry if the document contains it.
fn rejection_error(file: &DocumentFile, status: StatusCode, error: &AdminError) -> CommandError {
    let line = error
        .section
        .and_then(|section| file.document.line_number(section, error.entry.as_deref()?));
    let message = match line {
        Some(line) => format!("{}: line {line}: {}", file.path, error.error),
        None => format!("{}: {}", file.path, error.error),
    };
    match status {
        StatusCode::CONFLICT => CommandError::conflict(message),
        _ => CommandError::failed(message),
    }
}

pub(super) async fn run(args: &ArgMatches) -> Result<(), CommandError> {
    let file = DocumentFile::read(args)?;
    let client = client::AdminClient::from_args(args);
    let diff = DocumentDiff::fetch(&client, &file.document).await?;
    if diff.edits.is_empty() {
        println!("{}: already in force", file.path);
        return Ok(());
    }
    match client.publish(&diff.base(), &diff.edits).await? {
        Ok(revision) => {
            println!(
                "{}: revision {revision}, {}",
                file.path,
                summary(&diff.edits)
            );
            Ok(())
        }
        Err((status, error)) => Err(rejection_error(&file, status, &error)),
    }
}
