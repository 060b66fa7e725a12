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

use super::{Answer, Ask, Request, answer};
use crate::{
    client,
    history::{Ended, Event, History, Outcome, Sent},
    record::unix_ms,
    shape,
};

/// The time that a caller waits beyond its deadline before it gives up a connection.
const GRACE: Duration = Duration::from_millis(500);
const ADDRESSES_LIMIT: Duration = Duration::from_secs(2);
const REFUSED_PAUSE: Duration = Duration::from_millis(100);
const PAUSE: Duration = Duration::from_millis(50);

/// How a caller goes on after a try that brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Retry {
    /// The largest number of tries.
    pub tries: u32,
    /// The time after which a try is given up and sent again through another daemon.
    pub patience: Duration,
    /// Whether a refused request is sent again when the refusal says so.
    pub after_refusal: bool,
}

impl Retry {
    /// One try.
    pub const NONE: Self =
        Self { tries: 1, patience: Duration::from_secs(3600), after_refusal: false };
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

/// Another try.
#[derive(Debug, Clone, Copy)]
struct Again {
    new_key: bool,
    pause: Duration,
}

/// A caller with its answer of which addresses to use.
#[derive(Debug)]
pub struct Caller {
    workspace: name::Workspace,
    seeds: Vec<SocketAddr>,
    known: Mutex<Option<(Arc<Addresses>, Instant)>>,
    history: Arc<History>,
    retry: Retry,
}

impl Caller {
    /// A caller that knows the addresses `seeds` from its settings.
    pub fn new(
        workspace: name::Workspace,
        seeds: Vec<SocketAddr>,
        history: Arc<History>,
        retry: Retry,
    ) -> Self {
        Self { workspace, seeds, known: Mutex::new(None), history, retry }
    }

    /// Sends a request until it has an answer or the tries or the time are used up.
    pub async fn ask(&self, request: &Request) -> Answer {
        let end = Instant::now() + Duration::from_millis(request.deadline_ms);
        let mut key: Option<CompactString> = None;
        let mut renewals = 0;
        let mut last = Answer::lost("no daemon gives addresses");
        for attempt in 0..self.retry.tries {
            let Some(addresses) = self.addresses(request.number, end).await else { break };
            // Each try goes through another daemon; the key stays that of the first.
            let list = &addresses.addresses;
            let chosen = list[attempt as usize % list.len()];
            let new = || new_key(request, chosen.incarnation, renewals);
            let current = key.get_or_insert_with(new).clone();
            last = self.attempt(request, attempt, chosen.address, current, end).await;
            let Some(again) = self.again(request, &last) else { break };
            if again.new_key {
                key = None;
                renewals += 1;
            }
            tokio::time::sleep(again.pause).await;
            if Instant::now() >= end {
                break;
            }
        }
        last
    }

    /// How to go on after an answer, if at all.
    fn again(&self, request: &Request, answer: &Answer) -> Option<Again> {
        let retry_after = answer.retry_after_ms.map(Duration::from_millis);
        match answer.outcome {
            Outcome::Answered | Outcome::Failed => None,
            Outcome::Refused => self
                .retry
                .after_refusal
                .then(|| Again { new_key: true, pause: retry_after.unwrap_or(REFUSED_PAUSE) }),
            // It may have run, so only what may run twice is sent under a new key.
            Outcome::Unknown => request
                .idempotent
                .then(|| Again { new_key: true, pause: retry_after.unwrap_or(PAUSE) }),
            Outcome::Lost => {
                *self.known.lock() = None;
                Some(Again { new_key: false, pause: PAUSE })
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
    ) -> Answer {
        self.history.add(Event::Sent(Sent {
            request: request.number,
            attempt,
            class: request.class.clone(),
            workspace: self.workspace.clone(),
            key: Some(key.clone()),
            idempotent: request.idempotent,
            content: request.content(),
            to,
            at_ms: unix_ms(),
        }));
        let sent = Instant::now();
        let left = end.saturating_duration_since(sent);
        let patience = (left + GRACE).min(self.retry.patience);
        let exchange = tokio::time::timeout(patience, self.exchange(request, to, &key, left)).await;
        let answer = match exchange {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => Answer::lost(format!("{error:#}")),
            Err(_) => Answer::lost("timeout"),
        };
        self.history.add(Event::Ended(ended(request, attempt, &answer, sent)));
        answer
    }

    async fn exchange(
        &self,
        request: &Request,
        to: SocketAddr,
        key: &str,
        left: Duration,
    ) -> Result<Answer> {
        let sent = Instant::now();
        let http = hyper::Request::post(request.path())
            .header(AUTHORIZATION, format!("Bearer {}", shape::workspace_key(&self.workspace)))
            .header(CONTENT_TYPE, "application/json")
            .header("request-class", request.class.as_str())
            .header("idempotency-key", key)
            .header("prefer", format!("wait={:.3}", left.as_secs_f64()))
            .body(Full::new(Bytes::from(request.body())))?;
        let response = client::send(to, http).await?;
        answer::read(request, response, sent).await
    }

    /// The addresses to use, asked for again when the last answer has expired.
    async fn addresses(&self, number: u64, end: Instant) -> Option<Arc<Addresses>> {
        let known = self.known.lock().clone();
        if let Some((addresses, until)) = known
            && Instant::now() < until
        {
            return Some(addresses);
        }
        let mut seed = number as usize;
        while Instant::now() < end {
            let asked = self.seeds[seed % self.seeds.len()];
            seed += 1;
            if let Ok(addresses) = fetch(asked).await {
                let until = Instant::now() + Duration::from_millis(addresses.lifetime_ms);
                let addresses = Arc::new(addresses);
                *self.known.lock() = Some((addresses.clone(), until));
                return Some(addresses);
            }
            tokio::time::sleep(PAUSE).await;
        }
        None
    }
}

fn new_key(request: &Request, home: Incarnation, renewals: u32) -> CompactString {
    format_compact!("{home}.{}.{}", unix_ms(), request.key_part(renewals))
}

async fn fetch(daemon: SocketAddr) -> Result<Addresses> {
    let call = client::get(daemon, "/v1/addresses");
    let bytes = tokio::time::timeout(ADDRESSES_LIMIT, call).await.context("timeout")??;
    let addresses: Addresses = serde_json::from_slice(&bytes)?;
    ensure!(!addresses.addresses.is_empty(), "no addresses");
    Ok(addresses)
}

fn ended(request: &Request, attempt: u32, answer: &Answer, sent: Instant) -> Ended {
    let answered = answer.outcome == Outcome::Answered;
    let whole = answered && answer.text == request.expected();
    let tokens = match request.ask {
        Ask::Call { .. } => 0,
        _ => answer.text.split_whitespace().count() as u64,
    };
    let reason = if answered && !whole {
        format_compact!("expected {:?}, came {:?}", request.expected(), answer.text)
    } else {
        answer.reason.clone()
    };
    Ended {
        request: request.number,
        attempt,
        outcome: answer.outcome,
        whole,
        reason,
        tokens: Tokens(tokens),
        first_token_ms: answer.first_token_ms,
        elapsed_ms: sent.elapsed().as_millis() as u64,
        at_ms: unix_ms(),
    }
}
