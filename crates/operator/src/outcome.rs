//! The outcome of an operator's order.

use compact_str::CompactString;
use hyssop_document::{
    name,
    number::Revision,
    order::{State, Target},
};
use serde::{Deserialize, Serialize};

/// What became of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Order {
    /// The order is in force on the hosts that are named.
    InForce(Confirmation),
    /// Another order came first: the precondition names a revision that is no longer in force.
    Conflict(Conflict),
    /// The order is about an availability zone or a host that nobody knows.
    UnknownTarget(UnknownTarget),
    /// The host that decides about orders did not answer. The order may be in force or not.
    Undecided(Undecided),
}

/// Where an order is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// The service orders after this one.
    pub state: State,
    /// The hosts that have confirmed the revision of `state` or a higher one.
    pub in_force: Vec<name::Host>,
    /// The hosts that could not be reached. They get the order when they are reached again.
    pub not_reached: Vec<name::Host>,
    /// Whether some host was not reached.
    pub partial: bool,
}

impl Confirmation {
    /// Makes a confirmation out of what the hosts said.
    pub fn new(state: State, in_force: Vec<name::Host>, not_reached: Vec<name::Host>) -> Self {
        let partial = !not_reached.is_empty();
        Self { state, in_force, not_reached, partial }
    }
}

/// The precondition of an order did not hold, and nothing was changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The revision that the order named, if it named one.
    pub if_revision: Option<Revision>,
    /// The service orders in force.
    pub state: State,
}

/// Nobody can say whether the order was taken. The orders in force tell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Undecided {
    /// What happened, in one sentence.
    pub message: CompactString,
}

/// The target of an order is unknown, and nothing was changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnknownTarget {
    /// What the order was about.
    pub target: Target,
    /// What is known instead, in one sentence.
    pub message: CompactString,
}
