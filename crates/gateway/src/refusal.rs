//! Responses that the daemon itself creates.

use std::time::Duration;

use hyper::{
    HeaderMap, Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};

use crate::body::{Body, full};

/// Why the daemon refuses or fails a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display)]
pub enum Reason {
    /// The request is invalid.
    #[display("malformed")]
    Malformed,
    /// The API key is missing or unknown.
    #[display("unknown_key")]
    UnknownKey,
    /// No route matches the host and path.
    #[display("no_route")]
    NoRoute,
    /// The body exceeds the limit.
    #[display("too_large")]
    TooLarge,
    /// The body did not arrive in time.
    #[display("slow_body")]
    SlowBody,
    /// The environment has not been loaded yet, or the process was suspended.
    #[display("not_ready")]
    NotReady,
    /// The daemon is about to stop, and could not finish the request.
    #[display("leaving")]
    Leaving,
    /// The memory for request bodies is full.
    #[display("memory")]
    Memory,
    /// No backend server of the pool is in service.
    #[display("no_server")]
    NoServer,
    /// The request continues a stream, and no backend server of the build that began it is in
    /// service.
    #[display("other_build")]
    OtherBuild,
    /// The request continues a stream, and it is not known which build began it.
    #[display("unknown_build")]
    UnknownBuild,
    /// All backend servers are cold, and this daemon's share of their capacity is used up.
    #[display("cold")]
    Cold,
    /// All backend servers have asked this daemon for a pause.
    #[display("paused")]
    Paused,
    /// All backend servers have named limits, and this daemon's shares of them are used.
    #[display("limited")]
    Limited,
    /// All backend servers may be full, and fall over if they reject too many requests.
    #[display("brittle")]
    Brittle,
    /// All connections of this daemon to the backend servers are in use.
    #[display("connections")]
    Connections,
    /// The response would arrive after the deadline.
    #[display("overload")]
    Overload,
    /// Capacity is short, and the workspace has had its share.
    #[display("share")]
    Share,
    /// The retry budget is used up.
    #[display("repeats")]
    Repeats,
    /// Backend servers rejected the request or could not be reached.
    #[display("rejected")]
    Rejected,
    /// The request crashed the backend servers that ran it.
    #[display("quarantined")]
    Quarantined,
    /// The request may have run, and no complete response arrived.
    #[display("broken")]
    Broken,
    /// The request may have run, and no response arrived in time.
    #[display("timeout")]
    Timeout,
}

impl Reason {
    /// The status sent to the caller. Callers take 408, 429 and 503 as a statement that the request
    /// has not run, so these are used only for reasons that guarantee it.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::NotReady
            | Self::Leaving
            | Self::Memory
            | Self::NoServer
            | Self::OtherBuild
            | Self::UnknownBuild
            | Self::Cold
            | Self::Paused
            | Self::Limited
            | Self::Brittle
            | Self::Connections
            | Self::Overload
            | Self::Share
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
            Refusal::OtherBuild => Self::OtherBuild,
            Refusal::Cold => Self::Cold,
            Refusal::Paused => Self::Paused,
            Refusal::Limited => Self::Limited,
            Refusal::Brittle => Self::Brittle,
            Refusal::Connections => Self::Connections,
            Refusal::Overload => Self::Overload,
            Refusal::Share => Self::Share,
            Refusal::Repeats => Self::Repeats,
        }
    }
}

/// A response with an error instead of a backend server's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Sent in the body as `{"error":"REASON"}`, and determines the status.
    pub reason: Reason,
    /// Sent as `Retry-After` in seconds with milliseconds, for temporary reasons.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal without `Retry-After`.
    pub fn new(reason: Reason) -> Self {
        Self { reason, retry_after: None }
    }

    /// A refusal for a reason that ends by itself.
    pub fn temporary(reason: Reason, retry_after: Duration) -> Self {
        Self { reason, retry_after: Some(retry_after) }
    }

    /// Creates the response, with `headers` in addition to its own.
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
