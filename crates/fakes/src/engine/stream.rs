//! The engine's response as a stream of server-sent events, with injected faults.

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

use super::{Shared, batch::Progress, response};
use crate::listener::Body;

/// The number of chunks that a stream buffers for its client.
const STREAM_BUFFER_CHUNKS: usize = 16;

/// Faults of an engine's streams. Except for `delay_ms`, each is a probability per chunk, 0 to 1.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The chunk is delayed.
    pub delay: f64,
    /// The duration of a delay, in milliseconds.
    pub delay_ms: u64,
    /// A chunk of another request is inserted before the chunk.
    pub cross: f64,
    /// The chunk is sent twice.
    pub duplicate: f64,
    /// The response body ends cleanly before the chunk.
    pub truncate: f64,
    /// The connection fails before the chunk.
    pub cut: f64,
}

/// A chunk of the response body, or the error that aborts it.
type Chunk = io::Result<Bytes>;

/// Encodes the tokens of one response as events.
#[derive(Debug, Clone)]
pub(super) struct Encoder {
    pub(super) id: CompactString,
    pub(super) digest: Digest,
    pub(super) chat: bool,
    /// The number of tokens that the client has already received.
    pub(super) received: u64,
}

impl Encoder {
    fn envelope(&self, choices: &Value) -> Value {
        let object = if self.chat { "chat.completion.chunk" } else { "text_completion" };
        json!({"id": format!("cmpl-{}", self.id), "object": object, "choices": choices})
    }

    /// The event for token `index`, counted from 0. Event ids count from 1.
    fn token(&self, index: u64, last: bool) -> Bytes {
        let text = response::token(&self.digest, index);
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

/// Starts to send the tokens as they are generated.
pub(super) fn start(
    shared: Arc<Shared>,
    encoder: Encoder,
    progress: watch::Receiver<Progress>,
) -> Body {
    let (sender, receiver) = mpsc::channel(STREAM_BUFFER_CHUNKS);
    tokio::spawn(async move {
        let id = encoder.id.clone();
        let crashed = shared.crash_token();
        let finished = tokio::select! {
            // The crash itself removes the sequence from the batch.
            () = crashed.cancelled() => true,
            () = sender.closed() => false,
            complete = send(&shared, &encoder, progress, &sender) => complete,
        };
        if !finished {
            shared.batch.lock().hold(&id, Instant::now());
        }
    });
    let chunks = stream::unfold(receiver, |mut receiver| async {
        let chunk: Option<Chunk> = receiver.recv().await;
        chunk.map(|chunk| (chunk, receiver))
    });
    StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))).boxed_unsync()
}

/// Sends all tokens and `[DONE]`. Returns whether the complete stream was sent.
async fn send(
    shared: &Shared,
    encoder: &Encoder,
    mut progress: watch::Receiver<Progress>,
    sender: &mpsc::Sender<Chunk>,
) -> bool {
    let mut sent = encoder.received;
    loop {
        let current = *progress.borrow_and_update();
        while sent < current.generated {
            let last = current.done && sent + 1 == current.generated;
            if !send_token(shared, encoder, sent, last, sender).await {
                return false;
            }
            sent += 1;
        }
        if current.done {
            return sender.send(Ok(encoder.end(sent))).await.is_ok();
        }
        if progress.changed().await.is_err() {
            return false;
        }
    }
}

async fn send_token(
    shared: &Shared,
    encoder: &Encoder,
    index: u64,
    last: bool,
    sender: &mpsc::Sender<Chunk>,
) -> bool {
    let faults = *shared.faults.lock();
    if shared.fault_occurs(faults.delay) {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    if shared.fault_occurs(faults.truncate) {
        return false;
    }
    if shared.fault_occurs(faults.cut) {
        _ = sender.send(Err(io::ErrorKind::ConnectionReset.into())).await;
        return false;
    }
    if shared.fault_occurs(faults.cross) {
        let id = format!("other-{:08x}", shared.random.lock().random::<u32>()).into();
        let other = Encoder { id, digest: Digest::of(b"other"), ..encoder.clone() };
        if sender.send(Ok(other.token(index, false))).await.is_err() {
            return false;
        }
    }
    let chunk = encoder.token(index, last);
    if shared.fault_occurs(faults.duplicate) && sender.send(Ok(chunk.clone())).await.is_err() {
        return false;
    }
    sender.send(Ok(chunk)).await.is_ok()
}
