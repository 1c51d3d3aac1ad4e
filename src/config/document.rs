//! The configuration document: one TOML table per entry, in nine sections.

use std::collections::BTreeMap;
use std::ops::Range;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use toml::Spanned;
use toml::de::{DeTable, DeValue, ValueDeserializer};

use super::change::{ChangeError, ConfigChange, ConfigEdit, SectionRevisions};
use super::entry::{SectionEntry, with_entry_type};
use super::model::SectionName;
use super::state::ConfigState;
use crate::ids::LogOffset;

/// Why a document is not valid.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub(crate) enum DocumentError {
    #[display("line {line}: {section} \"{name}\": {reason}")]
    Entry {
        line: usize,
        section: SectionName,
        name: String,
        reason: String,
    },
    /// The error is not within an entry.
    #[display("line {line}: {reason}")]
    Line { line: usize, reason: String },
}

/// The entries of each section by name, as JSON.
pub(crate) type SectionEntries = BTreeMap<SectionName, BTreeMap<String, Value>>;

/// A parsed document. Each entry is well-formed, but references between entries are checked only
/// by [`Self::check`].
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct ConfigDocument {
    /// The entries with all defaults filled in. A section that is not in the document is absent; an
    /// empty section in the document is present here too.
    pub(crate) sections: SectionEntries,
    /// The line number of each entry's header.
    lines: BTreeMap<(SectionName, String), usize>,
}

/// The text of a document, used to convert byte offsets to line numbers in errors.
struct DocumentText<'a>(&'a str);

impl DocumentText<'_> {
    fn line(&self, span: &Range<usize>) -> usize {
        let start = span.start.min(self.0.len());
        self.0.as_bytes()[..start]
            .iter()
            .filter(|byte| **byte == b'\n')
            .count()
            + 1
    }

    fn error(&self, span: Option<Range<usize>>, reason: impl ToString) -> DocumentError {
        let line = self.line(&span.unwrap_or_default());
        let reason = collapse_whitespace(&reason.to_string());
        match self.entry_at(line) {
            Some((section, name)) => DocumentError::Entry {
                line,
                section,
                name,
                reason,
            },
            None => DocumentError::Line { line, reason },
        }
    }

    /// The entry that `line` belongs to, found by scanning for the last header at or above it. Only
    /// used for texts that are not valid TOML, which have no parsed headers.
    fn entry_at(&self, line: usize) -> Option<(SectionName, String)> {
        let lines: Vec<&str> = self.0.lines().take(line).collect();
        let header = lines
            .iter()
            .rev()
            .map(|line| line.trim())
            .find(|line| line.starts_with('['));
        let header = header?.strip_prefix('[')?.split(']').next()?;
        let (section, name) = header.split_once('.')?;
        let name = name.trim().trim_matches(['"', '\'']);
        Some((section.trim().parse().ok()?, name.to_owned()))
    }
}

fn collapse_whitespace(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

impl ConfigDocument {
    /// Parses a document and checks each entry on its own.
    pub(crate) fn parse(text: &str) -> Result<Self, DocumentError> {
        let source = DocumentText(text);
        let table =
            DeTable::parse(text).map_err(|error| source.error(error.span(), error.message()))?;
        let mut document = Self::default();
        for (key, value) in table.into_inner() {
            let line = source.line(&key.span());
            let section = key.get_ref().parse::<SectionName>();
            let section = section.map_err(|error| DocumentError::Line {
                line,
                reason: error.to_string(),
            })?;
            let DeValue::Table(entries) = value.into_inner() else {
                let reason = format!("{section} must be a table of entries");
                return Err(DocumentError::Line { line, reason });
            };
            document.sections.entry(section).or_default();
            for (name, value) in entries {
                document.add(&source, section, &name, value)?;
            }
        }
        Ok(document)
    }

    fn add(
        &mut self,
        source: &DocumentText<'_>,
        section: SectionName,
        name: &Spanned<std::borrow::Cow<'_, str>>,
        value: Spanned<DeValue<'_>>,
    ) -> Result<(), DocumentError> {
        let line = source.line(&name.span());
        let text = name.get_ref().to_string();
        let entry = with_entry_type!(section, E => entry_value::<E>(&text, value));
        let entry = entry.map_err(|(span, reason)| DocumentError::Entry {
            line: span.map_or(line, |span| source.line(&span)),
            section,
            name: text.clone(),
            reason: collapse_whitespace(&reason),
        })?;
        self.lines.insert((section, text.clone()), line);
        self.sections
            .entry(section)
            .or_default()
            .insert(text, entry);
        Ok(())
    }

    /// Checks that the document is a valid configuration by itself, including all references.
    pub(crate) fn check(&self) -> Result<(), DocumentError> {
        let entries = self.sections.iter().flat_map(|(section, entries)| {
            entries.iter().map(|(name, value)| ConfigEdit::Put {
                section: *section,
                name: name.clone(),
                value: value.clone(),
            })
        });
        let change = ConfigChange {
            nonce: String::new(),
            base: SectionRevisions::new(),
            edits: entries.collect(),
        };
        let checked = ConfigState::new().apply(LogOffset::default(), &change);
        checked.map_err(|error| self.to_document_error(error))
    }

    /// The line number of an entry's header.
    pub(crate) fn line_number(&self, section: SectionName, name: &str) -> Option<usize> {
        self.lines.get(&(section, name.to_owned())).copied()
    }

    fn to_document_error(&self, error: ChangeError) -> DocumentError {
        let ChangeError::Invalid {
            section,
            name,
            reason,
        } = error
        else {
            let reason = error.to_string();
            return DocumentError::Line { line: 1, reason };
        };
        let line = self.line_number(section, &name);
        DocumentError::Entry {
            line: line.unwrap_or(1),
            section,
            name,
            reason,
        }
    }

    /// The edits that turn `view` into this document, deletions first. Sections that are not in the
    /// document are left unchanged.
    pub(crate) fn edits_from(&self, view: &ConfigView) -> Vec<ConfigEdit> {
        let empty = BTreeMap::new();
        let mut edits = Vec::new();
        let mut puts = Vec::new();
        for (&section, desired) in &self.sections {
            let current = view.sections.get(&section).unwrap_or(&empty);
            let removed = current.keys().filter(|name| !desired.contains_key(*name));
            edits.extend(removed.map(|name| ConfigEdit::Delete {
                section,
                name: name.clone(),
            }));
            let changed = desired
                .iter()
                .filter(|(name, value)| current.get(*name) != Some(value));
            puts.extend(changed.map(|(name, value)| ConfigEdit::Put {
                section,
                name: name.clone(),
                value: value.clone(),
            }));
        }
        edits.append(&mut puts);
        edits
    }
}

/// Parses an entry to JSON with its defaults filled in. The error has the position, if known, and
/// the reason.
fn entry_value<E: SectionEntry>(
    name: &str,
    value: Spanned<DeValue<'_>>,
) -> Result<Value, (Option<Range<usize>>, String)> {
    name.parse::<E::Name>()
        .map_err(|error| (None, error.to_string()))?;
    let entry = E::deserialize(ValueDeserializer::from(value));
    let entry = entry.map_err(|error| (error.span(), error.message().to_owned()))?;
    Ok(serde_json::to_value(entry).expect("an entry has only string keys"))
}

/// The current configuration, as returned by the administration API.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct ConfigView {
    /// The offset of the next record that the node will apply. All earlier ones are in the view.
    pub(crate) next_offset: LogOffset,
    /// The offset of the last accepted change to each section.
    pub(crate) revisions: SectionRevisions,
    pub(crate) sections: SectionEntries,
}

impl ConfigView {
    /// Creates a view with the given sections of `state`.
    pub(crate) fn from_state(state: &ConfigState, sections: &[SectionName]) -> Self {
        let entries = |section: SectionName| {
            let values = with_entry_type!(section, E => entry_values::<E>(state));
            (section, values)
        };
        Self {
            next_offset: state.next_offset(),
            revisions: state.revisions().clone(),
            sections: sections.iter().map(|&section| entries(section)).collect(),
        }
    }

    /// Formats the view as a configuration document.
    pub(crate) fn to_toml(&self) -> String {
        let mut text = String::new();
        for (section, entries) in self
            .sections
            .iter()
            .filter(|(_, entries)| !entries.is_empty())
        {
            for (name, value) in entries {
                let entry = toml::to_string(value).expect("an entry has only TOML's types");
                text.push_str(&format!("[{section}.{}]\n{entry}\n", toml_key(name)));
            }
        }
        text
    }
}

fn entry_values<E: SectionEntry>(state: &ConfigState) -> BTreeMap<String, Value> {
    let rows = E::table(state).iter();
    rows.map(|(name, entry)| {
        let value = serde_json::to_value(entry).expect("an entry has only string keys");
        (name.to_string(), value)
    })
    .collect()
}

/// Formats a name as a TOML key, quoted only if necessary. Names have no characters that need
/// escaping.
fn toml_key(name: &str) -> String {
    let bare = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'_' || byte == b'-';
    if name.bytes().all(bare) {
        return name.to_owned();
    }
    format!("\"{name}\"")
}
