//! A worker of a records service: it runs one request at a time on each connection.

use std::io::BufReader;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;

/// A request that a worker has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub worker: String,
    pub at: Instant,
    pub tenant: String,
}

#[derive(Default)]
struct State {
    has_ended: bool,
    connections: Vec<TcpStream>,
}

/// The worker; clones share it.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    work_time: Duration,
    state: Arc<Mutex<State>>,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Worker {
    /// Starts a worker whose runs are added to `runs`.
    pub fn start(id: &str, work_time: Duration, runs: &Arc<Mutex<Vec<Run>>>) -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = Worker {
            id: id.to_owned(),
            address: listener.local_addr().expect("its address"),
            work_time,
            state: Arc::default(),
            runs: Arc::clone(runs),
        };
        let shared = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut state = shared.state.lock().expect("worker lock");
                if state.has_ended {
                    return;
                }
                state.connections.extend(stream.try_clone());
                drop(state);
                let worker = shared.clone();
                thread::spawn(move || worker.serve(stream));
            }
        });
        worker
    }

    /// Returns the entry that it writes to the store.
    pub fn entry(&self, service: &str, state: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"z1\",\"version\":\"v1\",\
             \"slots\":64,\"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{sequence},\
             \"born\":1780000000000}}",
            self.address
        )
    }

    /// Ends like a process that exits: its connections close and nothing listens any more.
    pub fn exit(&self) {
        let mut state = self.state.lock().expect("worker lock");
        state.has_ended = true;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        drop(state);
        // Wakes the thread that accepts, so that it ends.
        let _ = TcpStream::connect(self.address);
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(request) = http::read(&mut reader) {
            let id = request.header("x-jujuberoad-attempt-id").to_owned();
            let echo = format!("X-Jujuberoad-Attempt-Id: {id}\r\n");
            let expected = request.header("x-jujuberoad-expect-instance");
            let answered = if request.target().starts_with("/health") {
                let headers = format!("X-Jujuberoad-Instance-Id: {}\r\n", self.id);
                http::respond(&mut writer, "200 OK", &headers, "")
            } else if !expected.is_empty() && expected != self.id {
                let headers = format!("{echo}X-Jujuberoad-Not-Executed: 1\r\n");
                http::respond(&mut writer, "421 Misdirected Request", &headers, "")
            } else {
                self.runs.lock().expect("run lock").push(Run {
                    id,
                    worker: self.id.clone(),
                    at: Instant::now(),
                    tenant: request.header("x-jujuberoad-tenant").to_owned(),
                });
                thread::sleep(self.work_time);
                let headers = format!("{echo}X-Jujuberoad-Server-Seal: {}\r\n", self.id);
                http::respond(&mut writer, "200 OK", &headers, "done")
            };
            if answered.is_err() {
                return;
            }
        }
    }
}
