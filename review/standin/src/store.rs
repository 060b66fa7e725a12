//! The platform's store: items, range reads and watches, as PROTOCOL.md tells them.

use std::{
    collections::{BTreeMap, VecDeque},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Connection, Request};

/// "at most about 500 items or 1 MB".
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
/// `provider.historyS`.
const HISTORY: Duration = Duration::from_secs(20);
/// "4 ms an answer".
pub const ANSWER: Duration = Duration::from_millis(4);

#[derive(Debug, Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
}

#[derive(Debug)]
struct Change {
    at: Instant,
    key: String,
    revision: u64,
    item: Option<Item>,
}

struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: VecDeque<Change>,
    /// Watches from before this revision get 410.
    compacted: u64,
    /// How long an answer takes.
    delay: Duration,
    /// When the first page of a full read was last answered.
    first_page_at: Option<Instant>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let state = State {
            revision: 10,
            items: BTreeMap::new(),
            history: VecDeque::new(),
            compacted: 0,
            delay: ANSWER,
            first_page_at: None,
        };
        let store = Self { state: Arc::new((Mutex::new(state), Condvar::new())) };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(request)) = connection.read_request() {
                        let (status, body) = store.handle(&request);
                        let headers = [("content-type", "application/json"), ("store-era", "1")];
                        if connection.answer(status, &headers, body.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no thread panics while it holds the lock")
    }

    /// Writes an item. Returns its revision. The write is acknowledged when this returns.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.change(key, Some(value))
    }

    /// Deletes an item. The deletion is acknowledged when this returns.
    pub fn delete(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<&str>) -> u64 {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.created);
        let item = value.map(|value| Item { value: value.as_bytes().to_vec(), revision, created });
        match &item {
            Some(item) => drop(state.items.insert(key.to_owned(), item.clone())),
            None => drop(state.items.remove(key)),
        }
        let now = Instant::now();
        state.history.push_back(Change { at: now, key: key.to_owned(), revision, item });
        while state.history.front().is_some_and(|change| now - change.at > HISTORY) {
            let change = state.history.pop_front().expect("there is a front");
            state.compacted = change.revision;
        }
        self.state.1.notify_all();
        revision
    }

    /// Sets how many times as long as usual an answer takes.
    pub fn slow_down(&self, factor: u32) {
        self.lock().delay = ANSWER * factor;
    }

    /// Forgets the first pages that were answered so far.
    pub fn watch_first_page(&self) {
        self.lock().first_page_at = None;
    }

    /// When the first page of a full read was answered since [`Self::watch_first_page`].
    pub fn first_page_at(&self) -> Option<Instant> {
        self.lock().first_page_at
    }

    /// A slow store gets to a call late, and answers with what it has then.
    fn answer_late(&self) {
        let delay = self.lock().delay;
        thread::sleep(delay);
    }

    fn handle(&self, request: &Request) -> (u16, String) {
        let after = request.query("after").unwrap_or_default();
        match request.path() {
            "/-/kv-range" => {
                self.answer_late();
                let mut state = self.lock();
                if after.is_empty() {
                    state.first_page_at = Some(Instant::now());
                }
                (200, state.page(&request.query("pathPrefix").unwrap_or_default(), &after))
            }
            "/-/kv-watch" => {
                let after: u64 = after.parse().unwrap_or(0);
                let wait = request.query("waitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait);
                let mut state = self.lock();
                while state.revision <= after {
                    let left = end.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.state.1.wait_timeout(state, left).expect("no panic").0;
                }
                let delay = state.delay;
                drop(state);
                thread::sleep(delay);
                self.lock().changes(&request.query("pathPrefix").unwrap_or_default(), after)
            }
            "/-/kv-key" => {
                self.answer_late();
                let key = request.query("key").unwrap_or_default();
                let state = self.lock();
                match state.items.get(&key) {
                    Some(item) => (200, item_json(&key, item)),
                    None => (404, "{}".into()),
                }
            }
            _ => (404, "{}".into()),
        }
    }
}

impl State {
    fn page(&self, prefix: &str, after: &str) -> String {
        let (mut items, mut bytes, mut truncated) = (Vec::new(), 0, false);
        for (key, item) in &self.items {
            if !key.starts_with(prefix) || key.as_str() <= after && !after.is_empty() {
                continue;
            }
            let json = item_json(key, item);
            if items.len() == PAGE_ITEMS || bytes + json.len() > PAGE_BYTES && !items.is_empty() {
                truncated = true;
                break;
            }
            bytes += json.len();
            items.push(json);
        }
        let (items, as_of) = (items.join(","), self.revision);
        format!("{{\"items\":[{items}],\"truncated\":{truncated},\"asOf\":{as_of}}}")
    }

    fn changes(&self, prefix: &str, after: u64) -> (u16, String) {
        if after < self.compacted {
            return (410, "{}".into());
        }
        let later = self.history.iter();
        let later =
            later.filter(|change| change.revision > after && change.key.starts_with(prefix));
        let events = later.map(|change| match &change.item {
            Some(item) => item_json(&change.key, item),
            None => {
                let Change { key, revision, .. } = change;
                format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}")
            }
        });
        let (events, as_of) = (events.collect::<Vec<_>>().join(","), self.revision);
        (200, format!("{{\"events\":[{events}],\"asOf\":{as_of}}}"))
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let Item { value, revision, created } = item;
    let value = base64(value);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":0}}"
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for group in bytes.chunks(3) {
        let bits = group.iter().fold(0, |bits, &byte| bits << 8 | u32::from(byte));
        let bits = bits << (8 * (3 - group.len()));
        for at in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * at) & 63) as usize];
            out.push(if at <= group.len() { digit as char } else { '=' });
        }
    }
    out
}
