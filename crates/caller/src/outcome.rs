//! Outcomes of requests, as values and in their HTTP form.

use std::time::Duration;

use compact_str::{CompactString, format_compact};
use hyper::StatusCode;
use serde::Serialize;

/// The time to come back after where nothing tells more.
pub const SOON: Duration = Duration::from_secs(1);

/// What is known about the execution of a request.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, derive_more::Display,
)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It did not run, and no copy of it with the same key will.
    #[display("not_run")]
    NotRun,
    /// It may have run.
    #[display("may_have_run")]
    MayHaveRun,
    /// It ran, at least in part.
    #[display("ran")]
    Ran,
}

/// The kind of an outcome other than an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request did not run.
    #[display("refused")]
    Refused,
    /// The request may have run, and nobody can tell.
    #[display("unknown")]
    Unknown,
    /// The request ran or may have run, and gave no whole answer.
    #[display("failed")]
    Failed,
}

/// The reason of an outcome other than an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request's head or body is malformed.
    #[display("malformed")]
    Malformed,
    /// There is nothing under this path.
    #[display("not_found")]
    NotFound,
    /// The method is not allowed under this path.
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
    /// The body came too slowly.
    #[display("slow_body")]
    SlowBody,
    /// The daemon holds as many requests as it may.
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
    /// The idempotency key is older than the time for which keys are remembered.
    #[display("key_expired")]
    KeyExpired,
    /// The idempotency key was issued in the future.
    #[display("key_in_future")]
    KeyInFuture,
    /// The idempotency key was used with another request.
    #[display("key_reused")]
    KeyReused,
    /// No further key can be remembered now.
    #[display("keys_full")]
    KeysFull,
    /// The daemon that the key is bound to is gone or cannot be reached.
    #[display("home_gone")]
    HomeGone,
    /// The request ran and its answer was too large to be kept for a repetition.
    #[display("answer_not_kept")]
    AnswerNotKept,
    /// The deadline cannot be met, or has passed.
    #[display("deadline")]
    Deadline,
    /// The queue is full and others go first.
    #[display("queue_full")]
    QueueFull,
    /// No backend server may take the request now.
    #[display("no_backend")]
    NoBackend,
    /// The budget for retries is spent.
    #[display("retry_budget")]
    RetryBudget,
    /// No scheduler decides for the pool now.
    #[display("no_scheduler")]
    NoScheduler,
    /// The backend server failed or the connection to it broke.
    #[display("backend_failed")]
    BackendFailed,
    /// The backend server answered with an error.
    #[display("backend_error")]
    BackendError,
    /// The backend server is overloaded.
    #[display("overloaded")]
    Overloaded,
    /// The request ran for longer than it may.
    #[display("too_long")]
    TooLong,
    /// A repeated run gave another answer than the part that was delivered.
    #[display("answer_changed")]
    AnswerChanged,
    /// The request crashed backend servers and is not run any more.
    #[display("quarantined")]
    Quarantined,
    /// The caller went away.
    #[display("caller_left")]
    CallerLeft,
    /// An invariant of the daemon was broken.
    #[display("internal")]
    Internal,
}

/// The outcome of a request that gave no whole answer.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
#[display("{kind} reason={reason} ran={ran}")]
pub struct Outcome {
    /// The kind.
    pub kind: Kind,
    /// Whether the request ran.
    pub ran: Ran,
    /// The reason.
    pub reason: Reason,
    /// A plain message for the caller.
    pub message: CompactString,
    /// The time after which a new try makes sense.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct Json<'a> {
    outcome: Kind,
    ran: Ran,
    reason: Reason,
    message: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    request_id: &'a str,
}

impl Outcome {
    /// A refusal: the request did not run.
    pub fn refused(reason: Reason, message: impl AsRef<str>) -> Self {
        Self::new(Kind::Refused, Ran::NotRun, reason, message.as_ref())
    }

    /// The request may have run, and nobody can tell.
    pub fn unknown(reason: Reason, message: impl AsRef<str>) -> Self {
        Self::new(Kind::Unknown, Ran::MayHaveRun, reason, message.as_ref())
    }

    /// The request gave no whole answer.
    pub fn failed(ran: Ran, reason: Reason, message: impl AsRef<str>) -> Self {
        Self::new(Kind::Failed, ran, reason, message.as_ref())
    }

    fn new(kind: Kind, ran: Ran, reason: Reason, message: &str) -> Self {
        Self { kind, ran, reason, message: CompactString::new(message), retry_after: None }
    }

    /// Adds the time after which a new try makes sense.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// The status code.
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

    /// The value of the header `Retry-After`, in whole seconds.
    pub fn retry_after_seconds(&self) -> Option<CompactString> {
        let after = self.retry_after?;
        Some(format_compact!("{}", after.as_millis().div_ceil(1000).max(1)))
    }

    /// The JSON form.
    pub fn to_json(&self, request_id: &str) -> String {
        let json = Json {
            outcome: self.kind,
            ran: self.ran,
            reason: self.reason,
            message: &self.message,
            retry_after_ms: self.retry_after.map(|after| after.as_millis() as u64),
            request_id,
        };
        serde_json::to_string(&json).expect("an outcome is serializable")
    }
}
