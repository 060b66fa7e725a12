//! The deployments that are measured, with token times scaled down.

use clap::ValueEnum;
use hyssop_document::{model::Class, name, number::Percent};
use hyssop_fakes::{
    engine,
    load::ClassLoad,
    shape::{self, Shape},
};

/// A deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, derive_more::Display)]
pub(crate) enum Deployment {
    /// A quoting desk: short questions and bookings beside long drafts, four availability zones.
    #[display("serrana")]
    Serrana,
    /// Catering orders: bursts of short questions beside long manifests, three availability zones.
    #[display("trinacria")]
    Trinacria,
}

/// The number of model engines, which come first in the document.
pub(crate) const ENGINES: usize = 20;

/// The largest number of sequences that a warm engine runs at once.
const BATCH: usize = 8;

/// The settings of the engines: 8 sequences run at 20 ms a token, 8,000 tokens a second in all.
pub(crate) fn engine() -> engine::Settings {
    engine::Settings {
        step_us: 15_000,
        step_per_sequence_us: 625,
        prefill_per_token_us: 20,
        max_batch: BATCH,
        kv_tokens: 16_384,
        cold_start: false,
        cold_limit: 2,
        warm_after: 4,
        restart_ms: 1_000,
        report_lag_ms: 300,
        ..engine::Settings::default()
    }
}

/// Tokens that all engines of a deployment generate in a second when all their slots are taken.
pub(crate) fn capacity_tokens_per_s() -> f64 {
    let engine = engine();
    let step_us = engine.step_us + engine.step_per_sequence_us * BATCH as u64;
    ENGINES as f64 * BATCH as f64 * 1e6 / step_us as f64
}

/// Ten workspaces, a few of them large, with their weights in the load.
pub(crate) fn workspaces() -> Vec<(name::Workspace, u32)> {
    let weights = [30, 25, 15, 5, 5, 5, 5, 4, 3, 3];
    let named = weights.into_iter().enumerate();
    named.map(|(index, weight)| (name::Workspace::new(&format!("w{index}")), weight)).collect()
}

impl Deployment {
    /// The document without faults.
    pub(crate) fn shape(self) -> Shape {
        let (environment, zones, service, services) = match self {
            Self::Serrana => ("serrana", 4, "desk", 4),
            Self::Trinacria => ("trinacria", 3, "ordering", 3),
        };
        let shape = Shape::new(environment, zones)
            .pool(shape::model("model", BATCH as u32), ENGINES)
            .pool(shape::service(service, 32), services);
        let shape = workspaces().iter().fold(shape, |shape, (workspace, weight)| {
            shape.workspace(workspace.as_str(), if *weight > 10 { 3 } else { 1 })
        });
        self.classes().into_iter().fold(shape, Shape::class)
    }

    fn classes(self) -> Vec<Class> {
        let floor = |class: Class, percent| Class { floor_percent: Percent(percent), ..class };
        let once = |class: Class| Class { idempotent: false, ..class };
        match self {
            Self::Serrana => vec![
                once(shape::class("booking", 1, 500, 1_000)),
                shape::class("question", 1, 400, 1_500),
                shape::class("letter", 2, 800, 4_000),
                floor(shape::class("draft", 4, 2_000, 12_000), 10),
                shape::class("archive", 7, 5_000, 15_000),
            ],
            Self::Trinacria => vec![
                once(shape::class("confirmation", 1, 500, 1_000)),
                shape::class("question", 1, 400, 1_500),
                shape::class("supplier", 2, 800, 4_000),
                floor(shape::class("manifest", 3, 2_000, 12_000), 10),
                shape::class("report", 8, 5_000, 15_000),
            ],
        }
    }

    /// The load that takes 70% of the engines' capacity.
    pub(crate) fn mixes(self) -> Vec<ClassLoad> {
        match self {
            Self::Serrana => vec![
                call("booking", "desk", 10.0, 1_000),
                ask("question", 60.0, (8, 24), 20, 1_500),
                ask("letter", 30.0, (20, 80), 60, 4_000),
                ask("draft", 14.0, (60, 300), 200, 12_000),
                ask("archive", 5.0, (60, 200), 100, 15_000),
            ],
            Self::Trinacria => vec![
                call("confirmation", "ordering", 10.0, 1_000),
                ask("question", 60.0, (8, 24), 20, 1_500),
                ask("supplier", 30.0, (20, 80), 100, 4_000),
                ask("manifest", 14.0, (60, 300), 400, 12_000),
                ask("report", 5.0, (60, 200), 100, 15_000),
            ],
        }
    }

    /// The class whose requests come in bursts.
    pub(crate) fn bursting(self) -> &'static str {
        match self {
            Self::Serrana => "draft",
            Self::Trinacria => "question",
        }
    }
}

fn ask(class: &str, per_s: f64, tokens: (u64, u64), words: u64, deadline_ms: u64) -> ClassLoad {
    ClassLoad {
        class: name::Class::new(class),
        pool: name::Pool::new("model"),
        call: false,
        idempotent: true,
        per_s,
        burst: None,
        tokens,
        words,
        deadline_ms,
    }
}

fn call(class: &str, pool: &str, per_s: f64, deadline_ms: u64) -> ClassLoad {
    let pool = name::Pool::new(pool);
    ClassLoad { pool, call: true, idempotent: false, ..ask(class, per_s, (1, 1), 0, deadline_ms) }
}
