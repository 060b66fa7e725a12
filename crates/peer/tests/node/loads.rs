//! Failed load reports.

use std::sync::Arc;

use compact_str::CompactString;
use futures::future::{self, BoxFuture};
use hyssop_document::{model, name, number::Incarnation};
use hyssop_peer::{Identity, LoadSource, current::Source};
use hyssop_policy::load::Load;
use hyssop_timer::Service;

use crate::support::{IdleBackends, document, list, start_with, timing, until};

/// Fails to reach the first backend server.
#[derive(Debug)]
struct FirstUnreachable;

impl LoadSource for FirstUnreachable {
    fn load(&self, backend: &model::Backend) -> BoxFuture<'static, Result<Load, CompactString>> {
        match backend.name.as_str() {
            "b1" => Box::pin(future::ready(Err("connection refused".into()))),
            _ => IdleBackends::default().load(backend),
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unreachable_backend_server_gets_no_work() {
    let any = "127.0.0.1:0".parse().expect("the address is valid");
    let identity = Identity {
        host: name::Host::new("h1"),
        zone: name::Zone::new("z1"),
        incarnation: Incarnation::new(1_000_000, 1),
        caller_address: any,
        peer_address: any,
    };
    let timer = Service::builder().start();
    let node = start_with(identity, timing(), Vec::new(), Arc::new(FirstUnreachable), timer).await;
    node.set_list(list(1, &[Arc::clone(&node)])).expect("the list is valid");
    node.offer_document(document(1), Source::Platform);
    until("only b2 has room", async || {
        let status = node.own_status().await;
        let backends = status.groups.iter().flat_map(|group| &group.backends);
        let with_room: Vec<_> = backends.filter(|b| b.has_room).map(|b| b.name.as_str()).collect();
        with_room == ["b2"]
    })
    .await;
}
