//! A stand-in for a worker of a plain service, which registers itself and records what it runs.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::json::Json;
use crate::json::number;
use crate::json::object;
use crate::json::text;
use crate::store::Store;

/// Time between two heartbeats, in milliseconds.
pub const HEARTBEAT_MS: u64 = 1_200;

/// A request that a worker has begun to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub at: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registration {
    Ready,
    Draining,
    /// The worker has left: it writes no entry any more, but still serves.
    Left,
}

pub struct Worker {
    pub id: String,
    service: String,
    zone: String,
    born: u64,
    work: Duration,
    is_quiet: bool,
    pub address: SocketAddr,
    registration: Mutex<(Registration, u64)>,
    runs: Mutex<Vec<Run>>,
}

impl Worker {
    /// Starts a worker, registers it and lets it write its entry again where the store lacks it.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        work: Duration,
        is_quiet: bool,
        store: &Arc<Store>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            born: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |t| t.as_millis() as u64),
            work,
            is_quiet,
            address: listener.local_addr().expect("its address"),
            registration: Mutex::new((Registration::Ready, 0)),
            runs: Mutex::default(),
        });
        let server = Arc::clone(&worker);
        http::serve(listener, move |message, stream| {
            let answer = server.answer(message);
            stream.write_all(&answer).is_ok()
        });
        worker.register(store, Registration::Ready);
        let (beating, store) = (Arc::clone(&worker), Arc::clone(store));
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(HEARTBEAT_MS));
                beating.beat(&store);
            }
        });
        worker
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Reports a state to the store; returns when the store accepted it.
    pub fn register(&self, store: &Store, registration: Registration) -> Option<Instant> {
        let mut known = self.registration.lock().unwrap();
        *known = (registration, known.1 + 1);
        let taken = match registration {
            Registration::Left => store.remove(&self.key()),
            _ => store.put(&self.key(), &self.entry(*known)),
        };
        taken.then(Instant::now)
    }

    /// Reports the state with the next sequence number. A quiet worker's entry changes only when
    /// more than that changes, or when the store has lost the entry.
    fn beat(&self, store: &Store) {
        let mut known = self.registration.lock().unwrap();
        if known.0 == Registration::Left {
            return;
        }
        if self.is_quiet && store.value(&self.key()) == self.entry(*known).to_string() {
            return;
        }
        known.1 += 1;
        store.put(&self.key(), &self.entry(*known));
    }

    fn entry(&self, (registration, sequence): (Registration, u64)) -> Json {
        let state = if registration == Registration::Ready {
            "ready"
        } else {
            "draining"
        };
        object(&[
            ("service", text(&self.service)),
            ("address", text(&self.address.to_string())),
            ("zone", text(&self.zone)),
            ("version", text("1")),
            ("slots", number(6)),
            ("state", text(state)),
            ("coldRemainingMs", number(0)),
            ("born", number(self.born)),
            ("sequence", number(sequence)),
        ])
    }

    fn answer(&self, message: &http::Message) -> Vec<u8> {
        let request = message
            .header("X-Jujuberoad-Attempt-Id")
            .unwrap_or_default()
            .to_owned();
        if message.path() == "/health" {
            return http::response(200, &[("X-Jujuberoad-Instance-Id", &self.id)], b"");
        }
        let expected = message.header("X-Jujuberoad-Expect-Instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [
                ("X-Jujuberoad-Attempt-Id", request.as_str()),
                ("At-Server", &self.id),
                ("X-Jujuberoad-Not-Executed", "1"),
            ];
            return http::response(421, &headers, b"");
        }
        let at = Instant::now();
        self.runs.lock().unwrap().push(Run {
            request: request.clone(),
            at,
        });
        std::thread::sleep(self.work);
        let headers = [
            ("X-Jujuberoad-Attempt-Id", request.as_str()),
            ("X-Jujuberoad-Server-Seal", self.id.as_str()),
            ("X-Jujuberoad-Server-Load", "1,0,6"),
            ("Content-Type", "text/plain"),
        ];
        http::response(200, &headers, format!("answer to {request}").as_bytes())
    }

    /// Returns the runs that began from `from` on.
    pub fn runs_since(&self, from: Instant) -> Vec<Run> {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|run| run.at >= from).cloned().collect()
    }
}
