//! The difference between two documents, in the terms of the document.

mod warning;

use std::fmt;

use compact_str::CompactString;
use serde::Serialize;
use serde_json::Value;

use crate::{
    catalog::Catalog,
    collections::{Map, Set},
    group::Group,
    model, name,
};

/// The kind of element that a change concerns.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, derive_more::Display,
)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// The document itself.
    #[display("document")]
    Document,
    /// A class of requests.
    #[display("class")]
    Class,
    /// A workspace.
    #[display("workspace")]
    Workspace,
    /// An availability zone.
    #[display("zone")]
    Zone,
    /// A pool.
    #[display("pool")]
    Pool,
    /// A backend server.
    #[display("backend")]
    Backend,
}

/// How an element differs between two documents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "change", rename_all = "lowercase")]
pub enum Change {
    /// The element is only in the new document.
    Added,
    /// The element is only in the old document.
    Removed,
    /// A field of the element has another value.
    Changed {
        /// The field.
        field: CompactString,
        /// The value in the old document; `None` if the value is confidential.
        before: Option<Value>,
        /// The value in the new document; `None` if the value is confidential.
        after: Option<Value>,
    },
}

/// One difference.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// The kind of the element.
    pub kind: Kind,
    /// The name of the element.
    pub name: CompactString,
    /// How the element differs.
    #[serde(flatten)]
    pub change: Change,
    /// A consequence that operators should consider before they publish the change.
    pub warning: Option<CompactString>,
}

/// All differences between two documents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// The differences: first those of the document's own fields, then list by list, by name.
    pub entries: Vec<Entry>,
    /// The backend servers that are in both documents and change their group.
    pub moved: Vec<name::Backend>,
}

impl Difference {
    /// Compares two documents. The order inside the lists is ignored.
    pub fn between(old: &Catalog, new: &Catalog) -> Self {
        let mut entries = Vec::new();
        diff_document(old.document(), new.document(), &mut entries);
        let (old_document, new_document) = (old.document(), new.document());
        diff_list(Kind::Class, &old_document.classes, &new_document.classes, &mut entries);
        diff_list(
            Kind::Workspace,
            &old_document.workspaces,
            &new_document.workspaces,
            &mut entries,
        );
        diff_list(Kind::Zone, &old_document.zones, &new_document.zones, &mut entries);
        diff_list(Kind::Pool, &old_document.pools, &new_document.pools, &mut entries);
        diff_list(Kind::Backend, &old_document.backends, &new_document.backends, &mut entries);
        Self { entries, moved: moved_backends(old, new) }
    }

    /// Whether the documents are equal except for their revisions.
    pub fn is_empty(&self) -> bool {
        self.entries.iter().all(Entry::is_revision)
    }
}

impl Entry {
    fn new(kind: Kind, name: &str, change: Change) -> Self {
        let warning = warning::for_change(kind, &change).map(CompactString::from);
        Self { kind, name: CompactString::new(name), change, warning }
    }

    fn is_revision(&self) -> bool {
        let field = match &self.change {
            Change::Changed { field, .. } => field.as_str(),
            Change::Added | Change::Removed => return false,
        };
        self.kind == Kind::Document && field == "revision"
    }
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: ", self.kind, self.name)?;
        match &self.change {
            Change::Added => f.write_str("added"),
            Change::Removed => f.write_str("removed"),
            Change::Changed { field, before: Some(before), after: Some(after) } => {
                write!(f, "{field} {} -> {}", display_value(before), display_value(after))
            }
            Change::Changed { field, .. } => write!(f, "{field} changed"),
        }
    }
}

/// Formats a value, with strings unquoted.
fn display_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn diff_document(old: &model::Document, new: &model::Document, entries: &mut Vec<Entry>) {
    let name = new.environment.as_str();
    let fields = [
        ("environment", to_json(&old.environment), to_json(&new.environment)),
        ("revision", to_json(&old.revision), to_json(&new.revision)),
        ("group_size", to_json(&old.group_size), to_json(&new.group_size)),
    ];
    for (field, before, after) in fields {
        // The revision is always listed, because daemons adopt only a higher one.
        if before != after || field == "revision" {
            let field = field.into();
            let change = Change::Changed { field, before: Some(before), after: Some(after) };
            entries.push(Entry::new(Kind::Document, name, change));
        }
    }
}

/// A named element of one of the document's lists.
trait Element: Serialize + PartialEq {
    fn name(&self) -> &str;
}

macro_rules! impl_element {
    ($($element:ident)*) => {$(
        impl Element for model::$element {
            fn name(&self) -> &str {
                self.name.as_str()
            }
        }
    )*};
}

impl_element! { Class Workspace Zone Pool Backend }

fn diff_list<T: Element>(kind: Kind, old: &[T], new: &[T], entries: &mut Vec<Entry>) {
    let first = entries.len();
    let before: Map<&str, &T> = old.iter().map(|element| (element.name(), element)).collect();
    let names: Set<&str> = new.iter().map(Element::name).collect();
    for element in new {
        match before.get(element.name()) {
            Some(earlier) => diff_fields(kind, *earlier, element, entries),
            None => entries.push(Entry::new(kind, element.name(), Change::Added)),
        }
    }
    for element in old.iter().filter(|element| !names.contains(element.name())) {
        entries.push(Entry::new(kind, element.name(), Change::Removed));
    }
    entries[first..].sort_by(|a, b| a.name.cmp(&b.name));
}

fn diff_fields<T: Element>(kind: Kind, old: &T, new: &T, entries: &mut Vec<Entry>) {
    if old == new {
        return;
    }
    let (Value::Object(before), Value::Object(after)) = (to_json(old), to_json(new)) else {
        unreachable!("an element of a list serializes to an object");
    };
    for (field, after) in after {
        let before = &before[&field];
        if *before == after {
            continue;
        }
        let visible = field != "key_sha256";
        let change = Change::Changed {
            field: field.into(),
            before: visible.then(|| before.clone()),
            after: visible.then_some(after),
        };
        entries.push(Entry::new(kind, new.name(), change));
    }
}

fn to_json(element: &impl Serialize) -> Value {
    serde_json::to_value(element).expect("the parts of a document are serializable")
}

fn moved_backends(old: &Catalog, new: &Catalog) -> Vec<name::Backend> {
    let changes_group = |name: &name::Backend| -> Option<bool> {
        let (before, after): (&Group, &Group) = (old.group_of(name)?, new.group_of(name)?);
        Some(before != after)
    };
    let names = new.document().backends.iter().map(|backend| &backend.name);
    let mut moved: Vec<_> =
        names.filter(|name| changes_group(name) == Some(true)).cloned().collect();
    moved.sort();
    moved
}
