//! A stand-in for a worker of a service without engines.

use std::collections::BTreeMap;
use std::io;
use std::io::BufReader;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use super::http;
use super::record::Record;
use super::store::Store;

/// A request that reached a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub worker: String,
    pub request: String,
    /// Whether the worker has written its whole answer.
    pub is_answered: bool,
    /// Whether the worker has run it.
    pub has_run: bool,
    pub deadline_ms: u64,
}

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

pub struct WorkerPlan {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub ip: String,
    pub slots: u32,
    pub work_ms: u64,
    /// 0 for any free port.
    pub port: u16,
    /// How long it is cold after its start.
    pub cold_ms: u64,
}

pub struct Worker {
    pub plan: WorkerPlan,
    pub address: SocketAddr,
    store: Arc<Store>,
    record: Arc<Record>,
    arrivals: Arrivals,
    born: u128,
    /// Until when it is cold, by the clock of the record.
    cold_until_ms: AtomicU64,
    sequence: AtomicU64,
    is_listed: AtomicBool,
    is_gone: AtomicBool,
    running: AtomicU64,
    streams: Mutex<BTreeMap<u64, TcpStream>>,
    /// Requests that are answered 503 without having been run.
    pub sheds: AtomicBool,
}

impl Worker {
    /// Starts a worker, which writes its entry about every `heartbeat`.
    pub fn start(
        plan: WorkerPlan,
        store: &Arc<Store>,
        record: &Arc<Record>,
        arrivals: &Arrivals,
        heartbeat: Duration,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((plan.ip.as_str(), plan.port))?;
        let plan_cold_ms = plan.cold_ms;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.as_millis());
        let worker = Arc::new(Self {
            address: listener.local_addr()?,
            plan,
            store: Arc::clone(store),
            record: Arc::clone(record),
            arrivals: Arc::clone(arrivals),
            born,
            cold_until_ms: AtomicU64::new(record.now_ms() + plan_cold_ms),
            sequence: AtomicU64::new(0),
            is_listed: AtomicBool::new(true),
            is_gone: AtomicBool::new(false),
            running: AtomicU64::new(0),
            streams: Mutex::default(),
            sheds: AtomicBool::new(false),
        });
        let beating = Arc::clone(&worker);
        thread::spawn(move || {
            while beating.is_listed.load(Ordering::SeqCst) {
                beating.beat("ready");
                thread::sleep(heartbeat);
            }
        });
        let serving = Arc::clone(&worker);
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                if serving.is_gone.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else {
                    continue;
                };
                let serving = Arc::clone(&serving);
                thread::spawn(move || {
                    let number = number as u64;
                    if let Ok(copy) = stream.try_clone() {
                        serving.streams.lock().expect("stream lock").insert(number, copy);
                    }
                    let _ = serving.serve(stream);
                    serving.streams.lock().expect("stream lock").remove(&number);
                });
            }
        });
        Ok(worker)
    }

    /// Writes the entry; the lock keeps a write from following its removal.
    fn beat(&self, state: &str) {
        let plan = &self.plan;
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let cold_until_ms = self.cold_until_ms.load(Ordering::SeqCst);
        let cold_ms = cold_until_ms.saturating_sub(self.record.now_ms());
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"{state}\",\"coldRemainingMs\":{cold_ms},\"born\":{},\
             \"stage\":\"unified\",\"models\":[],\"sequence\":{sequence}}}",
            plan.service, self.address, plan.zone, plan.slots, self.born,
        );
        let _streams = self.streams.lock().expect("stream lock");
        if self.is_listed.load(Ordering::SeqCst) {
            self.store.put(&format!("servers/{}", plan.id), &entry);
        }
    }

    /// Removes the entry, as a worker does that leaves without a report that it drains; the
    /// worker goes on serving.
    pub fn leave_list(&self) -> u64 {
        let _streams = self.streams.lock().expect("stream lock");
        self.is_listed.store(false, Ordering::SeqCst);
        self.store.delete(&format!("servers/{}", self.plan.id))
    }

    /// Ends the worker: its connections close and nobody listens any more.
    pub fn exit(&self) {
        self.is_gone.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().expect("stream lock").values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the listener, which closes.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        loop {
            let request = http::read_message(&mut reader)?;
            if self.is_gone.load(Ordering::SeqCst) {
                return Ok(());
            }
            self.answer(&mut stream, &request)?;
        }
    }

    fn answer(&self, stream: &mut TcpStream, request: &http::Message) -> io::Result<()> {
        let plan = &self.plan;
        let running = self.running.load(Ordering::SeqCst);
        let load = ("X-Jujuberoad-Server-Load", format!("{running},0,{}", plan.slots));
        if request.path() == "/health" {
            let instance = ("X-Jujuberoad-Instance-Id", plan.id.clone());
            return http::respond(stream, 200, &[load, instance], b"");
        }
        let id = request.header("x-jujuberoad-attempt-id").unwrap_or("").to_owned();
        let echo = ("X-Jujuberoad-Attempt-Id", id.clone());
        let expected = request.header("x-jujuberoad-expect-instance");
        if expected.is_some_and(|expected| expected != plan.id) {
            let instance = ("X-Jujuberoad-Instance-Id", plan.id.clone());
            return http::respond(stream, 421, &[echo, instance], b"");
        }
        let deadline_ms = request.header("x-jujuberoad-deadline-ms");
        let deadline_ms = deadline_ms.and_then(|text| text.parse().ok()).unwrap_or(0);
        let is_full = self.sheds.load(Ordering::SeqCst) || running >= u64::from(plan.slots);
        let index = {
            let mut arrivals = self.arrivals.lock().expect("arrival lock");
            arrivals.push(Arrival {
                at_ms: self.record.now_ms(),
                worker: plan.id.clone(),
                request: id.clone(),
                is_answered: false,
                has_run: !is_full,
                deadline_ms,
            });
            arrivals.len() - 1
        };
        if is_full {
            let not_run = ("X-Jujuberoad-Not-Executed", "1".to_owned());
            return http::respond(stream, 503, &[echo, load, not_run], b"full");
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(plan.work_ms));
        self.running.fetch_sub(1, Ordering::SeqCst);
        if self.is_gone.load(Ordering::SeqCst) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let seal = ("X-Jujuberoad-Server-Seal", format!("seal-{}-{id}", plan.id));
        let body = format!("{id} by {}", plan.id);
        http::respond(stream, 200, &[echo, seal, load], body.as_bytes())?;
        self.arrivals.lock().expect("arrival lock")[index].is_answered = true;
        Ok(())
    }
}

impl Worker {
    /// Turns the worker cold for `cold_ms` and writes its entry at once; returns when.
    pub fn turn_cold(&self, cold_ms: u64) -> u64 {
        let now_ms = self.record.now_ms();
        self.cold_until_ms.store(now_ms + cold_ms, Ordering::SeqCst);
        self.beat("ready");
        now_ms
    }

    /// Ends the worker at once; its entry stays until somebody removes it.
    pub fn crash(&self) {
        self.is_listed.store(false, Ordering::SeqCst);
        self.exit();
    }
}
