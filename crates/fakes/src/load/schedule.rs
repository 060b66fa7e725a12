//! Requests with random arrival times, generated from a seed.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use futures::future::join_all;
use hyssop_document::name;
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use super::{Caller, Payload, Request, RetryPolicy};
use crate::history::History;

/// The load of one request class.
#[derive(Debug, Clone)]
pub struct ClassLoad {
    /// The request class.
    pub class: name::Class,
    /// The pool of the model or the plain service.
    pub pool: name::Pool,
    /// Whether the pool is a plain service.
    pub call: bool,
    /// Whether the requests may run more than once.
    pub idempotent: bool,
    /// The mean number of requests per second.
    pub per_s: f64,
    /// A burst: its start and end after the start of the run, and its factor on the rate.
    pub burst: Option<(Duration, Duration, f64)>,
    /// The minimum and maximum number of response tokens.
    pub tokens: (u64, u64),
    /// The number of filler words in a prompt.
    pub words: u64,
    /// The time after which callers no longer need the response, in milliseconds.
    pub deadline_ms: u64,
}

impl ClassLoad {
    /// The request rate at a time after the start.
    fn rate(&self, at: Duration) -> f64 {
        match self.burst {
            Some((from, to, factor)) if at >= from && at < to => self.per_s * factor,
            _ => self.per_s,
        }
    }
}

/// All requests of a run with their send times, determined by the seed.
#[derive(Debug, Clone)]
pub struct Schedule {
    /// The requests with their send times after the start, ordered by time.
    pub requests: Vec<(Duration, Request)>,
}

impl Schedule {
    /// Generates the requests of `loads` over `duration`. Workspaces are drawn by their weights.
    pub fn generate(
        seed: u64,
        duration: Duration,
        loads: &[ClassLoad],
        workspaces: &[(name::Workspace, u32)],
    ) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut requests = Vec::new();
        for load in loads {
            let mut at = Duration::ZERO;
            loop {
                let unit: f64 = random.random();
                at += Duration::from_secs_f64((-(1.0 - unit).ln() / load.rate(at)).min(3600.0));
                if at >= duration {
                    break;
                }
                requests.push((at, request(&mut random, seed, load, workspaces)));
            }
        }
        requests.sort_by_key(|(at, _)| *at);
        for (number, (_, request)) in requests.iter_mut().enumerate() {
            request.number = number as u64;
        }
        Self { requests }
    }
}

fn request(
    random: &mut SmallRng,
    seed: u64,
    load: &ClassLoad,
    workspaces: &[(name::Workspace, u32)],
) -> Request {
    let unique: u64 = random.random();
    let payload = if load.call {
        Payload::Call {
            path: "orders".into(),
            body: format!("{{\"order\":\"{seed}-{unique:016x}\"}}"),
        }
    } else {
        let length = random.random_range(load.tokens.0..=load.tokens.1);
        let shared = random.random_range(0..8);
        let filler = vec![format!("w{shared}"); load.words as usize].join(" ");
        let prompt = format!("{filler} {seed}-{unique:016x} length={length}");
        // No token limit: the system must not get the response length in advance.
        if unique.is_multiple_of(4) {
            Payload::Completion { prompt, max_tokens: None, stream: true }
        } else {
            Payload::Chat { prompt, max_tokens: None, stream: true }
        }
    };
    Request {
        number: 0,
        class: load.class.clone(),
        workspace: pick_workspace(random, workspaces),
        pool: load.pool.clone(),
        idempotent: load.idempotent,
        deadline_ms: load.deadline_ms,
        payload,
    }
}

fn pick_workspace(random: &mut SmallRng, workspaces: &[(name::Workspace, u32)]) -> name::Workspace {
    let total: u32 = workspaces.iter().map(|(_, weight)| weight).sum();
    let mut remaining = random.random_range(0..total);
    for (workspace, weight) in workspaces {
        if remaining < *weight {
            return workspace.clone();
        }
        remaining -= weight;
    }
    unreachable!("a number below the sum of the weights always selects a workspace")
}

/// Sends the requests at their times and waits until all have ended.
///
/// Each workspace has one caller for each of `seeds`, so that all daemons receive requests.
pub async fn run(
    schedule: &Schedule,
    seeds: &[SocketAddr],
    history: &Arc<History>,
    retry: RetryPolicy,
) {
    let mut callers: Vec<(name::Workspace, Vec<Arc<Caller>>)> = Vec::new();
    let start = Instant::now();
    let mut tasks = Vec::new();
    for (at, request) in &schedule.requests {
        tokio::time::sleep_until((start + *at).into()).await;
        let position = callers.iter().position(|(workspace, _)| *workspace == request.workspace);
        let position = position.unwrap_or_else(|| {
            let workspace_callers = (0..seeds.len()).map(|first| {
                let mut seeds = seeds.to_vec();
                seeds.rotate_left(first);
                Arc::new(Caller::new(request.workspace.clone(), seeds, history.clone(), retry))
            });
            callers.push((request.workspace.clone(), workspace_callers.collect()));
            callers.len() - 1
        });
        let workspace_callers = &callers[position].1;
        let caller = workspace_callers[request.number as usize % workspace_callers.len()].clone();
        let request = request.clone();
        tasks.push(tokio::spawn(async move { caller.send(&request).await }));
    }
    join_all(tasks).await;
}
