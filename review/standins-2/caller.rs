//! A client that sends requests at a steady pace over kept connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use super::http::Connection;
use super::record::Record;

/// One request of a client and its end.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub router: String,
    pub sent_ms: u64,
    pub ended_ms: u64,
    /// 0 if the connection ended without an answer.
    pub status: u16,
    pub is_sealed: bool,
    pub body: String,
}

pub type Attempts = Arc<Mutex<Vec<Attempt>>>;

pub struct CallerPlan {
    pub name: String,
    pub router: String,
    pub address: SocketAddr,
    pub start: String,
    pub host: String,
    pub deadline_ms: u64,
    pub pause_ms: u64,
}

/// Starts a client, which sends one request after the other until `stop` is set.
pub fn start(
    plan: CallerPlan,
    record: &Arc<Record>,
    attempts: &Attempts,
    stop: &Arc<AtomicBool>,
) -> JoinHandle<()> {
    let (record, attempts, stop) = (Arc::clone(record), Arc::clone(attempts), Arc::clone(stop));
    thread::spawn(move || {
        let mut connection = None;
        let mut number = 0;
        while !stop.load(Ordering::SeqCst) {
            let next_at = Instant::now() + Duration::from_millis(plan.pause_ms);
            number += 1;
            let id = format!("{}-{number}", plan.name);
            let sent_ms = record.now_ms();
            let by = Instant::now() + Duration::from_millis(plan.deadline_ms);
            let answer = match connection.take() {
                Some(known) => Ok(known),
                None => Connection::open(plan.address),
            };
            let answer = answer.and_then(|mut known| {
                let headers = [
                    ("Host", plan.host.clone()),
                    ("X-Jujuberoad-Attempt-Id", id.clone()),
                    ("X-Jujuberoad-Deadline-Ms", plan.deadline_ms.to_string()),
                ];
                known.send(&plan.start, &headers, b"{}")?;
                let answer = known.receive(by)?;
                Ok((answer, known))
            });
            let mut attempt = Attempt {
                id,
                router: plan.router.clone(),
                sent_ms,
                ended_ms: record.now_ms(),
                status: 0,
                is_sealed: false,
                body: String::new(),
            };
            if let Ok((answer, known)) = answer {
                attempt.status = answer.status();
                attempt.is_sealed = answer.header("x-jujuberoad-server-seal").is_some();
                attempt.body = String::from_utf8_lossy(&answer.body).into_owned();
                let closes = answer
                    .header("connection")
                    .is_some_and(|value| value.eq_ignore_ascii_case("close"));
                connection = (!closes).then_some(known);
            }
            attempts.lock().expect("attempt lock").push(attempt);
            thread::sleep(next_at.saturating_duration_since(Instant::now()));
        }
    })
}
