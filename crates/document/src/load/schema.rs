//! The fields of a document and their ranges.

use super::{fault, list::List, object::Object};
use crate::{
    digest::Digest,
    model::{
        Backend, Class, DEFAULT_GROUP_SIZE, DEFAULT_QUEUE_LIMIT, Document, Pool, Workspace, Zone,
    },
    name,
    number::{Percent, Revision, Tier},
};

/// The largest integer that all JSON parsers represent exactly.
const MAX_REVISION: u64 = (1 << 53) - 1;
const MAX_GROUP_SIZE: u64 = 10_000;
const MAX_DURATION_MS: u64 = 24 * 60 * 60 * 1000;
const MAX_FLOOR_PERCENT: u64 = 100;
const MAX_SHARE: u64 = 1_000_000;
const MAX_BACKEND_LIMIT: u64 = 100_000;
const MAX_QUEUE_LIMIT: u64 = 1_000_000;

/// The elements of a part that could be parsed.
pub(crate) struct Lists {
    workspaces: List<Workspace>,
    backends: List<Backend>,
}

/// The elements of a document and its parts that could be parsed.
pub(super) struct Draft {
    environment: Option<name::Environment>,
    revision: Option<Revision>,
    group_size: Option<usize>,
    /// The digests of the parts that the document lists.
    pub(super) parts: Vec<Digest>,
    /// The classes.
    pub(super) classes: List<Class>,
    /// The workspaces.
    pub(super) workspaces: List<Workspace>,
    /// The availability zones.
    pub(super) zones: List<Zone>,
    /// The pools.
    pub(super) pools: List<Pool>,
    /// The backend servers.
    pub(super) backends: List<Backend>,
}

impl Draft {
    /// Adds the elements of the part at index `part`.
    pub(super) fn append(&mut self, part: u32, lists: &Lists) {
        self.workspaces.append(part, &lists.workspaces);
        self.backends.append(part, &lists.backends);
    }

    /// Marks the lists as incomplete because a part is missing or could not be parsed.
    pub(super) fn mark_incomplete(&mut self) {
        self.workspaces.complete = false;
        self.backends.complete = false;
    }

    /// The document, if every field, element and part could be parsed.
    pub(super) fn finish(self) -> Option<Document> {
        Some(Document {
            environment: self.environment?,
            revision: self.revision?,
            group_size: self.group_size?,
            classes: self.classes.finish()?,
            workspaces: self.workspaces.finish()?,
            zones: self.zones.finish()?,
            pools: self.pools.finish()?,
            backends: self.backends.finish()?,
        })
    }
}

/// Parses a document without its parts and reports every field that cannot be parsed.
pub(super) fn read(bytes: &[u8], faults: &mut fault::List) -> Option<Draft> {
    let mut object = Object::root(bytes, faults)?;
    let draft = Draft {
        environment: object.string("environment"),
        revision: object.number("revision", 1..=MAX_REVISION).map(Revision),
        group_size: object
            .number_or("group_size", 1..=MAX_GROUP_SIZE, DEFAULT_GROUP_SIZE as u64)
            .map(|size| size as usize),
        classes: object.list("classes", class),
        workspaces: object.list("workspaces", workspace),
        zones: object.list("zones", zone),
        pools: object.list("pools", pool),
        backends: object.list("backends", backend),
        parts: object.strings_or_empty("parts"),
    };
    object.finish();
    Some(draft)
}

/// Parses a part and reports every field that cannot be parsed.
pub(super) fn read_part(index: u32, bytes: &[u8], faults: &mut fault::List) -> Option<Lists> {
    let mut object = Object::part(index, bytes, faults)?;
    let lists = Lists {
        workspaces: object.list_or_empty("workspaces", workspace),
        backends: object.list_or_empty("backends", backend),
    };
    object.finish();
    Some(lists)
}

fn class(object: &mut Object<'_, '_>) -> Option<Class> {
    let tiers = u64::from(Tier::HIGHEST.0)..=u64::from(Tier::LOWEST.0);
    let name = object.string("name");
    let tier = object.number("tier", tiers);
    let first_token_ms = duration(object, "first_token_ms");
    let complete_ms = duration(object, "complete_ms");
    let max_running_ms = duration(object, "max_running_ms");
    let idempotent = object.boolean("idempotent");
    let floor_percent = object.number_or("floor_percent", 0..=MAX_FLOOR_PERCENT, 0);
    Some(Class {
        name: name?,
        tier: Tier(tier? as u8),
        first_token_ms: first_token_ms?,
        complete_ms: complete_ms?,
        max_running_ms: max_running_ms?,
        idempotent: idempotent?,
        floor_percent: Percent(floor_percent? as u8),
    })
}

fn workspace(object: &mut Object<'_, '_>) -> Option<Workspace> {
    let name = object.string("name");
    let share = object.number("share", 1..=MAX_SHARE);
    let key_sha256 = object.secret("key_sha256");
    Some(Workspace { name: name?, share: share? as u32, key_sha256: key_sha256? })
}

fn zone(object: &mut Object<'_, '_>) -> Option<Zone> {
    let name = object.string("name");
    Some(Zone { name: name? })
}

fn pool(object: &mut Object<'_, '_>) -> Option<Pool> {
    let name = object.string("name");
    let kind = object.string("kind");
    let latest_end_ms = duration(object, "latest_end_ms");
    let cold_limit = object.number("cold_limit", 1..=MAX_BACKEND_LIMIT);
    let warm_limit = object.number("warm_limit", 1..=MAX_BACKEND_LIMIT);
    let queue_limit =
        object.number_or("queue_limit", 1..=MAX_QUEUE_LIMIT, DEFAULT_QUEUE_LIMIT as u64);
    Some(Pool {
        name: name?,
        kind: kind?,
        latest_end_ms: latest_end_ms?,
        cold_limit: cold_limit? as u32,
        warm_limit: warm_limit? as u32,
        queue_limit: queue_limit? as usize,
    })
}

fn backend(object: &mut Object<'_, '_>) -> Option<Backend> {
    let name = object.string("name");
    let address = object.address("address");
    let zone = object.string("zone");
    let pool = object.string("pool");
    Some(Backend { name: name?, address: address?, zone: zone?, pool: pool? })
}

/// A duration in milliseconds, greater than zero.
fn duration(object: &mut Object<'_, '_>, field: &'static str) -> Option<u64> {
    object.number(field, 1..=MAX_DURATION_MS)
}
