//! The time to handle a request at its home, without sockets and with fakes for all dependencies.
#![allow(clippy::print_stdout, reason = "a benchmark prints its figures")]

#[path = "../tests/bench/mod.rs"]
mod bench;

use std::{hint::black_box, time::Instant};

use bench::{
    Bench, Call,
    engine::{Fleet, TOKENS},
    key,
};
use hyssop_caller::render;

const REQUESTS: u32 = 20_000;
const CHUNKS: u32 = 500_000;

async fn measure(name: &str, call: impl Fn(u32) -> Call) {
    let bench = Bench::new(Fleet::new(4));
    let started = Instant::now();
    for number in 0..REQUESTS {
        let reply = bench.send(call(number)).await;
        assert_eq!(reply.status, 200);
    }
    println!("{name}: {:?} per request", started.elapsed() / REQUESTS);
}

/// The time to convert an engine's chunk into a recorded chunk.
fn measure_chunk() {
    let id = "18bcfe5680100001-4a";
    let choices = r#"[{"index":0,"text":"word ","logprobs":null,"finish_reason":null}]"#;
    let chunk = format!("{{\"id\":\"cmpl-{id}-1\",\"object\":\"x\",\"choices\":{choices}}}").into();
    let started = Instant::now();
    for _ in 0..CHUNKS {
        black_box(render::model_chunk(id, black_box(&chunk), false));
    }
    println!("chunk of a token: {:?}", started.elapsed() / CHUNKS);
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    measure_chunk();
    println!("{REQUESTS} requests, sequentially; a draft has {TOKENS} tokens");
    measure("booking with a key", |n| Call::booking("m").key(key(1, &format!("k{n}")))).await;
    measure("draft, complete", |n| Call::draft(&format!("p{n}"))).await;
    measure("draft, streamed", |n| Call::draft(&format!("p{n}")).stream()).await;
}
