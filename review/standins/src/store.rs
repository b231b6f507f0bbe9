//! The platform's store: items, leases, watches, conditional writes.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::json::Json;
use crate::json::from_base64;
use crate::json::quoted;
use crate::json::to_base64;

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Largest number of items in a page.
const PAGE_ITEMS: usize = 500;

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created_at: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (u64, Instant)>,
    next_lease: u64,
    is_silent: bool,
    /// Share of answers that are lost.
    loss_share: f64,
    random: u64,
    /// Watches of this prefix are cut when they have waited for this long.
    watch_limit: Option<(String, Duration)>,
    cuts: usize,
    lost_calls: usize,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
}

impl State {
    fn write(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created_at = self.items.get(key).map_or(revision, |item| item.created_at);
        let item = Item {
            value,
            revision,
            created_at,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    /// Returns whether the next answer is lost.
    fn loses_next(&mut self) -> bool {
        // A linear congruential generator with a fixed seed.
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let is_lost = ((self.random >> 33) as f64) < self.loss_share * (1_u64 << 31) as f64;
        self.lost_calls += usize::from(is_lost);
        is_lost
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

fn render(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"createdAt\":{},\"lease\":{}}}",
        quoted(key),
        to_base64(&item.value),
        item.revision,
        item.created_at,
        item.lease
    )
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = State {
            revision: 100,
            next_lease: 1,
            ..State::default()
        };
        let store = Store {
            address: listener.local_addr().expect("its address"),
            state: Arc::new(Mutex::new(state)),
            changed: Arc::default(),
        };
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let shared = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                let mut state = shared.state.lock().expect("store lock");
                let now = Instant::now();
                let ended: Vec<u64> = state
                    .leases
                    .iter()
                    .filter(|(_, (_, until))| now >= *until)
                    .map(|(lease, _)| *lease)
                    .collect();
                for lease in &ended {
                    state.end_lease(*lease);
                }
                if !ended.is_empty() {
                    shared.changed.notify_all();
                }
            }
        });
        store
    }

    /// Writes a value as the operator or a worker does; returns when it was acknowledged.
    pub fn put(&self, key: &str, value: &str) -> Instant {
        let mut state = self.state.lock().expect("store lock");
        state.write(key, value.as_bytes().to_vec(), 0);
        self.changed.notify_all();
        Instant::now()
    }

    /// Removes an entry; returns when that was acknowledged.
    pub fn delete(&self, key: &str) -> Instant {
        let mut state = self.state.lock().expect("store lock");
        state.remove(key);
        self.changed.notify_all();
        Instant::now()
    }

    /// Lets calls that arrive from now on wait in vain, or ends that.
    pub fn set_silent(&self, is_silent: bool) {
        self.state.lock().expect("store lock").is_silent = is_silent;
    }

    /// Loses a share of all answers from now on.
    pub fn lose_answers(&self, share: f64) {
        self.state.lock().expect("store lock").loss_share = share;
    }

    /// Cuts watches of a prefix that have waited for a time from now on.
    pub fn limit_watches(&self, prefix: &str, life: Duration) {
        let limit = Some((prefix.to_owned(), life));
        self.state.lock().expect("store lock").watch_limit = limit;
    }

    /// Returns how many watches were cut and how many calls got no answer.
    pub fn faults(&self) -> (usize, usize) {
        let state = self.state.lock().expect("store lock");
        (state.cuts, state.lost_calls)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(request) = http::read(&mut reader) {
            if self.state.lock().expect("store lock").is_silent {
                self.state.lock().expect("store lock").lost_calls += 1;
                // Nothing further comes on this connection.
                while http::read(&mut reader).is_ok() {}
                return;
            }
            let Some((status, body)) = self.answer(&request) else {
                return;
            };
            thread::sleep(ANSWER_TIME);
            if self.state.lock().expect("store lock").loses_next() {
                while http::read(&mut reader).is_ok() {}
                return;
            }
            let headers = "Content-Type: application/json\r\n";
            if http::respond(&mut writer, status, headers, &body).is_err() {
                return;
            }
        }
    }

    /// Returns the answer to a call, or `None` if its connection is closed instead.
    fn answer(&self, request: &Message) -> Option<(&'static str, String)> {
        let path = request.target().split('?').next().unwrap_or("");
        let body = Json::parse(&request.text()).unwrap_or(Json::Null);
        if path == "/-/kv-watch" {
            return self.watch(request);
        }
        let mut state = self.state.lock().expect("store lock");
        let answer = match path {
            "/-/kv-range" => {
                let (prefix, after) = (request.query("prefix"), request.query("after"));
                let items: Vec<_> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .collect();
                let page: Vec<String> = items
                    .iter()
                    .take(PAGE_ITEMS)
                    .map(|(key, item)| render(key, item))
                    .collect();
                let truncated = items.len() > PAGE_ITEMS;
                let (page, as_of) = (page.join(","), state.revision);
                let text =
                    format!("{{\"items\":[{page}],\"truncated\":{truncated},\"asOf\":{as_of}}}");
                ("200 OK", text)
            }
            "/-/kv-txn" => self.commit(&mut state, &body),
            "/-/kv-lease" => {
                let lease = state.next_lease;
                state.next_lease += 1;
                let ttl = body.get("ttlMs").number().max(1_000);
                let until = Instant::now() + Duration::from_millis(ttl);
                state.leases.insert(lease, (ttl, until));
                ("200 OK", format!("{{\"lease\":{lease},\"ttlMs\":{ttl}}}"))
            }
            _ => {
                let lease = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse().ok())
                    .unwrap_or(0);
                if path.starts_with("/-/kv-keep/") {
                    match state.leases.get_mut(&lease) {
                        Some((ttl, until)) => {
                            *until = Instant::now() + Duration::from_millis(*ttl);
                            ("200 OK", format!("{{\"lease\":{lease},\"ttlMs\":{ttl}}}"))
                        }
                        None => ("404 Not Found", "{}".to_owned()),
                    }
                } else if path.starts_with("/-/kv-lease-end/") {
                    state.end_lease(lease);
                    self.changed.notify_all();
                    ("200 OK", "{}".to_owned())
                } else {
                    ("404 Not Found", "{}".to_owned())
                }
            }
        };
        Some(answer)
    }

    fn commit(&self, state: &mut State, body: &Json) -> (&'static str, String) {
        let mut found = Vec::new();
        let mut holds = true;
        for row in body.get("precondition").list() {
            let key = row.get("key").text();
            let item = state.items.get(&key);
            holds &= item.map_or(0, |item| item.revision) == row.get("revision").number();
            found.extend(item.map(|item| render(&key, item)));
        }
        if !holds {
            return (
                "412 Precondition Failed",
                format!("{{\"items\":[{}]}}", found.join(",")),
            );
        }
        for put in body.get("puts").list() {
            let lease = put.get("lease").number();
            if lease != 0 && !state.leases.contains_key(&lease) {
                return ("404 Not Found", "{}".to_owned());
            }
        }
        for put in body.get("puts").list() {
            let value = from_base64(&put.get("value").text());
            state.write(&put.get("key").text(), value, put.get("lease").number());
        }
        for key in body.get("deletes").list() {
            state.remove(&key.text());
        }
        self.changed.notify_all();
        ("200 OK", format!("{{\"revision\":{}}}", state.revision))
    }

    fn watch(&self, request: &Message) -> Option<(&'static str, String)> {
        let prefix = request.query("prefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.query("waitMs").parse().unwrap_or(0);
        let began_at = Instant::now();
        let ends_at = began_at + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state.lock().expect("store lock");
        loop {
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => render(key, item),
                    None => format!(
                        "{{\"key\":{},\"revision\":{revision},\"tombstone\":true}}",
                        quoted(key)
                    ),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= ends_at {
                let (events, as_of) = (events.join(","), state.revision);
                return Some((
                    "200 OK",
                    format!("{{\"events\":[{events}],\"asOf\":{as_of}}}"),
                ));
            }
            let limit = state.watch_limit.clone();
            let cut_at = limit
                .filter(|(cut, _)| *cut == prefix)
                .map(|(_, life)| began_at + life);
            if cut_at.is_some_and(|at| now >= at) {
                state.cuts += 1;
                return None;
            }
            let left = cut_at.map_or(ends_at, |at| at.min(ends_at)) - now;
            state = self
                .changed
                .wait_timeout(state, left)
                .expect("store lock")
                .0;
        }
    }
}
