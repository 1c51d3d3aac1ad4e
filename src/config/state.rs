//! The configuration state, built by applying the records of the log in offset order.

use std::collections::{BTreeMap, VecDeque};

use serde_json::Value;

pub(crate) use super::change::{ChangeError, ConfigChange, ConfigEdit, SectionRevisions};
use super::entry::{EntryIndex, SectionEntry, with_entry_type};
use super::model::{
    AccountEntry, AdapterEntry, BaseModelEntry, KeyDigest, KeyEntry, RateEntry, SectionName,
    ServiceEntry, TargetEntry, VersionEntry, ZoneEntry,
};
use super::table::{EntryRow, SectionTable};
use crate::ids::{
    AccountName, AdapterName, AdapterVersion, BaseModel, KeyName, LogOffset, ServiceName,
    TargetName, ZoneName,
};

/// How many deletions are kept. A change that is based on a revision older than an evicted
/// deletion cannot be checked for conflicts, so it may not create entries in that section.
const MAX_DELETIONS: usize = 4096;

/// The offsets of recent deletions, so that a change that is based on an older revision cannot
/// recreate a deleted entry.
#[derive(Debug, Clone, Default)]
pub(crate) struct DeletedEntries {
    offsets: BTreeMap<(SectionName, String), LogOffset>,
    order: VecDeque<(LogOffset, SectionName, String)>,
    /// The offset of the newest evicted deletion in each section.
    pub(super) evicted: SectionRevisions,
}

impl DeletedEntries {
    /// The offset at which the entry was deleted. For an entry without a kept deletion, this is the
    /// newest offset at which it may have been deleted.
    fn revision(&self, section: SectionName, name: &str) -> Option<LogOffset> {
        let known = self.offsets.get(&(section, name.to_owned())).copied();
        known.or_else(|| self.evicted.get(&section).copied())
    }

    pub(super) fn insert(&mut self, offset: LogOffset, section: SectionName, name: String) {
        self.offsets.insert((section, name.clone()), offset);
        self.order.push_back((offset, section, name));
        if self.order.len() <= MAX_DELETIONS {
            return;
        }
        if let Some((offset, section, name)) = self.order.pop_front() {
            self.evicted.insert(section, offset);
            let entry = (section, name);
            if self.offsets.get(&entry) == Some(&offset) {
                self.offsets.remove(&entry);
            }
        }
    }

    /// The kept deletions, oldest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = &(LogOffset, SectionName, String)> {
        self.order.iter()
    }
}

/// The entries of all sections, with the data needed to check further changes.
#[derive(Debug, Clone, Default)]
pub(crate) struct ConfigState {
    pub base_models: SectionTable<BaseModel, BaseModelEntry>,
    pub zones: SectionTable<ZoneName, ZoneEntry>,
    pub targets: SectionTable<TargetName, TargetEntry>,
    pub services: SectionTable<ServiceName, ServiceEntry>,
    pub accounts: SectionTable<AccountName, AccountEntry>,
    pub rates: SectionTable<AccountName, RateEntry>,
    pub keys: SectionTable<KeyName, KeyEntry>,
    pub adapters: SectionTable<AdapterName, AdapterEntry>,
    pub versions: SectionTable<AdapterVersion, VersionEntry>,
    pub(super) index: EntryIndex,
    pub(super) deleted: DeletedEntries,
    pub(super) revisions: SectionRevisions,
    /// The offset of the next record to apply. It never decreases.
    pub(super) next: LogOffset,
}

type UndoStep = Box<dyn FnOnce(&mut ConfigState)>;
type FinalCheck = Box<dyn FnOnce(&ConfigState) -> Result<(), ChangeError>>;

/// The steps that undo a partly applied change, and the checks that run after all edits.
#[derive(Default)]
struct PendingChange {
    undo: Vec<UndoStep>,
    checks: Vec<FinalCheck>,
    /// The checks of zones, which run last. A target with a wrong zone can leave the intended zone
    /// without targets; the error should then name the target, which the operator has to correct.
    zone_checks: Vec<FinalCheck>,
}

impl ConfigState {
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// The offset of the next record to apply.
    pub(crate) fn next_offset(&self) -> LogOffset {
        self.next
    }

    /// The offset of the last accepted change to each section.
    pub(crate) fn revisions(&self) -> &SectionRevisions {
        &self.revisions
    }

    /// The number of entries in all sections.
    pub(crate) fn entry_count(&self) -> usize {
        let counts =
            SectionName::ALL.map(|section| with_entry_type!(section, E => E::table(self).len()));
        counts.iter().sum()
    }

    /// Looks up the API key with this digest.
    pub(crate) fn key_by_digest(&self, digest: &KeyDigest) -> Option<(&KeyName, &KeyEntry)> {
        let name = self.index.keys_by_digest.get(digest)?;
        Some((name, self.keys.get(name)?))
    }

    /// Advances past a record that is not a change.
    pub(crate) fn skip(&mut self, offset: LogOffset) {
        self.next = self.next.max(offset.next());
    }

    /// Applies the change at `offset` atomically. Records below [`Self::next_offset`] are already
    /// applied and are ignored.
    pub(crate) fn apply(
        &mut self,
        offset: LogOffset,
        change: &ConfigChange,
    ) -> Result<(), ChangeError> {
        if offset < self.next {
            return Ok(());
        }
        self.next = offset.next();
        self.check_base_revisions(offset, change)?;
        let mut pending = PendingChange::default();
        let applied = self.apply_edits(offset, change, &mut pending);
        let checked = applied.and_then(|()| {
            let mut checks = pending
                .checks
                .drain(..)
                .chain(pending.zone_checks.drain(..));
            checks.try_for_each(|check| check(self))
        });
        if let Err(error) = checked {
            pending.undo.into_iter().rev().for_each(|step| step(self));
            return Err(error);
        }
        for edit in &change.edits {
            self.revisions.insert(edit.section(), offset);
            if let ConfigEdit::Delete { section, name } = edit {
                self.deleted.insert(offset, *section, name.clone());
            }
        }
        Ok(())
    }

    /// Checks that no edited entry was changed after the base revision of its section.
    fn check_base_revisions(
        &self,
        offset: LogOffset,
        change: &ConfigChange,
    ) -> Result<(), ChangeError> {
        for (&section, &base) in &change.base {
            if base >= offset {
                return Err(ChangeError::FutureBase { section, base });
            }
        }
        for edit in &change.edits {
            let (section, name) = (edit.section(), edit.name());
            let base = change.base.get(&section).copied();
            let revision = with_entry_type!(section, E => revision_of::<E>(self, name));
            let revision = revision.or_else(|| self.deleted.revision(section, name));
            if let Some(revision) = revision.filter(|&revision| Some(revision) > base) {
                let name = name.to_owned();
                return Err(ChangeError::Conflict {
                    section,
                    name,
                    revision,
                });
            }
        }
        Ok(())
    }

    /// Removes all edited entries before inserting the new ones, so that the result does not depend
    /// on the order of the edits.
    fn apply_edits(
        &mut self,
        offset: LogOffset,
        change: &ConfigChange,
        pending: &mut PendingChange,
    ) -> Result<(), ChangeError> {
        let mut edits: Vec<&ConfigEdit> = change.edits.iter().collect();
        edits.sort_by_key(|edit| (edit.section(), edit.name()));
        for pair in edits.windows(2) {
            let [first, second] = pair else { continue };
            if (first.section(), first.name()) == (second.section(), second.name()) {
                let reason = "the change edits it more than once";
                return Err(ChangeError::invalid(first.section(), first.name(), reason));
            }
        }
        for edit in &edits {
            with_entry_type!(edit.section(), E => remove_entry::<E>(self, edit, pending))?;
        }
        for edit in edits {
            if let ConfigEdit::Put {
                section,
                name,
                value,
            } = edit
            {
                let entry = (*section, name.as_str(), value);
                with_entry_type!(*section, E => insert_entry::<E>(self, entry, offset, pending))?;
            }
        }
        Ok(())
    }
}

fn revision_of<E: SectionEntry>(state: &ConfigState, name: &str) -> Option<LogOffset> {
    E::table(state).revision(&name.parse().ok()?)
}

/// Removes the entry that `edit` replaces or deletes.
fn remove_entry<E: SectionEntry>(
    state: &mut ConfigState,
    edit: &ConfigEdit,
    pending: &mut PendingChange,
) -> Result<(), ChangeError> {
    let (section, text) = (edit.section(), edit.name());
    let invalid = |reason: String| ChangeError::invalid(section, text, reason);
    let name: E::Name = text
        .parse()
        .map_err(|error: <E::Name as std::str::FromStr>::Err| invalid(error.to_string()))?;
    let Some(row) = E::table_mut(state).remove(&name) else {
        return match edit {
            ConfigEdit::Put { .. } => Ok(()),
            ConfigEdit::Delete { .. } => Err(invalid("there is no such entry".to_owned())),
        };
    };
    row.entry.remove_from_index(&name, &mut state.index);
    let (old, old_name, old_text) = (row.entry.clone(), name.clone(), text.to_owned());
    // A replaced target may have moved to another zone, so its old zone is checked as if the target
    // was deleted.
    let is_deleted = matches!(edit, ConfigEdit::Delete { .. });
    pending.checks.push(Box::new(move |state| {
        let is_target = section == SectionName::Targets;
        if !is_deleted && !is_target {
            return Ok(());
        }
        let checked = old.check_deletion(&old_name, state);
        checked.map_err(|reason| ChangeError::invalid(section, &old_text, reason))
    }));
    pending.undo.push(Box::new(move |state| {
        let indexed = row.entry.add_to_index(&name, &mut state.index);
        debug_assert!(indexed.is_ok(), "the entry was valid before the change");
        E::table_mut(state).insert(name, row);
    }));
    Ok(())
}

/// Inserts the entry of a [`ConfigEdit::Put`].
fn insert_entry<E: SectionEntry>(
    state: &mut ConfigState,
    (section, text, value): (SectionName, &str, &Value),
    revision: LogOffset,
    pending: &mut PendingChange,
) -> Result<(), ChangeError> {
    let invalid = |reason: String| ChangeError::invalid(section, text, reason);
    let mut name: E::Name = text
        .parse()
        .map_err(|error: <E::Name as std::str::FromStr>::Err| invalid(error.to_string()))?;
    let mut entry = E::deserialize(value).map_err(|error| invalid(error.to_string()))?;
    entry.intern_names(&mut name, state);
    entry
        .add_to_index(&name, &mut state.index)
        .map_err(invalid)?;
    let (inserted_name, name_text) = (name.clone(), text.to_owned());
    let checks = match section {
        SectionName::Zones => &mut pending.zone_checks,
        _ => &mut pending.checks,
    };
    checks.push(Box::new({
        let name = name.clone();
        move |state| {
            let entry = &E::table(state)[&name];
            let checked = entry.check(&name, state);
            checked.map_err(|reason| ChangeError::invalid(section, &name_text, reason))
        }
    }));
    E::table_mut(state).insert(name, EntryRow { entry, revision });
    pending.undo.push(Box::new(move |state| {
        if let Some(row) = E::table_mut(state).remove(&inserted_name) {
            row.entry
                .remove_from_index(&inserted_name, &mut state.index);
        }
    }));
    Ok(())
}
