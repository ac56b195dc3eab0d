//! Aliases for shared names, and for hash maps and sets with a fast hasher.

use std::sync::Arc;

/// A reference-counted name that several tables share.
pub type Name = Arc<str>;

/// A hash map with the `foldhash` hasher.
pub type HashMap<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;

/// A hash set with the `foldhash` hasher.
pub type HashSet<K> = std::collections::HashSet<K, foldhash::fast::RandomState>;
