//! A checked document with indices for lookup by name, by key and by group.

use std::sync::Arc;

use bytes::Bytes;

use crate::{
    collections::Map,
    digest::Digest,
    group::{self, Group},
    load::{self, Checked, Fault},
    model, name,
    number::Revision,
};

/// A group with its backend servers, ordered by name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Members {
    /// The group.
    pub group: Group,
    /// The backend servers of the group.
    pub backends: Vec<model::Backend>,
}

/// A published part of a document.
#[derive(Clone)]
pub struct Part {
    pub(crate) digest: Digest,
    pub(crate) bytes: Bytes,
    /// The parsed lists, so that the next document with this part need not parse the bytes again.
    pub(crate) lists: Arc<load::Lists>,
}

impl Part {
    /// The digest of the bytes.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// The published bytes, unchanged.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }
}

/// A checked document with its indices. Clones share one allocation.
#[derive(Clone)]
pub struct Catalog {
    inner: Arc<Inner>,
}

struct Inner {
    document: model::Document,
    digest: Digest,
    bytes: Bytes,
    parts: Vec<Part>,
    classes: Map<name::Class, usize>,
    workspaces: Map<name::Workspace, usize>,
    /// The position of each workspace by the digest of its key.
    keys: Map<Digest, usize>,
    zones: Map<name::Zone, usize>,
    pools: Map<name::Pool, usize>,
    backends: Map<name::Backend, usize>,
    groups: Vec<Members>,
    /// The range of each pool's groups in `groups`: the first position and the count.
    pool_groups: Map<name::Pool, (usize, usize)>,
    /// The position of each backend server's group in `groups`.
    backend_groups: Map<name::Backend, usize>,
}

impl Catalog {
    /// Parses a document without parts, checks it and indexes it.
    ///
    /// # Errors
    ///
    /// Returns every fault of the document.
    pub fn parse(bytes: impl Into<Bytes>) -> Result<Self, Vec<Fault>> {
        let bytes = bytes.into();
        let Checked { document, digest } = load::parse(&bytes)?;
        Ok(Self::new(document, digest, bytes, Vec::new()))
    }

    /// Indexes a checked document.
    pub(crate) fn new(
        document: model::Document,
        digest: Digest,
        bytes: Bytes,
        parts: Vec<Part>,
    ) -> Self {
        let groups: Vec<_> = group::all(&document)
            .into_iter()
            .map(|(group, backends)| Members {
                group,
                backends: backends.into_iter().cloned().collect(),
            })
            .collect();
        let inner = Inner {
            classes: positions(&document.classes, |class| class.name.clone()),
            workspaces: positions(&document.workspaces, |workspace| workspace.name.clone()),
            keys: positions(&document.workspaces, |workspace| workspace.key_sha256),
            zones: positions(&document.zones, |zone| zone.name.clone()),
            pools: positions(&document.pools, |pool| pool.name.clone()),
            backends: positions(&document.backends, |backend| backend.name.clone()),
            pool_groups: pool_ranges(&groups),
            backend_groups: backend_positions(&groups),
            groups,
            document,
            digest,
            bytes,
            parts,
        };
        Self { inner: Arc::new(inner) }
    }

    /// The document itself.
    pub fn document(&self) -> &model::Document {
        &self.inner.document
    }

    /// The environment that the document describes.
    pub fn environment(&self) -> &name::Environment {
        &self.inner.document.environment
    }

    /// The revision of the document.
    pub fn revision(&self) -> Revision {
        self.inner.document.revision
    }

    /// The digest of the published bytes.
    pub fn digest(&self) -> Digest {
        self.inner.digest
    }

    /// The published bytes, unchanged. The bytes of the parts are not included.
    pub fn bytes(&self) -> &Bytes {
        &self.inner.bytes
    }

    /// The published parts, in the order in which the document names them.
    pub fn parts(&self) -> &[Part] {
        &self.inner.parts
    }

    /// The class with this name.
    pub fn class(&self, name: &name::Class) -> Option<&model::Class> {
        let position = *self.inner.classes.get(name)?;
        self.inner.document.classes.get(position)
    }

    /// The workspace with this name.
    pub fn workspace(&self, name: &name::Workspace) -> Option<&model::Workspace> {
        let position = *self.inner.workspaces.get(name)?;
        self.inner.document.workspaces.get(position)
    }

    /// The workspace whose callers present the key with this digest.
    pub fn workspace_by_key(&self, key: &Digest) -> Option<&model::Workspace> {
        let position = *self.inner.keys.get(key)?;
        let workspace = self.inner.document.workspaces.get(position)?;
        workspace.key_sha256.matches(key).then_some(workspace)
    }

    /// The availability zone with this name.
    pub fn zone(&self, name: &name::Zone) -> Option<&model::Zone> {
        let position = *self.inner.zones.get(name)?;
        self.inner.document.zones.get(position)
    }

    /// The pool with this name.
    pub fn pool(&self, name: &name::Pool) -> Option<&model::Pool> {
        let position = *self.inner.pools.get(name)?;
        self.inner.document.pools.get(position)
    }

    /// The backend server with this name.
    pub fn backend(&self, name: &name::Backend) -> Option<&model::Backend> {
        let position = *self.inner.backends.get(name)?;
        self.inner.document.backends.get(position)
    }

    /// All groups, pool by pool in document order.
    pub fn groups(&self) -> &[Members] {
        &self.inner.groups
    }

    /// The groups of a pool, ordered by index; empty for an unknown pool.
    pub fn groups_of(&self, pool: &name::Pool) -> &[Members] {
        match self.inner.pool_groups.get(pool) {
            Some(&(first, count)) => &self.inner.groups[first..first + count],
            None => &[],
        }
    }

    /// The backend servers of a group; empty for an unknown group.
    pub fn members(&self, group: &Group) -> &[model::Backend] {
        let groups = self.groups_of(&group.pool);
        groups.get(group.index as usize).map_or(&[], |members| &members.backends)
    }

    /// The group that a backend server belongs to.
    pub fn group_of(&self, backend: &name::Backend) -> Option<&Group> {
        let position = *self.inner.backend_groups.get(backend)?;
        self.inner.groups.get(position).map(|members| &members.group)
    }
}

impl std::fmt::Debug for Catalog {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Catalog")
            .field("environment", self.environment())
            .field("revision", &self.revision())
            .field("digest", &self.digest())
            .finish_non_exhaustive()
    }
}

impl PartialEq for Catalog {
    fn eq(&self, other: &Self) -> bool {
        self.digest() == other.digest()
    }
}

impl Eq for Catalog {}

fn positions<T, K: Eq + std::hash::Hash>(items: &[T], key: impl Fn(&T) -> K) -> Map<K, usize> {
    items.iter().enumerate().map(|(position, item)| (key(item), position)).collect()
}

fn pool_ranges(groups: &[Members]) -> Map<name::Pool, (usize, usize)> {
    let mut ranges = Map::default();
    for (position, members) in groups.iter().enumerate() {
        let range = ranges.entry(members.group.pool.clone()).or_insert((position, 0));
        range.1 += 1;
    }
    ranges
}

fn backend_positions(groups: &[Members]) -> Map<name::Backend, usize> {
    let members = groups.iter().enumerate();
    members
        .flat_map(|(position, members)| {
            members.backends.iter().map(move |backend| (backend.name.clone(), position))
        })
        .collect()
}
