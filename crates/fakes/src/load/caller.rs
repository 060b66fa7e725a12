//! One caller of a workspace.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::{Context, Result, ensure};
use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use http_body_util::Full;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE};
use hyssop_document::{
    name,
    number::{Incarnation, Tokens},
};
use parking_lot::Mutex;
use serde::Deserialize;

use super::{Payload, Request, Response, response};
use crate::{
    client,
    history::{Ended, Event, History, Outcome, Sent},
    record::unix_ms,
    shape,
};

/// How long a caller waits beyond the request's deadline before it closes the connection.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);
const ADDRESSES_TIMEOUT: Duration = Duration::from_secs(2);
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(100);
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// How a caller retries after an attempt without a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPolicy {
    /// The maximum number of attempts.
    pub max_attempts: u32,
    /// The time after which an attempt is abandoned and retried through another daemon.
    pub attempt_timeout: Duration,
    /// Whether a refused request is retried, after the time given in the refusal.
    pub after_refusal: bool,
}

impl RetryPolicy {
    /// A single attempt.
    pub const NONE: Self =
        Self { max_attempts: 1, attempt_timeout: Duration::from_secs(3600), after_refusal: false };
}

#[derive(Debug, Clone, Copy, Deserialize)]
struct Address {
    address: SocketAddr,
    incarnation: Incarnation,
}

#[derive(Debug, Deserialize)]
struct Addresses {
    lifetime_ms: u64,
    addresses: Vec<Address>,
}

/// How to make the next attempt.
#[derive(Debug, Clone, Copy)]
struct NextAttempt {
    new_key: bool,
    delay: Duration,
}

/// A caller with its cached list of addresses.
#[derive(Debug)]
pub struct Caller {
    workspace: name::Workspace,
    seeds: Vec<SocketAddr>,
    cached: Mutex<Option<(Arc<Addresses>, Instant)>>,
    history: Arc<History>,
    retry: RetryPolicy,
}

impl Caller {
    /// A caller that gets the list of addresses from the daemons at `seeds`.
    pub fn new(
        workspace: name::Workspace,
        seeds: Vec<SocketAddr>,
        history: Arc<History>,
        retry: RetryPolicy,
    ) -> Self {
        Self { workspace, seeds, cached: Mutex::new(None), history, retry }
    }

    /// Sends a request until it gets a final outcome or reaches the attempt limit or the deadline.
    pub async fn send(&self, request: &Request) -> Response {
        let end = Instant::now() + Duration::from_millis(request.deadline_ms);
        let mut key: Option<CompactString> = None;
        let mut renewals = 0;
        let mut last = Response::lost("no daemon returned its addresses");
        for attempt in 0..self.retry.max_attempts {
            let Some(addresses) = self.addresses(request.number, end).await else { break };
            // Each attempt goes through another daemon. The key changes only where a retry needs it.
            let list = &addresses.addresses;
            let chosen = list[attempt as usize % list.len()];
            let new = || new_key(request, chosen.incarnation, renewals);
            let current = key.get_or_insert_with(new).clone();
            last = self.attempt(request, attempt, chosen.address, current, end).await;
            let Some(next_attempt) = self.next_attempt(request, &last) else { break };
            if next_attempt.new_key {
                key = None;
                renewals += 1;
            }
            tokio::time::sleep(next_attempt.delay).await;
            if Instant::now() >= end {
                break;
            }
        }
        last
    }

    /// The next attempt after a response, or `None` if the response is final.
    fn next_attempt(&self, request: &Request, response: &Response) -> Option<NextAttempt> {
        let retry_after = response.retry_after_ms.map(Duration::from_millis);
        match response.outcome {
            Outcome::Answered | Outcome::Failed => None,
            Outcome::Refused => self.retry.after_refusal.then(|| NextAttempt {
                new_key: true,
                delay: retry_after.unwrap_or(REFUSED_RETRY_DELAY),
            }),
            // The request may have run, so only an idempotent one is sent under a new key.
            Outcome::Unknown => request
                .idempotent
                .then(|| NextAttempt { new_key: true, delay: retry_after.unwrap_or(RETRY_DELAY) }),
            Outcome::Lost => {
                *self.cached.lock() = None;
                Some(NextAttempt { new_key: false, delay: RETRY_DELAY })
            }
        }
    }

    async fn attempt(
        &self,
        request: &Request,
        attempt: u32,
        to: SocketAddr,
        key: CompactString,
        end: Instant,
    ) -> Response {
        self.history.add(Event::Sent(Sent {
            request: request.number,
            attempt,
            class: request.class.clone(),
            workspace: self.workspace.clone(),
            key: Some(key.clone()),
            idempotent: request.idempotent,
            content: request.content_digest(),
            to,
            at_ms: unix_ms(),
        }));
        let sent = Instant::now();
        let left = end.saturating_duration_since(sent);
        let attempt_timeout = (left + RESPONSE_GRACE).min(self.retry.attempt_timeout);
        let result =
            tokio::time::timeout(attempt_timeout, self.exchange(request, to, &key, left)).await;
        let response = match result {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => Response::lost(format!("{error:#}")),
            Err(_) => Response::lost("timeout"),
        };
        self.history.add(Event::Ended(ended(request, attempt, &response, sent)));
        response
    }

    async fn exchange(
        &self,
        request: &Request,
        to: SocketAddr,
        key: &str,
        left: Duration,
    ) -> Result<Response> {
        let sent = Instant::now();
        let http = hyper::Request::post(request.path())
            .header(AUTHORIZATION, format!("Bearer {}", shape::workspace_key(&self.workspace)))
            .header(CONTENT_TYPE, "application/json")
            .header("request-class", request.class.as_str())
            .header("idempotency-key", key)
            .header("prefer", format!("wait={:.3}", left.as_secs_f64()))
            .body(Full::new(Bytes::from(request.body())))?;
        let response = client::send(to, http).await?;
        response::read(request, response, sent).await
    }

    /// The cached addresses, fetched again after their lifetime.
    async fn addresses(&self, number: u64, end: Instant) -> Option<Arc<Addresses>> {
        let cached = self.cached.lock().clone();
        if let Some((addresses, until)) = cached
            && Instant::now() < until
        {
            return Some(addresses);
        }
        let mut seed = number as usize;
        while Instant::now() < end {
            let daemon = self.seeds[seed % self.seeds.len()];
            seed += 1;
            if let Ok(addresses) = fetch(daemon).await {
                let until = Instant::now() + Duration::from_millis(addresses.lifetime_ms);
                let addresses = Arc::new(addresses);
                *self.cached.lock() = Some((addresses.clone(), until));
                return Some(addresses);
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        None
    }
}

fn new_key(request: &Request, home: Incarnation, renewals: u32) -> CompactString {
    format_compact!("{home}.{}.{}", unix_ms(), request.key_suffix(renewals))
}

async fn fetch(daemon: SocketAddr) -> Result<Addresses> {
    let call = client::get(daemon, "/v1/addresses");
    let bytes = tokio::time::timeout(ADDRESSES_TIMEOUT, call)
        .await
        .context("timeout reading the addresses")??;
    let addresses: Addresses = serde_json::from_slice(&bytes)?;
    ensure!(!addresses.addresses.is_empty(), "the list of addresses is empty");
    Ok(addresses)
}

fn ended(request: &Request, attempt: u32, response: &Response, sent: Instant) -> Ended {
    let answered = response.outcome == Outcome::Answered;
    let correct = answered && response.text == request.expected();
    let tokens = match request.payload {
        Payload::Call { .. } => 0,
        _ => response.text.split_whitespace().count() as u64,
    };
    let reason = if answered && !correct {
        format_compact!("expected {:?}, got {:?}", request.expected(), response.text)
    } else {
        response.reason.clone()
    };
    Ended {
        request: request.number,
        attempt,
        outcome: response.outcome,
        correct,
        reason,
        tokens: Tokens(tokens),
        first_token_ms: response.first_token_ms,
        elapsed_ms: sent.elapsed().as_millis() as u64,
        at_ms: unix_ms(),
    }
}
