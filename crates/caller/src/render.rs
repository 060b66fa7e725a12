//! HTTP responses to callers: complete bodies, event streams and outcomes.

use bytes::Bytes;
use compact_str::CompactString;
use futures::stream;
use hyper::{
    Response, StatusCode,
    header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use hyssop_document::digest::Digest;
use serde::Deserialize;
use serde_json::{Map, Value, json, value::RawValue};

use crate::{
    body::{self, Body},
    handler::REQUEST_OUTCOME,
    outcome::{Kind, Outcome},
    record::{Chunk, End, Head, Next, Reader, Record},
    request,
};

const ANSWERED: HeaderValue = HeaderValue::from_static("answered");
const EVENT_STREAM: HeaderValue = HeaderValue::from_static("text/event-stream");
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// The fields of an engine's chunk that are replaced or compared, as raw JSON text.
#[derive(Deserialize)]
struct ParsedChunk<'a> {
    #[serde(borrow)]
    id: &'a RawValue,
    #[serde(borrow, default)]
    choices: Option<&'a RawValue>,
    #[serde(borrow, default)]
    usage: Option<&'a RawValue>,
}

/// Converts an engine's chunk into a recorded chunk for callers. Returns nothing if the chunk is
/// not valid JSON or has no `id`.
///
/// The attempt's id is replaced by the request's id, which is the same in all attempts. The other
/// fields of the chunk stay unchanged.
pub fn model_chunk(id: &str, chunk: &Bytes, is_usage: bool) -> Option<Chunk> {
    let parsed: ParsedChunk<'_> = serde_json::from_slice(chunk).ok()?;
    let compared = if is_usage { parsed.usage } else { parsed.choices };
    let compared = compared.map_or("", RawValue::get);
    let start = parsed.id.get().as_ptr() as usize - chunk.as_ptr() as usize;
    let end = start + parsed.id.get().len();
    let new_id = format!("\"cmpl-{id}\"");
    let data = [&chunk[..start], new_id.as_bytes(), &chunk[end..]].concat().into();
    Some(Chunk { data, digest: Digest::of(compared.as_bytes()).short(), is_usage })
}

/// Converts a chunk of a service's response body into a recorded chunk.
pub fn service_chunk(data: Bytes) -> Chunk {
    let digest = Digest::of(&data).short();
    Chunk { data, digest, is_usage: false }
}

/// Renders an outcome.
pub fn outcome(outcome: &Outcome, request_id: &str) -> Response<Body> {
    let mut response = Response::new(body::full(outcome.to_json(request_id)));
    *response.status_mut() = outcome.status();
    let kind = match outcome.kind {
        Kind::Refused => "refused",
        Kind::Unknown => "unknown",
        Kind::Failed => "failed",
    };
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, JSON);
    headers.insert(REQUEST_OUTCOME, HeaderValue::from_static(kind));
    if let Some(seconds) = outcome.retry_after_seconds() {
        headers.insert(RETRY_AFTER, header_value(&seconds));
    }
    headers.insert(request::REQUEST_ID, header_value(request_id));
    response
}

/// Renders a value as a JSON body, which callers must not cache.
pub fn json(value: &impl serde::Serialize) -> Response<Body> {
    let text = serde_json::to_string(value).expect("the value is serializable");
    let mut response = Response::new(body::full(text));
    response.headers_mut().insert(CONTENT_TYPE, JSON);
    response.headers_mut().insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}

/// Renders a recorded response as one body.
pub fn complete(record: &Record, request_id: &str) -> Response<Body> {
    let (head, chunks) = record.snapshot();
    let head = head.unwrap_or(Head { status: 200, content_type: None, json_chunks: false });
    let (bytes, content_type) = if head.json_chunks {
        (Bytes::from(merge_chunks(&chunks).to_string()), Some(JSON))
    } else {
        let bytes: Vec<u8> = chunks.iter().flat_map(|chunk| chunk.data.iter().copied()).collect();
        (bytes.into(), head.content_type.as_deref().map(header_value))
    };
    let mut response = Response::new(body::full(bytes));
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Some(content_type) = content_type {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    set_answered(&mut response, request_id);
    response
}

/// Renders a recorded response as an event stream that starts with `first`.
pub fn event_stream(
    reader: Reader,
    first: Chunk,
    include_usage: bool,
    request_id: &CompactString,
) -> Response<Body> {
    let state = EventStream {
        reader,
        first: Some(first),
        last_id: 0,
        include_usage,
        request_id: request_id.clone(),
        ended: false,
    };
    let events = stream::unfold(state, |mut state| async move {
        let event = state.next().await?;
        Some((Ok(event), state))
    });
    let mut response = Response::new(body::stream(Box::pin(events)));
    response.headers_mut().insert(CONTENT_TYPE, EVENT_STREAM);
    response.headers_mut().insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    set_answered(&mut response, request_id);
    response
}

/// Sets the headers that mark a response as answered.
fn set_answered(response: &mut Response<Body>, request_id: &str) {
    response.headers_mut().insert(REQUEST_OUTCOME, ANSWERED);
    response.headers_mut().insert(request::REQUEST_ID, header_value(request_id));
}

fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static("invalid"))
}

struct EventStream {
    reader: Reader,
    first: Option<Chunk>,
    last_id: u64,
    include_usage: bool,
    request_id: CompactString,
    ended: bool,
}

impl EventStream {
    async fn next(&mut self) -> Option<Bytes> {
        loop {
            if self.ended {
                return None;
            }
            let next = match self.first.take() {
                Some(chunk) => Next::Chunk(chunk),
                None => self.reader.next().await,
            };
            match next {
                Next::Chunk(chunk) if chunk.is_usage && !self.include_usage => {}
                Next::Chunk(chunk) => return Some(self.event(&chunk)),
                Next::End(end) => {
                    self.ended = true;
                    return Some(self.end_event(&end));
                }
            }
        }
    }

    fn event(&mut self, chunk: &Chunk) -> Bytes {
        self.last_id += 1;
        let mut event = format!("id: {}\ndata: ", self.last_id).into_bytes();
        event.extend_from_slice(&chunk.data);
        event.extend_from_slice(b"\n\n");
        event.into()
    }

    /// The end marker of a complete response, or an error event with the outcome.
    fn end_event(&self, end: &End) -> Bytes {
        match end {
            End::Complete => Bytes::from_static(b"data: [DONE]\n\n"),
            End::Incomplete(outcome) => {
                let json = outcome.to_json(&self.request_id);
                format!("event: error\ndata: {json}\n\n").into()
            }
        }
    }
}

/// Merges the chunks of a complete response into one JSON object.
fn merge_chunks(chunks: &[Chunk]) -> Value {
    let mut merged = Map::new();
    let mut choices: Vec<Value> = Vec::new();
    for chunk in chunks {
        let Ok(Value::Object(mut fields)) = serde_json::from_slice(&chunk.data) else { continue };
        if let Some(Value::Array(more)) = fields.remove("choices") {
            more.into_iter().for_each(|choice| merge_item(&mut choices, choice));
        }
        for (field, value) in fields {
            if !value.is_null() || !merged.contains_key(&field) {
                merged.insert(field, value);
            }
        }
    }
    let chat = choices.iter_mut().filter_map(Value::as_object_mut).fold(false, |chat, choice| {
        let delta = choice.remove("delta");
        let is_chat = delta.is_some();
        delta.and_then(|delta| choice.insert("message".to_owned(), delta));
        chat || is_chat
    });
    let object = if chat { "chat.completion" } else { "text_completion" };
    merged.insert("object".to_owned(), json!(object));
    merged.insert("choices".to_owned(), Value::Array(choices));
    Value::Object(merged)
}

/// Merges an item into the item with the same `index`, or appends it.
fn merge_item(items: &mut Vec<Value>, item: Value) {
    let index = item.get("index").cloned();
    let same = items.iter_mut().find(|old| index.is_some() && old.get("index") == index.as_ref());
    match same {
        Some(old) => merge_value(old, item),
        None => items.push(item),
    }
}

fn merge_value(old: &mut Value, new: Value) {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => {
            new.into_iter().for_each(|(field, value)| merge_field(old, field, value));
        }
        (Value::Array(old), Value::Array(new)) => {
            new.into_iter().for_each(|item| merge_item(old, item));
        }
        (old, new) => *old = new,
    }
}

fn merge_field(object: &mut Map<String, Value>, field: String, new: Value) {
    /// The string fields that arrive in fragments, which are concatenated. Any other string
    /// arrives complete and replaces the old value.
    const FRAGMENTED_FIELDS: [&str; 5] =
        ["text", "content", "reasoning_content", "refusal", "arguments"];
    match (object.get_mut(&field), new) {
        (Some(Value::String(old)), Value::String(new))
            if FRAGMENTED_FIELDS.contains(&field.as_str()) =>
        {
            old.push_str(&new);
        }
        (Some(old @ (Value::Object(_) | Value::Array(_))), new) if !new.is_null() => {
            merge_value(old, new);
        }
        (Some(old), Value::Null) if !old.is_null() => {}
        (_, new) => {
            object.insert(field, new);
        }
    }
}
