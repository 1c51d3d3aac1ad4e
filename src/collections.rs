//! Aliases for the hash maps of this crate.

/// A hash map with a fast, non-cryptographic hasher. Keys come from the configuration or from
/// this process, never straight from a caller, so that hash flooding is no concern.
pub(crate) type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with the hasher of [`FastMap`].
pub(crate) type FastSet<K> = rustc_hash::FxHashSet<K>;
