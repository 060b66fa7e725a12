//! The time to parse, check and index a document, by its number of workspaces.
//!
//! Each workspace has about 119 bytes, so 8,000 workspaces are close to the maximum document size.

use bytes::Bytes;
use divan::{Bencher, counter::BytesCount};
use hyssop_document::{
    catalog::Catalog,
    digest::Digest,
    parts::{Assembly, Bundle},
};
use serde_json::json;

fn main() {
    divan::main();
}

fn document(workspaces: usize, backends: usize) -> Vec<u8> {
    let workspaces: Vec<_> = (0..workspaces)
        .map(|number| {
            let name = format!("workspace-{number:05}");
            let key = Digest::of(name.as_bytes()).to_string();
            json!({"name": name, "share": 1 + number % 5, "key_sha256": key})
        })
        .collect();
    let backends: Vec<_> = (0..backends)
        .map(|number| {
            let address = format!("127.0.{}.1:{}", number / 1000, 7000 + number % 1000);
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
fn without_parts(bencher: Bencher<'_, '_>, workspaces: usize) {
    let bytes = document(workspaces, 24);
    bencher
        .counter(BytesCount::of_slice(&bytes))
        .bench_local(|| Catalog::parse(bytes.clone()).expect("the document has no fault"));
}

/// Adds all parts by digest, then checks and indexes the document.
fn assemble(bundle: &Bundle) -> Catalog {
    let mut assembly = Assembly::new(bundle.bytes.clone()).expect("the document is an object");
    for part in &bundle.parts {
        assembly.add(part.clone()).expect("the document names the part");
    }
    assembly.finish().expect("the document has no fault")
}

#[divan::bench(args = [(28_000, 12_000)])]
fn in_parts(bencher: Bencher<'_, '_>, (workspaces, backends): (usize, usize)) {
    let bytes = document(workspaces, backends);
    let bundle = Bundle::split(&bytes, None).expect("the document has no fault");
    bencher.counter(BytesCount::of_slice(&bytes)).bench_local(|| assemble(&bundle));
}

/// Replaces one part of the document in force.
#[divan::bench(args = [(28_000, 12_000)])]
fn one_part_changed(bencher: Bencher<'_, '_>, (workspaces, backends): (usize, usize)) {
    let bytes = document(workspaces, backends);
    let before = assemble(&Bundle::split(&bytes, None).expect("the document has no fault"));
    let text = String::from_utf8(bytes).expect("JSON is text");
    let text = text.replace(
        "\"name\":\"workspace-00007\",\"share\":3",
        "\"name\":\"workspace-00007\",\"share\":4",
    );
    let after = Bundle::split(text.as_bytes(), None).expect("the document has no fault");
    let is_new = |part: &&Bytes| !before.parts().iter().any(|known| *known.bytes() == **part);
    let changed: Vec<Bytes> = after.parts.iter().filter(is_new).cloned().collect();
    assert_eq!(changed.len(), 1);
    bencher.bench_local(|| {
        let mut assembly = Assembly::new(after.bytes.clone()).expect("the document is an object");
        assembly.reuse(&before);
        for part in &changed {
            assembly.add(part.clone()).expect("the document names the part");
        }
        assembly.finish().expect("the document has no fault")
    });
}
