//! A stub backend server that responds to each request with scripted bytes.
#![allow(dead_code, unreachable_pub, missing_docs)]
#![allow(clippy::unwrap_used, clippy::needless_pass_by_value)]

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use parking_lot::Mutex;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};
use tokio_util::task::AbortOnDropHandle;

/// The maximum size of a request. A longer one closes the connection.
const MAX_REQUEST_BYTES: usize = 1 << 20;

#[derive(Default)]
pub struct Received {
    pub connections: AtomicUsize,
    pub requests: Mutex<Vec<String>>,
}

pub struct Stub {
    pub address: SocketAddr,
    pub received: Arc<Received>,
    _task: AbortOnDropHandle<()>,
}

impl Stub {
    /// Responds to each request with the bytes that `reply` returns. No bytes close the connection.
    pub async fn start(reply: impl Fn(&str) -> Vec<u8> + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let received = Arc::new(Received::default());
        let reply = Arc::new(reply);
        let shared = Arc::clone(&received);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                shared.connections.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(serve(stream, Arc::clone(&shared), Arc::clone(&reply)));
            }
        });
        Self { address, received, _task: AbortOnDropHandle::new(task) }
    }

    pub fn requests(&self) -> usize {
        self.received.requests.lock().len()
    }

    pub fn connections(&self) -> usize {
        self.received.connections.load(Ordering::SeqCst)
    }
}

async fn serve(
    mut stream: TcpStream,
    received: Arc<Received>,
    reply: Arc<impl Fn(&str) -> Vec<u8> + Send + Sync>,
) {
    while let Some(request) = read_request(&mut stream).await {
        let bytes = reply(&request);
        received.requests.lock().push(request);
        if bytes.is_empty() || stream.write_all(&bytes).await.is_err() {
            return;
        }
        if bytes.starts_with(b"HTTP/1.1 200 CLOSE") {
            return;
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            let length = length.map_or(0, |length| length.trim().parse::<usize>().unwrap());
            if body.len() >= length {
                return Some(text);
            }
        }
        let read = stream.read_buf(&mut bytes).await.ok()?;
        if read == 0 || bytes.len() > MAX_REQUEST_BYTES {
            return None;
        }
    }
}

/// Returns the attempt id of a request.
pub fn id(request: &str) -> String {
    let line = request.lines().find_map(|line| line.strip_prefix("x-request-id: "));
    line.unwrap_or_default().to_owned()
}

pub fn token(id: &str, number: u64) -> String {
    format!(
        "id: {number}\ndata: {{\"id\":\"cmpl-{id}\",\"choices\":[{{\"text\":\"t{number}\"}}]}}\n\n"
    )
}

pub fn usage(id: &str, tokens: u64) -> String {
    format!(
        "data: {{\"id\":\"cmpl-{id}\",\"choices\":[],\"usage\":{{\"completion_tokens\":{tokens}}}}}\n\n"
    )
}

pub const DONE: &str = "data: [DONE]\n\n";

/// Returns an engine's response with these events. Its end is given by `content-length`.
pub fn events(id: &str, events: &str) -> Vec<u8> {
    let length = events.len();
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream";
    format!("{head}\r\nx-request-id: {id}\r\ncontent-length: {length}\r\n\r\n{events}").into_bytes()
}

pub fn response(status: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}").into_bytes()
}
