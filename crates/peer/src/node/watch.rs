//! Connections to peers are kept open, so that the end of a peer's process is seen at once.

use std::sync::Arc;

use futures::future;
use tokio::sync::mpsc::UnboundedReceiver;

use super::Shared;
use crate::{
    group::Command,
    identity::Process,
    link::{Closed, Error},
};

/// Opens a connection to each live peer until the node ends.
pub(super) async fn keep(shared: Arc<Shared>) {
    let mut ticks = shared.timer.subscribe(shared.timing.heartbeat_interval);
    while ticks.next().await.is_some() {
        let view = shared.view.load_full();
        let open = view.alive.iter().map(|peer| shared.link(&peer.identity.host));
        // A peer that cannot be connected to is tried again at the next tick.
        drop(future::join_all(open).await);
    }
}

/// Finds out what the ends of connections mean until the node ends.
pub(super) async fn ends(shared: Arc<Shared>, mut closed: UnboundedReceiver<Closed>) {
    while let Some(closed) = closed.recv().await {
        tokio::spawn(look(Arc::clone(&shared), closed));
    }
}

/// Connects again to the peer whose connection has ended.
///
/// A refusal proves that nothing listens there any more; a daemon listens until its process ends.
/// Another incarnation that answers proves that the former one has ended.
async fn look(shared: Arc<Shared>, closed: Closed) {
    let Closed { process, address } = closed;
    match shared.pool.connect(address).await {
        Ok(link) if link.identity.process() == process => {
            log::debug!("connection opened again peer={process}");
        }
        Ok(link) => {
            let newer = link.identity.incarnation > process.incarnation;
            if link.identity.host == process.host && newer {
                shared.ended(&process);
            }
        }
        Err(Error::Refused) if shared.trust_refusals => shared.ended(&process),
        Err(error) => log::info!("connection lost peer={process} error={error}"),
    }
}

impl Shared {
    /// Notes that a peer's process has ended.
    fn ended(&self, process: &Process) {
        log::info!("process ended peer={process}");
        self.core.lock().process_ended(process, self.now());
        self.tell_groups_of_end(process);
        self.publish();
        self.beat.notify_one();
    }

    /// Has the schedulers forget what an ended process asked for and ran.
    pub(super) fn tell_groups_of_end(&self, process: &Process) {
        for handle in self.groups.lock().values() {
            handle.send(Command::Ended(process.clone()));
        }
    }
}
