//! Requests that arrive at random times from a seed.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use futures::future::join_all;
use hyssop_document::name;
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use super::{Ask, Caller, Request, Retry};
use crate::history::History;

/// The requests of one class.
#[derive(Debug, Clone)]
pub struct Mix {
    /// The class.
    pub class: name::Class,
    /// The pool.
    pub pool: name::Pool,
    /// Whether the pool is a plain service.
    pub call: bool,
    /// Whether its requests may run more than once.
    pub idempotent: bool,
    /// The mean number of requests a second.
    pub per_s: f64,
    /// A factor on the rate between two times after the start.
    pub burst: Option<(Duration, Duration, f64)>,
    /// The smallest and largest number of tokens of an answer.
    pub tokens: (u64, u64),
    /// The words of a prompt.
    pub words: u64,
    /// The time after which callers need no answer any more, in milliseconds.
    pub deadline_ms: u64,
}

impl Mix {
    /// The rate at a time after the start.
    fn rate(&self, at: Duration) -> f64 {
        match self.burst {
            Some((from, to, factor)) if at >= from && at < to => self.per_s * factor,
            _ => self.per_s,
        }
    }
}

/// The plan of all requests of a run: which one is sent when, fixed by the seed.
#[derive(Debug, Clone)]
pub struct Source {
    /// The requests with their times after the start, in the order of time.
    pub plan: Vec<(Duration, Request)>,
}

impl Source {
    /// Draws the requests of `mixes` over a time. Workspaces come with their weights.
    pub fn draw(
        seed: u64,
        time: Duration,
        mixes: &[Mix],
        workspaces: &[(name::Workspace, u32)],
    ) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut plan = Vec::new();
        for mix in mixes {
            let mut at = Duration::ZERO;
            loop {
                let unit: f64 = random.random();
                at += Duration::from_secs_f64((-(1.0 - unit).ln() / mix.rate(at)).min(3600.0));
                if at >= time {
                    break;
                }
                plan.push((at, request(&mut random, seed, mix, workspaces)));
            }
        }
        plan.sort_by_key(|(at, _)| *at);
        for (number, (_, request)) in plan.iter_mut().enumerate() {
            request.number = number as u64;
        }
        Self { plan }
    }
}

fn request(
    random: &mut SmallRng,
    seed: u64,
    mix: &Mix,
    workspaces: &[(name::Workspace, u32)],
) -> Request {
    let unique: u64 = random.random();
    let ask = if mix.call {
        Ask::Call { path: "orders".into(), body: format!("{{\"order\":\"{seed}-{unique:016x}\"}}") }
    } else {
        let length = random.random_range(mix.tokens.0..=mix.tokens.1);
        let shared = random.random_range(0..8);
        let filler = vec![format!("w{shared}"); mix.words as usize].join(" ");
        let prompt = format!("{filler} {seed}-{unique:016x} length={length}");
        // No limit: the system must not know the length in advance.
        if unique.is_multiple_of(4) {
            Ask::Completion { prompt, max_tokens: None, stream: true }
        } else {
            Ask::Chat { prompt, max_tokens: None, stream: true }
        }
    };
    Request {
        number: 0,
        class: mix.class.clone(),
        workspace: pick(random, workspaces),
        pool: mix.pool.clone(),
        idempotent: mix.idempotent,
        deadline_ms: mix.deadline_ms,
        ask,
    }
}

fn pick(random: &mut SmallRng, workspaces: &[(name::Workspace, u32)]) -> name::Workspace {
    let all: u32 = workspaces.iter().map(|(_, weight)| weight).sum();
    let mut left = random.random_range(0..all);
    for (workspace, weight) in workspaces {
        if left < *weight {
            return workspace.clone();
        }
        left -= weight;
    }
    unreachable!("a number below the sum of the weights falls on one of them")
}

/// Sends the plan's requests at their times and waits for all ends.
///
/// Each workspace has one caller for each of `seeds`, so that all daemons are met.
pub async fn run(source: &Source, seeds: &[SocketAddr], history: &Arc<History>, retry: Retry) {
    let mut callers: Vec<(name::Workspace, Vec<Arc<Caller>>)> = Vec::new();
    let start = Instant::now();
    let mut tasks = Vec::new();
    for (at, request) in &source.plan {
        tokio::time::sleep_until((start + *at).into()).await;
        let position = callers.iter().position(|(workspace, _)| *workspace == request.workspace);
        let position = position.unwrap_or_else(|| {
            let own = (0..seeds.len()).map(|first| {
                let mut seeds = seeds.to_vec();
                seeds.rotate_left(first);
                Arc::new(Caller::new(request.workspace.clone(), seeds, history.clone(), retry))
            });
            callers.push((request.workspace.clone(), own.collect()));
            callers.len() - 1
        });
        let own = &callers[position].1;
        let caller = own[request.number as usize % own.len()].clone();
        let request = request.clone();
        tasks.push(tokio::spawn(async move { caller.ask(&request).await }));
    }
    join_all(tasks).await;
}
