//! A deployment of processes: platform, backend servers and daemons, each started from a binary.

use std::{
    collections::BTreeSet,
    ffi::OsString,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use anyhow::{Context, Result, bail, ensure};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, header::AUTHORIZATION};
use hyssop_document::{collections::Map, digest::Digest, model, name, order};
use hyssop_operator::status::{Fleet, Scheduler};
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::{
    baseline, client, engine,
    link::Link,
    node::{Backend, Kind},
    process::Process,
    record::Record,
    service,
    shape::{self, OPERATOR_KEY, Shape},
};

/// The longest time until a daemon must be ready.
pub const READY_LIMIT: Duration = Duration::from_secs(15);

const POLL: Duration = Duration::from_millis(20);
const READY_CALL: Duration = Duration::from_secs(1);

/// Settings of a cluster.
#[derive(Debug)]
pub struct Builder {
    program: PathBuf,
    shape: Shape,
    daemons: usize,
    engine: engine::Settings,
    engines: Map<name::Pool, engine::Settings>,
    service: service::Settings,
    own_processes: bool,
    links: bool,
    baseline: Option<baseline::Strategy>,
    lifetime_ms: u64,
    log_level: &'static str,
}

impl Builder {
    /// Settings with three daemons, for processes started from `program`, a binary whose `main` is
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

    /// Sets the settings of the engines of pools without their own.
    pub fn engine(mut self, engine: engine::Settings) -> Self {
        self.engine = engine;
        self
    }

    /// Sets the settings of the engines of one pool.
    pub fn engines(mut self, pool: &str, engine: engine::Settings) -> Self {
        self.engines.insert(name::Pool::new(pool), engine);
        self
    }

    /// Sets the settings of the plain services.
    pub fn service(mut self, service: service::Settings) -> Self {
        self.service = service;
        self
    }

    /// Gives each backend server a process of its own, in place of one for all.
    pub fn own_processes(mut self) -> Self {
        self.own_processes = true;
        self
    }

    /// Leads all traffic between daemons through links that can be cut.
    pub fn links(mut self) -> Self {
        self.links = true;
        self
    }

    /// Starts daemons of a baseline in place of the product.
    pub fn baseline(mut self, strategy: baseline::Strategy) -> Self {
        self.baseline = Some(strategy);
        self
    }

    /// Sets how long callers may keep addresses, in milliseconds.
    pub fn lifetime_ms(mut self, lifetime_ms: u64) -> Self {
        self.lifetime_ms = lifetime_ms;
        self
    }

    /// Sets the daemons' log level.
    pub fn log_level(mut self, level: &'static str) -> Self {
        self.log_level = level;
        self
    }

    /// Starts everything and waits until all daemons are ready.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started or a daemon is not ready in time.
    pub async fn start(self) -> Result<Cluster> {
        let dir = tempfile::Builder::new().prefix("hyssop-").tempdir()?;
        let mut cluster = Cluster {
            platform: self.platform(dir.path())?,
            backends: self.backends(dir.path())?,
            daemons: Vec::new(),
            links: Vec::new(),
            listed: (0..self.daemons).collect(),
            leaving: BTreeSet::new(),
            shape: self.shape.clone(),
            settings: self,
            dir,
        };
        cluster.start_links().await?;
        cluster.wait_for_stand_ins().await?;
        cluster.publish_document().await?;
        cluster.publish_hosts().await?;
        for index in 0..cluster.settings.daemons {
            let daemon = cluster.start_daemon(index)?;
            cluster.daemons.push(daemon);
        }
        for index in 0..cluster.settings.daemons {
            cluster.ready(index).await?;
        }
        Ok(cluster)
    }

    fn platform(&self, dir: &Path) -> Result<Process> {
        let (listen, control) = self.shape.network.platform();
        let args = ["platform", "--listen", &listen.to_string(), "--control", &control.to_string()];
        let args = args.into_iter().map(OsString::from).collect();
        Process::start(&self.program, args, dir.join("platform.log"))
    }

    /// The stand-ins of the document's backend servers.
    fn stand_ins(&self) -> Vec<Backend> {
        let document = &self.shape.document;
        let stand_in = |(index, backend): (usize, &model::Backend)| {
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
        document.backends.iter().enumerate().map(stand_in).collect()
    }

    fn backends(&self, dir: &Path) -> Result<Vec<Process>> {
        let stand_ins = self.stand_ins();
        let size = if self.own_processes { 1 } else { stand_ins.len().max(1) };
        let start = |(index, part): (usize, &[Backend])| {
            let file = dir.join(format!("backends-{index}.json"));
            std::fs::write(&file, serde_json::to_vec(part)?)?;
            let args = vec!["backends".into(), "--file".into(), file.into()];
            Process::start(&self.program, args, dir.join(format!("backends-{index}.log")))
        };
        stand_ins.chunks(size).enumerate().map(start).collect()
    }
}

/// A running deployment. Its processes end when it is dropped.
#[derive(Debug)]
pub struct Cluster {
    settings: Builder,
    shape: Shape,
    /// The platform's process.
    pub platform: Process,
    /// The processes of the backend servers.
    pub backends: Vec<Process>,
    /// The daemons' processes.
    pub daemons: Vec<Process>,
    links: Vec<(usize, usize, Link)>,
    listed: BTreeSet<usize>,
    leaving: BTreeSet<usize>,
    dir: TempDir,
}

impl Cluster {
    /// The deployment's shape.
    pub fn shape(&self) -> &Shape {
        &self.shape
    }

    /// The addresses for callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        let network = &self.shape.network;
        (0..self.settings.daemons).map(|index| network.daemon(index).caller).collect()
    }

    /// Waits until the daemon is ready.
    ///
    /// # Errors
    ///
    /// Fails after [`READY_LIMIT`], or when the daemon ends, with its log.
    pub async fn ready(&mut self, index: usize) -> Result<()> {
        let address = self.shape.network.daemon(index).operator;
        let end = Instant::now() + READY_LIMIT;
        while Instant::now() < end {
            let ready = tokio::time::timeout(READY_CALL, client::get(address, "/readyz")).await;
            if matches!(ready, Ok(Ok(_))) {
                return Ok(());
            }
            if let Some(status) = self.daemons[index].ended()? {
                bail!("daemon {index} ended with {status}:\n{}", self.daemons[index].log());
            }
            tokio::time::sleep(POLL).await;
        }
        bail!("daemon {index} is not ready after {READY_LIMIT:?}:\n{}", self.daemons[index].log())
    }

    /// Starts the daemon again as a new process of the same host.
    ///
    /// # Errors
    ///
    /// Fails if it is not ready in time.
    pub async fn restart(&mut self, index: usize) -> Result<()> {
        self.daemons[index].restart()?;
        self.ready(index).await
    }

    /// Changes the document and publishes it under the next revision.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be reached.
    pub async fn change(&mut self, change: impl FnOnce(&mut model::Document)) -> Result<()> {
        change(&mut self.shape.document);
        self.shape.document.revision.0 += 1;
        self.publish_document().await
    }

    /// Sets which daemons the platform lists, and which of them as leaving.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be reached.
    pub async fn list(&mut self, listed: &[usize], leaving: &[usize]) -> Result<()> {
        self.listed = listed.iter().copied().collect();
        self.leaving = leaving.iter().copied().collect();
        self.publish_hosts().await
    }

    /// Sets a fault of the platform, such as `outage` to `hang`.
    ///
    /// # Errors
    ///
    /// Fails if the platform's control listener cannot be reached.
    pub async fn platform_fault(&self, fault: &str, value: &str) -> Result<()> {
        let (_, control) = self.shape.network.platform();
        client::put(control, &format!("/control/{fault}"), value.to_owned()).await?;
        Ok(())
    }

    /// Sends a control call to the backend server with index `index`.
    ///
    /// # Errors
    ///
    /// Fails if its control listener cannot be reached.
    pub async fn backend(&self, index: usize, path: &str, body: &str) -> Result<Bytes> {
        let (_, control) = self.shape.network.backend(index);
        client::put(control, &format!("/control/{path}"), body.to_owned()).await
    }

    /// What each backend server executed, in the order of the document.
    ///
    /// # Errors
    ///
    /// Fails if a control listener cannot be reached.
    pub async fn records(&self) -> Result<Vec<Record>> {
        let mut records = Vec::new();
        for index in 0..self.shape.document.backends.len() {
            let bytes = self.backend(index, "record", "").await?;
            records.push(serde_json::from_slice(&bytes)?);
        }
        Ok(records)
    }

    /// Calls a daemon's operator address.
    ///
    /// # Errors
    ///
    /// Fails if the exchange fails or the answer is no JSON.
    pub async fn operate(
        &self,
        index: usize,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Result<(u16, Value)> {
        let address = self.shape.network.daemon(index).operator;
        let text = if body.is_null() { String::new() } else { body.to_string() };
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(AUTHORIZATION, format!("Bearer {OPERATOR_KEY}"))
            .body(Full::new(Bytes::from(text)))?;
        let response = client::send(address, request).await?;
        let status = response.status().as_u16();
        let bytes = response.into_body().collect().await?.to_bytes();
        let shown = || format!("{path}: {}", String::from_utf8_lossy(&bytes));
        Ok((status, serde_json::from_slice(&bytes).with_context(shown)?))
    }

    /// Gives an operator's order to a daemon.
    ///
    /// # Errors
    ///
    /// Fails if the exchange fails.
    pub async fn order(
        &self,
        index: usize,
        target: order::Target,
        out: bool,
    ) -> Result<(u16, Value)> {
        let order = order::Order { target, out, if_revision: None };
        self.operate(index, Method::POST, "/v1/orders", &serde_json::to_value(order)?).await
    }

    /// Takes an availability zone out of service or back, through daemon 0 or, at a baseline,
    /// through each daemon.
    ///
    /// # Errors
    ///
    /// Fails if a daemon refuses.
    pub async fn set_zone_out(&self, zone: &name::Zone, out: bool) -> Result<()> {
        if self.settings.baseline.is_none() {
            let (status, answer) = self.order(0, order::Target::Zone(zone.clone()), out).await?;
            ensure!(status == 200, "order: {status} {answer}");
            return Ok(());
        }
        let zones = if out { vec![zone] } else { Vec::new() };
        for index in 0..self.settings.daemons {
            let operator = self.shape.network.daemon(index).operator;
            client::put(operator, "/control/zones-out", serde_json::to_vec(&zones)?).await?;
        }
        Ok(())
    }

    /// The status of the fleet as one daemon gathers it.
    ///
    /// # Errors
    ///
    /// Fails if the exchange fails.
    pub async fn status(&self, index: usize) -> Result<Fleet> {
        let (status, answer) = self.operate(index, Method::GET, "/v1/status", &Value::Null).await?;
        serde_json::from_value(answer.clone()).with_context(|| format!("{status}: {answer}"))
    }

    /// The daemon that schedules a group with a strict majority of votes, as `asked` sees it.
    ///
    /// # Errors
    ///
    /// Fails if there is none within [`READY_LIMIT`].
    pub async fn scheduler(&self, asked: usize, group: &str) -> Result<usize> {
        let end = Instant::now() + READY_LIMIT;
        while Instant::now() < end {
            let fleet = self.status(asked).await?;
            let majority = |scheduler: &Scheduler| 2 * scheduler.votes > scheduler.listed;
            let found = fleet
                .schedulers()
                .find(|(_, scheduler)| scheduler.group.to_string() == group && majority(scheduler));
            if let Some((host, _)) = found {
                let index = (0..self.settings.daemons).find(|&index| shape::host(index) == *host);
                return index.with_context(|| format!("unknown host {host}"));
            }
            tokio::time::sleep(POLL).await;
        }
        bail!("no scheduler of {group} has a majority")
    }

    /// Cuts or heals all links between daemons of `left` and all others.
    pub fn cut(&self, left: &[usize], cut: bool) {
        for (from, to, link) in &self.links {
            if left.contains(from) == left.contains(to) {
                continue;
            }
            if cut {
                link.cut();
            } else {
                link.heal();
            }
        }
    }

    /// The last lines of each daemon's log.
    pub fn logs(&self, lines: usize) -> String {
        let tail = |(index, daemon): (usize, &Process)| {
            let log = daemon.log();
            let all: Vec<_> = log.lines().collect();
            let tail = all[all.len().saturating_sub(lines)..].join("\n");
            format!("--- daemon {index}\n{tail}\n")
        };
        self.daemons.iter().enumerate().map(tail).collect()
    }

    async fn start_links(&mut self) -> Result<()> {
        if !self.settings.links {
            return Ok(());
        }
        let daemons = self.settings.daemons;
        for from in 0..daemons {
            for to in (0..daemons).filter(|&to| to != from) {
                let entry = self.shape.network.link(from * daemons + to);
                let link = Link::start(entry, self.shape.network.daemon(to).peer).await?;
                self.links.push((from, to, link));
            }
        }
        Ok(())
    }

    /// The address by which one daemon reaches another as a peer.
    fn peer(&self, from: usize, to: usize) -> SocketAddr {
        let link = self.links.iter().find(|(a, b, _)| (*a, *b) == (from, to));
        link.map_or(self.shape.network.daemon(to).peer, |(.., link)| link.address())
    }

    async fn wait_for_stand_ins(&self) -> Result<()> {
        let mut addresses = vec![self.shape.network.platform().1];
        let backends = 0..self.shape.document.backends.len();
        addresses.extend(backends.map(|index| self.shape.network.backend(index).1));
        for address in addresses {
            wait_for_listener(address).await?;
        }
        Ok(())
    }

    /// The prefix of the platform's keys that a daemon reads. With links, each daemon has its own,
    /// since each reaches the others by other addresses.
    fn prefix(&self, index: usize) -> String {
        if self.links.is_empty() {
            return "hyssop".to_owned();
        }
        format!("hyssop-{}", shape::host(index))
    }

    /// One daemon of each prefix.
    fn readers(&self) -> std::ops::Range<usize> {
        0..if self.links.is_empty() { 1 } else { self.settings.daemons }
    }

    /// Publishes the document under each daemon's prefix.
    async fn publish_document(&self) -> Result<()> {
        let document = String::from_utf8(self.shape.bytes())?;
        self.publish("document", |_| document.clone()).await
    }

    /// Publishes a value under each daemon's prefix, all with one revision.
    async fn publish(&self, key: &str, value: impl Fn(usize) -> String) -> Result<()> {
        let values =
            self.readers().map(|index| (format!("{}/{key}", self.prefix(index)), value(index)));
        let values: Map<_, _> = values.collect();
        self.platform_fault("kv", &serde_json::to_string(&values)?).await
    }

    /// Publishes the list of hosts, for each daemon with the addresses by which it reaches others.
    async fn publish_hosts(&self) -> Result<()> {
        self.publish("hosts", |index| {
            let hosts = self.listed.iter().map(|&other| {
                json!({
                    "host": shape::host(other),
                    "zone": self.zone(other),
                    "peer_address": self.peer(index, other),
                    "state": if self.leaving.contains(&other) { "leaving" } else { "live" },
                })
            });
            json!({"hosts": hosts.collect::<Vec<_>>()}).to_string()
        })
        .await
    }

    /// The addresses of the other daemons, as a daemon's settings name them.
    fn peers(&self, index: usize) -> Vec<SocketAddr> {
        let others = (0..self.settings.daemons).filter(|&other| other != index);
        others.map(|other| self.peer(index, other)).collect()
    }

    fn zone(&self, index: usize) -> name::Zone {
        shape::zone(index % self.shape.document.zones.len())
    }

    fn start_daemon(&self, index: usize) -> Result<Process> {
        let (command, flag, settings) = match self.settings.baseline {
            Some(strategy) => ("baseline", "--file", self.baseline_settings(index, strategy)?),
            None => ("daemon", "--settings", self.daemon_settings(index)),
        };
        let file = self.dir.path().join(format!("daemon-{index}.json"));
        std::fs::write(&file, settings.to_string())?;
        let args = vec![command.into(), flag.into(), file.into()];
        let log = self.dir.path().join(format!("daemon-{index}.log"));
        Process::start(&self.settings.program, args, log)
    }

    fn baseline_settings(&self, index: usize, strategy: baseline::Strategy) -> Result<Value> {
        let addresses = self.shape.network.daemon(index);
        let settings = baseline::Settings {
            strategy,
            document: serde_json::to_value(&self.shape.document)?,
            caller: addresses.caller,
            operator: addresses.operator,
            all: self.callers(),
            seed: index as u64,
        };
        Ok(serde_json::to_value(settings)?)
    }

    fn daemon_settings(&self, index: usize) -> Value {
        let addresses = self.shape.network.daemon(index);
        json!({
            "host": shape::host(index),
            "zone": self.zone(index),
            "caller_address": addresses.caller,
            "peer_address": addresses.peer,
            "operator_address": addresses.operator,
            "platform_address": self.shape.network.platform().0,
            "platform_prefix": self.prefix(index),
            "peers": self.peers(index),
            "operator_keys_sha256": [Digest::of(OPERATOR_KEY.as_bytes())],
            "log_level": self.settings.log_level,
            "addresses_lifetime_ms": self.settings.lifetime_ms,
        })
    }
}

async fn wait_for_listener(address: SocketAddr) -> Result<()> {
    let end = Instant::now() + READY_LIMIT;
    while tokio::net::TcpStream::connect(address).await.is_err() {
        if Instant::now() >= end {
            bail!("nothing listens on {address} after {READY_LIMIT:?}");
        }
        tokio::time::sleep(POLL).await;
    }
    Ok(())
}
