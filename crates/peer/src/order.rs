//! What operators' orders come to.

use compact_str::CompactString;
use hyssop_document::{name, order::State};
use serde::{Deserialize, Serialize};

/// The answer to an operator's order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The order is in force on the hosts named.
    Done {
        /// The orders after it.
        state: State,
        /// The hosts on which it is in force.
        in_force: Vec<name::Host>,
        /// The listed or live hosts that did not confirm it.
        not_reached: Vec<name::Host>,
    },
    /// The orders in force have another revision than the operator has seen. Nothing was changed.
    Conflict {
        /// The orders in force.
        current: State,
    },
    /// The host that decides about orders did not answer. The order may have been taken or not.
    Unknown {
        /// What happened.
        message: CompactString,
    },
}
