//! The cost of an idempotency key in the registry: its memory, and the time to begin and finish its
//! request.

use std::{
    hint::black_box,
    sync::Arc,
    time::{Duration, Instant},
};

use hyssop_caller::{
    key::Key,
    record::{Chunk, End, Head, Record},
    registry::{Admission, Limits, NewRun, Registry, ScopedKey},
};
use hyssop_document::{digest::Digest, name, number::Incarnation};

const KEYS: u64 = 50_000;
const RESPONSE_BYTES: usize = 200;

/// The resident memory of this process.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

fn owned(number: u64, issued_ms: u64) -> ScopedKey {
    let part = format!("order-2026-12-03-{number:012}");
    let key = Key { incarnation: Incarnation(1 << 60), issued_ms, part: part.into() };
    ScopedKey { workspace: name::Workspace::new("desk"), key }
}

fn finish(registry: &Registry, owned: &ScopedKey, record: &Arc<Record>) {
    let data = vec![b'x'; RESPONSE_BYTES].into();
    record.set_head(Head { status: 200, content_type: None, json_chunks: false });
    record.write(0, Chunk { data, digest: 1, is_usage: false }).expect("nothing was delivered");
    record.finish(End::Complete);
    registry.finish(owned);
}

#[allow(clippy::print_stdout)]
fn main() {
    let now = Instant::now();
    let limits =
        Limits { max_keys: usize::MAX, max_keys_per_workspace: usize::MAX, ..Limits::default() };
    let limits = Limits { retention: Duration::from_secs(900), ..limits };
    let registry = Registry::new(limits, now);
    let issued_ms = registry.wall_ms(now);
    let before = resident_kib();
    let started = Instant::now();
    for number in 0..KEYS {
        let owned = owned(number, issued_ms + number % 1000);
        let Admission::Run(NewRun { record, .. }) =
            registry.begin(&owned, Digest([1; 32]), false, now)
        else {
            unreachable!("the registry has room");
        };
        finish(&registry, &owned, &record);
    }
    let elapsed = started.elapsed();
    let bytes = (resident_kib() - before) * 1024 / KEYS;
    let each = elapsed / KEYS as u32;
    println!(
        "keys={KEYS} response_bytes={RESPONSE_BYTES} bytes_per_key={bytes} begin_and_finish={each:?}"
    );
    let started = Instant::now();
    for number in 0..KEYS {
        let owned = owned(number, issued_ms + number % 1000);
        black_box(registry.begin(&owned, Digest([1; 32]), false, now));
    }
    println!("join={:?}", started.elapsed() / KEYS as u32);
}
