//! This node's copy of the configuration, built from the log's records in offset order.

use std::collections::{BTreeMap, VecDeque};

use serde_json::Value;

pub(crate) use super::change::{ChangeError, ConfigChange, ConfigEdit, SectionRevisions};
use super::entry::{EntryIndex, SectionEntry, for_section};
use super::model::{
    AccountEntry, AdapterEntry, BaseModelEntry, KeyDigest, KeyEntry, RateEntry, SectionName,
    ServiceEntry, TargetEntry, VersionEntry, ZoneEntry,
};
use super::table::{EntryRow, SectionTable};
use crate::ids::{
    AccountName, AdapterName, AdapterVersion, BaseModel, KeyName, LogOffset, ServiceName,
    TargetName, ZoneName,
};

/// The deletions that are remembered. A change that is based on an older revision than a
/// forgotten deletion can't be checked and may create nothing.
const DELETIONS_LIMIT: usize = 4096;

/// When deleted entries were deleted, so that a change that is based on an older revision does
/// not bring one back.
#[derive(Debug, Clone, Default)]
pub(crate) struct DeletedEntries {
    offsets: BTreeMap<(SectionName, String), LogOffset>,
    order: VecDeque<(LogOffset, SectionName, String)>,
    /// The offset of the newest forgotten deletion in each section.
    pub(super) forgotten: SectionRevisions,
}

impl DeletedEntries {
    /// When the entry was deleted, or may have been as far as is remembered.
    fn revision(&self, section: SectionName, name: &str) -> Option<LogOffset> {
        let known = self.offsets.get(&(section, name.to_owned())).copied();
        known.or_else(|| self.forgotten.get(&section).copied())
    }

    pub(super) fn note(&mut self, offset: LogOffset, section: SectionName, name: String) {
        self.offsets.insert((section, name.clone()), offset);
        self.order.push_back((offset, section, name));
        if self.order.len() <= DELETIONS_LIMIT {
            return;
        }
        if let Some((offset, section, name)) = self.order.pop_front() {
            self.forgotten.insert(section, offset);
            let entry = (section, name);
            if self.offsets.get(&entry) == Some(&offset) {
                self.offsets.remove(&entry);
            }
        }
    }

    /// The remembered deletions, oldest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = &(LogOffset, SectionName, String)> {
        self.order.iter()
    }
}

/// All entries, by section.
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
    /// The offset of the next record to apply; it only grows.
    pub(super) next: LogOffset,
}

type UndoStep = Box<dyn FnOnce(&mut ConfigState)>;
type FinalCheck = Box<dyn FnOnce(&ConfigState) -> Result<(), ChangeError>>;

/// What a change did so far, and what is still to be checked.
#[derive(Default)]
struct PendingChange {
    undo: Vec<UndoStep>,
    checks: Vec<FinalCheck>,
    /// The checks of zones. They come last, since a target that names a wrong zone leaves the
    /// right one without targets, and the target is what the operator has to correct.
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

    /// The entries of all sections.
    pub(crate) fn entry_count(&self) -> usize {
        let counts =
            SectionName::ALL.map(|section| for_section!(section, E => E::table(self).len()));
        counts.iter().sum()
    }

    /// The key entry with this digest.
    pub(crate) fn key_by_digest(&self, digest: &KeyDigest) -> Option<(&KeyName, &KeyEntry)> {
        let name = self.index.key_names.get(digest)?;
        Some((name, self.keys.get(name)?))
    }

    /// Passes over a record that is not a change.
    pub(crate) fn skip(&mut self, offset: LogOffset) {
        self.next = self.next.max(offset.next());
    }

    /// Applies the record at `offset` as a whole or not at all; records below
    /// [`Self::next_offset`] are ignored.
    pub(crate) fn apply(
        &mut self,
        offset: LogOffset,
        change: &ConfigChange,
    ) -> Result<(), ChangeError> {
        if offset < self.next {
            return Ok(());
        }
        self.next = offset.next();
        self.check_base(offset, change)?;
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
                self.deleted.note(offset, *section, name.clone());
            }
        }
        Ok(())
    }

    /// Checks that no edited entry was changed after the stated base revision.
    fn check_base(&self, offset: LogOffset, change: &ConfigChange) -> Result<(), ChangeError> {
        for (&section, &base) in &change.base {
            if base >= offset {
                return Err(ChangeError::FutureBase { section, base });
            }
        }
        for edit in &change.edits {
            let (section, name) = (edit.section(), edit.name());
            let base = change.base.get(&section).copied();
            let revision = for_section!(section, E => revision_of::<E>(self, name));
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

    /// Takes all edited entries out and then puts the new ones in, so that the order of the edits
    /// does not matter.
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
            for_section!(edit.section(), E => take_out::<E>(self, edit, pending))?;
        }
        for edit in edits {
            if let ConfigEdit::Put {
                section,
                name,
                value,
            } = edit
            {
                let entry = (*section, name.as_str(), value);
                for_section!(*section, E => put_in::<E>(self, entry, offset, pending))?;
            }
        }
        Ok(())
    }
}

fn revision_of<E: SectionEntry>(state: &ConfigState, name: &str) -> Option<LogOffset> {
    E::table(state).revision(&name.parse().ok()?)
}

/// Removes the entry that `edit` replaces or deletes.
fn take_out<E: SectionEntry>(
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
    row.entry.leave(&name, &mut state.index);
    let (old, old_name, old_text) = (row.entry.clone(), name.clone(), text.to_owned());
    let is_deleted = matches!(edit, ConfigEdit::Delete { .. });
    pending.checks.push(Box::new(move |state| {
        let is_target = section == SectionName::Targets;
        if !is_deleted && !is_target {
            return Ok(());
        }
        let checked = old.check_deleted(&old_name, state);
        checked.map_err(|reason| ChangeError::invalid(section, &old_text, reason))
    }));
    pending.undo.push(Box::new(move |state| {
        let entered = row.entry.enter(&name, &mut state.index);
        debug_assert!(entered.is_ok(), "the entry was valid before the change");
        E::table_mut(state).insert(name, row);
    }));
    Ok(())
}

/// Inserts the new entry of a put.
fn put_in<E: SectionEntry>(
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
    entry.share_names(&mut name, state);
    entry.enter(&name, &mut state.index).map_err(invalid)?;
    let (old_name, old_text) = (name.clone(), text.to_owned());
    let checks = match section {
        SectionName::Zones => &mut pending.zone_checks,
        _ => &mut pending.checks,
    };
    checks.push(Box::new({
        let name = name.clone();
        move |state| {
            let entry = &E::table(state)[&name];
            let checked = entry.check(&name, state);
            checked.map_err(|reason| ChangeError::invalid(section, &old_text, reason))
        }
    }));
    E::table_mut(state).insert(name, EntryRow { entry, revision });
    pending.undo.push(Box::new(move |state| {
        if let Some(row) = E::table_mut(state).remove(&old_name) {
            row.entry.leave(&old_name, &mut state.index);
        }
    }));
    Ok(())
}
