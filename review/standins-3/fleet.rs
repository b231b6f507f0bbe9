//! Starts routers with the deploy file's command and template, and ends them.

use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Caller;

const CALLERS_PORT: u16 = 8227;
const READINESS_PORT: u16 = 8220;
const METRICS_PORT: u16 = 9464;
const PEERS_PORT: u16 = 7340;

/// Settings of a router that differ from those of the small deployment.
#[derive(Clone)]
pub struct RouterSpec {
    pub name: String,
    pub zone: String,
    pub store: SocketAddr,
    pub drain_ms: u64,
    pub grace_s: u64,
    pub contracts: String,
}

impl RouterSpec {
    pub fn new(name: &str, zone: &str, store: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            store,
            drain_ms: 2_000,
            grace_s: 8,
            contracts:
                "base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,gangs"
                    .to_owned(),
        }
    }
}

/// A running router, which ends with this value.
pub struct Router {
    pub spec: RouterSpec,
    pub ip: Ipv4Addr,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    folder: PathBuf,
    child: Child,
}

/// Returns the root of the repository, in which scripts are started.
pub fn root() -> PathBuf {
    std::env::var_os("ROOT").map_or_else(|| PathBuf::from("."), PathBuf::from)
}

impl Router {
    /// Starts a router; `ip` keeps the address of one that is started again.
    pub fn start(spec: RouterSpec, ip: Option<Ipv4Addr>) -> Self {
        let ip = ip.unwrap_or_else(free_ip);
        let folder =
            std::env::temp_dir().join(format!("review3-{}-{}", std::process::id(), spec.name));
        std::fs::create_dir_all(&folder).expect("a folder");
        let settings = folder.join("local.ini");
        std::fs::write(&settings, render(&spec, ip)).expect("a settings file");
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(folder.join("log"))
            .expect("a log");
        let errors = log.try_clone().expect("a log");
        let child = Command::new(root().join(run_word()))
            .current_dir(root())
            .env("JUJUBEROAD_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the router starts");
        record_process(child.id());
        Self {
            spec,
            ip,
            callers: SocketAddr::new(IpAddr::V4(ip), CALLERS_PORT),
            readiness: SocketAddr::new(IpAddr::V4(ip), READINESS_PORT),
            folder,
            child,
        }
    }

    /// Waits until the router says that it is ready.
    pub fn wait_ready(&self, time: Duration) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let request = http::request("GET /-/ready", &[("Host", "ready")], b"");
        Caller::connect(self.readiness)
            .and_then(|mut caller| caller.call(&request))
            .is_ok_and(|answer| answer.status() == 200)
    }

    /// Returns what the router has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("kill -{name} {}", self.child.id()))
            .status();
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.end();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns a loopback address on which the ports of a router are free.
fn free_ip() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let seed = std::process::id();
    for _ in 1..60_000u32 {
        // An address that was found is not found again, as its router may not have bound it yet.
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let mixed = seed.wrapping_mul(7_919).wrapping_add(number);
        let ip = Ipv4Addr::new(
            127,
            20 + (mixed >> 14 & 0x7f) as u8,
            (mixed >> 6) as u8,
            2 + (mixed & 63) as u8,
        );
        let is_free = [CALLERS_PORT, READINESS_PORT, METRICS_PORT, PEERS_PORT]
            .iter()
            .all(|port| TcpListener::bind((ip, *port)).is_ok())
            && UdpSocket::bind((ip, PEERS_PORT)).is_ok();
        if is_free {
            return ip;
        }
    }
    panic!("no free loopback address");
}

/// Notes a process, which the script ends if this program does not.
fn record_process(id: u32) {
    let Some(path) = std::env::var_os("PIDS") else {
        return;
    };
    let file = std::fs::File::options()
        .create(true)
        .append(true)
        .open(path);
    if let Ok(mut file) = file {
        let _ = writeln!(file, "{id}");
    }
}

/// Returns the program of the gateway role in the deploy file.
fn run_word() -> String {
    let text = std::fs::read_to_string(root().join("deploy/system.toml")).expect("the deploy file");
    let line = text
        .lines()
        .find(|line| line.starts_with("run = "))
        .expect("a run line");
    line.trim_start_matches("run = ")
        .trim_matches('"')
        .to_owned()
}

/// Fills the deploy file's template in, as the platform does.
fn render(spec: &RouterSpec, ip: Ipv4Addr) -> String {
    let template =
        std::fs::read_to_string(root().join("deploy/gateway.ini")).expect("the template");
    let fields = [
        (
            "{{#bootstrap}}yes{{/bootstrap}}{{^bootstrap}}no{{/bootstrap}}",
            "yes".to_owned(),
        ),
        ("{{nodeName}}", spec.name.clone()),
        ("{{zone}}", spec.zone.clone()),
        ("{{limits.cpuShare}}", "0.5".to_owned()),
        ("{{contracts}}", spec.contracts.clone()),
        ("{{bind.clientAddr}}", format!("{ip}:{CALLERS_PORT}")),
        ("{{bind.readiness}}", format!("{ip}:{READINESS_PORT}")),
        ("{{ip}}", ip.to_string()),
        ("{{portRange.0}}", PEERS_PORT.to_string()),
        ("{{platform.address}}", spec.store.to_string()),
        ("{{platform.ttlMinMs}}", "1000".to_owned()),
        ("{{contractParams.stableWindowMs}}", "3000".to_owned()),
        ("{{heartbeatMs}}", "1200".to_owned()),
        ("{{contractParams.graceS}}", spec.grace_s.to_string()),
        ("{{contractParams.drainMs}}", spec.drain_ms.to_string()),
        ("{{contractParams.budgetWindowS}}", "10".to_owned()),
        ("{{contractParams.budgetRatio}}", "0.2".to_owned()),
        ("{{contractParams.budgetSlack}}", "109".to_owned()),
        ("{{limits.bandwidthMbps}}", "1500.0".to_owned()),
        ("{{limits.memoryMb}}", "390".to_owned()),
    ];
    let mut text = template;
    for (name, value) in fields {
        text = text.replace(name, &value);
    }
    assert!(
        !text.contains("{{"),
        "the template has a field that is not filled in"
    );
    text
}
