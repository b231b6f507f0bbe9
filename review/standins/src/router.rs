//! A router process, started with the command of the deploy file.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;

/// Time in which a router has to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

pub struct Router {
    pub callers: SocketAddr,
    readiness: SocketAddr,
    child: Child,
}

impl Router {
    /// Starts a router with its settings below `folder` and waits until it is ready.
    pub fn start(name: &str, store: SocketAddr, folder: &Path) -> Result<Router, String> {
        let tcp: Vec<TcpListener> = (0..4)
            .map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"))
            .collect();
        let ports: Vec<SocketAddr> = tcp
            .iter()
            .map(|listener| listener.local_addr().expect("its address"))
            .collect();
        // The address for peers is used over TCP and UDP.
        let udp = UdpSocket::bind(ports[3]).map_err(|error| format!("peer port: {error}"))?;
        drop((tcp, udp));
        let text = format!(
            "[process]\nid = {name}\nzone = z1\nfirst_start = yes\n\n[listen]\ncallers = {}\n\
             readiness = {}\nmetrics = {}\npeers = {}\n\n[store]\naddress = {store}\n\
             shortest_lease = 1000ms\n\n[limits]\ngrace = 8s\nleaving = 2000ms\n\
             retry_window = 10s\nretry_ratio = 0.2\nretry_fixed = 109\n",
            ports[0], ports[1], ports[2], ports[3]
        );
        let settings = folder.join(format!("{name}.ini"));
        std::fs::write(&settings, text).map_err(|error| error.to_string())?;
        let log = std::fs::File::create(folder.join(format!("{name}.log")))
            .map_err(|error| error.to_string())?;
        let child = Command::new(program())
            .env("JUJUBEROAD_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| format!("{:?}: {error}", program()))?;
        let router = Router {
            callers: ports[0],
            readiness: ports[1],
            child,
        };
        let deadline = Instant::now() + START_TIMEOUT;
        while !router.is_ready() {
            if Instant::now() >= deadline {
                return Err(format!("{name} did not become ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(router)
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /-/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
        let reply = http::call(self.readiness, request, Duration::from_secs(1));
        reply.is_ok_and(|reply| reply.status() == 200)
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn program() -> PathBuf {
    PathBuf::from("target/release/jujube-platform")
}
