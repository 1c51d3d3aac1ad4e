//! This node's copy of the configuration, built from the log's records in offset order.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::model::{
    AccountEntry, AdapterEntry, BaseModelEntry, KeyDigest, KeyEntry, RateEntry, SectionName,
    ServiceEntry, TargetEntry, VersionEntry, ZoneEntry,
};
use crate::collections::FastMap;
use crate::ids::{
    AccountName, AdapterName, AdapterVersion, BaseModel, KeyName, LogOffset, ServiceName,
    TargetName, ZoneName,
};

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

/// A change as it stands in the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ConfigChange {
    /// Finds the record again when the reply to its append was lost.
    pub nonce: String,
    /// The revision of each section that the operator started from.
    #[serde(default)]
    pub base: std::collections::BTreeMap<SectionName, LogOffset>,
    pub edits: Vec<ConfigEdit>,
}

/// Why a change was rejected. Every node comes to the same verdict.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub(crate) enum ChangeError {
    #[display("{section} \"{name}\": {reason}")]
    Invalid {
        section: SectionName,
        name: String,
        reason: String,
    },
}

/// All entries, by section.
#[derive(Debug, Clone, Default)]
pub(crate) struct ConfigState {
    pub base_models: FastMap<BaseModel, BaseModelEntry>,
    pub zones: FastMap<ZoneName, ZoneEntry>,
    pub targets: FastMap<TargetName, TargetEntry>,
    pub services: FastMap<ServiceName, ServiceEntry>,
    pub accounts: FastMap<AccountName, AccountEntry>,
    pub rates: FastMap<AccountName, RateEntry>,
    pub keys: FastMap<KeyName, KeyEntry>,
    pub adapters: FastMap<AdapterName, AdapterEntry>,
    pub versions: FastMap<AdapterVersion, VersionEntry>,
    /// Each key of `keys` by its digest.
    key_names: FastMap<KeyDigest, KeyName>,
    /// The offset of the next record to apply; it only grows.
    next: LogOffset,
}

impl ConfigState {
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// The offset of the next record to apply.
    pub(crate) fn next_offset(&self) -> LogOffset {
        self.next
    }

    /// The key entry with this digest.
    pub(crate) fn key_by_digest(&self, digest: &KeyDigest) -> Option<(&KeyName, &KeyEntry)> {
        let name = self.key_names.get(digest)?;
        Some((name, self.keys.get(name)?))
    }

    /// Applies the record at `offset`; records below [`Self::next_offset`] are ignored.
    pub(crate) fn apply(
        &mut self,
        offset: LogOffset,
        change: &ConfigChange,
    ) -> Result<(), ChangeError> {
        if offset < self.next {
            return Ok(());
        }
        self.next = offset.next();
        for edit in &change.edits {
            self.apply_edit(edit)?;
        }
        Ok(())
    }

    fn apply_edit(&mut self, edit: &ConfigEdit) -> Result<(), ChangeError> {
        match edit {
            ConfigEdit::Put {
                section,
                name,
                value,
            } => self.put(*section, name, value),
            ConfigEdit::Delete { section, name } => self.delete(*section, name),
        }
    }

    fn put(&mut self, section: SectionName, name: &str, value: &Value) -> Result<(), ChangeError> {
        use SectionName as S;
        let entry = (section, name, value);
        match section {
            S::BaseModels => put_entry(&mut self.base_models, entry),
            S::Zones => put_entry(&mut self.zones, entry),
            S::Targets => put_entry(&mut self.targets, entry),
            S::Services => put_entry(&mut self.services, entry),
            S::Accounts => put_entry(&mut self.accounts, entry),
            S::Rates => put_entry(&mut self.rates, entry),
            S::Adapters => put_entry(&mut self.adapters, entry),
            S::Versions => put_entry(&mut self.versions, entry),
            S::Keys => {
                put_entry(&mut self.keys, entry)?;
                self.index_keys();
                Ok(())
            }
        }
    }

    fn delete(&mut self, section: SectionName, name: &str) -> Result<(), ChangeError> {
        use SectionName as S;
        match section {
            S::BaseModels => delete_entry(&mut self.base_models, section, name),
            S::Zones => delete_entry(&mut self.zones, section, name),
            S::Targets => delete_entry(&mut self.targets, section, name),
            S::Services => delete_entry(&mut self.services, section, name),
            S::Accounts => delete_entry(&mut self.accounts, section, name),
            S::Rates => delete_entry(&mut self.rates, section, name),
            S::Adapters => delete_entry(&mut self.adapters, section, name),
            S::Versions => delete_entry(&mut self.versions, section, name),
            S::Keys => {
                delete_entry(&mut self.keys, section, name)?;
                self.index_keys();
                Ok(())
            }
        }
    }

    fn index_keys(&mut self) {
        let pairs = self
            .keys
            .iter()
            .map(|(name, key)| (key.sha256, name.clone()));
        self.key_names = pairs.collect();
    }
}

fn put_entry<K, V>(
    entries: &mut FastMap<K, V>,
    (section, name, value): (SectionName, &str, &Value),
) -> Result<(), ChangeError>
where
    K: std::str::FromStr<Err: std::fmt::Display> + Eq + std::hash::Hash,
    V: serde::de::DeserializeOwned,
{
    let invalid = |reason: String| ChangeError::Invalid {
        section,
        name: name.to_owned(),
        reason,
    };
    let key = name
        .parse::<K>()
        .map_err(|error| invalid(error.to_string()))?;
    let entry = V::deserialize(value).map_err(|error| invalid(error.to_string()))?;
    entries.insert(key, entry);
    Ok(())
}

fn delete_entry<K, V>(
    entries: &mut FastMap<K, V>,
    section: SectionName,
    name: &str,
) -> Result<(), ChangeError>
where
    K: std::str::FromStr<Err: std::fmt::Display> + Eq + std::hash::Hash,
{
    let invalid = |reason: String| ChangeError::Invalid {
        section,
        name: name.to_owned(),
        reason,
    };
    let key = name
        .parse::<K>()
        .map_err(|error| invalid(error.to_string()))?;
    let removed = entries.remove(&key).map(|_| ());
    removed.ok_or_else(|| invalid("no such entry".to_owned()))
}
