//! Checks across fields.

use std::{fmt, hash::Hash};

use compact_str::format_compact;

use super::{
    fault,
    list::{List, Location},
    schema::Draft,
};
use crate::{
    collections::{Map, Set},
    digest::Digest,
    model::{Class, Pool},
    name,
};

/// The maximum sum of all floors. The rest of each pool is assigned by tier.
const MAX_FLOOR_SUM_PERCENT: u32 = 50;

/// The maximum number of parts of a document.
const MAX_PARTS: usize = 4096;

/// Checks the lists of the document and of its parts.
pub(super) fn all(draft: &Draft, faults: &mut fault::List) {
    empty_lists(draft, faults);
    duplicates(draft, faults);
    classes(&draft.classes, faults);
    pools(draft, faults);
    backends(draft, faults);
}

/// Checks the number of parts and that no digest is listed twice. Returns whether both hold.
pub(super) fn parts(parts: &[Digest], faults: &mut fault::List) -> bool {
    let count = parts.len();
    if count > MAX_PARTS {
        faults.add("parts", format_compact!("{count} parts, at most {MAX_PARTS} are allowed"));
        return false;
    }
    let mut seen = Set::default();
    let mut valid = true;
    for (index, digest) in parts.iter().enumerate() {
        if !seen.insert(digest) {
            faults.add(format_compact!("parts[{index}]"), format_compact!("{digest} stands twice"));
            valid = false;
        }
    }
    valid
}

/// A document in which one of these lists is empty can serve no request. It is more likely
/// truncated than intended.
fn empty_lists(draft: &Draft, faults: &mut fault::List) {
    let lists = [
        ("classes", is_empty(&draft.classes)),
        ("workspaces", is_empty(&draft.workspaces)),
        ("zones", is_empty(&draft.zones)),
        ("pools", is_empty(&draft.pools)),
    ];
    for (path, _) in lists.iter().filter(|(_, empty)| *empty) {
        faults.add(*path, "the list is empty, at least one entry is needed");
    }
}

fn is_empty<T>(list: &List<T>) -> bool {
    list.complete && list.items.is_empty()
}

fn duplicates(draft: &Draft, faults: &mut fault::List) {
    check_unique("classes", "name", &draft.classes, |class| &class.name, faults);
    check_unique("workspaces", "name", &draft.workspaces, |workspace| &workspace.name, faults);
    check_unique("workspaces", "key_sha256", &draft.workspaces, |entry| &entry.key_sha256, faults);
    check_unique("zones", "name", &draft.zones, |zone| &zone.name, faults);
    check_unique("pools", "name", &draft.pools, |pool| &pool.name, faults);
    check_unique("backends", "name", &draft.backends, |backend| &backend.name, faults);
    check_unique("backends", "address", &draft.backends, |backend| &backend.address, faults);
}

/// Reports each element whose value occurs in an earlier element.
fn check_unique<T, K: Eq + Hash + fmt::Display>(
    list_name: &str,
    field: &str,
    list: &List<T>,
    value: impl Fn(&T) -> &K,
    faults: &mut fault::List,
) {
    let mut first = Map::default();
    first.reserve(list.items.len());
    for (location, item) in &list.items {
        let value = value(item);
        let earlier = *first.entry(value).or_insert(*location);
        if earlier != *location {
            let path = format_compact!("{}.{field}", location.path(list_name));
            let earlier = earlier.path(list_name);
            faults.add(path, format_compact!("{value} stands at {earlier} too"));
        }
    }
}

fn classes(classes: &List<Class>, faults: &mut fault::List) {
    for (location, class) in &classes.items {
        check_targets(*location, class, faults);
    }
    let floors = classes.items.iter().map(|(_, class)| u32::from(class.floor_percent.0));
    let sum: u32 = floors.sum();
    if sum > MAX_FLOOR_SUM_PERCENT {
        let message = format!(
            "the sum of floor_percent is {sum}, at most {MAX_FLOOR_SUM_PERCENT} is allowed \
             because each floor is taken out of every pool"
        );
        faults.add("classes", message);
    }
}

fn check_targets(location: Location, class: &Class, faults: &mut fault::List) {
    let (first_token_ms, complete_ms) = (class.first_token_ms, class.complete_ms);
    let path = location.path("classes");
    check_at_most(&path, ("first_token_ms", first_token_ms), ("complete_ms", complete_ms), faults);
    let max_running = ("max_running_ms", class.max_running_ms);
    check_at_most(&path, ("complete_ms", complete_ms), max_running, faults);
}

/// Checks that the value of one field is at most that of another.
fn check_at_most(path: &str, field: (&str, u64), bound: (&str, u64), faults: &mut fault::List) {
    let ((field, value), (bound_field, bound)) = (field, bound);
    if value > bound {
        let message = format_compact!("{value} is above {bound_field}, which is {bound}");
        faults.add(format_compact!("{path}.{field}"), message);
    }
}

fn pools(draft: &Draft, faults: &mut fault::List) {
    let classes = draft.classes.items.iter().map(|(_, class)| class);
    let longest_class = classes.max_by_key(|class| class.max_running_ms);
    for (location, pool) in &draft.pools.items {
        let limits = [pool.cold_limit, pool.warm_limit].map(u64::from);
        let path = location.path("pools");
        check_at_most(&path, ("cold_limit", limits[0]), ("warm_limit", limits[1]), faults);
        if let Some(class) = longest_class {
            check_latest_end(&path, pool, class, faults);
        }
    }
}

/// A permit must be counted for at least as long as its request may run.
fn check_latest_end(path: &str, pool: &Pool, class: &Class, faults: &mut fault::List) {
    if pool.latest_end_ms < class.max_running_ms {
        let message = format_compact!(
            "{} is below max_running_ms of class {}, which is {}",
            pool.latest_end_ms,
            class.name,
            class.max_running_ms
        );
        faults.add(format_compact!("{path}.latest_end_ms"), message);
    }
}

fn backends(draft: &Draft, faults: &mut fault::List) {
    let zones: Set<&name::Zone> = draft.zones.items.iter().map(|(_, zone)| &zone.name).collect();
    let pools: Set<&name::Pool> = draft.pools.items.iter().map(|(_, pool)| &pool.name).collect();
    for (location, backend) in &draft.backends.items {
        // The reference may be to an entry that could not be parsed.
        if draft.zones.complete && !zones.contains(&backend.zone) {
            let message = format_compact!("there is no availability zone {}", backend.zone);
            faults.add(format_compact!("{}.zone", location.path("backends")), message);
        }
        if draft.pools.complete && !pools.contains(&backend.pool) {
            let message = format_compact!("there is no pool {}", backend.pool);
            faults.add(format_compact!("{}.pool", location.path("backends")), message);
        }
    }
}
