//! Notes on valid documents: settings that are allowed but probably not intended.

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

use crate::{catalog::Catalog, collections::Set, model::Pool, name};

/// A note on one setting.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[display("{path}: {message}")]
pub struct Note {
    /// The path in the document, such as `pools[2]`.
    pub path: CompactString,
    /// The consequence of the value.
    pub message: CompactString,
}

/// All notes on a document, pool by pool.
pub fn notes(catalog: &Catalog) -> Vec<Note> {
    let pools = catalog.document().pools.iter().enumerate();
    pools.flat_map(|(index, pool)| pool_notes(catalog, index, pool)).collect()
}

fn pool_notes(catalog: &Catalog, index: usize, pool: &Pool) -> impl Iterator<Item = Note> {
    let path = format_compact!("pools[{index}]");
    let limit_path = format_compact!("{path}.cold_limit");
    let notes = [
        availability(catalog, pool).map(|message| Note { path: path.clone(), message }),
        last_group(catalog, pool).map(|message| Note { path, message }),
        cold_limit(pool).map(|message| Note { path: limit_path, message }),
    ];
    notes.into_iter().flatten()
}

/// Reports a pool that is empty or that loses all backend servers with one availability zone.
fn availability(catalog: &Catalog, pool: &Pool) -> Option<CompactString> {
    let groups = catalog.groups_of(&pool.name).iter();
    let members = groups.flat_map(|members| &members.backends);
    let zones: Set<&name::Zone> = members.map(|backend| &backend.zone).collect();
    let mut names = zones.iter();
    match (names.next(), names.next()) {
        (None, _) => Some(format_compact!(
            "pool {} has no backend server, so its requests are refused",
            pool.name
        )),
        (Some(zone), None) if catalog.document().zones.len() > 1 => Some(format_compact!(
            "all backend servers of pool {} are in zone {zone}, so without it there are none",
            pool.name
        )),
        _ => None,
    }
}

/// Reports a last group of less than half the group size. Groups share no capacity, so a small
/// group is overloaded earlier than the others.
fn last_group(catalog: &Catalog, pool: &Pool) -> Option<CompactString> {
    let groups = catalog.groups_of(&pool.name);
    let (last, others) = groups.split_last()?;
    let size = catalog.document().group_size;
    if others.is_empty() || last.backends.len() * 2 >= size {
        return None;
    }
    let count = last.backends.len();
    Some(format_compact!("group {} has {count} backend servers, the others {size}", last.group))
}

/// Reports a cold limit of 1. If the hosts are partitioned into two halves, each half gets a share
/// of 1/2, which rounds down to 0 requests.
fn cold_limit(pool: &Pool) -> Option<CompactString> {
    (pool.cold_limit == 1).then(|| {
        "with 1, a backend server in cold start gets no work while hosts are cut into even halves"
            .into()
    })
}
