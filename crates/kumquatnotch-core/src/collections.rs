//! Hash collections with a fast hasher.
//!
//! The keys come from authenticated operators and from the tier itself, so the
//! hasher need not resist collision attacks.

/// A hash map with a fast hasher.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with a fast hasher.
pub type HashSet<T> = rustc_hash::FxHashSet<T>;
