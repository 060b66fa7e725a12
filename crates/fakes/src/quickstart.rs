//! An end-to-end run on one machine, with platform, backend servers and daemons as processes.

use std::{io::Write, path::PathBuf, sync::Arc, time::Duration};

use anyhow::{Context, Result, ensure};
use futures::future::join_all;
use hyper::Method;
use hyssop_document::{collections::Set, model::Class, name};
use hyssop_operator::histogram::Report;
use serde_json::Value;

use crate::{
    cluster::{Builder, Cluster},
    history::{self, Event, History, Outcome},
    load::{Caller, Payload, Request, RetryPolicy},
    shape::{self, Shape},
};

const DAEMONS: usize = 3;
/// The requests per class and workspace.
const REQUESTS_PER_CLASS: u64 = 8;
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
const DEADLINE_MS: u64 = 8_000;
const WORKSPACES: [&str; 3] = ["gramado", "lages", "pelotas"];

/// A small deployment with two models and one plain service.
pub fn shape() -> Shape {
    let booking = Class { idempotent: false, ..shape::class("booking", 1, 500, 2_000) };
    let shape = Shape::new("quickstart", 3)
        .class(booking)
        .class(shape::class("question", 2, 1_000, 4_000))
        .class(shape::class("draft", 5, 4_000, 8_000))
        .pool(shape::model("desk", 8), 2)
        .pool(shape::model("drafting", 8), 3)
        .pool(shape::service("bookings", 16), 2);
    WORKSPACES.iter().fold(shape, |shape, workspace| shape.workspace(workspace, 1))
}

/// The result of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// The number of requests sent.
    pub sent: usize,
    /// The number of requests that got the expected response.
    pub correct: usize,
    /// The number of daemons that received requests.
    pub daemons: usize,
    /// The violated guarantees.
    pub violations: Vec<String>,
}

/// Starts all processes, sends requests of each class, checks the responses, and stops the daemons.
///
/// # Errors
///
/// Fails if a process does not start or exit cleanly, or if the histograms cannot be read.
pub async fn run(program: PathBuf, out: &mut (dyn Write + Send)) -> Result<Summary> {
    let builder = Builder::new(program, shape()).daemons(DAEMONS).own_processes();
    let mut cluster = builder.start().await?;
    writeln!(out, "{DAEMONS} daemons serve callers on {:?}", cluster.caller_addresses())?;
    let history = send(&cluster).await;
    let records = cluster.records().await?;
    let events = history.events();
    let violations = history::check(&events, &records);
    let (_, report) = cluster.call_operator(0, Method::GET, "/v1/histograms", &Value::Null).await?;
    print_histograms(out, &report)?;
    stop(&mut cluster).await.with_context(|| cluster.logs(20))?;
    writeln!(out, "all daemons stopped cleanly")?;
    Ok(summary(&events, &violations))
}

/// Sends the requests. The callers use the daemons in turn as their first address.
async fn send(cluster: &Cluster) -> Arc<History> {
    let history = Arc::new(History::default());
    let retry = RetryPolicy { max_attempts: 3, after_refusal: true, ..RetryPolicy::NONE };
    let mut number = 0;
    let mut pending = Vec::new();
    for workspace in WORKSPACES.map(name::Workspace::new) {
        for class in &cluster.shape().document.classes {
            for _ in 0..REQUESTS_PER_CLASS {
                let mut seeds = cluster.caller_addresses();
                seeds.rotate_left(number as usize % DAEMONS);
                let caller = Caller::new(workspace.clone(), seeds, history.clone(), retry);
                let request = request(number, class, &workspace);
                pending.push(async move { caller.send(&request).await });
                number += 1;
            }
        }
    }
    join_all(pending).await;
    history
}

fn request(number: u64, class: &Class, workspace: &name::Workspace) -> Request {
    let stream = number.is_multiple_of(2);
    let (pool, payload) = match class.name.as_str() {
        "booking" => {
            let body = format!("{{\"meter\":{number}}}");
            ("bookings", Payload::Call { path: "reservations".into(), body })
        }
        "question" => {
            let prompt = format!("What does connection {number} cost?");
            ("desk", Payload::Chat { prompt, max_tokens: Some(12), stream })
        }
        _ => {
            let prompt = format!("Draft the assessment of route {number} length=40");
            ("drafting", Payload::Completion { prompt, max_tokens: None, stream })
        }
    };
    Request {
        number,
        class: class.name.clone(),
        workspace: workspace.clone(),
        pool: name::Pool::new(pool),
        idempotent: class.idempotent,
        deadline_ms: DEADLINE_MS,
        payload,
    }
}

fn print_histograms(out: &mut (dyn Write + Send), report: &Value) -> Result<()> {
    let report: Report =
        serde_json::from_value(report.clone()).with_context(|| report.to_string())?;
    let mut line = |cells: [&str; 9]| {
        let [class, workspace, rest @ ..] = cells;
        let rest = rest.map(|cell| format!("{cell:>9}")).join(" ");
        writeln!(out, "{class:10} {workspace:10} {rest}")
    };
    line([
        "class",
        "workspace",
        "answered",
        "on target",
        "refused",
        "first p50",
        "first p99",
        "whole p50",
        "whole p99",
    ])?;
    for row in &report.rows {
        let ms = |quantile: Option<u64>| quantile.map_or("-".to_owned(), |ms| format!("{ms} ms"));
        line([
            row.class.as_str(),
            row.workspace.as_ref().map_or("*", |workspace| workspace.as_str()),
            &row.answered.to_string(),
            &row.on_target.to_string(),
            &row.refused.to_string(),
            &ms(row.first_token.quantile_ms(500)),
            &ms(row.first_token.quantile_ms(990)),
            &ms(row.complete.quantile_ms(500)),
            &ms(row.complete.quantile_ms(990)),
        ])?;
    }
    Ok(())
}

async fn stop(cluster: &mut Cluster) -> Result<()> {
    for daemon in &cluster.daemons {
        daemon.terminate()?;
    }
    for (index, daemon) in cluster.daemons.iter_mut().enumerate() {
        let status = daemon.wait(STOP_TIMEOUT).await?;
        ensure!(status.success(), "daemon {index} exited with {status}");
    }
    Ok(())
}

fn summary(events: &[Event], violations: &[history::Violation]) -> Summary {
    let mut sent: Set<u64> = Set::default();
    let mut correct: Set<u64> = Set::default();
    let mut daemons = Set::default();
    for event in events {
        match event {
            Event::Sent(event) => {
                sent.insert(event.request);
                daemons.insert(event.to);
            }
            Event::Ended(event) if event.outcome == Outcome::Answered && event.correct => {
                correct.insert(event.request);
            }
            Event::Ended(_) => {}
        }
    }
    Summary {
        sent: sent.len(),
        correct: correct.len(),
        daemons: daemons.len(),
        violations: violations.iter().map(ToString::to_string).collect(),
    }
}
