//! Lookups for a request's home in the document in force and in the list of daemons.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyssop_caller::directory::{Address, Addresses, Directory as CallerDirectory, Missing, Terms};
use hyssop_document::{catalog::Catalog, digest::Digest, model, name, number::Incarnation, order};
use hyssop_peer::{Identity, Node};
use rand::seq::SliceRandom as _;

/// Looks up entries of the document in force and daemons in the view of the node.
#[derive(Debug)]
pub(crate) struct Directory {
    pub(crate) node: Arc<Node>,
    /// The time for which callers may cache the list of addresses.
    pub(crate) addresses_lifetime: Duration,
}

impl Directory {
    fn catalog(&self) -> Result<Catalog, Missing> {
        let current = self.node.current();
        let document = current.document.as_ref().ok_or(Missing::Document)?;
        Ok(document.catalog.clone())
    }

    /// The daemons that callers may use: alive, with a document, in service and not leaving.
    fn usable(&self) -> Vec<Identity> {
        let view = self.node.view();
        let current = self.node.current();
        let own = (!view.leaving && current.document.is_some()).then(|| view.identity.clone());
        let peers = view
            .alive
            .iter()
            .filter(|peer| !peer.leaving && peer.document != hyssop_peer::wire::Stamp::NONE);
        let daemons = own.into_iter().chain(peers.map(|peer| peer.identity.clone()));
        daemons.filter(|daemon| in_service(daemon, &current.orders)).collect()
    }
}

fn in_service(daemon: &Identity, orders: &order::State) -> bool {
    !orders.hosts_out.contains(&daemon.host) && !orders.zones_out.contains(&daemon.zone)
}

impl CallerDirectory for Directory {
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
        // Shuffling distributes callers that all connect to the first address.
        daemons.shuffle(&mut rand::rng());
        let addresses = daemons.into_iter().map(|daemon| Address {
            address: daemon.caller_address,
            host: daemon.host,
            zone: daemon.zone,
            incarnation: daemon.incarnation,
        });
        let lifetime_ms = self.addresses_lifetime.as_millis() as u64;
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
