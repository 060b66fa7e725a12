//! A stand-in of the platform's store: range reads, watches, and leases of backend servers.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{base64, parameter, Conn};

struct Item {
    value: Option<String>,
    revision: u64,
    created: u64,
    /// When the item lapses, for backend servers.
    lapses: Option<Instant>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
}

/// A running store. Clones share it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(ip: IpAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = State { revision: 10, ..State::default() };
        let store = Self { address, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let lapsing = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            lapsing.expire();
        });
        store
    }

    fn expire(&self) {
        let now = Instant::now();
        let lapsed: Vec<String> = {
            let state = self.state.0.lock().unwrap();
            let is_over = |item: &Item| item.lapses.is_some_and(|at| at <= now);
            let live = state.items.iter().filter(|(_, item)| item.value.is_some() && is_over(item));
            live.map(|(key, _)| key.clone()).collect()
        };
        for key in lapsed {
            self.change(&key, None, None);
        }
    }

    fn change(&self, key: &str, value: Option<String>, lapses: Option<Instant>) {
        let mut state = self.state.0.lock().unwrap();
        let before = state.items.get(key).filter(|item| item.value.is_some());
        if before.is_none() && value.is_none() {
            return;
        }
        let created = before.map(|item| item.created);
        state.revision += 1;
        let revision = state.revision;
        let item = Item { value, revision, created: created.unwrap_or(revision), lapses };
        state.items.insert(key.to_owned(), item);
        self.state.1.notify_all();
    }

    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(value.to_owned()), None);
    }

    pub fn delete(&self, key: &str) {
        self.change(key, None, None);
    }

    /// The heartbeat of a backend server: writes the item if it differs, and extends its lease.
    pub fn beat(&self, key: &str, value: &str, lease: Duration) {
        let lapses = Some(Instant::now() + lease);
        {
            let mut state = self.state.0.lock().unwrap();
            if let Some(item) = state.items.get_mut(key) {
                if item.value.as_deref() == Some(value) {
                    item.lapses = lapses;
                    return;
                }
            }
        }
        self.change(key, Some(value.to_owned()), lapses);
    }

    fn serve(&self, stream: TcpStream) {
        let mut conn = Conn::new(stream);
        while let Ok(Some(head)) = conn.read_head() {
            let (status, body) = self.respond(head.target());
            let text = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if conn.write(&text).is_err() {
                return;
            }
        }
    }

    fn respond(&self, target: &str) -> (&'static str, String) {
        let path = target.split('?').next().unwrap_or_default();
        let prefix = parameter(target, "pathPrefix").unwrap_or_default();
        match path {
            "/-/kv-range" => {
                let state = self.state.0.lock().unwrap();
                let items = state.items.iter().filter(|(key, _)| key.starts_with(prefix));
                let items: Vec<String> = items
                    .filter(|(_, item)| item.value.is_some())
                    .map(|(key, item)| text_of(key, item))
                    .collect();
                let (items, at) = (items.join(","), state.revision);
                ("200 OK", format!("{{\"items\":[{items}],\"truncated\":false,\"asOf\":{at}}}"))
            }
            "/-/kv-watch" => {
                let number = |name| parameter(target, name).and_then(|text| text.parse().ok());
                let after: u64 = number("after").unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
                let mut state = self.state.0.lock().unwrap();
                loop {
                    let events: Vec<String> = {
                        let newer = state.items.iter().filter(|(_, item)| item.revision > after);
                        let mut newer: Vec<_> =
                            newer.filter(|(key, _)| key.starts_with(prefix)).collect();
                        newer.sort_by_key(|(_, item)| item.revision);
                        newer.into_iter().map(|(key, item)| text_of(key, item)).collect()
                    };
                    let now = Instant::now();
                    if !events.is_empty() || now >= end {
                        let (events, at) = (events.join(","), state.revision);
                        return ("200 OK", format!("{{\"events\":[{events}],\"asOf\":{at}}}"));
                    }
                    state = self.state.1.wait_timeout(state, end - now).unwrap().0;
                }
            }
            "/-/kv-key" => {
                let key = parameter(target, "key").unwrap_or_default();
                let state = self.state.0.lock().unwrap();
                match state.items.get(key).filter(|item| item.value.is_some()) {
                    Some(item) => ("200 OK", text_of(key, item)),
                    None => ("404 Not Found", format!("{{\"asOf\":{}}}", state.revision)),
                }
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }
}

fn text_of(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lapses } = item;
    let lease = u8::from(lapses.is_some());
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created\":{created},\"lease\":{lease}}}",
            base64(value.as_bytes())
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
    }
}
