//! A stand-in for the platform's store: items, leases, watches, eras.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::json::Json;
use crate::json::number;
use crate::json::object;
use crate::json::text;

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    lease: u64,
}

#[derive(Clone)]
struct Change {
    revision: u64,
    key: String,
    /// `None` for a deletion.
    item: Option<Item>,
}

struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

/// The items of a moment, from which the store can be restored.
#[derive(Clone)]
pub struct Copy {
    revision: u64,
    items: BTreeMap<String, Item>,
}

struct State {
    era: u64,
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    /// Changes up to this revision are no longer available.
    compacted: u64,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
    is_away: bool,
    /// Number of times that all waiting watches were cut.
    cuts: u64,
    /// Answers to watches that had events: number of the router, prefix and time.
    answered: Vec<(usize, String, Instant)>,
}

/// The store.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// The address of the store for each router.
    pub addresses: Vec<SocketAddr>,
}

impl Store {
    /// Starts the store with an address for each of `count` routers.
    pub fn start(count: usize) -> Arc<Self> {
        let listen = |_| TcpListener::bind("127.0.0.1:0").expect("a free port");
        let listeners: Vec<TcpListener> = (0..count).map(listen).collect();
        let addresses = listeners
            .iter()
            .map(|listener| listener.local_addr().expect("its address"));
        let store = Arc::new(Self {
            addresses: addresses.collect(),
            state: Mutex::new(State {
                era: 0,
                revision: 1,
                items: BTreeMap::new(),
                history: Vec::new(),
                compacted: 0,
                leases: HashMap::new(),
                last_lease: 0,
                is_away: false,
                cuts: 0,
                answered: Vec::new(),
            }),
            changed: Condvar::new(),
        });
        for (door, listener) in listeners.into_iter().enumerate() {
            let server = Arc::clone(&store);
            http::serve(listener, move |message, stream| {
                server.handle(door, message, stream)
            });
        }
        let leases = Arc::clone(&store);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                leases.end_leases();
            }
        });
        store
    }

    /// Writes a key as the operator and the workers do; returns whether the store took it.
    pub fn put(&self, key: &str, value: &Json) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.is_away {
            return false;
        }
        state.put(key, value.to_string().into_bytes(), 0);
        self.changed.notify_all();
        true
    }

    /// Removes a key; returns whether the store took it.
    pub fn remove(&self, key: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.is_away {
            return false;
        }
        state.remove(key);
        self.changed.notify_all();
        true
    }

    /// Returns the value of a key as text; empty if it does not exist.
    pub fn value(&self, key: &str) -> String {
        let state = self.state.lock().unwrap();
        let item = state.items.get(key);
        item.map(|item| String::from_utf8_lossy(&item.value).into_owned())
            .unwrap_or_default()
    }

    /// Returns a copy of the items.
    pub fn copy(&self) -> Copy {
        let state = self.state.lock().unwrap();
        Copy {
            revision: state.revision,
            items: state.items.clone(),
        }
    }

    /// Takes the store away: calls get no answer, and their connections are closed.
    pub fn go_away(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_away = true;
        state.cuts += 1;
        self.changed.notify_all();
    }

    /// Brings the store back from a copy, in its next era. Leases are gone with their keys.
    pub fn come_back(&self, copy: &Copy) {
        let mut state = self.state.lock().unwrap();
        state.is_away = false;
        state.era += 1;
        state.revision = copy.revision;
        state.items = copy.items.clone();
        state.items.retain(|_, item| item.lease == 0);
        state.leases.clear();
        state.history.clear();
        state.compacted = copy.revision;
        state.cuts += 1;
        self.changed.notify_all();
    }

    /// Brings the store back as it was. Leases have paused.
    pub fn come_back_whole(&self, away: Duration) {
        let mut state = self.state.lock().unwrap();
        state.is_away = false;
        for lease in state.leases.values_mut() {
            lease.ends_at += away;
        }
        self.changed.notify_all();
    }

    /// Cuts all watches that are waiting.
    pub fn cut_watches(&self) {
        let mut state = self.state.lock().unwrap();
        state.cuts += 1;
        self.changed.notify_all();
    }

    /// Discards the history.
    pub fn compact(&self) {
        let mut state = self.state.lock().unwrap();
        state.compacted = state.revision;
        state.history.clear();
    }

    /// Waits for an answer with events to a router's watch of `prefix` after `since`.
    pub fn wait_for_answer(
        &self,
        door: usize,
        prefix: &str,
        since: Instant,
        until: Instant,
    ) -> bool {
        loop {
            {
                let state = self.state.lock().unwrap();
                let mut answered = state.answered.iter().rev();
                if answered.any(|(to, known, at)| *to == door && known == prefix && *at > since) {
                    return true;
                }
            }
            if Instant::now() >= until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    fn end_leases(&self) {
        let mut state = self.state.lock().unwrap();
        if state.is_away {
            return;
        }
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, l)| l.ends_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            state.end_lease(lease);
        }
        self.changed.notify_all();
    }

    /// Answers a call; returns false to close the connection.
    fn handle(&self, door: usize, message: &Message, stream: &mut TcpStream) -> bool {
        let cuts = self.state.lock().unwrap().cuts;
        std::thread::sleep(ANSWER_TIME / 2);
        let answer = self.answer(door, message, cuts);
        let Some((status, body)) = answer else {
            return false;
        };
        std::thread::sleep(ANSWER_TIME / 2);
        let era = {
            let state = self.state.lock().unwrap();
            if state.is_away {
                return false;
            }
            state.era.to_string()
        };
        let headers = [
            ("Content-Type", "application/json"),
            ("Store-Era", era.as_str()),
        ];
        stream
            .write_all(&http::response(status, &headers, body.as_bytes()))
            .is_ok()
    }

    fn answer(&self, door: usize, message: &Message, cuts: u64) -> Option<(u16, String)> {
        let query = message.query();
        let path = message.path().to_owned();
        if path == "/-/kv-watch" {
            return self.watch(door, &query, cuts);
        }
        let mut state = self.state.lock().unwrap();
        if state.is_away {
            return None;
        }
        let body = Json::parse(&String::from_utf8_lossy(&message.body)).unwrap_or(Json::Null);
        let lease_of = |prefix: &str| path.strip_prefix(prefix).and_then(|id| id.parse().ok());
        let answer = match path.as_str() {
            "/-/kv-range" => {
                let prefix = query.get("prefix").cloned().unwrap_or_default();
                let after = query.get("after").cloned().unwrap_or_default();
                (200, state.range(&prefix, &after))
            }
            "/-/kv-txn" => state.transact(&body),
            "/-/kv-lease" => {
                let ttl_ms = body.get("ttlMs").number().clamp(1_000, 600_000);
                state.last_lease += 1;
                let lease = state.last_lease;
                let ttl = Duration::from_millis(ttl_ms);
                state.leases.insert(
                    lease,
                    Lease {
                        ttl,
                        ends_at: Instant::now() + ttl,
                    },
                );
                (
                    200,
                    object(&[("lease", number(lease)), ("ttlMs", number(ttl_ms))]).to_string(),
                )
            }
            _ => {
                if let Some(lease) = lease_of("/-/kv-keep/") {
                    match state.leases.get_mut(&lease) {
                        Some(known) => {
                            known.ends_at = Instant::now() + known.ttl;
                            (200, "{}".to_owned())
                        }
                        None => (404, "{}".to_owned()),
                    }
                } else if let Some(lease) = lease_of("/-/kv-lease-end/") {
                    state.end_lease(lease);
                    (200, "{}".to_owned())
                } else {
                    (404, "{}".to_owned())
                }
            }
        };
        self.changed.notify_all();
        Some(answer)
    }

    fn watch(
        &self,
        door: usize,
        query: &HashMap<String, String>,
        cuts: u64,
    ) -> Option<(u16, String)> {
        let value = |name: &str| query.get(name).cloned().unwrap_or_default();
        let prefix = value("prefix");
        let after: u64 = value("after").parse().unwrap_or(0);
        let wait_ms: u64 = value("waitMs").parse().unwrap_or(0);
        let ends_at = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            if state.is_away || state.cuts != cuts {
                return None;
            }
            if after < state.compacted || after > state.revision {
                return Some((410, "{}".to_owned()));
            }
            let changes = state.history.iter();
            let changes = changes.filter(|c| c.revision > after && c.key.starts_with(&prefix));
            let events: Vec<Json> = changes.map(Change::wire).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= ends_at {
                if !events.is_empty() {
                    state.answered.push((door, prefix, now));
                }
                let as_of = number(state.revision);
                let body = object(&[("events", Json::List(events)), ("asOf", as_of)]);
                return Some((200, body.to_string()));
            }
            state = self.changed.wait_timeout(state, ends_at - now).unwrap().0;
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let item = Item {
            value,
            revision: self.revision,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(Change {
            revision: self.revision,
            key: key.to_owned(),
            item: Some(item),
        });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        self.history.push(Change {
            revision: self.revision,
            key: key.to_owned(),
            item: None,
        });
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let items = self.items.iter();
        let found = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut items: Vec<Json> = found.map(|(key, item)| wire_item(key, item)).collect();
        let truncated = items.len() > 500;
        items.truncate(500);
        object(&[
            ("items", Json::List(items)),
            ("truncated", Json::Bool(truncated)),
            ("asOf", number(self.revision)),
        ])
        .to_string()
    }

    fn transact(&mut self, body: &Json) -> (u16, String) {
        let conditions = body.get("precondition").list();
        let holds = conditions.iter().all(|row| {
            let found = self
                .items
                .get(row.get("key").text())
                .map_or(0, |item| item.revision);
            found == row.get("revision").number()
        });
        if !holds {
            let items = conditions.iter().filter_map(|row| {
                let key = row.get("key").text();
                self.items.get(key).map(|item| wire_item(key, item))
            });
            return (
                412,
                object(&[("items", Json::List(items.collect()))]).to_string(),
            );
        }
        let puts = body.get("puts").list();
        let leased = |row: &Json| {
            let lease = row.get("lease").number();
            lease == 0 || self.leases.contains_key(&lease)
        };
        if !puts.iter().all(leased) {
            return (404, "{}".to_owned());
        }
        for row in puts {
            let value = decode_base64(row.get("value").text());
            self.put(row.get("key").text(), value, row.get("lease").number());
        }
        for key in body.get("deletes").list() {
            self.remove(key.text());
        }
        (
            200,
            object(&[("revision", number(self.revision))]).to_string(),
        )
    }
}

impl Change {
    fn wire(&self) -> Json {
        match &self.item {
            Some(item) => wire_item(&self.key, item),
            None => object(&[
                ("key", text(&self.key)),
                ("revision", number(self.revision)),
                ("tombstone", Json::Bool(true)),
            ]),
        }
    }
}

fn wire_item(key: &str, item: &Item) -> Json {
    object(&[
        ("key", text(key)),
        ("value", text(&encode_base64(&item.value))),
        ("revision", number(item.revision)),
        ("createdAt", number(item.revision)),
        ("lease", number(item.lease)),
    ])
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut encoded = String::new();
    for piece in bytes.chunks(3) {
        let whole = piece
            .iter()
            .fold(0u32, |sum, byte| sum << 8 | u32::from(*byte));
        let whole = whole << (8 * (3 - piece.len()));
        for index in 0..4 {
            if index <= piece.len() {
                let digit = whole >> (18 - 6 * index) & 63;
                encoded.push(DIGITS[digit as usize] as char);
            } else {
                encoded.push('=');
            }
        }
    }
    encoded
}

fn decode_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0u32, 0);
    for character in text.bytes().filter(|byte| *byte != b'=') {
        let Some(digit) = DIGITS.iter().position(|known| *known == character) else {
            continue;
        };
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    bytes
}
