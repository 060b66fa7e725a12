//! Questions to all peers at once: their state, and whatever the daemon asks.

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

/// The longest wait for a peer's answer when its state is gathered.
const STATUS_TIMEOUT: Duration = Duration::from_millis(1000);

impl Node {
    /// The state of this daemon.
    pub async fn own_status(&self) -> Status {
        self.shared.status().await
    }

    /// The states of all daemons that answer, and the hosts that do not.
    pub async fn status(&self) -> Fleet {
        self.shared.fleet().await
    }

    /// Asks all daemons, this one included, about a topic.
    pub async fn inquire(&self, topic: &str) -> Responses {
        self.shared.inquire(topic).await
    }
}

impl Shared {
    /// The peers to tell something to at once: those alive and those listed.
    pub(super) fn audience(&self) -> Vec<name::Host> {
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
        let standings = self.standings.load_full();
        let document = current.document.as_ref();
        let all = document.map(|document| group::all(document.catalog.document()));
        let schedulers = all.unwrap_or_default().into_iter().map(|(group, _)| {
            let standing = standings.get(&Key::group(&group)).filter(|s| now < s.expires_at);
            let scheduler = standing.map(|standing| standing.scheduler.host.clone());
            status::GroupScheduler { group, scheduler }
        });
        Status {
            identity: self.identity.clone(),
            uptime_ms: now.saturating_duration_since(self.started).as_millis() as u64,
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
            running: self.held.lock().len() as u64,
            traffic: self.meter.read(),
        }
    }

    pub(super) async fn fleet(&self) -> Fleet {
        let call =
            |link: link::Link| async move { link.client.status(tarpc::context::current()).await };
        let (answers, not_reached) = self.call_all(call).await;
        let mut reached: Vec<_> = answers.into_iter().map(|(_, status)| status).collect();
        reached.push(self.status().await);
        reached.sort_by(|a, b| a.identity.host.cmp(&b.identity.host));
        Fleet { reached, not_reached }
    }

    pub(super) async fn inquire(&self, topic: &str) -> Responses {
        let call = |link: link::Link| {
            let topic = CompactString::new(topic);
            async move { link.client.query(tarpc::context::current(), topic).await }
        };
        let (mut answers, not_reached) = self.call_all(call).await;
        answers.push((self.identity.host.clone(), self.inquiry.respond(topic).await));
        answers.sort_by(|a, b| a.0.cmp(&b.0));
        Responses { responses: answers, not_reached }
    }

    /// Calls all peers at once. Returns the answers, and the hosts that gave none in time.
    pub(super) async fn call_all<T, E, F: Future<Output = Result<T, E>>>(
        &self,
        call: impl Fn(link::Link) -> F,
    ) -> (Vec<(name::Host, T)>, Vec<name::Host>) {
        let hosts = self.audience();
        let mut calls = Vec::with_capacity(hosts.len());
        for host in hosts.clone() {
            let call = &call;
            let answer = async move { call(self.link(&host).await.ok()?).await.ok() };
            calls.push(async { time::timeout(STATUS_TIMEOUT, answer).await.ok().flatten() });
        }
        let answers = future::join_all(calls).await;
        let mut reached = Vec::with_capacity(answers.len());
        let mut not_reached = Vec::new();
        for (host, answer) in hosts.into_iter().zip(answers) {
            match answer {
                Some(answer) => reached.push((host, answer)),
                None => not_reached.push(host),
            }
        }
        (reached, not_reached)
    }
}
