//! A stand-in of a backend server. It can crash and start again, with a new id or the one it had.

use std::{
    collections::VecDeque,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Conn, Head},
    store::Store,
};

pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Three heartbeats.
const LEASE: Duration = Duration::from_millis(3_600);

/// What a backend server is, and how it works.
#[derive(Clone)]
pub struct Settings {
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: usize,
    /// How many requests wait for a slot.
    pub queue: usize,
    /// How long a backend server is cold after a start during traffic.
    pub cold_start: Duration,
    /// The events of a stream, and the pause before each of them. Without events, the time of a response.
    pub events: u32,
    pub gap: Duration,
    /// How long a backend server is down after a crash.
    pub down: Duration,
    /// Whether a start after a crash has the id that the server had.
    pub keeps_id: bool,
    /// The text in a request that crashes the server when it begins to run.
    pub poison: Option<&'static str>,
    /// Whether a crash is silent, as that of a whole host: connections stay open and carry nothing more until
    /// the server is back, and none can be opened.
    pub dark: bool,
}

extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

/// Fills the queue of a listener that nobody accepts from, so that connections to it neither open nor fail.
fn fill_queue(listener: &TcpListener) -> Vec<TcpStream> {
    // SAFETY: a plain system call on an open socket.
    unsafe { listen(listener.as_raw_fd(), 0) };
    let Ok(address) = listener.local_addr() else { return Vec::new() };
    let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(30));
    std::iter::from_fn(|| connect().ok()).take(64).collect()
}

/// A request that reached the backend server and wasn't turned away with 421 or 503.
#[derive(Clone)]
pub struct Arrival {
    pub at: Instant,
    pub request: String,
    pub server: String,
    pub is_cold: bool,
    pub crashed: bool,
}

struct Life {
    id: String,
    born_ms: u128,
    cold_until: Instant,
    up: bool,
    connections: Vec<TcpStream>,
    running: usize,
}

/// A running backend server. Clones share it.
#[derive(Clone)]
pub struct Engine {
    pub name: String,
    pub address: SocketAddr,
    settings: Arc<Settings>,
    store: Store,
    life: Arc<Mutex<Life>>,
    /// Counts the starts.
    start: Arc<AtomicU64>,
    /// The requests a second that the server takes, which it names in its answers. 0 for no limit.
    pub limit: Arc<AtomicU64>,
    /// Whether the server is cut off from the store.
    pub is_cut: Arc<AtomicBool>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub notes: Arc<Mutex<VecDeque<(Instant, String)>>>,
}

fn close(connections: &mut Vec<TcpStream>) {
    for connection in connections.drain(..) {
        connection.shutdown(Shutdown::Both).ok();
    }
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis())
}

impl Engine {
    /// Starts a backend server, which is cold if the traffic has begun.
    pub fn start(
        name: &str,
        address: SocketAddr,
        settings: Settings,
        store: Store,
        during_traffic: bool,
    ) -> Self {
        let cold = if during_traffic { settings.cold_start } else { Duration::ZERO };
        let listener = TcpListener::bind(address).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let life = Life {
            id: format!("i-{name}-1"),
            born_ms: unix_ms(),
            cold_until: Instant::now() + cold,
            up: true,
            connections: Vec::new(),
            running: 0,
        };
        let engine = Self {
            name: name.to_owned(),
            address,
            settings: Arc::new(settings),
            store,
            life: Arc::new(Mutex::new(life)),
            start: Arc::new(AtomicU64::new(1)),
            limit: Arc::default(),
            is_cut: Arc::default(),
            arrivals: Arc::default(),
            notes: Arc::default(),
        };
        engine.publish();
        engine.listen(listener);
        let beating = engine.clone();
        thread::spawn(move || loop {
            thread::sleep(HEARTBEAT);
            beating.publish();
        });
        engine
    }

    fn note(&self, text: String) {
        self.notes.lock().unwrap().push_back((Instant::now(), format!("{}: {text}", self.name)));
    }

    pub fn id(&self) -> String {
        self.life.lock().unwrap().id.clone()
    }

    /// Writes the server's entry, unless it is down or can't reach the store.
    pub fn publish(&self) {
        if self.is_cut.load(Ordering::SeqCst) {
            return;
        }
        let (id, value) = {
            let life = self.life.lock().unwrap();
            if !life.up {
                return;
            }
            let cold = life.cold_until.saturating_duration_since(Instant::now()).as_millis();
            let Settings { service, zone, slots, .. } = &*self.settings;
            let value = format!(
                "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
                 \"slots\":{slots},\"state\":\"ready\",\"coldLeftMs\":{cold},\"seq\":1,\"born\":{}}}",
                self.address, life.born_ms
            );
            (life.id.clone(), value)
        };
        self.store.beat(&format!("servers/{id}"), &value, LEASE);
    }

    fn listen(&self, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a listener can be polled");
        let (engine, start) = (self.clone(), self.start.load(Ordering::SeqCst));
        thread::spawn(move || loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).ok();
                    if let Ok(copy) = stream.try_clone() {
                        engine.life.lock().unwrap().connections.push(copy);
                    }
                    let engine = engine.clone();
                    thread::spawn(move || engine.serve(stream, start));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
            if !engine.is_up(start) {
                if engine.settings.dark {
                    let queued = fill_queue(&listener);
                    thread::sleep(engine.settings.down);
                    drop((listener, queued));
                }
                return;
            }
        });
    }

    /// Whether the start with this number goes on.
    fn is_up(&self, start: u64) -> bool {
        self.life.lock().unwrap().up && self.start.load(Ordering::SeqCst) == start
    }

    /// Ends the process: its port closes, and all its connections.
    pub fn crash(&self) {
        {
            let mut life = self.life.lock().unwrap();
            if !life.up {
                return;
            }
            life.up = false;
            life.running = 0;
            if !self.settings.dark {
                close(&mut life.connections);
            }
        }
        self.note("crashes".to_owned());
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(engine.settings.down);
            engine.start_again();
        });
    }

    fn start_again(&self) {
        close(&mut self.life.lock().unwrap().connections);
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(5)),
            }
        };
        let number = self.start.fetch_add(1, Ordering::SeqCst) + 1;
        {
            let mut life = self.life.lock().unwrap();
            life.up = true;
            life.born_ms = unix_ms();
            life.cold_until = Instant::now() + self.settings.cold_start;
            if !self.settings.keeps_id {
                life.id = format!("i-{}-{number}", self.name);
            }
        }
        self.note(format!("starts again as {}", self.id()));
        self.publish();
        self.listen(listener);
    }

    fn serve(&self, stream: TcpStream, start: u64) {
        let mut conn = Conn::new(stream);
        while let Ok(Some(head)) = conn.read_head() {
            let Ok(body) = conn.read_request_body(&head) else { return };
            let ended = !self.is_up(start) || self.respond(&mut conn, &head, &body, start).is_err();
            if ended && self.settings.dark && !self.is_up(start) {
                // The connection stays open until the server is back.
                thread::sleep(self.settings.down + Duration::from_millis(100));
            }
            if ended {
                return;
            }
        }
    }

    fn respond(
        &self,
        conn: &mut Conn,
        head: &Head,
        body: &[u8],
        start: u64,
    ) -> std::io::Result<()> {
        let request = head.get("request-id").unwrap_or_default().to_owned();
        let (id, is_cold, turned_away) = {
            let mut life = self.life.lock().unwrap();
            let other = head.get("expect-instance").is_some_and(|expected| expected != life.id);
            let full = life.running >= self.settings.slots + self.settings.queue;
            let turned_away = match (other, full) {
                (true, _) => Some("421 Misdirected Request"),
                (_, true) => Some("503 Service Unavailable"),
                _ => None,
            };
            if turned_away.is_none() {
                life.running += 1;
            }
            (life.id.clone(), life.cold_until > Instant::now(), turned_away)
        };
        if let Some(status) = turned_away {
            return conn.write(&format!(
                "HTTP/1.1 {status}\r\nRequest-Id: {request}\r\nInstance-Id: {id}\r\nNot-Run: 1\r\n\
                 {}Content-Length: 0\r\n\r\n",
                self.limit_header()
            ));
        }
        let poison = self.settings.poison.is_some_and(|poison| {
            let in_headers = head.headers.iter().any(|(_, value)| value.contains(poison));
            in_headers || String::from_utf8_lossy(body).contains(poison)
        });
        let at = Instant::now();
        let arrival =
            Arrival { at, request: request.clone(), server: id, is_cold, crashed: poison };
        self.arrivals.lock().unwrap().push(arrival);
        if poison {
            self.crash();
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        let result = self.run(conn, &request, start);
        let mut life = self.life.lock().unwrap();
        if self.start.load(Ordering::SeqCst) == start {
            life.running = life.running.saturating_sub(1);
        }
        result
    }

    fn limit_header(&self) -> String {
        match self.limit.load(Ordering::SeqCst) {
            0 => String::new(),
            limit => format!("Server-Limit: {limit}\r\n"),
        }
    }

    /// Sends a response, or a stream of events in chunks, and signs it.
    fn run(&self, conn: &mut Conn, request: &str, start: u64) -> std::io::Result<()> {
        let Settings { events, gap, .. } = *self.settings;
        if events == 0 {
            thread::sleep(gap);
            if !self.is_up(start) {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            let body = format!("{:<800}", format!("answer to {request}"));
            return conn.write(&format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nServer-Stamp: stamp-{request}\r\n\
                 {}Content-Length: {}\r\n\r\n{body}",
                self.limit_header(),
                body.len()
            ));
        }
        for event in 1..=events {
            thread::sleep(gap);
            if !self.is_up(start) {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            let text = format!("id: {event}\ndata: piece {event} of {request}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nServer-Stamp: stamp-{request}\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            let head = if event == 1 { head } else { String::new() };
            let end = if event == events { "0\r\n\r\n" } else { "" };
            conn.write(&format!("{head}{chunk}{end}"))?;
        }
        Ok(())
    }
}
