//! Callers' requests, parsed from their heads and bodies.

use std::{borrow::Cow, collections::BTreeMap, time::Duration};

use bytes::Bytes;
use compact_str::CompactString;
use hyper::{
    Method,
    header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap},
    http::request::Parts,
};
use hyssop_document::{digest::Digest, model::Kind, name, number::Tokens};
use serde::Deserialize;
use serde_json::{Value, value::RawValue};

use crate::{
    key::Key,
    outcome::{Outcome, Reason},
};

/// The header with the name of the request's class.
pub const REQUEST_CLASS: &str = "request-class";
/// The header with the idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The header with the caller's preferences (RFC 7240). Only `wait` is used.
pub const PREFER: &str = "prefer";
/// The header with the id of a request, sent by callers and returned in responses.
pub const REQUEST_ID: &str = "x-request-id";
/// The header of a request that another daemon relayed. Such a request is not relayed again.
pub const RELAYED_BY: &str = "x-relayed-by";

const MAX_REQUEST_ID_BYTES: usize = 64;
/// Longer waits are shortened to this time.
const MAX_WAIT: Duration = Duration::from_secs(24 * 60 * 60);
/// Only the beginning of a prompt is hashed to find a backend server that has its prefix cached.
const MAX_PREFIX_BYTES: usize = 512;
/// The ratio that estimates the tokens of a prompt from the length of its JSON text.
const BYTES_PER_TOKEN: u64 = 4;

/// The endpoint that a request addresses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// The addresses of the daemons.
    Addresses,
    /// A model's chat completion.
    Chat,
    /// A model's text completion.
    Completion,
    /// A call of a service that is not a model.
    Service {
        /// The pool of the service.
        pool: name::Pool,
        /// The path and query at the service.
        path: CompactString,
    },
}

impl Route {
    /// Finds the route for a method and a path.
    ///
    /// # Errors
    ///
    /// Fails if no route has the path, or if the path does not allow the method.
    pub fn find(method: &Method, path: &str, query: Option<&str>) -> Result<Self, Outcome> {
        let (route, allowed) = match path {
            "/v1/addresses" => (Self::Addresses, Method::GET),
            "/v1/chat/completions" => (Self::Chat, Method::POST),
            "/v1/completions" => (Self::Completion, Method::POST),
            _ => (Self::service(path, query)?, Method::POST),
        };
        if *method != allowed {
            let message = format!("use {allowed} here");
            return Err(Outcome::refused(Reason::Method, message));
        }
        Ok(route)
    }

    fn service(path: &str, query: Option<&str>) -> Result<Self, Outcome> {
        let not_found = || Outcome::refused(Reason::NotFound, "there is nothing under this path");
        let rest = path.strip_prefix("/v1/services/").ok_or_else(not_found)?;
        let (pool, path) = rest.split_once('/').unwrap_or((rest, ""));
        let pool = pool.parse().map_err(|_| not_found())?;
        let mut path = CompactString::new(format!("/{path}"));
        if let Some(query) = query {
            path.push('?');
            path.push_str(query);
        }
        Ok(Self::Service { pool, path })
    }

    /// The kind of pool that serves the route.
    pub fn kind(&self) -> Kind {
        match self {
            Self::Service { .. } => Kind::Service,
            _ => Kind::Model,
        }
    }
}

/// The parsed head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// The digest of the bearer key.
    pub bearer: Digest,
    /// The name of the request's class.
    pub class: name::Class,
    /// The idempotency key, if the caller sent one.
    pub key: Option<Key>,
    /// The time for which the caller waits for a response.
    pub wait: Option<Duration>,
    /// Whether another daemon relayed the request.
    pub relayed: bool,
    /// The content type of the body.
    pub content_type: Option<CompactString>,
}

impl Head {
    /// Parses the headers of a request.
    ///
    /// # Errors
    ///
    /// Fails with the first header that is missing or malformed.
    pub fn parse(headers: &HeaderMap) -> Result<Self, Outcome> {
        Ok(Self {
            bearer: bearer_digest(headers)?,
            key: idempotency_key(headers)?,
            class: class(headers)?,
            wait: wait(headers)?,
            relayed: headers.contains_key(RELAYED_BY),
            content_type: header_text(headers, CONTENT_TYPE.as_str())?.map(CompactString::new),
        })
    }
}

/// The caller's id of the request, if it is valid: 1 to 64 letters, digits, `-`, `_` and `.`.
pub fn request_id(headers: &HeaderMap) -> Option<CompactString> {
    let id = headers.get(REQUEST_ID)?.to_str().ok()?;
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    let fits = (1..=MAX_REQUEST_ID_BYTES).contains(&id.len());
    (fits && id.bytes().all(allowed)).then(|| CompactString::new(id))
}

/// The digest of the bearer key.
///
/// # Errors
///
/// Fails if the headers contain no bearer key.
pub fn bearer_digest(headers: &HeaderMap) -> Result<Digest, Outcome> {
    let missing = || Outcome::refused(Reason::Unauthorized, "send Authorization: Bearer KEY");
    let value = header_text(headers, AUTHORIZATION.as_str())?.ok_or_else(missing)?;
    let (scheme, key) = value.split_once(' ').ok_or_else(missing)?;
    let key = key.trim();
    if !scheme.eq_ignore_ascii_case("bearer") || key.is_empty() {
        return Err(missing());
    }
    Ok(Digest::of(key.as_bytes()))
}

/// The idempotency key, if the headers contain one.
///
/// # Errors
///
/// Fails if the key is malformed.
pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<Key>, Outcome> {
    let Some(value) = header_text(headers, IDEMPOTENCY_KEY)? else { return Ok(None) };
    let parsed = value.parse();
    parsed.map(Some).map_err(|error: crate::key::Error| {
        Outcome::refused(Reason::KeyMalformed, error.to_string())
    })
}

fn class(headers: &HeaderMap) -> Result<name::Class, Outcome> {
    let malformed = |message: String| Outcome::refused(Reason::UnknownClass, message);
    let value = header_text(headers, REQUEST_CLASS)?
        .ok_or_else(|| malformed("send the class in Request-Class".to_owned()))?;
    value.parse().map_err(|error: name::Error| malformed(error.to_string()))
}

/// The preference `wait` (RFC 7240) in seconds. Fractions are accepted, unlike in the RFC.
fn wait(headers: &HeaderMap) -> Result<Option<Duration>, Outcome> {
    let malformed = || Outcome::refused(Reason::Malformed, "Prefer: wait takes seconds");
    for value in headers.get_all(PREFER) {
        let value = value.to_str().map_err(|_| malformed())?;
        for preference in value.split([',', ';']) {
            let Some((name, seconds)) = preference.split_once('=') else { continue };
            if !name.trim().eq_ignore_ascii_case("wait") {
                continue;
            }
            let seconds: f64 = seconds.trim().trim_matches('"').parse().map_err(|_| malformed())?;
            let wait = Duration::try_from_secs_f64(seconds).map_err(|_| malformed())?;
            return Ok(Some(wait.min(MAX_WAIT)));
        }
    }
    Ok(None)
}

/// The text of a header that may occur at most once.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Outcome> {
    let malformed =
        |what: &str| Outcome::refused(Reason::Malformed, format!("the header {name} {what}"));
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(malformed("comes twice"));
    }
    value.to_str().map(Some).map_err(|_| malformed("is not plain text"))
}

/// The parsed body of a request to a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// The pool of the model.
    pub pool: name::Pool,
    /// Whether the caller requests an event stream.
    pub stream: bool,
    /// Whether the event stream ends with the token usage.
    pub include_usage: bool,
    /// The maximum number of output tokens that the caller requests.
    pub max_output: Option<Tokens>,
    /// The estimated number of prompt tokens.
    pub tokens: Tokens,
    /// The hash of the prompt's beginning.
    pub prefix_hash: u64,
}

#[derive(Deserialize)]
struct BodyFields<'a> {
    model: CompactString,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    stream_options: Option<StreamOptions>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(borrow, default)]
    prompt: Option<&'a RawValue>,
    #[serde(borrow, default)]
    messages: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: Option<bool>,
}

impl Prompt {
    /// Parses the body of a request to a model.
    ///
    /// # Errors
    ///
    /// Fails if the body is malformed or lacks the model or the prompt.
    pub fn parse(route: &Route, body: &Bytes) -> Result<Self, Outcome> {
        let malformed = |message: String| Outcome::refused(Reason::Malformed, message);
        let fields: BodyFields<'_> =
            serde_json::from_slice(body).map_err(|error| malformed(error.to_string()))?;
        let pool = fields.model.parse().map_err(|error: name::Error| {
            Outcome::refused(Reason::UnknownPool, error.to_string())
        })?;
        let (text, field) = match route {
            Route::Chat => (fields.messages, "messages"),
            _ => (fields.prompt, "prompt"),
        };
        let text = text.ok_or_else(|| malformed(format!("the field {field} is missing")))?.get();
        let prefix = &text.as_bytes()[..text.len().min(MAX_PREFIX_BYTES)];
        Ok(Self {
            pool,
            stream: fields.stream.unwrap_or(false),
            include_usage: fields.stream_options.and_then(|o| o.include_usage).unwrap_or(false),
            max_output: fields.max_completion_tokens.or(fields.max_tokens).map(Tokens),
            tokens: Tokens((text.len() as u64).div_ceil(BYTES_PER_TOKEN)),
            prefix_hash: Digest::of(prefix).short(),
        })
    }
}

/// A request that was read completely and parsed.
#[derive(Debug, Clone)]
pub struct Request {
    /// The caller's id of the request, or an id that the home generated.
    pub id: CompactString,
    /// The endpoint that the request addresses.
    pub route: Route,
    /// The parsed head.
    pub head: Head,
    /// The parsed body of a request to a model.
    pub prompt: Option<Prompt>,
    /// The body as received.
    pub body: Bytes,
}

impl Request {
    /// Parses a request that was read completely.
    ///
    /// # Errors
    ///
    /// Fails if no route matches, or if the head or the body is malformed.
    pub fn parse(id: CompactString, head: &Parts, body: Bytes) -> Result<Self, Outcome> {
        let route = Route::find(&head.method, head.uri.path(), head.uri.query())?;
        let parsed = Head::parse(&head.headers)?;
        let prompt = match route.kind() {
            Kind::Model => Some(Prompt::parse(&route, &body)?),
            Kind::Service => None,
        };
        Ok(Self { id, route, head: parsed, prompt, body })
    }

    /// The pool of the model or service that the request names.
    pub fn pool(&self) -> &name::Pool {
        match (&self.route, &self.prompt) {
            (Route::Service { pool, .. }, _) => pool,
            (_, Some(prompt)) => &prompt.pool,
            _ => unreachable!("a request to a model has a prompt"),
        }
    }

    /// The path and query at the backend server.
    pub fn path(&self) -> CompactString {
        match &self.route {
            Route::Chat => CompactString::const_new("/v1/chat/completions"),
            Route::Service { path, .. } => path.clone(),
            _ => CompactString::const_new("/v1/completions"),
        }
    }

    /// Whether the caller requests an event stream.
    pub fn is_stream(&self) -> bool {
        self.prompt.as_ref().is_some_and(|prompt| prompt.stream)
    }

    /// The body in a canonical form, without fields that do not affect what an engine computes. The
    /// body of a request to a service stays unchanged.
    pub fn canonical_body(&self) -> Cow<'_, [u8]> {
        /// The fields that do not affect what an engine computes.
        const IGNORED_FIELDS: [&str; 5] =
            ["stream", "stream_options", "priority", "user", "metadata"];
        if self.prompt.is_none() {
            return Cow::Borrowed(&self.body);
        }
        let parsed: Result<BTreeMap<CompactString, Value>, _> = serde_json::from_slice(&self.body);
        let Ok(mut fields) = parsed else { return Cow::Borrowed(&self.body) };
        fields.retain(|name, _| !IGNORED_FIELDS.contains(&name.as_str()));
        Cow::Owned(serde_json::to_vec(&fields).expect("a JSON object is serializable"))
    }

    /// The digest that detects the reuse of an idempotency key with a different request.
    pub fn digest(&self) -> Digest {
        let mut bytes = Vec::with_capacity(self.body.len() + 64);
        for field in [self.path().as_str(), self.pool().as_str(), self.head.class.as_str()] {
            bytes.extend_from_slice(field.as_bytes());
            bytes.push(0);
        }
        bytes.extend_from_slice(&self.body);
        Digest::of(&bytes)
    }
}
