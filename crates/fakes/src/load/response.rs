//! Reads a daemon's response to a request.

use std::time::Instant;

use anyhow::{Context, Result, bail};
use compact_str::CompactString;
use http_body_util::BodyExt;
use hyper::{StatusCode, body::Incoming, header::CONTENT_TYPE};
use serde_json::Value;

use super::{Payload, Request};
use crate::history::Outcome;

/// The response to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The outcome.
    pub outcome: Outcome,
    /// The text of the response, empty for other outcomes.
    pub text: String,
    /// The reason of an outcome without a response.
    pub reason: CompactString,
    /// The time to wait before a retry after a refusal, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// The time from sending to the first token, in milliseconds.
    pub first_token_ms: Option<u64>,
}

impl Response {
    fn answered(text: String, first_token_ms: Option<u64>) -> Self {
        let outcome = Outcome::Answered;
        Self {
            outcome,
            text,
            reason: CompactString::default(),
            retry_after_ms: None,
            first_token_ms,
        }
    }

    /// The outcome of an attempt that got no response.
    pub(super) fn lost(reason: impl Into<CompactString>) -> Self {
        let (outcome, reason) = (Outcome::Lost, reason.into());
        Self { outcome, text: String::new(), reason, retry_after_ms: None, first_token_ms: None }
    }

    /// Parses an outcome without a response from its JSON form.
    fn parse(value: &Value) -> Result<Self> {
        let outcome = match value["outcome"].as_str() {
            Some("refused") => Outcome::Refused,
            Some("unknown") => Outcome::Unknown,
            Some("failed") => Outcome::Failed,
            _ => bail!("no valid outcome in {value}"),
        };
        let ran = value["ran"].as_str().unwrap_or_default();
        let (reason, message) = (value["reason"].as_str(), value["message"].as_str());
        let reason =
            format!("{} {ran} {}", reason.unwrap_or_default(), message.unwrap_or_default());
        let retry_after_ms = value["retry_after_ms"].as_u64();
        Ok(Self { outcome, retry_after_ms, ..Self::lost(reason) })
    }
}

/// Reads the complete response to `request`, which was sent at `sent`.
pub(super) async fn read(
    request: &Request,
    response: hyper::Response<Incoming>,
    sent: Instant,
) -> Result<Response> {
    let status = response.status();
    let content_type =
        response.headers().get(CONTENT_TYPE).and_then(|content_type| content_type.to_str().ok());
    if content_type.is_some_and(|content_type| content_type.starts_with("text/event-stream")) {
        return stream(response.into_body(), sent).await;
    }
    let bytes = response.into_body().collect().await?.to_bytes();
    if status == StatusCode::OK && matches!(request.payload, Payload::Call { .. }) {
        return Ok(Response::answered(String::from_utf8(bytes.to_vec())?, None));
    }
    let shown = || format!("{status}: {}", String::from_utf8_lossy(&bytes));
    let value: Value = serde_json::from_slice(&bytes).with_context(shown)?;
    if status != StatusCode::OK {
        return Response::parse(&value).with_context(shown);
    }
    let choice = &value["choices"][0];
    let text = choice["text"].as_str().or(choice["message"]["content"].as_str());
    Ok(Response::answered(text.with_context(shown)?.to_owned(), None))
}

async fn stream(mut body: Incoming, sent: Instant) -> Result<Response> {
    let mut buffer = Vec::new();
    let mut text = String::new();
    let mut first_token_ms = None;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        buffer.extend_from_slice(&data);
        while let Some(end) = buffer.iter().position(|&byte| byte == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            let Some(data) = std::str::from_utf8(&line)?.trim_end().strip_prefix("data:") else {
                continue;
            };
            if data.trim() == "[DONE]" {
                return Ok(Response::answered(text, first_token_ms));
            }
            let chunk: Value = serde_json::from_str(data)?;
            if chunk.get("outcome").is_some() {
                return Response::parse(&chunk);
            }
            let choice = &chunk["choices"][0];
            let token =
                choice["text"].as_str().or(choice["delta"]["content"].as_str()).unwrap_or_default();
            if !token.is_empty() {
                first_token_ms.get_or_insert_with(|| sent.elapsed().as_millis() as u64);
                text.push_str(token);
            }
        }
    }
    bail!("the stream ended without [DONE]")
}
