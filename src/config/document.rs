//! The configuration document: one TOML table per entry, in nine sections.

use std::collections::BTreeMap;
use std::ops::Range;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use toml::Spanned;
use toml::de::{DeTable, DeValue, ValueDeserializer};

use super::change::{ChangeError, ConfigChange, ConfigEdit, SectionRevisions};
use super::entry::{SectionEntry, for_section};
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
    /// The fault is outside of any entry.
    #[display("line {line}: {reason}")]
    Line { line: usize, reason: String },
}

/// The entries of each section, by name.
pub(crate) type SectionEntries = BTreeMap<SectionName, BTreeMap<String, Value>>;

/// A document whose entries are well-formed, each by itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct ConfigDocument {
    /// The entries with all defaults filled in. A section that the document does not have is
    /// missing here; an empty one is not.
    pub(crate) sections: SectionEntries,
    /// The line of each entry's header.
    lines: BTreeMap<(SectionName, String), usize>,
}

/// The text and the way from byte positions to lines.
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
        let reason = one_line(&reason.to_string());
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

    /// The entry whose header is the last one at or above `line`. Only used for texts that TOML
    /// itself can't read, where there is no parsed header to ask.
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

fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

impl ConfigDocument {
    /// Reads a document and checks each entry by itself.
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
        let entry = for_section!(section, E => entry_value::<E>(&text, value));
        let entry = entry.map_err(|(span, reason)| DocumentError::Entry {
            line: span.map_or(line, |span| source.line(&span)),
            section,
            name: text.clone(),
            reason: one_line(&reason),
        })?;
        self.lines.insert((section, text.clone()), line);
        self.sections
            .entry(section)
            .or_default()
            .insert(text, entry);
        Ok(())
    }

    /// Checks the document as a whole configuration.
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
        checked.map_err(|error| self.locate(error))
    }

    /// The line of an entry's header.
    pub(crate) fn line_of(&self, section: SectionName, name: &str) -> Option<usize> {
        self.lines.get(&(section, name.to_owned())).copied()
    }

    fn locate(&self, error: ChangeError) -> DocumentError {
        let ChangeError::Invalid {
            section,
            name,
            reason,
        } = error
        else {
            let reason = error.to_string();
            return DocumentError::Line { line: 1, reason };
        };
        let line = self.line_of(section, &name);
        DocumentError::Entry {
            line: line.unwrap_or(1),
            section,
            name,
            reason,
        }
    }

    /// The edits that lead from `view` to this document, in the sections that it has. Deletions
    /// come first.
    pub(crate) fn edits_from(&self, view: &ConfigView) -> Vec<ConfigEdit> {
        let empty = BTreeMap::new();
        let mut edits = Vec::new();
        let mut puts = Vec::new();
        for (&section, wanted) in &self.sections {
            let present = view.sections.get(&section).unwrap_or(&empty);
            let gone = present.keys().filter(|name| !wanted.contains_key(*name));
            edits.extend(gone.map(|name| ConfigEdit::Delete {
                section,
                name: name.clone(),
            }));
            let changed = wanted
                .iter()
                .filter(|(name, value)| present.get(*name) != Some(value));
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

/// The entry as JSON with its defaults, or where and why it is malformed.
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

/// The configuration in force, as the administration API gives it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct ConfigView {
    /// The offset of the next record that the node will apply.
    pub(crate) next_offset: LogOffset,
    /// The offset of the last accepted change to each section.
    pub(crate) revisions: SectionRevisions,
    pub(crate) sections: SectionEntries,
}

impl ConfigView {
    /// The given sections of `state`.
    pub(crate) fn of(state: &ConfigState, sections: &[SectionName]) -> Self {
        let entries = |section: SectionName| {
            let values = for_section!(section, E => entry_values::<E>(state));
            (section, values)
        };
        Self {
            next_offset: state.next_offset(),
            revisions: state.revisions().clone(),
            sections: sections.iter().map(|&section| entries(section)).collect(),
        }
    }

    /// The view as a document.
    pub(crate) fn to_toml(&self) -> String {
        let mut text = String::new();
        for (section, entries) in self
            .sections
            .iter()
            .filter(|(_, entries)| !entries.is_empty())
        {
            for (name, value) in entries {
                let entry = toml::to_string(value).expect("an entry has only TOML's types");
                text.push_str(&format!("[{section}.{}]\n{entry}\n", quoted(name)));
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

/// A name as TOML's key: bare if it may be. Names have no characters that need an escape.
fn quoted(name: &str) -> String {
    let bare = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'_' || byte == b'-';
    if name.bytes().all(bare) {
        return name.to_owned();
    }
    format!("\"{name}\"")
}
