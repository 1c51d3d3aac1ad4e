//! Hash map and hash set aliases.

/// A hash map with a fast, non-cryptographic hasher. Keys come from the configuration or from
/// this process, never directly from a caller, so hash flooding is not a concern.
pub(crate) type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with the hasher of [`FastMap`].
pub(crate) type FastSet<K> = rustc_hash::FxHashSet<K>;
