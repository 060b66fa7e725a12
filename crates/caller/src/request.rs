//! Requests of callers, parsed from their heads and bodies.

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

/// The header with the class.
pub const REQUEST_CLASS: &str = "request-class";
/// The header with the idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The header with the caller's preferences, of which `wait` is read.
pub const PREFER: &str = "prefer";
/// The header with the caller's id of a request.
pub const REQUEST_ID: &str = "x-request-id";
/// The header that marks a request relayed by another daemon, which is not relayed again.
pub const RELAYED: &str = "x-relayed-by";

/// The longest id of a request in bytes.
const MAX_REQUEST_ID_BYTES: usize = 64;
/// The longest time that a caller may ask to wait.
const MAX_WAIT: Duration = Duration::from_secs(24 * 60 * 60);
/// The bytes of a prompt that are hashed to find a prefix cache.
const PREFIX_BYTES: usize = 512;
/// The bytes of a prompt that count as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// What a request is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// The addresses to use.
    Addresses,
    /// A model's answer to a conversation.
    Chat,
    /// A model's continuation of a text.
    Text,
    /// A call of a plain service.
    Service {
        /// The service.
        pool: name::Pool,
        /// The path at the service, with its query.
        path: CompactString,
    },
}

impl Route {
    /// Finds the route of a method and a path.
    ///
    /// # Errors
    ///
    /// Fails if there is nothing under the path, or if the method is not allowed there.
    pub fn find(method: &Method, path: &str, query: Option<&str>) -> Result<Self, Outcome> {
        let (route, allowed) = match path {
            "/v1/addresses" => (Self::Addresses, Method::GET),
            "/v1/chat/completions" => (Self::Chat, Method::POST),
            "/v1/completions" => (Self::Text, Method::POST),
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

/// What the head of a request says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// The digest of the bearer key.
    pub bearer: Digest,
    /// The class.
    pub class: name::Class,
    /// The idempotency key.
    pub key: Option<Key>,
    /// The time for which the caller waits.
    pub wait: Option<Duration>,
    /// Whether another daemon has relayed the request.
    pub relayed: bool,
    /// The content type of the body.
    pub content_type: Option<CompactString>,
}

impl Head {
    /// Parses the head of a request.
    ///
    /// # Errors
    ///
    /// Fails with the first header that is missing or malformed.
    pub fn parse(headers: &HeaderMap) -> Result<Self, Outcome> {
        Ok(Self {
            bearer: bearer(headers)?,
            key: key(headers)?,
            class: class(headers)?,
            wait: wait(headers)?,
            relayed: headers.contains_key(RELAYED),
            content_type: text(headers, CONTENT_TYPE.as_str())?.map(CompactString::new),
        })
    }
}

/// The id that a caller gave to a request, if it gave a usable one.
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
/// Fails if there is none.
pub fn bearer(headers: &HeaderMap) -> Result<Digest, Outcome> {
    let missing = || Outcome::refused(Reason::Unauthorized, "send Authorization: Bearer KEY");
    let value = text(headers, AUTHORIZATION.as_str())?.ok_or_else(missing)?;
    let (scheme, key) = value.split_once(' ').ok_or_else(missing)?;
    let key = key.trim();
    if !scheme.eq_ignore_ascii_case("bearer") || key.is_empty() {
        return Err(missing());
    }
    Ok(Digest::of(key.as_bytes()))
}

/// The idempotency key.
///
/// # Errors
///
/// Fails if it is malformed.
pub fn key(headers: &HeaderMap) -> Result<Option<Key>, Outcome> {
    let Some(value) = text(headers, IDEMPOTENCY_KEY)? else { return Ok(None) };
    let parsed = value.parse();
    parsed.map(Some).map_err(|error: crate::key::Error| {
        Outcome::refused(Reason::KeyMalformed, error.to_string())
    })
}

fn class(headers: &HeaderMap) -> Result<name::Class, Outcome> {
    let malformed = |message: String| Outcome::refused(Reason::UnknownClass, message);
    let value = text(headers, REQUEST_CLASS)?
        .ok_or_else(|| malformed("send the class in Request-Class".to_owned()))?;
    value.parse().map_err(|error: name::Error| malformed(error.to_string()))
}

/// The value of `wait` among the preferences (RFC 7240), which may have a fraction.
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

/// The text of a header that may come at most once.
fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Outcome> {
    let malformed =
        |what: &str| Outcome::refused(Reason::Malformed, format!("the header {name} {what}"));
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(malformed("comes twice"));
    }
    value.to_str().map(Some).map_err(|_| malformed("is not plain text"))
}

/// What the body of a request to a model says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// The model.
    pub pool: name::Pool,
    /// Whether the answer is wanted as an event stream.
    pub stream: bool,
    /// Whether the event stream shall end with the count of tokens.
    pub include_usage: bool,
    /// The longest answer wanted.
    pub max_output: Option<Tokens>,
    /// The estimated length of the prompt.
    pub tokens: Tokens,
    /// A hash of the beginning of the prompt.
    pub prefix: u64,
}

#[derive(Deserialize)]
struct Fields<'a> {
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
        let fields: Fields<'_> =
            serde_json::from_slice(body).map_err(|error| malformed(error.to_string()))?;
        let pool = fields.model.parse().map_err(|error: name::Error| {
            Outcome::refused(Reason::UnknownPool, error.to_string())
        })?;
        let (text, field) = match route {
            Route::Chat => (fields.messages, "messages"),
            _ => (fields.prompt, "prompt"),
        };
        let text = text.ok_or_else(|| malformed(format!("the field {field} is missing")))?.get();
        let head = &text.as_bytes()[..text.len().min(PREFIX_BYTES)];
        Ok(Self {
            pool,
            stream: fields.stream.unwrap_or(false),
            include_usage: fields.stream_options.and_then(|o| o.include_usage).unwrap_or(false),
            max_output: fields.max_completion_tokens.or(fields.max_tokens).map(Tokens),
            tokens: Tokens((text.len() as u64).div_ceil(BYTES_PER_TOKEN)),
            prefix: Digest::of(head).short(),
        })
    }
}

/// A request with its names, as the home deals with it.
#[derive(Debug, Clone)]
pub struct Request {
    /// The id: the caller's, or one that the home chose.
    pub id: CompactString,
    /// What the request is for.
    pub route: Route,
    /// What its head says.
    pub head: Head,
    /// What its body says, for a model.
    pub prompt: Option<Prompt>,
    /// The body.
    pub body: Bytes,
}

impl Request {
    /// Parses a request that was read whole.
    ///
    /// # Errors
    ///
    /// Fails if its head or its body is malformed.
    pub fn parse(id: CompactString, head: &Parts, body: Bytes) -> Result<Self, Outcome> {
        let route = Route::find(&head.method, head.uri.path(), head.uri.query())?;
        let parsed = Head::parse(&head.headers)?;
        let prompt = match route.kind() {
            Kind::Model => Some(Prompt::parse(&route, &body)?),
            Kind::Service => None,
        };
        Ok(Self { id, route, head: parsed, prompt, body })
    }

    /// The pool that is asked for.
    pub fn pool(&self) -> &name::Pool {
        match (&self.route, &self.prompt) {
            (Route::Service { pool, .. }, _) => pool,
            (_, Some(prompt)) => &prompt.pool,
            _ => unreachable!("a request to a model has a prompt"),
        }
    }

    /// The path at the backend server, with its query.
    pub fn path(&self) -> CompactString {
        match &self.route {
            Route::Chat => CompactString::const_new("/v1/chat/completions"),
            Route::Service { path, .. } => path.clone(),
            _ => CompactString::const_new("/v1/completions"),
        }
    }

    /// Whether the answer is wanted as an event stream.
    pub fn is_stream(&self) -> bool {
        self.prompt.as_ref().is_some_and(|prompt| prompt.stream)
    }

    /// What an engine or a plain service gets to work on: the body without what only says how the
    /// answer shall be delivered, in one form.
    pub fn essence(&self) -> Cow<'_, [u8]> {
        /// The fields that have no influence on the work of an engine.
        const DELIVERY: [&str; 5] = ["stream", "stream_options", "priority", "user", "metadata"];
        if self.prompt.is_none() {
            return Cow::Borrowed(&self.body);
        }
        let parsed: Result<BTreeMap<CompactString, Value>, _> = serde_json::from_slice(&self.body);
        let Ok(mut fields) = parsed else { return Cow::Borrowed(&self.body) };
        fields.retain(|name, _| !DELIVERY.contains(&name.as_str()));
        Cow::Owned(serde_json::to_vec(&fields).expect("a JSON object is serializable"))
    }

    /// The digest that tells two requests with the same key apart.
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
