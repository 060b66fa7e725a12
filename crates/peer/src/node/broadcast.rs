//! Concurrent calls to all peers, for the status of the cell and for queries.

use std::time::Duration;

use compact_str::CompactString;
use futures::future;
use hyssop_document::{group, name};
use tokio::time;

use super::{Node, Shared};
use crate::{
    group::Handle,
    link,
    query::Responses,
    rank::Key,
    status::{self, Fleet, Status},
};

/// The time limit for the response of each peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

impl Node {
    /// The status of this daemon.
    pub async fn own_status(&self) -> Status {
        self.shared.status().await
    }

    /// The status of all daemons that respond, and the hosts that do not.
    pub async fn status(&self) -> Fleet {
        self.shared.fleet().await
    }

    /// Queries all daemons, including this one, on a topic.
    pub async fn query(&self, topic: &str) -> Responses {
        self.shared.query(topic).await
    }
}

impl Shared {
    /// The hosts of all peers that are alive or listed, sorted.
    pub(super) fn broadcast_targets(&self) -> Vec<name::Host> {
        let now = self.now();
        let core = self.core.lock();
        let listed = core.members.list().hosts.iter().map(|entry| &entry.host);
        let alive = core.members.alive(now).map(|peer| &peer.identity.host);
        let mut hosts: Vec<_> =
            listed.chain(alive).filter(|host| **host != self.identity.host).cloned().collect();
        hosts.sort();
        hosts.dedup();
        hosts
    }

    pub(super) async fn status(&self) -> Status {
        let now = self.now();
        let handles: Vec<_> = self.groups.lock().values().cloned().collect();
        let groups = future::join_all(handles.iter().map(Handle::status)).await;
        let view = self.view.load_full();
        let current = self.store.load();
        let leases = self.leases.load_full();
        let document = current.document.as_ref();
        let groups_in_force = document.map(|document| group::all(document.catalog.document()));
        let schedulers = groups_in_force.unwrap_or_default().into_iter().map(|(group, _)| {
            let lease = leases.get(&Key::group(&group)).filter(|lease| now < lease.expires_at);
            let scheduler = lease.map(|lease| lease.scheduler.host.clone());
            status::GroupScheduler { group, scheduler }
        });
        Status {
            identity: self.identity.clone(),
            uptime_ms: now.saturating_duration_since(self.started_at).as_millis() as u64,
            ready: self.ready(),
            leaving: view.leaving,
            may_vote: view.may_vote,
            platform_reached: self.core.lock().platform_reached(),
            watches_platform: view.watches_platform,
            document: current.document_stamp(),
            document_source: document.map(|d| compact_str::format_compact!("{}", d.source)),
            orders: (*current.orders).clone(),
            list: view.list.stamp(),
            rejection: self.store.rejection(),
            conflict: self.store.conflict(),
            alive: view.alive.iter().map(|peer| peer.identity.host.clone()).collect(),
            listed: view.list.hosts.iter().map(|entry| entry.host.clone()).collect(),
            schedulers: schedulers.collect(),
            groups: groups.into_iter().flatten().collect(),
            running: self.permits.lock().len() as u64,
            traffic: self.meter.read(),
        }
    }

    pub(super) async fn fleet(&self) -> Fleet {
        let call =
            |link: link::Link| async move { link.client.status(tarpc::context::current()).await };
        let (responses, not_reached) = self.call_all(call).await;
        let mut reached: Vec<_> = responses.into_iter().map(|(_, status)| status).collect();
        reached.push(self.status().await);
        reached.sort_by(|a, b| a.identity.host.cmp(&b.identity.host));
        Fleet { reached, not_reached }
    }

    pub(super) async fn query(&self, topic: &str) -> Responses {
        let call = |link: link::Link| {
            let topic = CompactString::new(topic);
            async move { link.client.query(tarpc::context::current(), topic).await }
        };
        let (mut responses, not_reached) = self.call_all(call).await;
        responses.push((self.identity.host.clone(), self.query_handler.respond(topic).await));
        responses.sort_by(|a, b| a.0.cmp(&b.0));
        Responses { responses, not_reached }
    }

    /// Calls all peers concurrently. Returns the responses, and the hosts that did not respond in
    /// time.
    pub(super) async fn call_all<T, E, F: Future<Output = Result<T, E>>>(
        &self,
        call: impl Fn(link::Link) -> F,
    ) -> (Vec<(name::Host, T)>, Vec<name::Host>) {
        let hosts = self.broadcast_targets();
        let mut calls = Vec::with_capacity(hosts.len());
        for host in hosts.clone() {
            let call = &call;
            let response = async move { call(self.link(&host).await.ok()?).await.ok() };
            calls.push(async { time::timeout(CALL_TIMEOUT, response).await.ok().flatten() });
        }
        let responses = future::join_all(calls).await;
        let mut reached = Vec::with_capacity(responses.len());
        let mut not_reached = Vec::new();
        for (host, response) in hosts.into_iter().zip(responses) {
            match response {
                Some(response) => reached.push((host, response)),
                None => not_reached.push(host),
            }
        }
        (reached, not_reached)
    }
}
