//! Settings of a cluster, and the start of its processes.

use std::{
    collections::BTreeSet,
    ffi::OsString,
    path::{Path, PathBuf},
};

use anyhow::Result;
use hyssop_document::{collections::Map, model, name};

use super::Cluster;
use crate::{
    baseline, engine,
    node::{Backend, Kind},
    process::Process,
    service,
    shape::Shape,
};

/// Settings of a cluster.
#[derive(Debug)]
pub struct Builder {
    pub(super) program: PathBuf,
    pub(super) shape: Shape,
    pub(super) daemons: usize,
    pub(super) engine: engine::Settings,
    pub(super) engines: Map<name::Pool, engine::Settings>,
    pub(super) service: service::Settings,
    pub(super) own_processes: bool,
    pub(super) links: bool,
    pub(super) baseline: Option<baseline::Strategy>,
    pub(super) lifetime_ms: u64,
    pub(super) log_level: &'static str,
}

impl Builder {
    /// Settings with three daemons. The processes run `program`, whose `main` must call
    /// [`crate::node::main`].
    pub fn new(program: impl Into<PathBuf>, shape: Shape) -> Self {
        Self {
            program: program.into(),
            shape,
            daemons: 3,
            engine: engine::Settings::default(),
            engines: Map::default(),
            service: service::Settings::default(),
            own_processes: false,
            links: false,
            baseline: None,
            lifetime_ms: 1_000,
            log_level: "info",
        }
    }

    /// Sets the number of daemons.
    pub fn daemons(mut self, daemons: usize) -> Self {
        self.daemons = daemons;
        self
    }

    /// Sets the engine settings of all pools without their own.
    pub fn engine(mut self, engine: engine::Settings) -> Self {
        self.engine = engine;
        self
    }

    /// Sets the engine settings of one pool.
    pub fn pool_engine(mut self, pool: &str, engine: engine::Settings) -> Self {
        self.engines.insert(name::Pool::new(pool), engine);
        self
    }

    /// Sets the settings of all plain services.
    pub fn service(mut self, service: service::Settings) -> Self {
        self.service = service;
        self
    }

    /// Runs each backend server in a process of its own instead of all in one process.
    pub fn own_processes(mut self) -> Self {
        self.own_processes = true;
        self
    }

    /// Routes all traffic between daemons through links that can be cut.
    pub fn links(mut self) -> Self {
        self.links = true;
        self
    }

    /// Starts baseline daemons instead of the product.
    pub fn baseline(mut self, strategy: baseline::Strategy) -> Self {
        self.baseline = Some(strategy);
        self
    }

    /// Sets how long callers may cache the addresses, in milliseconds.
    pub fn lifetime_ms(mut self, lifetime_ms: u64) -> Self {
        self.lifetime_ms = lifetime_ms;
        self
    }

    /// Sets the daemons' log level.
    pub fn log_level(mut self, level: &'static str) -> Self {
        self.log_level = level;
        self
    }

    /// Starts all processes and waits until all daemons are ready.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started or a daemon is not ready in time.
    pub async fn start(self) -> Result<Cluster> {
        let dir = tempfile::Builder::new().prefix("hyssop-").tempdir()?;
        let mut cluster = Cluster {
            platform: self.start_platform(dir.path())?,
            backends: self.start_backends(dir.path())?,
            daemons: Vec::new(),
            links: Vec::new(),
            listed: (0..self.daemons).collect(),
            leaving: BTreeSet::new(),
            shape: self.shape.clone(),
            settings: self,
            dir,
        };
        cluster.start_links().await?;
        cluster.wait_for_fakes().await?;
        cluster.publish_document().await?;
        cluster.publish_hosts().await?;
        for index in 0..cluster.settings.daemons {
            let daemon = cluster.start_daemon(index)?;
            cluster.daemons.push(daemon);
        }
        for index in 0..cluster.settings.daemons {
            cluster.wait_until_ready(index).await?;
        }
        Ok(cluster)
    }

    pub(super) fn start_platform(&self, dir: &Path) -> Result<Process> {
        let (listen, control) = self.shape.network.platform();
        let args = ["platform", "--listen", &listen.to_string(), "--control", &control.to_string()];
        let args = args.into_iter().map(OsString::from).collect();
        Process::start(&self.program, args, dir.join("platform.log"))
    }

    /// The fakes of the document's backend servers.
    fn fake_backends(&self) -> Vec<Backend> {
        let document = &self.shape.document;
        let fake = |(index, backend): (usize, &model::Backend)| {
            let (address, control) = self.shape.network.backend(index);
            let name = backend.name.as_str().into();
            let seed = index as u64;
            let pool = document.pools.iter().find(|pool| pool.name == backend.pool);
            let kind = match pool.map(|pool| pool.kind) {
                Some(model::Kind::Service) => {
                    Kind::Service(service::Settings { name, seed, ..self.service.clone() })
                }
                _ => {
                    let settings = self.engines.get(&backend.pool).unwrap_or(&self.engine);
                    Kind::Engine(engine::Settings { name, seed, ..settings.clone() })
                }
            };
            Backend { kind, address, control }
        };
        document.backends.iter().enumerate().map(fake).collect()
    }

    pub(super) fn start_backends(&self, dir: &Path) -> Result<Vec<Process>> {
        let fake_backends = self.fake_backends();
        let per_process = if self.own_processes { 1 } else { fake_backends.len().max(1) };
        let start = |(index, group): (usize, &[Backend])| {
            let file = dir.join(format!("backends-{index}.json"));
            std::fs::write(&file, serde_json::to_vec(group)?)?;
            let args = vec!["backends".into(), "--file".into(), file.into()];
            Process::start(&self.program, args, dir.join(format!("backends-{index}.log")))
        };
        fake_backends.chunks(per_process).enumerate().map(start).collect()
    }
}
