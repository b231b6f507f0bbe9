//! Callers that send unsafe requests one after the other, each on a connection of its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::http;

/// Requests of one caller are this far apart.
const CALL_GAP: Duration = Duration::from_millis(100);

/// A configuration with one service for unsafe requests; its limits are those of the sheet.
pub const CONFIG: &str = r#"{"version":3,
"routes":[{"name":"r-credit","host":"site.example","prefix":"/credit/","kind":"non_idempotent",
 "timeoutMs":1000,"sloMs":150,"priority":2,"service":"ledger","attempts":1,"public":false}],
"services":[{"name":"ledger","healthPath":"/health","maxConns":110}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
 "idleTimeoutMs":15000},
"tenants":[{"name":"t1","apiKeys":["key-one"]}]}"#;

/// How a request ended: its id, and the status line or the error that its caller got.
pub type RequestEnd = (String, String);

/// The callers; they go on until they are ended.
pub struct Traffic {
    has_ended: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<RequestEnd>>>,
}

impl Traffic {
    /// Starts `count` callers of each router.
    pub fn start(routers: &[SocketAddr], count: usize) -> Traffic {
        let has_ended: Arc<AtomicBool> = Arc::default();
        let mut callers = Vec::new();
        for router in routers {
            for _ in 0..count {
                let (router, number) = (*router, callers.len());
                let has_ended = Arc::clone(&has_ended);
                callers.push(thread::spawn(move || call_on(router, number, &has_ended)));
            }
        }
        Traffic { has_ended, callers }
    }

    /// Ends the callers; returns how their requests ended.
    pub fn end(self) -> Result<Vec<RequestEnd>, String> {
        self.has_ended.store(true, Ordering::Relaxed);
        let mut ends = Vec::new();
        for caller in self.callers {
            ends.extend(caller.join().map_err(|_| "a caller failed")?);
        }
        Ok(ends)
    }
}

fn call_on(router: SocketAddr, caller: usize, has_ended: &AtomicBool) -> Vec<RequestEnd> {
    let mut ends = Vec::new();
    while !has_ended.load(Ordering::Relaxed) {
        let id = format!("{caller:04x}{:012x}", ends.len());
        let request = format!(
            "POST /credit/x HTTP/1.1\r\nHost: site.example\r\nX-Jujuberoad-Attempt-Id: {id}\r\n\
             X-Jujuberoad-Deadline-Ms: 1000\r\nAuthorization: Bearer key-one\r\n\
             Content-Length: 3\r\nConnection: close\r\n\r\none"
        );
        let end = match http::call(router, &request, Duration::from_secs(2)) {
            Ok(reply) => reply.first,
            Err(error) => error,
        };
        ends.push((id, end));
        thread::sleep(CALL_GAP);
    }
    ends
}
