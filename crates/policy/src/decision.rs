//! Decisions of a scheduler about waiting requests.

use serde::{Deserialize, Serialize};

use crate::{entry::Ticket, permit::Permit};

/// Why a request was refused. A refused request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
pub enum Reason {
    /// The deadline has passed or cannot be met.
    #[display("deadline")]
    Deadline,
    /// The queue is full, and requests of higher priority keep their places.
    #[display("queue_full")]
    QueueFull,
    /// No backend server of the group may run the request.
    #[display("no_backend")]
    NoBackend,
    /// The document in force does not declare the class or the workspace.
    #[display("unknown_name")]
    UnknownName,
    /// The retry budget is spent, or requests of the same or a higher tier are being shed.
    #[display("retry_budget")]
    RetryBudget,
}

/// A refusal, which implies that the request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The cause of the refusal.
    pub reason: Reason,
    /// The time after which the caller may retry, in milliseconds.
    pub retry_after_ms: u64,
}

/// The outcome for a waiting request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// The request may run.
    Grant {
        /// The granted request.
        ticket: Ticket,
        /// Names the backend server and the time limits.
        permit: Permit,
    },
    /// The request does not run.
    Refuse {
        /// The refused request.
        ticket: Ticket,
        /// The cause and the time to retry.
        refusal: Refusal,
    },
}

impl Decision {
    /// The request that the decision applies to.
    pub fn ticket(&self) -> Ticket {
        match self {
            Self::Grant { ticket, .. } | Self::Refuse { ticket, .. } => *ticket,
        }
    }
}
