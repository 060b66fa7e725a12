//! Outcomes of requests without a complete response, and their HTTP form.

use std::time::Duration;

use compact_str::{CompactString, format_compact};
use hyper::StatusCode;
use serde::Serialize;

/// The time before a retry if no better estimate is available.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Whether a request has run, as far as the daemon can determine.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, derive_more::Display,
)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// The request did not run, and no request with the same key will run.
    #[display("not_run")]
    NotRun,
    /// The request may have run.
    #[display("may_have_run")]
    MayHaveRun,
    /// The request ran, at least partially.
    #[display("ran")]
    Ran,
}

/// The kind of an outcome without a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request did not run.
    #[display("refused")]
    Refused,
    /// The request may have run; the daemon cannot determine whether it did.
    #[display("unknown")]
    Unknown,
    /// The request ran or may have run, and gave no complete response.
    #[display("failed")]
    Failed,
}

/// The reason for an outcome without a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request's head or body is malformed.
    #[display("malformed")]
    Malformed,
    /// No route has this path.
    #[display("not_found")]
    NotFound,
    /// The path does not allow this method.
    #[display("method")]
    Method,
    /// The bearer key is missing or belongs to no workspace.
    #[display("unauthorized")]
    Unauthorized,
    /// The document in force has no such class.
    #[display("unknown_class")]
    UnknownClass,
    /// The document in force has no such model or service.
    #[display("unknown_pool")]
    UnknownPool,
    /// The body is larger than allowed.
    #[display("too_large")]
    TooLarge,
    /// The body did not arrive within its time limit.
    #[display("slow_body")]
    SlowBody,
    /// The request bodies that the daemon holds use up their memory limit.
    #[display("busy")]
    Busy,
    /// The daemon has no document yet.
    #[display("not_ready")]
    NotReady,
    /// A non-idempotent request came without an idempotency key.
    #[display("key_required")]
    KeyRequired,
    /// The idempotency key is malformed.
    #[display("key_malformed")]
    KeyMalformed,
    /// The idempotency key is older than the time for which keys are kept.
    #[display("key_expired")]
    KeyExpired,
    /// The idempotency key was issued in the future.
    #[display("key_in_future")]
    KeyInFuture,
    /// The idempotency key was used with a different request.
    #[display("key_reused")]
    KeyReused,
    /// The registry of idempotency keys is full.
    #[display("keys_full")]
    KeysFull,
    /// The daemon that the key is bound to has ended or cannot be reached.
    #[display("home_gone")]
    HomeGone,
    /// The request ran, and its response was too large to be kept for a repeated request.
    #[display("answer_not_kept")]
    AnswerNotKept,
    /// The deadline cannot be met, or has passed.
    #[display("deadline")]
    Deadline,
    /// The queue is full, and requests ahead of this one take precedence.
    #[display("queue_full")]
    QueueFull,
    /// No backend server accepts the request now.
    #[display("no_backend")]
    NoBackend,
    /// The retry budget is used up.
    #[display("retry_budget")]
    RetryBudget,
    /// The pool has no scheduler now.
    #[display("no_scheduler")]
    NoScheduler,
    /// The backend server or the connection to it failed.
    #[display("backend_failed")]
    BackendFailed,
    /// The backend server responded with an error.
    #[display("backend_error")]
    BackendError,
    /// The backend server is overloaded.
    #[display("overloaded")]
    Overloaded,
    /// The request exceeded its maximum running time.
    #[display("too_long")]
    TooLong,
    /// A later attempt's output differs from the output that the caller already received.
    #[display("answer_changed")]
    AnswerChanged,
    /// The request is quarantined because it crashed backend servers.
    #[display("quarantined")]
    Quarantined,
    /// The caller disconnected.
    #[display("caller_left")]
    CallerLeft,
    /// The daemon found one of its invariants violated.
    #[display("internal")]
    Internal,
}

/// The outcome of a request without a complete response.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
#[display("{kind} reason={reason} ran={execution}")]
pub struct Outcome {
    /// Whether the request was refused, failed, or has an unknown outcome.
    pub kind: Kind,
    /// Whether the request has run.
    pub execution: Execution,
    /// The machine-readable cause.
    pub reason: Reason,
    /// The message for the caller.
    pub message: CompactString,
    /// The time after which the caller should retry.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct Json<'a> {
    outcome: Kind,
    ran: Execution,
    reason: Reason,
    message: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    request_id: &'a str,
}

impl Outcome {
    /// The request did not run.
    pub fn refused(reason: Reason, message: impl AsRef<str>) -> Self {
        Self::new(Kind::Refused, Execution::NotRun, reason, message.as_ref())
    }

    /// The request may have run; the daemon cannot determine whether it did.
    pub fn unknown(reason: Reason, message: impl AsRef<str>) -> Self {
        Self::new(Kind::Unknown, Execution::MayHaveRun, reason, message.as_ref())
    }

    /// The request gave no complete response.
    pub fn failed(execution: Execution, reason: Reason, message: impl AsRef<str>) -> Self {
        Self::new(Kind::Failed, execution, reason, message.as_ref())
    }

    fn new(kind: Kind, execution: Execution, reason: Reason, message: &str) -> Self {
        Self { kind, execution, reason, message: CompactString::new(message), retry_after: None }
    }

    /// Sets the time after which the caller should retry.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// The HTTP status code, by the reason and, for the remaining reasons, by the kind.
    pub fn status(&self) -> StatusCode {
        match self.reason {
            Reason::Malformed
            | Reason::KeyRequired
            | Reason::KeyMalformed
            | Reason::KeyInFuture
            | Reason::UnknownClass => StatusCode::BAD_REQUEST,
            Reason::Unauthorized => StatusCode::UNAUTHORIZED,
            Reason::NotFound | Reason::UnknownPool => StatusCode::NOT_FOUND,
            Reason::Method => StatusCode::METHOD_NOT_ALLOWED,
            Reason::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Reason::KeyExpired => StatusCode::GONE,
            Reason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Reason::KeyReused | Reason::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
            Reason::Internal => StatusCode::INTERNAL_SERVER_ERROR,
            _ if self.kind == Kind::Refused => StatusCode::SERVICE_UNAVAILABLE,
            Reason::Overloaded => StatusCode::SERVICE_UNAVAILABLE,
            Reason::TooLong | Reason::Deadline => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        }
    }

    /// The value of the header `Retry-After`: whole seconds, at least 1.
    pub fn retry_after_seconds(&self) -> Option<CompactString> {
        let after = self.retry_after?;
        Some(format_compact!("{}", after.as_millis().div_ceil(1000).max(1)))
    }

    /// The JSON body of the response.
    pub fn to_json(&self, request_id: &str) -> String {
        let json = Json {
            outcome: self.kind,
            ran: self.execution,
            reason: self.reason,
            message: &self.message,
            retry_after_ms: self.retry_after.map(|after| after.as_millis() as u64),
            request_id,
        };
        serde_json::to_string(&json).expect("an outcome is serializable")
    }
}
