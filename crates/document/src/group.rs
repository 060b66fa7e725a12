//! Groups: subsets of a pool with a bounded size, each with a scheduler of its own.

use std::{fmt, str::FromStr};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{model, name};

/// The identity of a group: a pool and an index. The text form is `pool#index`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Group {
    /// The pool.
    pub pool: name::Pool,
    /// The index of the group in the pool, from 0.
    pub index: u32,
}

impl fmt::Display for Group {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.pool, self.index)
    }
}

/// The error for a text that is not a group.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{text:?} is not of the form pool#index")]
pub struct Error {
    text: CompactString,
}

impl FromStr for Group {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let error = || Error { text: CompactString::new(text) };
        let (pool, index) = text.split_once('#').ok_or_else(error)?;
        let pool = pool.parse().map_err(|_| error())?;
        let index = index.parse().map_err(|_| error())?;
        Ok(Self { pool, index })
    }
}

/// The groups of a pool with their backend servers, ordered by index.
///
/// A pool of `b` backend servers has `ceil(b / group_size)` groups, at least one.
pub fn split<'a>(
    document: &'a model::Document,
    pool: &name::Pool,
) -> Vec<(Group, Vec<&'a model::Backend>)> {
    let mut members: Vec<_> = document.backends.iter().filter(|b| b.pool == *pool).collect();
    members.sort_by(|a, b| a.name.cmp(&b.name));
    let size = document.group_size.max(1);
    let count = members.len().div_ceil(size).max(1);
    let mut groups: Vec<_> = (0..count)
        .map(|index| (Group { pool: pool.clone(), index: index as u32 }, Vec::new()))
        .collect();
    for (position, member) in members.into_iter().enumerate() {
        groups[position / size].1.push(member);
    }
    groups
}

/// All groups of a document with their backend servers, pool by pool.
pub fn all(document: &model::Document) -> Vec<(Group, Vec<&model::Backend>)> {
    document.pools.iter().flat_map(|pool| split(document, &pool.name)).collect()
}
