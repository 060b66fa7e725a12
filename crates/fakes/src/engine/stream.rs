//! The engine's answer as a stream of server-sent events, with faults.

use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use compact_str::CompactString;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyssop_document::digest::Digest;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};

use super::{Shared, answer, batch::Progress};
use crate::listener::Body;

/// The parts that a stream holds for its client before it waits.
const STREAM_PARTS: usize = 16;

/// Faults of an engine's streams. Each is the probability, 0 to 1, that it meets a part.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The part comes late.
    pub delay: f64,
    /// How late, in milliseconds.
    pub delay_ms: u64,
    /// A part of another request is sent before the part.
    pub cross: f64,
    /// The part is sent twice.
    pub duplicate: f64,
    /// The stream ends in order before the part, as if it were complete.
    pub truncate: f64,
    /// The connection's stream breaks before the part.
    pub cut: f64,
}

/// A part of a stream that goes out, or the failure that breaks it.
type Part = io::Result<Bytes>;

/// What a stream answers.
#[derive(Debug, Clone)]
pub(super) struct Source {
    pub(super) id: CompactString,
    pub(super) digest: Digest,
    pub(super) chat: bool,
    /// The number of tokens that the client has already.
    pub(super) seen: u64,
}

impl Source {
    fn envelope(&self, choices: &Value) -> Value {
        let object = if self.chat { "chat.completion.chunk" } else { "text_completion" };
        json!({"id": format!("cmpl-{}", self.id), "object": object, "choices": choices})
    }

    /// The event of token `index`, counted from 0. Event ids count from 1.
    fn token(&self, index: u64, last: bool) -> Bytes {
        let text = answer::token(&self.digest, index);
        let finish = if last { json!("stop") } else { Value::Null };
        let choice = if self.chat {
            json!([{"index": 0, "delta": {"content": text}, "finish_reason": finish}])
        } else {
            json!([{"index": 0, "text": text, "finish_reason": finish}])
        };
        format!("id: {}\ndata: {}\n\n", index + 1, self.envelope(&choice)).into()
    }

    fn end(&self, tokens: u64) -> Bytes {
        let mut usage = self.envelope(&json!([]));
        usage["usage"] = json!({"completion_tokens": tokens});
        format!("data: {usage}\n\ndata: [DONE]\n\n").into()
    }
}

/// Starts to send the sequence's tokens as they are generated.
pub(super) fn start(
    shared: Arc<Shared>,
    source: Source,
    progress: watch::Receiver<Progress>,
) -> Body {
    let (sender, receiver) = mpsc::channel(STREAM_PARTS);
    tokio::spawn(async move {
        let id = source.id.clone();
        let crashed = shared.crashed();
        let whole = tokio::select! {
            () = crashed.cancelled() => true,
            () = sender.closed() => false,
            whole = send(&shared, &source, progress, &sender) => whole,
        };
        if !whole {
            shared.batch.lock().hold(&id, Instant::now());
        }
    });
    let parts = stream::unfold(receiver, |mut receiver| async {
        let part: Option<Part> = receiver.recv().await;
        part.map(|part| (part, receiver))
    });
    StreamBody::new(parts.map(|part| part.map(Frame::data))).boxed_unsync()
}

/// Sends all tokens and the end mark. Returns whether the client got the stream to its end.
async fn send(
    shared: &Shared,
    source: &Source,
    mut progress: watch::Receiver<Progress>,
    sender: &mpsc::Sender<Part>,
) -> bool {
    let mut sent = source.seen;
    loop {
        let now = *progress.borrow_and_update();
        while sent < now.generated {
            let last = now.done && sent + 1 == now.generated;
            if !send_token(shared, source, sent, last, sender).await {
                return false;
            }
            sent += 1;
        }
        if now.done {
            return sender.send(Ok(source.end(sent))).await.is_ok();
        }
        if progress.changed().await.is_err() {
            return false;
        }
    }
}

async fn send_token(
    shared: &Shared,
    source: &Source,
    index: u64,
    last: bool,
    sender: &mpsc::Sender<Part>,
) -> bool {
    let faults = *shared.faults.lock();
    if shared.strikes(faults.delay) {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    if shared.strikes(faults.truncate) {
        return false;
    }
    if shared.strikes(faults.cut) {
        _ = sender.send(Err(io::ErrorKind::ConnectionReset.into())).await;
        return false;
    }
    if shared.strikes(faults.cross) {
        let id = format!("other-{:08x}", shared.random.lock().random::<u32>()).into();
        let other = Source { id, digest: Digest::of(b"other"), ..source.clone() };
        if sender.send(Ok(other.token(index, false))).await.is_err() {
            return false;
        }
    }
    let part = source.token(index, last);
    if shared.strikes(faults.duplicate) && sender.send(Ok(part.clone())).await.is_err() {
        return false;
    }
    sender.send(Ok(part)).await.is_ok()
}
