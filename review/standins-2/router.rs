//! Starts the project's program as the deploy file says, and ends it.

use std::fs;
use std::io;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use super::http::Connection;

/// The program that the deploy file names for the role.
pub const PROGRAM: &str = "target/release/jujube-platform";
/// Its template.
pub const TEMPLATE: &str = "deploy/gateway.ini";

pub struct Router {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub metrics: SocketAddr,
    child: Child,
}

pub struct RouterPlan<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub ip: &'a str,
    pub store: SocketAddr,
    pub folder: &'a Path,
    pub root: &'a Path,
    /// Fields that differ from those of a small deployment.
    pub other: &'a [(&'a str, &'a str)],
}

fn free_port(ip: &str) -> io::Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

/// Fills the placeholders of the template that the project uses.
fn render(template: &str, fields: &[(&str, String)]) -> String {
    let mut text = template.to_owned();
    // Sections hold for `bootstrap` only, which is true at the first start.
    text = text.replace("{{#bootstrap}}yes{{/bootstrap}}", "yes");
    text = text.replace("{{^bootstrap}}no{{/bootstrap}}", "");
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

impl Router {
    pub fn start(plan: &RouterPlan<'_>) -> io::Result<Self> {
        let ip = plan.ip;
        let (callers, readiness) = (free_port(ip)?, free_port(ip)?);
        let peers = free_port(ip)?;
        let mut fields: Vec<(&str, String)> = vec![
            ("nodeName", plan.name.to_owned()),
            ("zone", plan.zone.to_owned()),
            ("ip", ip.to_owned()),
            ("portRange.0", peers.to_string()),
            ("bind.clientAddr", format!("{ip}:{callers}")),
            ("bind.readiness", format!("{ip}:{readiness}")),
            ("platform.address", plan.store.to_string()),
            ("platform.ttlMinMs", "1000".to_owned()),
            ("limits.cpuShare", "0.5".to_owned()),
            ("limits.memoryMb", "390".to_owned()),
            ("limits.bandwidthMbps", "1500.0".to_owned()),
            ("heartbeatMs", "1200".to_owned()),
            ("contractParams.stableWindowMs", "3000".to_owned()),
            ("contractParams.graceS", "8".to_owned()),
            ("contractParams.drainMs", "2000".to_owned()),
            ("contractParams.budgetWindowS", "10".to_owned()),
            ("contractParams.budgetRatio", "0.2".to_owned()),
            ("contractParams.budgetSlack", "109".to_owned()),
            (
                "contracts",
                "base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,gangs"
                    .to_owned(),
            ),
        ];
        for (name, value) in plan.other {
            fields.retain(|(known, _)| known != name);
            fields.push((name, (*value).to_owned()));
        }
        let template = fs::read_to_string(plan.root.join(TEMPLATE))?;
        let settings: PathBuf = plan.folder.join(format!("{}.ini", plan.name));
        fs::write(&settings, render(&template, &fields))?;
        let log = fs::File::create(plan.folder.join(format!("{}.log", plan.name)))?;
        let errors = log.try_clone()?;
        let child = Command::new(plan.root.join(PROGRAM))
            .current_dir(plan.root)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("JUJUBEROAD_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()?;
        let address = |port| format!("{ip}:{port}").parse().expect("an address");
        Ok(Self {
            name: plan.name.to_owned(),
            callers: address(callers),
            readiness: address(readiness),
            metrics: address(9_464),
            child,
        })
    }

    /// Asks for readiness once, as the platform does.
    pub fn is_ready(&self) -> bool {
        let Ok(mut connection) = Connection::open(self.readiness) else {
            return false;
        };
        let headers = [("Host", self.readiness.to_string())];
        let by = Instant::now() + Duration::from_secs(1);
        let sent = connection.send("GET /-/ready", &headers, b"");
        sent.and_then(|()| connection.receive(by)).is_ok_and(|answer| answer.status() == 200)
    }

    pub fn signal(&self, name: &str) -> io::Result<()> {
        let id = self.child.id().to_string();
        Command::new("kill").args(["-s", name, &id]).status().map(drop)
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn exit_text(&mut self) -> String {
        match self.child.try_wait() {
            Ok(Some(status)) => status.to_string(),
            _ => "it runs".to_owned(),
        }
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until all routers are ready; returns whether they are.
pub fn wait_until_ready(routers: &[Router], by: Instant) -> bool {
    while Instant::now() < by {
        if routers.iter().all(Router::is_ready) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Reads the rest of a connection; unused in most cases.
pub fn drain(reader: &mut BufReader<std::net::TcpStream>) {
    let _ = io::copy(reader, &mut io::sink());
}
