//! Setup of a cluster: links, published values and daemons.

use std::{net::SocketAddr, time::Instant};

use anyhow::{Result, bail};
use hyssop_document::{collections::Map, digest::Digest, name};
use serde_json::{Value, json};

use super::{Cluster, POLL_INTERVAL, READY_TIMEOUT};
use crate::{
    baseline,
    link::Link,
    process::Process,
    shape::{self, OPERATOR_KEY},
};

impl Cluster {
    pub(super) async fn start_links(&mut self) -> Result<()> {
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

    /// The address at which daemon `from` reaches daemon `to`.
    pub(super) fn peer_address(&self, from: usize, to: usize) -> SocketAddr {
        let link = self.links.iter().find(|(a, b, _)| (*a, *b) == (from, to));
        link.map_or(self.shape.network.daemon(to).peer, |(.., link)| link.address())
    }

    pub(super) async fn wait_for_fakes(&self) -> Result<()> {
        let mut addresses = vec![self.shape.network.platform().1];
        let backends = 0..self.shape.document.backends.len();
        addresses.extend(backends.map(|index| self.shape.network.backend(index).1));
        for address in addresses {
            wait_for_listener(address).await?;
        }
        Ok(())
    }

    /// The prefix of the platform keys that a daemon reads. With links, each daemon needs its own
    /// prefix, because it reaches the others at addresses that differ from daemon to daemon.
    fn prefix(&self, index: usize) -> String {
        if self.links.is_empty() {
            return "hyssop".to_owned();
        }
        format!("hyssop-{}", shape::host(index))
    }

    /// The indices of daemons that together cover all prefixes once.
    fn prefix_indices(&self) -> std::ops::Range<usize> {
        0..if self.links.is_empty() { 1 } else { self.settings.daemons }
    }

    /// Publishes the document under every prefix.
    pub(super) async fn publish_document(&self) -> Result<()> {
        let document = String::from_utf8(self.shape.bytes())?;
        self.publish("document", |_| document.clone()).await
    }

    /// Publishes a value under every prefix, all at the same revision.
    async fn publish(&self, key: &str, value: impl Fn(usize) -> String) -> Result<()> {
        let values = self
            .prefix_indices()
            .map(|index| (format!("{}/{key}", self.prefix(index)), value(index)));
        let values: Map<_, _> = values.collect();
        self.platform_fault("kv", &serde_json::to_string(&values)?).await
    }

    /// Publishes the list of hosts under every prefix, with the peer addresses for its daemon.
    pub(super) async fn publish_hosts(&self) -> Result<()> {
        self.publish("hosts", |index| {
            let hosts = self.listed.iter().map(|&other| {
                json!({
                    "host": shape::host(other),
                    "zone": self.zone(other),
                    "peer_address": self.peer_address(index, other),
                    "state": if self.leaving.contains(&other) { "leaving" } else { "live" },
                })
            });
            json!({"hosts": hosts.collect::<Vec<_>>()}).to_string()
        })
        .await
    }

    /// The peer addresses of the other daemons.
    fn peers(&self, index: usize) -> Vec<SocketAddr> {
        let others = (0..self.settings.daemons).filter(|&other| other != index);
        others.map(|other| self.peer_address(index, other)).collect()
    }

    fn zone(&self, index: usize) -> name::Zone {
        shape::zone(index % self.shape.document.zones.len())
    }

    pub(super) fn start_daemon(&self, index: usize) -> Result<Process> {
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
            all: self.caller_addresses(),
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
    let end = Instant::now() + READY_TIMEOUT;
    while tokio::net::TcpStream::connect(address).await.is_err() {
        if Instant::now() >= end {
            bail!("no listener on {address} after {READY_TIMEOUT:?}");
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
