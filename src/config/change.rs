//! Configuration changes as stored in the log, and the reasons for rejecting one.

use std::collections::BTreeMap;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::model::SectionName;
use crate::ids::LogOffset;

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

/// The offset of the last accepted change to each section. A section without any change is absent.
pub(crate) type SectionRevisions = BTreeMap<SectionName, LogOffset>;

/// An atomic set of edits, as stored in the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ConfigChange {
    /// Identifies the record in the log if the reply to its append was lost.
    pub nonce: String,
    /// The section revisions that the operator's edits are based on. In a section without a base
    /// revision, the change may only create entries.
    #[serde(default)]
    pub base: SectionRevisions,
    pub edits: Vec<ConfigEdit>,
}

/// Why a change was rejected. The checks are deterministic, so every node rejects the same
/// changes for the same reason.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ChangeError {
    /// The resulting configuration would be invalid.
    #[display("{section} \"{name}\": {reason}")]
    Invalid {
        section: SectionName,
        name: String,
        reason: String,
    },
    /// The entry was changed after the base revision, for example by another operator.
    #[display(
        "{section} \"{name}\" was changed at revision {revision}, after the revision that this \
         change is based on"
    )]
    Conflict {
        section: SectionName,
        name: String,
        revision: LogOffset,
    },
    /// The base revision is not older than the change itself, so no operator can have read it.
    #[display("{section}: base revision {base} is not before the change itself")]
    FutureBase {
        section: SectionName,
        base: LogOffset,
    },
    /// The record cannot be parsed.
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
