//! Changes as they stand in the log, and the verdict on them.

use std::collections::BTreeMap;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::model::SectionName;
use crate::ids::LogOffset;

/// One edit of one entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(crate) enum ConfigEdit {
    Put {
        section: SectionName,
        name: String,
        value: Value,
    },
    Delete {
        section: SectionName,
        name: String,
    },
}

impl ConfigEdit {
    pub(crate) fn section(&self) -> SectionName {
        match self {
            Self::Put { section, .. } | Self::Delete { section, .. } => *section,
        }
    }

    pub(crate) fn name(&self) -> &str {
        match self {
            Self::Put { name, .. } | Self::Delete { name, .. } => name,
        }
    }
}

/// The revision of each section. A section that was never changed has none.
pub(crate) type SectionRevisions = BTreeMap<SectionName, LogOffset>;

/// A change as it stands in the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ConfigChange {
    /// Finds the record again when the reply to its append was lost.
    pub nonce: String,
    /// The revision of each section that the operator started from. Without one for a section,
    /// the change may only create entries there.
    #[serde(default)]
    pub base: SectionRevisions,
    pub edits: Vec<ConfigEdit>,
}

/// Why a change was rejected. Every node comes to the same verdict.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ChangeError {
    /// The result would not be a valid configuration.
    #[display("{section} \"{name}\": {reason}")]
    Invalid {
        section: SectionName,
        name: String,
        reason: String,
    },
    /// Another operator's change to the entry came first.
    #[display(
        "{section} \"{name}\" was changed at revision {revision}, after the revision that this \
         change is based on"
    )]
    Conflict {
        section: SectionName,
        name: String,
        revision: LogOffset,
    },
    /// The stated base revision is not one that an operator can have read.
    #[display("{section}: base revision {base} is not before the change itself")]
    FutureBase {
        section: SectionName,
        base: LogOffset,
    },
    /// The record is no change.
    #[display("the record is malformed")]
    Malformed,
}

impl ChangeError {
    pub(crate) fn invalid(section: SectionName, name: &str, reason: impl ToString) -> Self {
        Self::Invalid {
            section,
            name: name.to_owned(),
            reason: reason.to_string(),
        }
    }
}
