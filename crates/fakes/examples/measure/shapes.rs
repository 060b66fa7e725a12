//! The measured deployments, with token times scaled down.

use clap::ValueEnum;
use hyssop_document::{model::Class, name, number::Percent};
use hyssop_fakes::{
    engine,
    load::ClassLoad,
    shape::{self, Shape},
};

/// A measured deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, derive_more::Display)]
pub(crate) enum Deployment {
    /// Quotes: short questions and bookings beside long drafts, four availability zones.
    #[display("serrana")]
    Serrana,
    /// Catering orders: bursts of short questions beside long manifests, three availability zones.
    #[display("trinacria")]
    Trinacria,
}

/// The number of engines. They are the first backend servers of the document.
pub(crate) const ENGINE_COUNT: usize = 20;

const MAX_BATCH_SEQUENCES: usize = 8;

/// The settings of an engine. With 8 sequences a step takes 20 ms, so all engines together decode
/// 8,000 tokens per second.
pub(crate) fn engine() -> engine::Settings {
    engine::Settings {
        step_us: 15_000,
        step_per_sequence_us: 625,
        prefill_per_token_us: 20,
        max_batch: MAX_BATCH_SEQUENCES,
        kv_tokens: 16_384,
        cold_start: false,
        cold_limit: 2,
        warm_after: 4,
        restart_ms: 1_000,
        report_lag_ms: 300,
        ..engine::Settings::default()
    }
}

/// The tokens that all engines together decode per second with all slots in use.
pub(crate) fn capacity_tokens_per_s() -> f64 {
    let engine = engine();
    let step_us = engine.step_us + engine.step_per_sequence_us * MAX_BATCH_SEQUENCES as u64;
    ENGINE_COUNT as f64 * MAX_BATCH_SEQUENCES as f64 * 1e6 / step_us as f64
}

/// Ten workspaces, a few of them large, with the weight of each in the load.
pub(crate) fn workspaces() -> Vec<(name::Workspace, u32)> {
    let weights = [30, 25, 15, 5, 5, 5, 5, 4, 3, 3];
    let by_index = weights.into_iter().enumerate();
    by_index.map(|(index, weight)| (name::Workspace::new(&format!("w{index}")), weight)).collect()
}

impl Deployment {
    /// The document and network of the deployment.
    pub(crate) fn shape(self) -> Shape {
        let (environment, zones, service, services) = match self {
            Self::Serrana => ("serrana", 4, "desk", 4),
            Self::Trinacria => ("trinacria", 3, "ordering", 3),
        };
        let shape = Shape::new(environment, zones)
            .pool(shape::model("model", MAX_BATCH_SEQUENCES as u32), ENGINE_COUNT)
            .pool(shape::service(service, 32), services);
        let shape = workspaces().iter().fold(shape, |shape, (workspace, weight)| {
            shape.workspace(workspace.as_str(), if *weight > 10 { 3 } else { 1 })
        });
        self.classes().into_iter().fold(shape, Shape::class)
    }

    fn classes(self) -> Vec<Class> {
        let floor = |class: Class, percent| Class { floor_percent: Percent(percent), ..class };
        let non_idempotent = |class: Class| Class { idempotent: false, ..class };
        match self {
            Self::Serrana => vec![
                non_idempotent(shape::class("booking", 1, 500, 1_000)),
                shape::class("question", 1, 400, 1_500),
                shape::class("letter", 2, 800, 4_000),
                floor(shape::class("draft", 4, 2_000, 12_000), 10),
                shape::class("archive", 7, 5_000, 15_000),
            ],
            Self::Trinacria => vec![
                non_idempotent(shape::class("confirmation", 1, 500, 1_000)),
                shape::class("question", 1, 400, 1_500),
                shape::class("supplier", 2, 800, 4_000),
                floor(shape::class("manifest", 3, 2_000, 12_000), 10),
                shape::class("report", 8, 5_000, 15_000),
            ],
        }
    }

    /// A load that uses 70% of the engines' capacity.
    pub(crate) fn mixes(self) -> Vec<ClassLoad> {
        match self {
            Self::Serrana => vec![
                service_call("booking", "desk", 10.0, 1_000),
                completion("question", 60.0, (8, 24), 20, 1_500),
                completion("letter", 30.0, (20, 80), 60, 4_000),
                completion("draft", 14.0, (60, 300), 200, 12_000),
                completion("archive", 5.0, (60, 200), 100, 15_000),
            ],
            Self::Trinacria => vec![
                service_call("confirmation", "ordering", 10.0, 1_000),
                completion("question", 60.0, (8, 24), 20, 1_500),
                completion("supplier", 30.0, (20, 80), 100, 4_000),
                completion("manifest", 14.0, (60, 300), 400, 12_000),
                completion("report", 5.0, (60, 200), 100, 15_000),
            ],
        }
    }

    /// The class whose rate rises in [`Scenario::Burst`](crate::scenario::Scenario::Burst).
    pub(crate) fn burst_class(self) -> &'static str {
        match self {
            Self::Serrana => "draft",
            Self::Trinacria => "question",
        }
    }
}

fn completion(
    class: &str,
    per_s: f64,
    tokens: (u64, u64),
    words: u64,
    deadline_ms: u64,
) -> ClassLoad {
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

fn service_call(class: &str, pool: &str, per_s: f64, deadline_ms: u64) -> ClassLoad {
    let pool = name::Pool::new(pool);
    ClassLoad {
        pool,
        call: true,
        idempotent: false,
        ..completion(class, per_s, (1, 1), 0, deadline_ms)
    }
}
