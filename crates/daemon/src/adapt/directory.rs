//! The document in force and the other daemons, as a request's home sees them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyssop_caller::directory::{Address, Addresses, Directory as Border, Missing, Terms};
use hyssop_document::{catalog::Catalog, digest::Digest, model, name, number::Incarnation, order};
use hyssop_peer::{Identity, Node};
use rand::seq::SliceRandom as _;

/// Looks things up in what the node has in force.
#[derive(Debug)]
pub(crate) struct Directory {
    pub(crate) node: Arc<Node>,
    pub(crate) lifetime: Duration,
}

impl Directory {
    fn catalog(&self) -> Result<Catalog, Missing> {
        let current = self.node.current();
        let document = current.document.as_ref().ok_or(Missing::Document)?;
        Ok(document.catalog.clone())
    }

    /// The daemons that callers may use: alive, with a document, not leaving, and in service.
    fn usable(&self) -> Vec<Identity> {
        let view = self.node.view();
        let current = self.node.current();
        let me = (!view.leaving && current.document.is_some()).then(|| view.identity.clone());
        let peers = view
            .alive
            .iter()
            .filter(|peer| !peer.leaving && peer.document != hyssop_peer::wire::Stamp::NONE);
        let daemons = me.into_iter().chain(peers.map(|peer| peer.identity.clone()));
        daemons.filter(|daemon| in_service(daemon, &current.orders)).collect()
    }
}

fn in_service(daemon: &Identity, orders: &order::State) -> bool {
    !orders.hosts_out.contains(&daemon.host) && !orders.zones_out.contains(&daemon.zone)
}

impl Border for Directory {
    fn workspace(&self, key: &Digest) -> Result<name::Workspace, Missing> {
        let catalog = self.catalog()?;
        let workspace = catalog.workspace_by_key(key).ok_or(Missing::Workspace)?;
        Ok(workspace.name.clone())
    }

    fn terms(
        &self,
        key: &Digest,
        class: &name::Class,
        pool: &name::Pool,
    ) -> Result<Terms, Missing> {
        let catalog = self.catalog()?;
        let workspace = catalog.workspace_by_key(key).ok_or(Missing::Workspace)?;
        let class: &model::Class = catalog.class(class).ok_or(Missing::Class)?;
        let pool = catalog.pool(pool).ok_or(Missing::Pool)?;
        Ok(Terms { workspace: workspace.name.clone(), class: class.clone(), pool: pool.clone() })
    }

    fn addresses(&self) -> Addresses {
        let mut daemons = self.usable();
        // Each caller gets an order of its own, so that the first address is not everybody's.
        daemons.shuffle(&mut rand::rng());
        let addresses = daemons.into_iter().map(|daemon| Address {
            address: daemon.caller_address,
            host: daemon.host,
            zone: daemon.zone,
            incarnation: daemon.incarnation,
        });
        let lifetime_ms = self.lifetime.as_millis() as u64;
        Addresses { lifetime_ms, addresses: addresses.collect() }
    }

    fn incarnation(&self) -> Incarnation {
        self.node.identity().incarnation
    }

    fn locate(&self, incarnation: Incarnation) -> Option<SocketAddr> {
        let view = self.node.view();
        let peer = view.alive.iter().find(|peer| peer.identity.incarnation == incarnation)?;
        Some(peer.identity.caller_address)
    }
}
