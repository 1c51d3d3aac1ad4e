//! The entries of one section, each with its revision.

use std::collections::BTreeMap;

use crate::ids::LogOffset;

/// An entry and the offset of the last accepted change to it.
#[derive(Debug, Clone)]
pub(crate) struct EntryRow<V> {
    pub(crate) entry: V,
    pub(crate) revision: LogOffset,
}

/// The entries of one section. This is a B-tree, which grows in small nodes, because a hash map of
/// 140,000 adapters would hold two tables in memory while it is resized.
#[derive(Debug, Clone)]
pub(crate) struct SectionTable<K, V> {
    rows: BTreeMap<K, EntryRow<V>>,
}

impl<K, V> Default for SectionTable<K, V> {
    fn default() -> Self {
        Self {
            rows: BTreeMap::new(),
        }
    }
}

impl<K: Ord, V> SectionTable<K, V> {
    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }

    pub(crate) fn get(&self, name: &K) -> Option<&V> {
        Some(&self.rows.get(name)?.entry)
    }

    pub(crate) fn get_key_value(&self, name: &K) -> Option<(&K, &V)> {
        let (name, row) = self.rows.get_key_value(name)?;
        Some((name, &row.entry))
    }

    pub(crate) fn contains_key(&self, name: &K) -> bool {
        self.rows.contains_key(name)
    }

    /// The offset of the last accepted change to the entry.
    pub(crate) fn revision(&self, name: &K) -> Option<LogOffset> {
        Some(self.rows.get(name)?.revision)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.rows.iter().map(|(name, row)| (name, &row.entry))
    }

    pub(crate) fn keys(&self) -> impl Iterator<Item = &K> {
        self.rows.keys()
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &V> {
        self.rows.values().map(|row| &row.entry)
    }

    /// The entries with their revisions, ordered by name.
    pub(crate) fn rows(&self) -> impl Iterator<Item = (&K, &EntryRow<V>)> {
        self.rows.iter()
    }

    /// The first name at or after `name`.
    pub(crate) fn first_name_at_or_after(&self, name: &K) -> Option<&K> {
        Some(self.rows.range(name..).next()?.0)
    }

    pub(super) fn insert(&mut self, name: K, row: EntryRow<V>) {
        self.rows.insert(name, row);
    }

    pub(super) fn remove(&mut self, name: &K) -> Option<EntryRow<V>> {
        self.rows.remove(name)
    }
}

impl<K: Ord, V> std::ops::Index<&K> for SectionTable<K, V> {
    type Output = V;

    fn index(&self, name: &K) -> &V {
        &self.rows[name].entry
    }
}
