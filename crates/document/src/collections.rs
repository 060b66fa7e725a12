//! Hash maps and sets with a fast hasher that is seeded at random in each process.
//!
//! Keys chosen by callers are safe: callers cannot provoke collisions without the seed.

#[allow(clippy::disallowed_types)]
/// A hash map with the project's hasher.
pub type Map<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;

#[allow(clippy::disallowed_types)]
/// A hash set with the project's hasher.
pub type Set<T> = std::collections::HashSet<T, foldhash::fast::RandomState>;
