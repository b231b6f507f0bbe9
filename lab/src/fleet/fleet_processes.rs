//! Router and placer child processes.

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
use super::PortProbe;

/// Time that a process has to exit after SIGTERM before it is killed.
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which the exit of a process is polled.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Addresses and settings of the processes of one entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeAddresses {
    /// Name of the entry VM.
    pub id: SmolStr,
    /// Availability zone of the VM.
    pub zone: SmolStr,
    /// TCP address for callers.
    pub http: SocketAddr,
    /// UDP address for peer messages.
    pub peer: SocketAddr,
    /// Settings file of its processes.
    pub settings: PathBuf,
}

/// Child processes by name; dropping this kills all of them.
#[derive(Default)]
pub struct FleetProcesses {
    children: Vec<(SmolStr, Child)>,
}

impl FleetProcesses {
    /// Starts `program`, which is in the same folder as this one, with the settings of
    /// `node`; its standard error is appended to `log`.
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
        let mut command = Command::new(&path);
        command.arg("--settings").arg(&node.settings);
        // The end of the log shows why a daemon failed to start, not where.
        command.env("RUST_LIB_BACKTRACE", "0");
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(file);
        let child = PortProbe::spawn(&mut command)
            .map_err(FleetError::io(format!("starting {}", path.display())))?;
        self.children.push((name, child));
        Ok(())
    }

    /// Returns the process id of a child.
    pub fn id(&self, name: &str) -> Option<u32> {
        self.children
            .iter()
            .find(|(child_name, _)| child_name == name)
            .map(|(_, child)| child.id())
    }

    /// Returns the names and process ids of all children.
    pub fn ids(&self) -> impl Iterator<Item = (&SmolStr, u32)> {
        self.children.iter().map(|(name, child)| (name, child.id()))
    }

    /// Kills a process with SIGKILL.
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

    /// Sends SIGTERM to a process and waits for its exit; returns whether it exited with
    /// status 0 within the time limit.
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
        .map_err(FleetError::io(format!(
            "sending {signal:?} to process {id}"
        )))
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

/// Returns the path of another program of the same build.
///
/// Test binaries are in the subfolder `deps`, one level below the programs.
fn sibling_program(program: &str) -> Result<PathBuf, FleetError> {
    let own_path = std::env::current_exe().map_err(FleetError::io("locating this program"))?;
    let folder = own_path.parent().unwrap_or(Path::new("."));
    let folder = if folder.ends_with("deps") {
        folder.parent().unwrap_or(folder)
    } else {
        folder
    };
    Ok(folder.join(program))
}
