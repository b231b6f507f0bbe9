//! A stand-in for the platform's metadata store, in memory. Each router has a listener of its
//! own, so that the store can turn single routers away.

use std::collections::BTreeMap;
use std::io;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::http;
use super::http::Message;
use super::json::Json;
use super::json::base64;

/// How a listener treats its router.
pub const SERVES: u8 = 0;
/// It takes calls and gives no answer.
pub const SILENT: u8 = 1;
/// It answers each call with 503.
pub const BUSY: u8 = 2;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created_at: u64,
    lease: u64,
}

#[derive(Clone)]
struct Change {
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    leases: BTreeMap<u64, (Instant, u64)>,
    next_lease: u64,
}

/// The store; its revisions rise by one with each change.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

/// The address at which one router calls the store.
pub struct Gate {
    pub address: SocketAddr,
    pub mode: Arc<AtomicU8>,
    /// Answers are written this many milliseconds after the call arrived.
    pub delay_ms: Arc<Mutex<u64>>,
}

impl Gate {
    pub fn set(&self, mode: u8) {
        self.mode.store(mode, Ordering::SeqCst);
    }
}

impl Store {
    pub fn start() -> Arc<Self> {
        let state = State { revision: 100, next_lease: 7, ..State::default() };
        let store = Arc::new(Self { state: Mutex::new(state), changed: Condvar::new() });
        let ticking = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                ticking.expire();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("store lock")
    }

    fn expire(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (until, _))| now >= *until)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            end_lease(&mut state, lease);
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Writes a key as the operator or a worker does; returns the revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.lock();
        state.revision += 1;
        write(&mut state, key, base64(value.as_bytes()), 0);
        let revision = state.revision;
        drop(state);
        self.changed.notify_all();
        revision
    }

    /// Deletes a key; returns the revision.
    pub fn delete(&self, key: &str) -> u64 {
        let mut state = self.lock();
        state.revision += 1;
        remove(&mut state, key);
        let revision = state.revision;
        drop(state);
        self.changed.notify_all();
        revision
    }

    /// Returns the value of a key that a router has written.
    pub fn value(&self, key: &str) -> Option<String> {
        let state = self.lock();
        let item = state.items.get(key)?;
        let bytes = super::json::from_base64(&item.value);
        Some(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Opens a listener for one router.
    pub fn gate(self: &Arc<Self>, ip: &str) -> io::Result<Gate> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let mode = Arc::new(AtomicU8::new(SERVES));
        let delay_ms = Arc::new(Mutex::new(4));
        let gate = Gate { address, mode: Arc::clone(&mode), delay_ms: Arc::clone(&delay_ms) };
        let store = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else {
                    continue;
                };
                let (store, mode) = (Arc::clone(&store), Arc::clone(&mode));
                let delay_ms = Arc::clone(&delay_ms);
                thread::spawn(move || {
                    let _ = store.serve(stream, &mode, &delay_ms);
                });
            }
        });
        Ok(gate)
    }

    fn serve(&self, mut stream: TcpStream, mode: &AtomicU8, delay_ms: &Mutex<u64>) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        loop {
            let call = http::read_message(&mut reader)?;
            let at_arrival = mode.load(Ordering::SeqCst);
            if at_arrival == SILENT {
                return silence(reader);
            }
            thread::sleep(Duration::from_millis(*delay_ms.lock().expect("delay lock")));
            let (status, body) = if at_arrival == BUSY {
                (503, "{}".to_owned())
            } else {
                self.answer(&call, mode)
            };
            // A call that was under way when the path was lost gets no answer any more.
            if mode.load(Ordering::SeqCst) == SILENT {
                return silence(reader);
            }
            let headers = [("Content-Type", "application/json".to_owned())];
            http::respond(&mut stream, status, &headers, body.as_bytes())?;
        }
    }

    fn answer(&self, call: &Message, mode: &AtomicU8) -> (u16, String) {
        let body = Json::parse(&String::from_utf8_lossy(&call.body)).unwrap_or(Json::Null);
        match (call.method(), call.path()) {
            ("GET", "/-/kv-key") => {
                let state = self.lock();
                let key = call.query("key").unwrap_or_default();
                match state.items.get(&key) {
                    Some(item) => (200, item_text(&key, item)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("GET", "/-/kv-range") => {
                let state = self.lock();
                let prefix = call.query("prefix").unwrap_or_default();
                let after = call.query("after").unwrap_or_default();
                let found = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && key.as_str() > after.as_str());
                let items: Vec<String> = found.map(|(key, item)| item_text(key, item)).collect();
                let (items, as_of) = (items.join(","), state.revision);
                (200, format!("{{\"items\":[{items}],\"truncated\":false,\"asOf\":{as_of}}}"))
            }
            ("GET", "/-/kv-watch") => self.watch(call, mode),
            ("POST", "/-/kv-txn") => self.transact(&body),
            ("POST", "/-/kv-lease") => {
                let mut state = self.lock();
                let ttl_ms = body.get("ttlMs").number().clamp(1_000, 600_000);
                let lease = state.next_lease;
                state.next_lease += 1;
                let until = Instant::now() + Duration::from_millis(ttl_ms);
                state.leases.insert(lease, (until, ttl_ms));
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl_ms}}}"))
            }
            (method, path) => {
                let lease = path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0);
                let mut state = self.lock();
                if method == "POST" && path.starts_with("/-/kv-keep/") {
                    return match state.leases.get_mut(&lease) {
                        Some((until, ttl_ms)) => {
                            *until = Instant::now() + Duration::from_millis(*ttl_ms);
                            (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl_ms}}}"))
                        }
                        None => (404, "{}".to_owned()),
                    };
                }
                if method == "DELETE" && path.starts_with("/-/kv-lease-end/") {
                    let known = state.leases.contains_key(&lease);
                    end_lease(&mut state, lease);
                    drop(state);
                    self.changed.notify_all();
                    return (if known { 200 } else { 404 }, "{}".to_owned());
                }
                (404, "{}".to_owned())
            }
        }
    }

    fn watch(&self, call: &Message, mode: &AtomicU8) -> (u16, String) {
        let prefix = call.query("prefix").unwrap_or_default();
        let number = |name| call.query(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let after = number("after");
        let until = Instant::now() + Duration::from_millis(number("waitMs").min(30_000));
        let mut state = self.lock();
        loop {
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|change| change.revision > after && change.key.starts_with(&prefix))
                .map(|change| match &change.item {
                    Some(item) => item_text(&change.key, item),
                    None => format!(
                        "{{\"key\":\"{}\",\"revision\":{},\"tombstone\":true}}",
                        change.key, change.revision
                    ),
                })
                .collect();
            let now = Instant::now();
            let is_cut = mode.load(Ordering::SeqCst) != SERVES;
            if !events.is_empty() || now >= until || is_cut {
                let (events, as_of) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"asOf\":{as_of}}}"));
            }
            let left = (until - now).min(Duration::from_millis(50));
            (state, _) = self.changed.wait_timeout(state, left).expect("store lock");
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut state = self.lock();
        let mut failed = Vec::new();
        for condition in body.get("precondition").list() {
            let key = condition.get("key").text();
            let item = state.items.get(key);
            if item.map_or(0, |item| item.revision) != condition.get("revision").number() {
                failed.extend(item.map(|item| item_text(key, item)));
                if item.is_none() {
                    failed.push(format!("{{\"key\":\"{key}\",\"revision\":0,\"tombstone\":true}}"));
                }
            }
        }
        if !failed.is_empty() {
            return (412, format!("{{\"items\":[{}]}}", failed.join(",")));
        }
        for put in body.get("puts").list() {
            let lease = put.get("lease").number();
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        state.revision += 1;
        for put in body.get("puts").list() {
            let (key, value) = (put.get("key").text(), put.get("value").text().to_owned());
            write(&mut state, key, value, put.get("lease").number());
        }
        for key in body.get("deletes").list() {
            remove(&mut state, key.text());
        }
        let revision = state.revision;
        drop(state);
        self.changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

/// Keeps the connection open without an answer until its router closes it.
fn silence(mut reader: BufReader<TcpStream>) -> io::Result<()> {
    io::copy(&mut reader, &mut io::sink()).map(drop)
}

fn write(state: &mut State, key: &str, value: String, lease: u64) {
    let revision = state.revision;
    let created_at = state.items.get(key).map_or(revision, |item| item.created_at);
    let item = Item { value, revision, created_at, lease };
    state.items.insert(key.to_owned(), item.clone());
    state.history.push(Change { key: key.to_owned(), revision, item: Some(item) });
}

fn remove(state: &mut State, key: &str) {
    let revision = state.revision;
    if state.items.remove(key).is_some() {
        state.history.push(Change { key: key.to_owned(), revision, item: None });
    }
}

fn end_lease(state: &mut State, lease: u64) {
    if state.leases.remove(&lease).is_none() {
        return;
    }
    let keys: Vec<String> = state
        .items
        .iter()
        .filter(|(_, item)| item.lease == lease)
        .map(|(key, _)| key.clone())
        .collect();
    for key in keys {
        state.revision += 1;
        remove(state, &key);
    }
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"createdAt\":{},\"lease\":{}}}",
        item.value, item.revision, item.created_at, item.lease
    )
}
