//! Consequences of a change that operators should consider before they publish it.

use serde_json::Value;

use super::{Change, Kind};

/// The warning for a change, if any.
pub(super) fn for_change(kind: Kind, change: &Change) -> Option<&'static str> {
    match change {
        Change::Added => None,
        Change::Removed => removed(kind),
        Change::Changed { field, before, after } => {
            changed(kind, field, before.as_ref(), after.as_ref())
        }
    }
}

fn removed(kind: Kind) -> Option<&'static str> {
    match kind {
        Kind::Class => Some("requests of this class are refused from then on"),
        Kind::Workspace => Some("callers with its key are refused from then on"),
        Kind::Pool => Some("requests for this pool are refused from then on"),
        Kind::Backend => Some("it gets no new work; requests in progress there finish"),
        Kind::Document | Kind::Zone => None,
    }
}

fn changed(
    kind: Kind,
    field: &str,
    before: Option<&Value>,
    after: Option<&Value>,
) -> Option<&'static str> {
    let rises = number(after) > number(before);
    match (kind, field) {
        (Kind::Document, "environment") => Some("the documents are for different environments"),
        (Kind::Document, "revision") if !rises => Some("only a higher revision is adopted"),
        (Kind::Document, "group_size") => Some("groups change and get new schedulers"),
        (Kind::Class, "tier") if rises => Some("other classes go first and may displace it"),
        (Kind::Class, "tier") => Some("it goes before more classes and may displace them"),
        (Kind::Class, "idempotent") if after == Some(&Value::Bool(true)) => {
            Some("a request of this class may run more than once from then on")
        }
        (Kind::Class, "idempotent") => {
            Some("requests of this class without an idempotency key are refused from then on")
        }
        (Kind::Class, "max_running_ms") if !rises => Some("longer requests are ended"),
        (Kind::Workspace, "key_sha256") => {
            Some("callers with the old key are refused from then on")
        }
        (Kind::Pool, "kind") => Some("requests for this pool take another form"),
        (Kind::Pool, "cold_limit") if rises => Some("backend servers in cold start get more work"),
        (Kind::Pool, "warm_limit") if rises => Some("each backend server gets more work at once"),
        (Kind::Pool, "warm_limit") => Some("the pool carries less work at once"),
        (Kind::Pool, "queue_limit") if !rises => Some("requests are refused earlier"),
        (Kind::Backend, "address" | "pool") => {
            Some("it is taken as another backend server in cold start")
        }
        _ => None,
    }
}

fn number(value: Option<&Value>) -> Option<u64> {
    value.and_then(Value::as_u64)
}
