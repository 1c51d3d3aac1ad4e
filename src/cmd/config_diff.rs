//! `bluebellmux config diff`: compare a document with the current configuration.

use clap::{ArgMatches, Command};

use super::document_file::{self, DocumentFile};
use super::{CommandError, client};
use crate::config::change::{ConfigEdit, SectionRevisions};
use crate::config::document::{ConfigDocument, ConfigView};
use crate::config::model::SectionName;

const HELP: &str = "\
Prints the edits that turn the current configuration into the document, and the revisions that
they are based on. Only sections that the document contains are compared: a document that has only
the section \"keys\" is not compared with the adapters. Exits with 4 if there are differences.

Lines start with + for a new entry, ~ for a changed one and - for a deleted one.

Examples:
    bluebellmux config diff site.toml --admin-url http://10.0.0.1:8082
    bluebellmux config diff keys.toml";

pub(super) fn command() -> Command {
    Command::new("diff")
        .about("Compares a document with the current configuration")
        .long_about(HELP)
        .arg(document_file::arg())
        .args(client::args())
}

/// The edits that publishing a document would make.
#[derive(Debug)]
pub(super) struct DocumentDiff {
    pub(super) view: ConfigView,
    pub(super) edits: Vec<ConfigEdit>,
}

impl DocumentDiff {
    pub(super) async fn fetch(
        client: &client::AdminClient,
        document: &ConfigDocument,
    ) -> Result<Self, CommandError> {
        let sections: Vec<SectionName> = document.sections.keys().copied().collect();
        let view = client.view(&sections).await?;
        let edits = document.edits_from(&view);
        Ok(Self { view, edits })
    }

    /// The current revisions of the edited sections.
    pub(super) fn base(&self) -> SectionRevisions {
        let edited = |section: &SectionName| {
            let mut edits = self.edits.iter();
            edits.any(|edit| edit.section() == *section)
        };
        let revisions = self.view.revisions.iter();
        let edited = revisions.filter(|(section, _)| edited(section));
        edited
            .map(|(section, revision)| (*section, *revision))
            .collect()
    }

    fn print(&self) {
        for (section, revision) in self.base() {
            println!("base {section} {revision}");
        }
        for edit in &self.edits {
            let (section, name) = (edit.section(), edit.name());
            let current = self.view.sections.get(&section);
            let sign = match (
                edit,
                current.is_some_and(|entries| entries.contains_key(name)),
            ) {
                (ConfigEdit::Delete { .. }, _) => '-',
                (ConfigEdit::Put { .. }, true) => '~',
                (ConfigEdit::Put { .. }, false) => '+',
            };
            match edit {
                ConfigEdit::Put { value, .. } => println!("{sign} {section} {name} {value}"),
                ConfigEdit::Delete { .. } => println!("{sign} {section} {name}"),
            }
        }
    }
}

pub(super) async fn run(args: &ArgMatches) -> Result<(), CommandError> {
    let DocumentFile { path, document } = DocumentFile::read(args)?;
    let client = client::AdminClient::from_args(args);
    let diff = DocumentDiff::fetch(&client, &document).await?;
    if diff.edits.is_empty() {
        println!("{path}: no differences");
        return Ok(());
    }
    diff.print();
    let count = diff.edits.len();
    Err(CommandError::different(format!(
        "{path}: {count} differences"
    )))
}
