//! The difference between two documents in the words of operators.

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

/// What a change is about.
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

/// How something differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "change", rename_all = "lowercase")]
pub enum Change {
    /// It only stands in the new document.
    Added,
    /// It only stands in the old document.
    Removed,
    /// One of its fields has another value.
    Changed {
        /// The field.
        field: CompactString,
        /// The value in the old document; none if the value is not to be shown.
        before: Option<Value>,
        /// The value in the new document; none if the value is not to be shown.
        after: Option<Value>,
    },
}

/// One difference.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// What it is about.
    pub kind: Kind,
    /// The name of it.
    pub name: CompactString,
    /// How it differs.
    #[serde(flatten)]
    pub change: Change,
    /// What operators should think of before they publish it.
    pub warning: Option<CompactString>,
}

/// Everything in which two documents differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// The differences, first of the document itself, then list by list, by name.
    pub entries: Vec<Entry>,
    /// The backend servers that stand in both documents and get into another group.
    pub moved: Vec<name::Backend>,
}

impl Difference {
    /// The difference from one document to another. The order inside the lists does not count.
    pub fn between(old: &Catalog, new: &Catalog) -> Self {
        let mut entries = Vec::new();
        document(old.document(), new.document(), &mut entries);
        let (old_document, new_document) = (old.document(), new.document());
        list(Kind::Class, &old_document.classes, &new_document.classes, &mut entries);
        list(Kind::Workspace, &old_document.workspaces, &new_document.workspaces, &mut entries);
        list(Kind::Zone, &old_document.zones, &new_document.zones, &mut entries);
        list(Kind::Pool, &old_document.pools, &new_document.pools, &mut entries);
        list(Kind::Backend, &old_document.backends, &new_document.backends, &mut entries);
        Self { entries, moved: moved(old, new) }
    }

    /// Whether the documents say the same. Their revisions may differ.
    pub fn is_empty(&self) -> bool {
        self.entries.iter().all(Entry::is_revision)
    }
}

impl Entry {
    fn new(kind: Kind, name: &str, change: Change) -> Self {
        let warning = warning::of(kind, &change).map(CompactString::from);
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
                write!(f, "{field} {} -> {}", plain(before), plain(after))
            }
            Change::Changed { field, .. } => write!(f, "{field} changed"),
        }
    }
}

/// A value as a person writes it.
fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn document(old: &model::Document, new: &model::Document, entries: &mut Vec<Entry>) {
    let name = new.environment.as_str();
    let fields = [
        ("environment", value(&old.environment), value(&new.environment)),
        ("revision", value(&old.revision), value(&new.revision)),
        ("group_size", value(&old.group_size), value(&new.group_size)),
    ];
    for (field, before, after) in fields {
        // The revision is told in any case, because only a higher one is adopted.
        if before != after || field == "revision" {
            let field = field.into();
            let change = Change::Changed { field, before: Some(before), after: Some(after) };
            entries.push(Entry::new(Kind::Document, name, change));
        }
    }
}

/// An element of a list of the document.
trait Element: Serialize + PartialEq {
    fn name(&self) -> &str;
}

macro_rules! elements {
    ($($element:ident)*) => {$(
        impl Element for model::$element {
            fn name(&self) -> &str {
                self.name.as_str()
            }
        }
    )*};
}

elements! { Class Workspace Zone Pool Backend }

fn list<T: Element>(kind: Kind, old: &[T], new: &[T], entries: &mut Vec<Entry>) {
    let first = entries.len();
    let before: Map<&str, &T> = old.iter().map(|element| (element.name(), element)).collect();
    let names: Set<&str> = new.iter().map(Element::name).collect();
    for element in new {
        match before.get(element.name()) {
            Some(earlier) => fields(kind, *earlier, element, entries),
            None => entries.push(Entry::new(kind, element.name(), Change::Added)),
        }
    }
    for element in old.iter().filter(|element| !names.contains(element.name())) {
        entries.push(Entry::new(kind, element.name(), Change::Removed));
    }
    entries[first..].sort_by(|a, b| a.name.cmp(&b.name));
}

fn fields<T: Element>(kind: Kind, old: &T, new: &T, entries: &mut Vec<Entry>) {
    if old == new {
        return;
    }
    let (Value::Object(before), Value::Object(after)) = (value(old), value(new)) else {
        unreachable!("an element of a list is an object");
    };
    for (field, after) in after {
        let before = &before[&field];
        if *before == after {
            continue;
        }
        let shown = field != "key_sha256";
        let change = Change::Changed {
            field: field.into(),
            before: shown.then(|| before.clone()),
            after: shown.then_some(after),
        };
        entries.push(Entry::new(kind, new.name(), change));
    }
}

fn value(part: &impl Serialize) -> Value {
    serde_json::to_value(part).expect("the parts of a document are serializable")
}

fn moved(old: &Catalog, new: &Catalog) -> Vec<name::Backend> {
    let other_group = |name: &name::Backend| -> Option<bool> {
        let (before, after): (&Group, &Group) = (old.group_of(name)?, new.group_of(name)?);
        Some(before != after)
    };
    let names = new.document().backends.iter().map(|backend| &backend.name);
    let mut moved: Vec<_> = names.filter(|name| other_group(name) == Some(true)).cloned().collect();
    moved.sort();
    moved
}
