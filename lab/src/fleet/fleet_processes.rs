//! Router and placer processes.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use smol_str::SmolStr;

use super::FleetError;

/// Time within which a process must end after it has been asked to.
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two looks at whether it has ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Where the processes of one entry VM answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeAddresses {
    /// Name of the entry VM.
    pub id: SmolStr,
    /// Availability zone in which it stands.
    pub zone: SmolStr,
    /// TCP address for callers.
    pub http: SocketAddr,
    /// UDP address for peers.
    pub peer: SocketAddr,
    /// Settings file of its processes.
    pub settings: PathBuf,
}

/// Processes by name; all are ended when this is dropped.
#[derive(Default)]
pub struct FleetProcesses {
    children: Vec<(SmolStr, Child)>,
}

impl FleetProcesses {
    /// Starts `program`, which stands beside this one, with the settings of `node`.
    pub fn start(
        &mut self,
        program: &str,
        node: &NodeAddresses,
        log: &Path,
    ) -> Result<(), FleetError> {
        let name = SmolStr::from(format!("{program}/{}", node.id));
        let path = sibling_program(program)?;
        let file = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .map_err(FleetError::io(format!("opening {}", log.display())))?;
        let child = Command::new(&path)
            .arg("--settings")
            .arg(&node.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(file)
            .spawn()
            .map_err(FleetError::io(format!("starting {}", path.display())))?;
        self.children.push((name, child));
        Ok(())
    }

    /// Returns the id of a process.
    pub fn id(&self, name: &str) -> Option<u32> {
        self.children
            .iter()
            .find(|(child_name, _)| child_name == name)
            .map(|(_, child)| child.id())
    }

    /// Returns the names and ids of all processes.
    pub fn ids(&self) -> impl Iterator<Item = (&SmolStr, u32)> {
        self.children.iter().map(|(name, child)| (name, child.id()))
    }

    /// Kills a process at once.
    pub fn kill(&mut self, name: &str) {
        let Some(index) = self
            .children
            .iter()
            .position(|(child_name, _)| child_name == name)
        else {
            return;
        };
        let (_, mut child) = self.children.remove(index);
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Sends a signal to a process.
    pub fn signal(&self, name: &str, signal: Signal) -> Result<(), FleetError> {
        let Some(id) = self.id(name) else {
            return Ok(());
        };
        signal_process(id, signal)
    }

    /// Asks a process to end and waits until it has; returns whether it did.
    pub async fn stop(&mut self, name: &str) -> Result<bool, FleetError> {
        let Some(index) = self
            .children
            .iter()
            .position(|(child_name, _)| child_name == name)
        else {
            return Ok(false);
        };
        let (_, mut child) = self.children.remove(index);
        signal_process(child.id(), Signal::TERM)?;
        Ok(wait_for_exit(&mut child).await)
    }
}

impl Drop for FleetProcesses {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn signal_process(id: u32, signal: Signal) -> Result<(), FleetError> {
    let Some(pid) = i32::try_from(id).ok().and_then(Pid::from_raw) else {
        return Ok(());
    };
    kill_process(pid, signal)
        .map_err(std::io::Error::from)
        .map_err(FleetError::io(format!("signal {signal:?} to process {id}")))
}

async fn wait_for_exit(child: &mut Child) -> bool {
    let deadline = Instant::now() + EXIT_TIMEOUT;
    while Instant::now() < deadline {
        if let Ok(Some(status)) = child.try_wait() {
            return status.success();
        }
        smol::Timer::after(EXIT_POLL_INTERVAL).await;
    }
    let _ = child.kill();
    let _ = child.wait();
    false
}

/// Returns the path of a program that was built beside this one.
fn sibling_program(program: &str) -> Result<PathBuf, FleetError> {
    let own_path = std::env::current_exe().map_err(FleetError::io("finding this program"))?;
    let folder = own_path.parent().unwrap_or(Path::new("."));
    let folder = if folder.ends_with("deps") {
        folder.parent().unwrap_or(folder)
    } else {
        folder
    };
    Ok(folder.join(program))
}
