//! Keeps connections to peers open to detect the end of a peer's process immediately.

use std::sync::Arc;

use futures::future;
use tokio::sync::mpsc::UnboundedReceiver;

use super::Shared;
use crate::{
    group::Command,
    identity::Process,
    link::{Closed, Error},
};

/// Keeps a connection to each live peer open until the node ends.
pub(super) async fn maintain(shared: Arc<Shared>) {
    let mut ticks = shared.timer.subscribe(shared.timing.heartbeat_interval);
    while ticks.next().await.is_some() {
        let view = shared.view.load_full();
        let open = view.alive.iter().map(|peer| shared.link(&peer.identity.host));
        // A failed connection is retried at the next tick.
        drop(future::join_all(open).await);
    }
}

/// Probes the peer of each connection that has ended, until the node ends.
pub(super) async fn handle_closed(shared: Arc<Shared>, mut closed: UnboundedReceiver<Closed>) {
    while let Some(closed) = closed.recv().await {
        tokio::spawn(probe(Arc::clone(&shared), closed));
    }
}

/// Reconnects to a peer whose connection has ended.
///
/// A daemon listens until its process ends, so a refused connection proves that the process has
/// ended. So does a response of a newer incarnation on the same host.
async fn probe(shared: Arc<Shared>, closed: Closed) {
    let Closed { process, address } = closed;
    match shared.pool.connect(address).await {
        Ok(link) if link.identity.process() == process => {
            log::debug!("connection reopened peer={process}");
        }
        Ok(link) => {
            let newer = link.identity.incarnation > process.incarnation;
            if link.identity.host == process.host && newer {
                shared.process_ended(&process);
            }
        }
        Err(Error::Refused) if shared.trust_refusals => shared.process_ended(&process),
        Err(error) => log::info!("connection lost peer={process} error={error}"),
    }
}

impl Shared {
    /// Records that a peer's process has ended.
    fn process_ended(&self, process: &Process) {
        log::info!("process ended peer={process}");
        self.core.lock().process_ended(process, self.now());
        self.notify_process_end(process);
        self.publish();
        self.heartbeat_trigger.notify_one();
    }

    /// Notifies the schedulers of this process, which drop the requests and permits of `process`.
    pub(super) fn notify_process_end(&self, process: &Process) {
        for handle in self.groups.lock().values() {
            handle.send(Command::ProcessEnded(process.clone()));
        }
    }
}
