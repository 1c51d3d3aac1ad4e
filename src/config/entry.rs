//! Validation of entries: the references between them and the constraints of each section.

use std::fmt::Display;
use std::hash::Hash;
use std::str::FromStr;

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::model::{
    AccountEntry, AdapterEntry, BaseModelEntry, KeyDigest, KeyEntry, RateEntry, SectionName,
    ServiceEntry, TargetEntry, VersionEntry, ZoneEntry,
};
use super::state::ConfigState;
use super::table::SectionTable;
use crate::collections::{FastMap, FastSet};
use crate::ids::{
    AccountName, AdapterName, AdapterVersion, BaseModel, KeyName, ServiceName, TargetName,
    VersionTag, ZoneName,
};

/// Upper bound on the sum of `loads_in_flight` over all base models. Loads share the bandwidth of
/// the weight store, so more of them at a time would only make each one slower.
const LOADS_IN_FLIGHT_LIMIT: u32 = 8;

/// How many entries refer to each name.
#[derive(Debug, Clone)]
pub(crate) struct ReferenceCounts<K>(FastMap<K, u32>);

impl<K> Default for ReferenceCounts<K> {
    fn default() -> Self {
        Self(FastMap::default())
    }
}

impl<K: Eq + Hash + Clone> ReferenceCounts<K> {
    fn count(&self, name: &K) -> u32 {
        self.0.get(name).copied().unwrap_or(0)
    }

    fn add(&mut self, name: &K) {
        *self.0.entry(name.clone()).or_default() += 1;
    }

    fn remove(&mut self, name: &K) {
        if let Some(count) = self.0.get_mut(name) {
            *count -= 1;
            if *count == 0 {
                self.0.remove(name);
            }
        }
    }
}

/// Indexes derived from the entries, so that a change can be checked without scanning all of them.
#[derive(Debug, Clone, Default)]
pub(crate) struct EntryIndex {
    base_models: ReferenceCounts<BaseModel>,
    services: ReferenceCounts<ServiceName>,
    accounts: ReferenceCounts<AccountName>,
    /// The targets in each zone.
    zones: ReferenceCounts<ZoneName>,
    pub(super) keys_by_digest: FastMap<KeyDigest, KeyName>,
    /// The service of each path prefix.
    services_by_prefix: FastMap<String, ServiceName>,
    /// Interned version tags, so that equal tags share one allocation.
    tags: FastSet<VersionTag>,
    /// The number of interned tags at which unused ones are removed.
    tag_limit: usize,
}

/// Unused tags are not removed while there are fewer interned tags than this.
const MIN_TAG_LIMIT: usize = 1024;

impl EntryIndex {
    fn intern_tag(&mut self, tag: &VersionTag) -> VersionTag {
        if let Some(shared) = self.tags.get(tag) {
            return shared.clone();
        }
        if self.tags.len() >= self.tag_limit.max(MIN_TAG_LIMIT) {
            self.tags.retain(VersionTag::is_shared);
            self.tag_limit = self.tags.len() * 2;
        }
        self.tags.insert(tag.clone());
        tag.clone()
    }
}

/// An entry type; each section has one.
pub(crate) trait SectionEntry: Clone + Serialize + DeserializeOwned + 'static {
    type Name: Ord + Clone + Display + FromStr<Err: Display> + 'static;

    fn table(state: &ConfigState) -> &SectionTable<Self::Name, Self>;

    fn table_mut(state: &mut ConfigState) -> &mut SectionTable<Self::Name, Self>;

    /// Replaces names by the equal names in `state`, so that they share one allocation.
    fn intern_names(&mut self, _name: &mut Self::Name, _state: &mut ConfigState) {}

    /// Adds the entry to the index. Fails if it duplicates a value that must be unique.
    fn add_to_index(&self, _name: &Self::Name, _index: &mut EntryIndex) -> Result<(), String> {
        Ok(())
    }

    /// Reverts [`Self::add_to_index`].
    fn remove_from_index(&self, _name: &Self::Name, _index: &mut EntryIndex) {}

    /// Checks an entry that the change puts, with all edits of the change applied.
    fn check(&self, name: &Self::Name, state: &ConfigState) -> Result<(), String>;

    /// Checks that an entry that the change deletes is no longer needed, with all edits of the
    /// change applied.
    fn check_deletion(&self, _name: &Self::Name, _state: &ConfigState) -> Result<(), String> {
        Ok(())
    }
}

/// Evaluates `$body` with the type alias `$entry` for the entry type of `$section`.
macro_rules! with_entry_type {
    ($section:expr, $entry:ident => $body:expr) => {{
        use crate::config::model;
        use crate::config::model::SectionName as S;
        match $section {
            S::BaseModels => {
                type $entry = model::BaseModelEntry;
                $body
            }
            S::Zones => {
                type $entry = model::ZoneEntry;
                $body
            }
            S::Targets => {
                type $entry = model::TargetEntry;
                $body
            }
            S::Services => {
                type $entry = model::ServiceEntry;
                $body
            }
            S::Accounts => {
                type $entry = model::AccountEntry;
                $body
            }
            S::Rates => {
                type $entry = model::RateEntry;
                $body
            }
            S::Keys => {
                type $entry = model::KeyEntry;
                $body
            }
            S::Adapters => {
                type $entry = model::AdapterEntry;
                $body
            }
            S::Versions => {
                type $entry = model::VersionEntry;
                $body
            }
        }
    }};
}
pub(crate) use with_entry_type;

macro_rules! table_accessors {
    ($field:ident) => {
        fn table(state: &ConfigState) -> &SectionTable<Self::Name, Self> {
            &state.$field
        }

        fn table_mut(state: &mut ConfigState) -> &mut SectionTable<Self::Name, Self> {
            &mut state.$field
        }
    };
}

/// Fails with `reason` unless the condition holds.
fn require(condition: bool, reason: impl FnOnce() -> String) -> Result<(), String> {
    if condition { Ok(()) } else { Err(reason()) }
}

fn require_exists<K: Ord + Display, V>(
    table: &SectionTable<K, V>,
    section: SectionName,
    name: &K,
) -> Result<(), String> {
    require(table.contains_key(name), || {
        format!("there is no entry \"{name}\" in {section}")
    })
}

fn require_unused(count: u32) -> Result<(), String> {
    require(count == 0, || match count {
        1 => "1 entry still refers to it".to_owned(),
        _ => format!("{count} entries still refer to it"),
    })
}

impl SectionEntry for BaseModelEntry {
    type Name = BaseModel;
    table_accessors!(base_models);

    fn check(&self, _name: &BaseModel, state: &ConfigState) -> Result<(), String> {
        require(self.loads_in_flight > 0, || {
            "loads_in_flight must be at least 1".to_owned()
        })?;
        let rate = self.loads_per_second;
        require(rate.is_finite() && rate > 0.0, || {
            "loads_per_second must be above 0".to_owned()
        })?;
        let models = state.base_models.values();
        let sum = models.fold(0u32, |sum, model| sum.saturating_add(model.loads_in_flight));
        require(sum <= LOADS_IN_FLIGHT_LIMIT, || {
            format!(
                "loads_in_flight of all base models is {sum} together, but the weight store \
                 allows {LOADS_IN_FLIGHT_LIMIT}"
            )
        })
    }

    fn check_deletion(&self, name: &BaseModel, state: &ConfigState) -> Result<(), String> {
        require_unused(state.index.base_models.count(name))
    }
}

impl SectionEntry for ZoneEntry {
    type Name = ZoneName;
    table_accessors!(zones);

    fn check(&self, name: &ZoneName, state: &ConfigState) -> Result<(), String> {
        let has_target = !self.in_service || state.index.zones.count(name) > 0;
        require(has_target, || {
            "the zone is in service but has no target".to_owned()
        })
    }

    fn check_deletion(&self, name: &ZoneName, state: &ConfigState) -> Result<(), String> {
        require_unused(state.index.zones.count(name))
    }
}

impl SectionEntry for TargetEntry {
    type Name = TargetName;
    table_accessors!(targets);

    fn add_to_index(&self, _name: &TargetName, index: &mut EntryIndex) -> Result<(), String> {
        index.zones.add(&self.zone);
        if let Some(model) = &self.base_model {
            index.base_models.add(model);
        }
        if let Some(service) = &self.service {
            index.services.add(service);
        }
        Ok(())
    }

    fn remove_from_index(&self, _name: &TargetName, index: &mut EntryIndex) {
        index.zones.remove(&self.zone);
        if let Some(model) = &self.base_model {
            index.base_models.remove(model);
        }
        if let Some(service) = &self.service {
            index.services.remove(service);
        }
    }

    fn check(&self, _name: &TargetName, state: &ConfigState) -> Result<(), String> {
        require_exists(&state.zones, SectionName::Zones, &self.zone)?;
        match (&self.base_model, &self.service) {
            (Some(model), None) => {
                require_exists(&state.base_models, SectionName::BaseModels, model)?;
            }
            (None, Some(service)) => {
                require_exists(&state.services, SectionName::Services, service)?;
            }
            (Some(_), Some(_)) => {
                return Err("it has both base_model and service; give one of them".to_owned());
            }
            (None, None) => {
                return Err("it has neither base_model nor service; give one of them".to_owned());
            }
        }
        require(self.adapter_slots > 0, || {
            "adapter_slots must be at least 1".to_owned()
        })?;
        require(self.request_limit > 0, || {
            "request_limit must be at least 1".to_owned()
        })
    }

    fn check_deletion(&self, _name: &TargetName, state: &ConfigState) -> Result<(), String> {
        let in_service = state
            .zones
            .get(&self.zone)
            .is_some_and(|zone| zone.in_service);
        require(
            !in_service || state.index.zones.count(&self.zone) > 0,
            || {
                format!(
                    "zone \"{}\" is in service and would have no target",
                    self.zone
                )
            },
        )
    }
}

impl SectionEntry for ServiceEntry {
    type Name = ServiceName;
    table_accessors!(services);

    fn add_to_index(&self, name: &ServiceName, index: &mut EntryIndex) -> Result<(), String> {
        if let Some(other) = index.services_by_prefix.get(&self.prefix) {
            return Err(format!("service \"{other}\" has the same prefix"));
        }
        index
            .services_by_prefix
            .insert(self.prefix.clone(), name.clone());
        self.accounts
            .iter()
            .for_each(|account| index.accounts.add(account));
        Ok(())
    }

    fn remove_from_index(&self, _name: &ServiceName, index: &mut EntryIndex) {
        index.services_by_prefix.remove(&self.prefix);
        self.accounts
            .iter()
            .for_each(|account| index.accounts.remove(account));
    }

    fn check(&self, _name: &ServiceName, state: &ConfigState) -> Result<(), String> {
        let path = &self.prefix;
        require(
            path.len() > 1 && path.starts_with('/') && !path.ends_with('/'),
            || "prefix must start with \"/\" and must not end with it".to_owned(),
        )?;
        require(path != "/v1" && !path.starts_with("/v1/"), || {
            "prefix /v1 is taken by the model endpoints".to_owned()
        })?;
        let mut accounts = self.accounts.iter();
        accounts.try_for_each(|name| require_exists(&state.accounts, SectionName::Accounts, name))
    }

    fn check_deletion(&self, name: &ServiceName, state: &ConfigState) -> Result<(), String> {
        require_unused(state.index.services.count(name))
    }
}

impl SectionEntry for AccountEntry {
    type Name = AccountName;
    table_accessors!(accounts);

    fn check(&self, _name: &AccountName, _state: &ConfigState) -> Result<(), String> {
        Ok(())
    }

    fn check_deletion(&self, name: &AccountName, state: &ConfigState) -> Result<(), String> {
        require_unused(state.index.accounts.count(name))
    }
}

impl SectionEntry for RateEntry {
    type Name = AccountName;
    table_accessors!(rates);

    fn add_to_index(&self, name: &AccountName, index: &mut EntryIndex) -> Result<(), String> {
        index.accounts.add(name);
        Ok(())
    }

    fn remove_from_index(&self, name: &AccountName, index: &mut EntryIndex) {
        index.accounts.remove(name);
    }

    fn check(&self, name: &AccountName, state: &ConfigState) -> Result<(), String> {
        require_exists(&state.accounts, SectionName::Accounts, name)?;
        require(u64::from(self.tokens_per_second) > 0, || {
            "tokens_per_second must not be 0".to_owned()
        })?;
        require(u64::from(self.burst) > 0, || {
            "burst must not be 0".to_owned()
        })
    }
}

impl SectionEntry for KeyEntry {
    type Name = KeyName;
    table_accessors!(keys);

    fn add_to_index(&self, name: &KeyName, index: &mut EntryIndex) -> Result<(), String> {
        if let Some(other) = index.keys_by_digest.get(&self.sha256) {
            return Err(format!("key \"{other}\" has the same digest"));
        }
        index.keys_by_digest.insert(self.sha256, name.clone());
        index.accounts.add(&self.account);
        Ok(())
    }

    fn remove_from_index(&self, _name: &KeyName, index: &mut EntryIndex) {
        index.keys_by_digest.remove(&self.sha256);
        index.accounts.remove(&self.account);
    }

    fn check(&self, _name: &KeyName, state: &ConfigState) -> Result<(), String> {
        require_exists(&state.accounts, SectionName::Accounts, &self.account)
    }
}

impl SectionEntry for AdapterEntry {
    type Name = AdapterName;
    table_accessors!(adapters);

    fn intern_names(&mut self, _name: &mut AdapterName, state: &mut ConfigState) {
        if let Some((shared, _)) = state.accounts.get_key_value(&self.account) {
            self.account = shared.clone();
        }
        if let Some((shared, _)) = state.base_models.get_key_value(&self.base_model) {
            self.base_model = shared.clone();
        }
        self.current = state.index.intern_tag(&self.current);
    }

    fn add_to_index(&self, _name: &AdapterName, index: &mut EntryIndex) -> Result<(), String> {
        index.accounts.add(&self.account);
        index.base_models.add(&self.base_model);
        Ok(())
    }

    fn remove_from_index(&self, _name: &AdapterName, index: &mut EntryIndex) {
        index.accounts.remove(&self.account);
        index.base_models.remove(&self.base_model);
    }

    fn check(&self, name: &AdapterName, state: &ConfigState) -> Result<(), String> {
        require_exists(&state.accounts, SectionName::Accounts, &self.account)?;
        require_exists(
            &state.base_models,
            SectionName::BaseModels,
            &self.base_model,
        )?;
        let current = AdapterVersion::new(name.clone(), self.current.clone());
        require(state.versions.contains_key(&current), || {
            format!("its current version \"{current}\" does not exist")
        })
    }

    fn check_deletion(&self, name: &AdapterName, state: &ConfigState) -> Result<(), String> {
        let lowest = "-".parse().expect("a hyphen is the lowest valid tag");
        let first = state
            .versions
            .first_name_at_or_after(&AdapterVersion::new(name.clone(), lowest));
        match first.filter(|version| version.adapter == *name) {
            Some(version) => Err(format!("its version \"{version}\" still exists")),
            None => Ok(()),
        }
    }
}

impl SectionEntry for VersionEntry {
    type Name = AdapterVersion;
    table_accessors!(versions);

    fn intern_names(&mut self, name: &mut AdapterVersion, state: &mut ConfigState) {
        if let Some((shared, _)) = state.adapters.get_key_value(&name.adapter) {
            name.adapter = shared.clone();
        }
        name.version = state.index.intern_tag(&name.version);
    }

    fn check(&self, name: &AdapterVersion, state: &ConfigState) -> Result<(), String> {
        require_exists(&state.adapters, SectionName::Adapters, &name.adapter)
    }

    fn check_deletion(&self, name: &AdapterVersion, state: &ConfigState) -> Result<(), String> {
        let adapter = state.adapters.get(&name.adapter);
        let current = adapter.is_some_and(|adapter| adapter.current == name.version);
        require(!current, || {
            "it is the current version of its adapter".to_owned()
        })
    }
}
