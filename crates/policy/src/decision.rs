//! What a scheduler decided about a waiting request.

use serde::{Deserialize, Serialize};

use crate::{entry::Ticket, permit::Permit};

/// The reason of a refusal. In all cases the request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
pub enum Reason {
    /// The deadline cannot be met, or has passed.
    #[display("deadline")]
    Deadline,
    /// The queue is full and others go first.
    #[display("queue_full")]
    QueueFull,
    /// No backend server of the group may take the request.
    #[display("no_backend")]
    NoBackend,
    /// The document in force has no such class or workspace.
    #[display("unknown_name")]
    UnknownName,
    /// The budget for retries is spent.
    #[display("retry_budget")]
    RetryBudget,
}

/// A refusal: the request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// The time after which a new try makes sense, in milliseconds.
    pub retry_after_ms: u64,
}

/// A decision about a waiting request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// The request may run.
    Grant {
        /// The request.
        ticket: Ticket,
        /// The permit.
        permit: Permit,
    },
    /// The request may not run.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// The refusal.
        refusal: Refusal,
    },
}

impl Decision {
    /// The request that the decision is about.
    pub fn ticket(&self) -> Ticket {
        match self {
            Self::Grant { ticket, .. } | Self::Refuse { ticket, .. } => *ticket,
        }
    }
}
