//! What all cases share: the record, the configuration and steady callers.

use std::io::Write;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::Router;
use crate::http;
use crate::http::Caller;
use crate::json::Json;
use crate::json::number;
use crate::json::object;
use crate::json::text;

/// Exit status of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// The record of a case: lines with the time since its start.
#[derive(Clone)]
pub struct Record {
    pub start: Instant,
    file: Arc<Mutex<std::fs::File>>,
}

impl Record {
    /// Creates `record.txt` in the folder that `CASE` names.
    pub fn create() -> Self {
        let folder = std::env::var_os("CASE").map_or_else(|| PathBuf::from("."), PathBuf::from);
        let file = std::fs::File::create(folder.join("record.txt")).expect("a record");
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn at(&self, at: Instant, line: &str) {
        let time = at.saturating_duration_since(self.start).as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{time:8.3} s  {line}");
    }

    pub fn now(&self, line: &str) {
        self.at(Instant::now(), line);
        println!("{:8.3} s  {line}", self.start.elapsed().as_secs_f64());
    }
}

/// Returns whether the case is to play its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Returns a route of the host `site.example`.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, attempts: u64) -> Json {
    object(&[
        ("name", text(name)),
        ("host", text("site.example")),
        ("prefix", text(prefix)),
        ("kind", text(kind)),
        ("timeoutMs", number(1_000)),
        ("sloMs", number(150)),
        ("priority", number(1)),
        ("service", text(service)),
        ("attempts", number(attempts)),
    ])
}

/// Returns a configuration with one tenant, `team-one`, whose key is `key-one`.
pub fn config(version: u64, routes: Vec<Json>, services: Vec<Json>) -> Json {
    let tenant = object(&[
        ("name", text("team-one")),
        ("apiKeys", Json::List(vec![text("key-one")])),
    ]);
    let limits = object(&[
        ("maxHeaderBytes", number(16_384)),
        ("maxBodyBytes", number(4_194_304)),
        ("headerTimeoutMs", number(10_000)),
        ("idleTimeoutMs", number(15_000)),
    ]);
    object(&[
        ("version", number(version)),
        ("routes", Json::List(routes)),
        ("services", Json::List(services)),
        ("tenants", Json::List(vec![tenant])),
        ("limits", limits),
    ])
}

/// Returns a plain service.
pub fn plain_service(name: &str) -> Json {
    object(&[
        ("name", text(name)),
        ("healthPath", text("/health")),
        ("maxConns", number(110)),
    ])
}

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

pub fn next_id() -> String {
    format!("{:016x}", NEXT_REQUEST.fetch_add(1, Ordering::Relaxed))
}

/// Formats a request of the tenant `team-one`.
pub fn team_request(start: &str, id: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let deadline = deadline_ms.to_string();
    let headers = [
        ("Host", "site.example"),
        ("X-Jujuberoad-Attempt-Id", id),
        ("X-Jujuberoad-Deadline-Ms", deadline.as_str()),
        ("Authorization", "Bearer key-one"),
    ];
    http::request(start, &headers, body)
}

/// Callers that send a request each interval on connections that they keep.
pub struct SteadyCallers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    pub answers: Arc<Mutex<Vec<(Instant, String, u16)>>>,
}

impl SteadyCallers {
    /// Starts `count` callers of `address`, which send `start` each `interval`.
    pub fn begin(
        record: &Record,
        router: &Router,
        count: usize,
        start: &'static str,
        interval: Duration,
    ) -> Self {
        let address = router.callers;
        let stop = Arc::new(AtomicBool::new(false));
        let answers = Arc::new(Mutex::new(Vec::new()));
        let threads = (0..count).map(|number| {
            let (stop, answers, record) = (Arc::clone(&stop), Arc::clone(&answers), record.clone());
            let name = router.spec.name.clone();
            std::thread::spawn(move || {
                std::thread::sleep(interval * number as u32 / count as u32);
                let mut caller = None;
                while !stop.load(Ordering::Relaxed) {
                    let sent_at = Instant::now();
                    let id = next_id();
                    let known: Option<Caller> = caller.take();
                    let connected = known.map_or_else(|| Caller::connect(address), Ok);
                    let answer = connected.and_then(|mut connected| {
                        let answer = connected.call(&team_request(start, &id, 1_000, b""))?;
                        caller = Some(connected);
                        Ok(answer)
                    });
                    let status = answer.as_ref().map_or(0, http::Message::status);
                    let answer = answer.unwrap_or_default();
                    if answer.header("connection") == Some("close") {
                        caller = None;
                    }
                    let worker = answer.header("X-Jujuberoad-Server-Seal").unwrap_or("-");
                    record.at(
                        sent_at,
                        &format!("to {name}: {id}; answer {status}, run by {worker}"),
                    );
                    answers.lock().unwrap().push((sent_at, id, status));
                    sleep_until(sent_at + interval);
                }
            })
        });
        let threads = threads.collect();
        Self {
            stop,
            threads,
            answers,
        }
    }

    /// Stops the callers; returns the numbers of answers with 200 and of all.
    pub fn end(self) -> (usize, usize) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        let answers = self.answers.lock().unwrap();
        let served = answers
            .iter()
            .filter(|(_, _, status)| *status == 200)
            .count();
        (served, answers.len())
    }
}
