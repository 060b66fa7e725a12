//! The ratio of wasted tokens by how long a request runs on after its caller has disconnected, in
//! simulated time.
#![allow(clippy::print_stdout, reason = "a benchmark prints its figures")]

#[path = "../tests/bench/mod.rs"]
mod bench;

use std::{sync::Arc, time::Duration};

use bench::{
    Bench, Call,
    engine::{Fleet, TOKENS, expected},
    key,
};
use hyssop_caller::home::Limits;
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};
use tokio::time::{sleep, timeout};

const DRAFTS: u64 = 2_000;
const SEED: u64 = 1;
/// The time between tokens. A draft of 12 tokens takes 12 s.
const TOKEN_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum time until a returning caller sends its request again.
const MAX_ABSENCE_MS: u64 = 8_000;

/// The ratio of generated tokens that no caller received. `returning` is the probability that a
/// caller sends its request again.
async fn wasted_ratio(abandon_grace: Duration, returning: f64) -> f64 {
    let mut fleet = Fleet::build(1);
    fleet.chunk_interval = TOKEN_INTERVAL;
    let limits = Limits { abandon_grace, ..Limits::default() };
    let bench = Bench::with(1, Arc::new(fleet), Arc::default(), Arc::default(), |builder| {
        builder.limits(limits).clock(Arc::new(bench::Simulated))
    });
    let mut random = StdRng::seed_from_u64(SEED);
    let mut delivered = 0;
    for number in 0..DRAFTS {
        let call = Call::draft(&format!("draft {number}")).key(key(1, &format!("k{number}")));
        let connected = Duration::from_millis(random.random_range(100..12_000));
        let _ = timeout(connected, bench.send(call.clone())).await;
        if random.random_bool(returning) {
            sleep(Duration::from_millis(random.random_range(0..MAX_ABSENCE_MS))).await;
            let reply = bench.send(call.clone()).await;
            delivered += u64::from(reply.text() == expected(&call.body)) * TOKENS;
        }
        sleep(2 * TOKENS as u32 * TOKEN_INTERVAL).await;
    }
    let measures = bench.measurements.0.lock();
    let generated: u64 = measures.iter().map(|m| m.tokens.0 + m.wasted_tokens.0).sum();
    1.0 - delivered as f64 / generated as f64
}

#[tokio::main(flavor = "current_thread", start_paused = true)]
async fn main() {
    println!(
        "ratio of wasted tokens, {DRAFTS} drafts whose callers all disconnect once, seed {SEED}"
    );
    for returning in [0.1, 0.3, 0.5, 0.7, 0.9] {
        for grace_s in [0, 2, 5, 10, 30] {
            let ratio = wasted_ratio(Duration::from_secs(grace_s), returning).await;
            println!("returning={returning} patience_s={grace_s} wasted={ratio:.3}");
        }
    }
}
