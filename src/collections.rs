//! Aliases for shared names and for hash maps with a fast hasher.

use std::sync::Arc;

/// A name that many tables share.
pub type Name = Arc<str>;

/// A hash map with a fast hasher.
pub type HashMap<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;

/// A hash set with a fast hasher.
pub type HashSet<K> = std::collections::HashSet<K, foldhash::fast::RandomState>;
