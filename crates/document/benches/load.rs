//! The time to read, check and index a document, by its number of workspaces.
//!
//! The input is fixed: every workspace has about 119 bytes. 8,000 of them are close to the largest
//! document.

use divan::{Bencher, counter::BytesCount};
use hyssop_document::{catalog::Catalog, digest::Digest};
use serde_json::json;

fn main() {
    divan::main();
}

fn document(workspaces: usize) -> Vec<u8> {
    let workspaces: Vec<_> = (0..workspaces)
        .map(|number| {
            let name = format!("workspace-{number:05}");
            let key = Digest::of(name.as_bytes()).to_string();
            json!({"name": name, "share": 1 + number % 5, "key_sha256": key})
        })
        .collect();
    let backends: Vec<_> = (0..24)
        .map(|number| {
            let address = format!("127.0.0.1:{}", 7000 + number);
            json!({"name": format!("engine-{number}"), "address": address, "zone": "south-1", "pool": "drafting"})
        })
        .collect();
    let document = json!({
        "environment": "trial",
        "revision": 1,
        "classes": [{
            "name": "desk", "tier": 1, "first_token_ms": 800, "complete_ms": 5000,
            "max_running_ms": 20000, "idempotent": true, "floor_percent": 20
        }],
        "workspaces": workspaces,
        "zones": [{"name": "south-1"}],
        "pools": [{
            "name": "drafting", "kind": "model", "latest_end_ms": 300000,
            "cold_limit": 1, "warm_limit": 8
        }],
        "backends": backends,
    });
    serde_json::to_vec(&document).expect("a document is serializable")
}

#[divan::bench(args = [10, 1000, 8000])]
fn load(bencher: Bencher<'_, '_>, workspaces: usize) {
    let bytes = document(workspaces);
    bencher
        .counter(BytesCount::of_slice(&bytes))
        .bench_local(|| Catalog::parse(bytes.clone()).expect("the document has no fault"));
}
