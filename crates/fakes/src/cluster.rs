//! A deployment of real processes: platform, backend servers and daemons.

mod builder;
mod setup;

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use anyhow::{Context, Result, bail, ensure};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, header::AUTHORIZATION};
use hyssop_document::{model, name, order};
use serde_json::Value;
use tempfile::TempDir;

pub use self::builder::Builder;
use crate::{
    client,
    link::Link,
    process::Process,
    record::Record,
    shape::{OPERATOR_KEY, Shape},
};

/// The maximum time until a daemon or a fake must be ready.
pub const READY_TIMEOUT: Duration = Duration::from_secs(15);

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const READY_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A running deployment. Its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Cluster {
    settings: Builder,
    shape: Shape,
    /// The process of the fake platform.
    pub platform: Process,
    /// The processes of the fake backend servers.
    pub backends: Vec<Process>,
    /// The processes of the daemons.
    pub daemons: Vec<Process>,
    links: Vec<(usize, usize, Link)>,
    listed: BTreeSet<usize>,
    leaving: BTreeSet<usize>,
    dir: TempDir,
}

impl Cluster {
    /// The document and network that the deployment was built from.
    pub fn shape(&self) -> &Shape {
        &self.shape
    }

    /// The caller addresses of all daemons.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let network = &self.shape.network;
        (0..self.settings.daemons).map(|index| network.daemon(index).caller).collect()
    }

    /// Waits until `/readyz` of the daemon succeeds.
    ///
    /// # Errors
    ///
    /// Fails after [`READY_TIMEOUT`] or when the daemon exits. The error contains the daemon's log.
    pub async fn wait_until_ready(&mut self, index: usize) -> Result<()> {
        let address = self.shape.network.daemon(index).operator;
        let end = Instant::now() + READY_TIMEOUT;
        while Instant::now() < end {
            let ready =
                tokio::time::timeout(READY_CALL_TIMEOUT, client::get(address, "/readyz")).await;
            if matches!(ready, Ok(Ok(_))) {
                return Ok(());
            }
            if let Some(status) = self.daemons[index].exit_status()? {
                bail!("daemon {index} exited with {status}:\n{}", self.daemons[index].log());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        bail!("daemon {index} is not ready after {READY_TIMEOUT:?}:\n{}", self.daemons[index].log())
    }

    /// Kills the daemon and starts a new process for the same host.
    ///
    /// # Errors
    ///
    /// Fails if the daemon is not ready in time.
    pub async fn restart(&mut self, index: usize) -> Result<()> {
        self.daemons[index].restart()?;
        self.wait_until_ready(index).await
    }

    /// Edits the document and publishes it under the next revision.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be reached.
    pub async fn change_document(
        &mut self,
        change: impl FnOnce(&mut model::Document),
    ) -> Result<()> {
        change(&mut self.shape.document);
        self.shape.document.revision.0 += 1;
        self.publish_document().await
    }

    /// Publishes the list of hosts: the daemons in `listed`, with those in `leaving` as leaving.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be reached.
    pub async fn set_hosts(&mut self, listed: &[usize], leaving: &[usize]) -> Result<()> {
        self.listed = listed.iter().copied().collect();
        self.leaving = leaving.iter().copied().collect();
        self.publish_hosts().await
    }

    /// Sets a fault of the fake platform, for example `outage` to `hang`.
    ///
    /// # Errors
    ///
    /// Fails if the platform's control listener cannot be reached.
    pub async fn platform_fault(&self, fault: &str, value: &str) -> Result<()> {
        let (_, control) = self.shape.network.platform();
        client::put(control, &format!("/control/{fault}"), value.to_owned()).await?;
        Ok(())
    }

    /// Sends a control call to the fake backend server with index `index`.
    ///
    /// # Errors
    ///
    /// Fails if its control listener cannot be reached.
    pub async fn control_backend(&self, index: usize, path: &str, body: &str) -> Result<Bytes> {
        let (_, control) = self.shape.network.backend(index);
        client::put(control, &format!("/control/{path}"), body.to_owned()).await
    }

    /// The execution records of all backend servers, in the order of the document.
    ///
    /// # Errors
    ///
    /// Fails if a control listener cannot be reached.
    pub async fn records(&self) -> Result<Vec<Record>> {
        let mut records = Vec::new();
        for index in 0..self.shape.document.backends.len() {
            let bytes = self.control_backend(index, "record", "").await?;
            records.push(serde_json::from_slice(&bytes)?);
        }
        Ok(records)
    }

    /// Calls a daemon's operator address. Returns the status and the JSON body.
    ///
    /// # Errors
    ///
    /// Fails if the exchange fails or the response is not JSON.
    pub async fn call_operator(
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

    /// Sends an operator's service order to a daemon. Returns the status and the JSON body.
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
        self.call_operator(index, Method::POST, "/v1/orders", &serde_json::to_value(order)?).await
    }

    /// Takes an availability zone out of service or back in, through daemon 0 or, for a baseline,
    /// through every daemon.
    ///
    /// # Errors
    ///
    /// Fails if a daemon rejects the order.
    pub async fn set_zone_out(&self, zone: &name::Zone, out: bool) -> Result<()> {
        if self.settings.baseline.is_none() {
            let (status, response) = self.order(0, order::Target::Zone(zone.clone()), out).await?;
            ensure!(status == 200, "order rejected with status {status}: {response}");
            return Ok(());
        }
        let zones = if out { vec![zone] } else { Vec::new() };
        for index in 0..self.settings.daemons {
            let operator = self.shape.network.daemon(index).operator;
            client::put(operator, "/control/zones-out", serde_json::to_vec(&zones)?).await?;
        }
        Ok(())
    }

    /// Cuts or heals all links between the daemons in `side` and the other daemons.
    pub fn set_partition(&self, side: &[usize], partitioned: bool) {
        for (from, to, link) in &self.links {
            if side.contains(from) == side.contains(to) {
                continue;
            }
            if partitioned {
                link.cut();
            } else {
                link.heal();
            }
        }
    }

    /// The last `lines` lines of each daemon's log.
    pub fn logs(&self, lines: usize) -> String {
        let tail = |(index, daemon): (usize, &Process)| {
            let log = daemon.log();
            let all: Vec<_> = log.lines().collect();
            let tail = all[all.len().saturating_sub(lines)..].join("\n");
            format!("--- daemon {index}\n{tail}\n")
        };
        self.daemons.iter().enumerate().map(tail).collect()
    }
}
