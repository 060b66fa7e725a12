//! The outcomes of service orders.

use compact_str::CompactString;
use hyssop_document::{
    name,
    number::Revision,
    order::{State, Target},
};
use serde::{Deserialize, Serialize};

/// The outcome of a service order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Order {
    /// The order is in force on the hosts of the confirmation.
    InForce(Confirmation),
    /// The order was rejected because the revision in its precondition is not in force.
    Conflict(Conflict),
    /// The target is an unknown availability zone or an unknown host.
    UnknownTarget(UnknownTarget),
    /// The coordinator of orders did not respond. The order may be in force.
    Undecided(Undecided),
}

/// The hosts on which an order is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// The service orders after this one.
    pub state: State,
    /// The hosts that have confirmed the revision of `state` or a higher one.
    pub in_force: Vec<name::Host>,
    /// The hosts that could not be reached. They receive the order once they can be reached.
    pub not_reached: Vec<name::Host>,
    /// Whether `not_reached` has hosts.
    pub partial: bool,
}

impl Confirmation {
    /// Makes a confirmation out of the hosts' responses.
    pub fn new(state: State, in_force: Vec<name::Host>, not_reached: Vec<name::Host>) -> Self {
        let partial = !not_reached.is_empty();
        Self { state, in_force, not_reached, partial }
    }
}

/// The precondition of an order failed. No state was changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The revision that the order required, if any.
    pub if_revision: Option<Revision>,
    /// The service orders in force.
    pub state: State,
}

/// It is unknown whether the order was applied. The operator has to read the orders in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Undecided {
    /// The cause in one sentence.
    pub message: CompactString,
}

/// The target of an order is unknown. No state was changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnknownTarget {
    /// The target that the order named.
    pub target: Target,
    /// An explanation in one sentence, for example the list of known hosts.
    pub message: CompactString,
}
