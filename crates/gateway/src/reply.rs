//! Answers of the daemon's own.

use std::time::Duration;

use hyper::{
    HeaderMap, Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};

use crate::body::{Body, full};

/// Why the daemon answers itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display)]
pub enum Reason {
    /// The request can't be understood.
    #[display("malformed")]
    Malformed,
    /// The key is unknown.
    #[display("unknown_key")]
    UnknownKey,
    /// No route of the host has a prefix of the path.
    #[display("no_route")]
    NoRoute,
    /// The body is longer than allowed.
    #[display("too_large")]
    TooLarge,
    /// The body did not come in time.
    #[display("slow_body")]
    SlowBody,
    /// The environment is not known yet, or the process was suspended.
    #[display("not_ready")]
    NotReady,
    /// Too many bytes of bodies are held.
    #[display("memory")]
    Memory,
    /// No backend server of the pool is in service.
    #[display("no_server")]
    NoServer,
    /// All backend servers are cold, and this daemon's share of them is used.
    #[display("cold")]
    Cold,
    /// All connections of this daemon to the backend servers are in use.
    #[display("connections")]
    Connections,
    /// The answer would come too late to be of use.
    #[display("overload")]
    Overload,
    /// The budget for repeats is used.
    #[display("repeats")]
    Repeats,
    /// Backend servers rejected it, or could not be reached.
    #[display("rejected")]
    Rejected,
    /// It broke the backend servers that ran it.
    #[display("quarantined")]
    Quarantined,
    /// It may have run, and no whole answer came.
    #[display("broken")]
    Broken,
    /// It may have run, and no answer came in time.
    #[display("timeout")]
    Timeout,
}

impl Reason {
    /// The status that callers see. Those that promise that a request has not run (408, 429, 503)
    /// stand only for reasons of which that is true.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::NotReady
            | Self::Memory
            | Self::NoServer
            | Self::Cold
            | Self::Connections
            | Self::Overload
            | Self::Repeats
            | Self::Rejected => StatusCode::SERVICE_UNAVAILABLE,
            Self::Quarantined | Self::Broken => StatusCode::BAD_GATEWAY,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

impl From<hyssop_policy::local::decider::Reason> for Reason {
    fn from(reason: hyssop_policy::local::decider::Reason) -> Self {
        use hyssop_policy::local::decider::Reason as Refusal;
        match reason {
            Refusal::NoServer => Self::NoServer,
            Refusal::Cold => Self::Cold,
            Refusal::Connections => Self::Connections,
            Refusal::Overload => Self::Overload,
            Refusal::Repeats => Self::Repeats,
        }
    }
}

/// An answer of the daemon's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When the caller should come back, for reasons that pass.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal for a reason that does not pass.
    pub fn new(reason: Reason) -> Self {
        Self { reason, retry_after: None }
    }

    /// A refusal with the time to come back.
    pub fn after(reason: Reason, retry_after: Duration) -> Self {
        Self { reason, retry_after: Some(retry_after) }
    }

    /// The answer with these headers besides its own.
    pub fn response(self, headers: HeaderMap) -> Response<Body> {
        let mut response = Response::new(full(format!("{{\"error\":\"{}\"}}", self.reason)));
        *response.status_mut() = self.reason.status();
        *response.headers_mut() = headers;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(after) = self.retry_after {
            let text = format!("{:.3}", after.as_secs_f64());
            let value = HeaderValue::from_str(&text).expect("a number is a valid header value");
            headers.insert(RETRY_AFTER, value);
        }
        response
    }
}
