//! Outcomes of operators' orders.

use compact_str::CompactString;
use hyssop_document::{name, order::State};
use serde::{Deserialize, Serialize};

/// The outcome of an operator's order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The order is in force on the hosts in `in_force`.
    InForce {
        /// The orders in force after this order was applied.
        state: State,
        /// The hosts that confirmed the order.
        in_force: Vec<name::Host>,
        /// The listed or live hosts that did not confirm the order.
        not_reached: Vec<name::Host>,
    },
    /// The orders in force do not have the revision that the operator expected. Nothing was
    /// changed.
    Conflict {
        /// The orders in force.
        current: State,
    },
    /// The coordinator did not respond. The order may have been applied or not.
    Undecided {
        /// The cause, for operators.
        message: CompactString,
    },
}
