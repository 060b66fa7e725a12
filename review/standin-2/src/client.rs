//! Clients: each keeps one connection to a host and sends its requests on it.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::http::Conn;

/// The content of a request.
#[derive(Debug, Clone)]
pub struct Request {
    /// What the record and the checks call it.
    pub class: &'static str,
    pub key: &'static str,
    pub path: String,
    /// The parts of the prompt, empty for a plain service.
    pub parts: String,
    pub body: String,
    pub deadline: Duration,
}

/// What a client saw of one attempt.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub class: &'static str,
    pub id: String,
    pub host: usize,
    pub sent: Instant,
    pub status: u16,
    /// When the first event arrived.
    pub began: Option<Instant>,
    pub ended: Instant,
    pub complete: bool,
    /// Whether the answer names a limit of the backend server.
    pub names_limit: bool,
    /// The body of a failure, or the fault of the connection.
    pub text: String,
}

pub const HOST_NAME: &str = "router.example";

/// What all clients share.
#[derive(Clone, Default)]
pub struct Load {
    pub outcomes: Arc<Mutex<Vec<Outcome>>>,
    stop: Arc<AtomicBool>,
    next_id: Arc<AtomicU64>,
}

impl Load {
    fn id(&self) -> String {
        format!("r{:08x}", self.next_id.fetch_add(1, Ordering::SeqCst))
    }

    /// Starts a client that sends what `make` returns, once in `interval` at most, until the load stops.
    pub fn client(
        &self,
        host: (usize, SocketAddr),
        offset: Duration,
        interval: Duration,
        make: impl Fn(u64) -> Request + Send + 'static,
    ) -> JoinHandle<()> {
        let load = self.clone();
        thread::spawn(move || {
            let mut due = Instant::now() + offset;
            let mut connection = None;
            let mut count = 0;
            while !load.stop.load(Ordering::SeqCst) {
                thread::sleep(due.saturating_duration_since(Instant::now()));
                due = (due + interval).max(Instant::now());
                let request = make(count);
                count += 1;
                load.send(host, &mut connection, &request);
            }
        })
    }

    /// Sends one request and records what came of it.
    pub fn send(
        &self,
        host: (usize, SocketAddr),
        connection: &mut Option<Conn>,
        request: &Request,
    ) {
        let (id, sent) = (self.id(), Instant::now());
        let mut outcome = Outcome {
            class: request.class,
            id,
            host: host.0,
            sent,
            status: 0,
            began: None,
            ended: sent,
            complete: false,
            names_limit: false,
            text: String::new(),
        };
        match exchange(host.1, connection.take(), request, &mut outcome) {
            Ok(reusable) => *connection = reusable,
            Err(fault) => outcome.text = fault.to_string(),
        }
        outcome.ended = Instant::now();
        self.outcomes.lock().unwrap().push(outcome);
    }

    pub fn stop(&self, clients: Vec<JoinHandle<()>>) {
        self.stop.store(true, Ordering::SeqCst);
        for client in clients {
            client.join().ok();
        }
    }
}

fn exchange(
    address: SocketAddr,
    connection: Option<Conn>,
    request: &Request,
    outcome: &mut Outcome,
) -> io::Result<Option<Conn>> {
    let mut conn = match connection {
        Some(connection) => connection,
        None => {
            let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(request.deadline + Duration::from_millis(500)))?;
            Conn::new(stream)
        }
    };
    let Request { key, path, parts, body, deadline, .. } = request;
    let prompt = match parts.as_str() {
        "" => String::new(),
        parts => format!("Model: m\r\nToken-Count: 628,80\r\nPrompt-Prefix: {parts}\r\n"),
    };
    let method = if body.is_empty() { "GET" } else { "POST" };
    let length = match body.len() {
        0 => String::new(),
        length => format!("Content-Length: {length}\r\n"),
    };
    conn.write(&format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nRequest-Id: {}\r\nX-Api-Key: {key}\r\n\
         Deadline-Ms: {}\r\n{prompt}{length}\r\n{body}",
        outcome.id,
        deadline.as_millis()
    ))?;
    let head = conn.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    outcome.status = head.status();
    outcome.names_limit = head.get("server-limit").is_some();
    let closes = head.get("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    if head.get("transfer-encoding").is_some() {
        loop {
            let chunk = conn.read_chunk()?;
            if chunk.is_empty() {
                break;
            }
            outcome.began.get_or_insert_with(Instant::now);
        }
    } else {
        let length = head.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let body = conn.read_bytes(length)?;
        if outcome.status != 200 {
            outcome.text = String::from_utf8_lossy(&body).into_owned();
        }
    }
    outcome.complete = true;
    Ok((!closes).then_some(conn))
}
