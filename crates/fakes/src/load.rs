//! Load generator: callers that use the product as its documentation for callers describes.
//!
//! A caller gets the list of addresses from any daemon, caches it for its lifetime, and sends each
//! request with an idempotency key that names the daemon it is sent to.

mod caller;
mod response;
mod schedule;

pub use self::{
    caller::{Caller, RetryPolicy},
    response::Response,
    schedule::{ClassLoad, Schedule, run},
};

use compact_str::CompactString;
use hyssop_document::{digest::Digest, name};
use serde_json::json;

use crate::{engine, service};

/// The contents of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Payload {
    /// A chat completion.
    Chat {
        /// The prompt.
        prompt: String,
        /// The limit of response tokens.
        max_tokens: Option<u64>,
        /// Whether the response is an event stream.
        stream: bool,
    },
    /// A text completion.
    Completion {
        /// The prompt.
        prompt: String,
        /// The limit of response tokens.
        max_tokens: Option<u64>,
        /// Whether the response is an event stream.
        stream: bool,
    },
    /// A call to a plain service.
    Call {
        /// The path after the service's name.
        path: String,
        /// The body.
        body: String,
    },
}

/// A request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The number of the request, unique in a run.
    pub number: u64,
    /// The request class.
    pub class: name::Class,
    /// The workspace of the caller.
    pub workspace: name::Workspace,
    /// The pool of the model or the plain service.
    pub pool: name::Pool,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The time after which the caller no longer needs the response, in milliseconds.
    pub deadline_ms: u64,
    /// The contents of the request.
    pub payload: Payload,
}

impl Request {
    /// The request path at a daemon.
    pub fn path(&self) -> String {
        match &self.payload {
            Payload::Chat { .. } => "/v1/chat/completions".to_owned(),
            Payload::Completion { .. } => "/v1/completions".to_owned(),
            Payload::Call { path, .. } => format!("/v1/services/{}/{path}", self.pool),
        }
    }

    /// The request body.
    pub fn body(&self) -> String {
        let mut body = match &self.payload {
            Payload::Chat { prompt, stream, .. } => {
                json!({"messages": [{"role": "user", "content": prompt}], "stream": stream})
            }
            Payload::Completion { prompt, stream, .. } => {
                json!({"prompt": prompt, "stream": stream})
            }
            Payload::Call { body, .. } => return body.clone(),
        };
        body["model"] = json!(self.pool);
        if let Payload::Chat { max_tokens: Some(max), .. }
        | Payload::Completion { max_tokens: Some(max), .. } = &self.payload
        {
            body["max_tokens"] = json!(max);
        }
        body.to_string()
    }

    /// The digest that identifies the request in execution records.
    pub fn content_digest(&self) -> Digest {
        match &self.payload {
            Payload::Chat { prompt, .. } | Payload::Completion { prompt, .. } => {
                Digest::of(prompt.as_bytes())
            }
            Payload::Call { body, .. } => Digest::of(body.as_bytes()),
        }
    }

    /// The only correct response.
    pub fn expected(&self) -> String {
        match &self.payload {
            Payload::Chat { prompt, max_tokens, .. }
            | Payload::Completion { prompt, max_tokens, .. } => {
                engine::expected_text(prompt, *max_tokens)
            }
            Payload::Call { path, body } => {
                service::expected_body(&format!("/{path}"), body.as_bytes())
            }
        }
    }

    /// The part of the idempotency key that the caller chooses.
    fn key_suffix(&self, renewals: u32) -> CompactString {
        compact_str::format_compact!("r{}-{renewals}", self.number)
    }
}
