//! A stand-in for a worker of a plain service that can crash and come back cold.

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
use crate::http::Message;
use crate::json::number;
use crate::json::object;
use crate::json::text;
use crate::store::Store;

pub const SERVICE: &str = "kiosk-ledger";
/// `coldS`, and `coldPerS` of the service.
pub const COLD: Duration = Duration::from_secs(3);
pub const COLD_PER_S: u64 = 26;
/// Time between two heartbeats of a worker.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A worker that can crash and start again under its id, at its address.
pub struct ColdWorker {
    pub id: String,
    zone: &'static str,
    address: SocketAddr,
    life: Mutex<Life>,
    runs: Mutex<Vec<Instant>>,
}

struct Life {
    born: u64,
    cold_until: Instant,
    is_up: bool,
    writes: u64,
    server: Option<Arc<http::Server>>,
}

impl ColdWorker {
    pub fn start(id: String, zone: &'static str, store: &Arc<Store>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = Arc::new(Self {
            id,
            zone,
            address: listener.local_addr().expect("its address"),
            life: Mutex::new(Life {
                born: 0,
                cold_until: Instant::now(),
                is_up: false,
                writes: 0,
                server: None,
            }),
            runs: Mutex::default(),
        });
        worker.begin(listener, Duration::ZERO, store);
        worker
    }

    /// Begins a life, which is cold for `cold`, and reports it to the store with each heartbeat.
    fn begin(self: &Arc<Self>, listener: TcpListener, cold: Duration, store: &Arc<Store>) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = now.map_or(0, |now| now.as_millis() as u64);
        {
            let mut life = self.life.lock().unwrap();
            life.born = born;
            life.cold_until = Instant::now() + cold;
            life.is_up = true;
            let worker = Arc::clone(self);
            life.server = Some(http::serve(listener, move |message, stream| {
                stream.write_all(&worker.answer(message)).is_ok()
            }));
        }
        self.write(store);
        let (worker, store) = (Arc::clone(self), Arc::clone(store));
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(HEARTBEAT);
                let is_same = {
                    let life = worker.life.lock().unwrap();
                    life.is_up && life.born == born
                };
                if !is_same {
                    return;
                }
                worker.write(&store);
            }
        });
    }

    pub fn crash(&self) {
        let mut life = self.life.lock().unwrap();
        life.is_up = false;
        if let Some(server) = life.server.take() {
            server.end();
        }
    }

    pub fn restart(self: &Arc<Self>, store: &Arc<Store>) {
        let listener = TcpListener::bind(self.address).expect("its address again");
        self.begin(listener, COLD, store);
    }

    fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    fn write(&self, store: &Store) {
        let entry = {
            let mut life = self.life.lock().unwrap();
            life.writes += 1;
            let cold = life.cold_until.saturating_duration_since(Instant::now());
            object(&[
                ("service", text(SERVICE)),
                ("address", text(&self.address.to_string())),
                ("zone", text(self.zone)),
                ("version", text("1")),
                ("slots", number(6)),
                ("state", text("ready")),
                ("coldRemainingMs", number(cold.as_millis() as u64)),
                ("born", number(life.born)),
                ("sequence", number(life.writes)),
            ])
        };
        store.put(&self.key(), &entry);
    }

    fn answer(&self, message: &Message) -> Vec<u8> {
        let request = message
            .header("X-Jujuberoad-Attempt-Id")
            .unwrap_or_default();
        let expected = message.header("X-Jujuberoad-Expect-Instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [
                ("X-Jujuberoad-Attempt-Id", request),
                ("At-Server", self.id.as_str()),
                ("X-Jujuberoad-Not-Executed", "1"),
            ];
            return http::response(421, &headers, b"");
        }
        self.runs.lock().unwrap().push(Instant::now());
        std::thread::sleep(Duration::from_millis(5));
        let headers = [
            ("X-Jujuberoad-Attempt-Id", request),
            ("X-Jujuberoad-Server-Seal", self.id.as_str()),
            ("X-Jujuberoad-Server-Load", "1,0,6"),
        ];
        http::response(200, &headers, request.as_bytes())
    }

    /// Returns the most requests that arrived within one second of a span, and when that began.
    pub fn busiest_second(&self, from: Instant, until: Instant) -> (usize, Instant) {
        let runs = self.runs.lock().unwrap();
        let runs: Vec<Instant> = runs
            .iter()
            .copied()
            .filter(|at| (from..until).contains(at))
            .collect();
        let count = |begin: &Instant| {
            let end = *begin + Duration::from_secs(1);
            runs.iter().filter(|at| *at >= begin && **at < end).count()
        };
        let busiest = runs.iter().max_by_key(|begin| count(begin));
        busiest.map_or((0, from), |begin| (count(begin), *begin))
    }
}
