//! Service orders: operators take availability zones and hosts out of service or return them.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{digest::Digest, name, number::Revision};

/// The availability zones and hosts out of service at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// Daemons adopt a state only if its revision is higher than that of the state in force.
    pub revision: Revision,
    /// The availability zones that are out of service.
    #[serde(default)]
    pub zones_out: BTreeSet<name::Zone>,
    /// The hosts that are out of service.
    #[serde(default)]
    pub hosts_out: BTreeSet<name::Host>,
}

impl State {
    /// The digest of the content, which distinguishes two states of the same revision.
    pub fn digest(&self) -> Digest {
        let bytes = serde_json::to_vec(self).expect("a state is serializable");
        Digest::of(&bytes)
    }
}

/// The availability zone or host that an order changes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum Target {
    /// An availability zone.
    #[display("zone {_0}")]
    Zone(name::Zone),
    /// A host.
    #[display("host {_0}")]
    Host(name::Host),
}

/// An operator's order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// The availability zone or host to change.
    pub target: Target,
    /// Whether the target is taken out of service (`true`) or returned to service (`false`).
    pub out: bool,
    /// The revision that the order is based on. If it differs from the current revision, the order
    /// is a conflict.
    pub if_revision: Option<Revision>,
}

impl Order {
    /// The state after the order, one revision higher.
    pub fn apply(&self, state: &State) -> State {
        let mut next = state.clone();
        next.revision = Revision(state.revision.0 + 1);
        match &self.target {
            Target::Zone(zone) if self.out => next.zones_out.insert(zone.clone()),
            Target::Zone(zone) => next.zones_out.remove(zone),
            Target::Host(host) if self.out => next.hosts_out.insert(host.clone()),
            Target::Host(host) => next.hosts_out.remove(host),
        };
        next
    }
}
