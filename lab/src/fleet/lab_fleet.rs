//! A running fleet of stand-ins, routers and placers.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use jujube::ConfigStore;
use jujuberoad::ids::Revision;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use super::FleetError;
use super::FleetProcesses;
use super::FleetStandins;
use super::NodeAddresses;
use super::PortProbe;
use crate::standins::EngineTiming;

/// Time that routers have to register, and groups to become warm.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which readiness is polled.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Number of last log lines in the error of a fleet that is not ready.
const LOG_TAIL_LINES: usize = 12;

/// A running fleet; dropping it kills all its processes.
pub struct LabFleet {
    /// The stand-ins.
    pub standins: FleetStandins,
    /// The router and placer processes.
    pub processes: FleetProcesses,
    /// The entry VMs.
    pub nodes: Vec<NodeAddresses>,
    /// Client for the configuration in the platform's store.
    pub store: ConfigStore,
    folder: PathBuf,
}

impl LabFleet {
    /// Starts stand-ins for `files` and the processes of `routers` entry VMs, and applies
    /// the files as the configuration; settings and logs are written to `folder`.
    pub async fn start(
        files: BTreeMap<SmolStr, String>,
        routers: usize,
        timing: EngineTiming,
        folder: &Path,
    ) -> Result<Self, FleetError> {
        std::fs::create_dir_all(folder)
            .map_err(FleetError::io("creating the folder of the fleet"))?;
        let standins = FleetStandins::start(files, timing).await?;
        let zones: Vec<SmolStr> = standins.config.zones.keys().cloned().collect();
        let mut nodes = Vec::new();
        let mut processes = FleetProcesses::default();
        for index in 0..routers {
            let zone = zones[index % zones.len()].clone();
            let node = write_settings(folder, index, zone, standins.platform)?;
            let log = folder.join(format!("{}.log", node.id));
            processes.start("jujube-router", &node, &log)?;
            processes.start("jujube-placer", &node, &log)?;
            nodes.push(node);
        }
        let store = ConfigStore::at(standins.platform);
        let config_folder = folder.join("config");
        // Files that an earlier fleet left here would become part of the configuration.
        let _ = std::fs::remove_dir_all(&config_folder);
        std::fs::create_dir_all(&config_folder)
            .map_err(FleetError::io("creating the configuration folder"))?;
        for (name, text) in &standins.files {
            std::fs::write(config_folder.join(name.as_str()), text)
                .map_err(FleetError::io("writing the configuration"))?;
        }
        let fleet = Self {
            standins,
            processes,
            nodes,
            store,
            folder: folder.to_owned(),
        };
        fleet.wait_for_routers(routers).await?;
        jujube::apply(&fleet.store, &config_folder, Some(0)).await?;
        Ok(fleet)
    }

    /// Waits until as many groups as declared are warm and all routers act on the newest
    /// revision.
    pub async fn wait_ready(&self) -> Result<(), FleetError> {
        let expected: u64 = self
            .standins
            .config
            .models
            .values()
            .map(|model| model.groups)
            .sum();
        self.wait_for_groups(expected as usize).await
    }

    /// Waits until at least `count` groups are warm, by the status of their home routers,
    /// and all routers act on the newest revision.
    pub async fn wait_for_groups(&self, count: usize) -> Result<(), FleetError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            let status = jujube::status(&self.store).await?;
            let is_warm = |state: &Option<String>| state.as_deref() == Some("warm");
            let warm = status
                .groups
                .iter()
                .filter(|group| is_warm(&group.state))
                .count();
            let is_newest = |revision: Option<Revision>| revision == Some(status.revision);
            let all_newest = status
                .routers
                .iter()
                .all(|router| is_newest(router.revision));
            if warm >= count && all_newest {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(FleetError::NotReady(status.to_string()));
            }
            smol::Timer::after(READY_POLL_INTERVAL).await;
        }
    }

    /// Starts the router of an entry VM again; `node` is an index into `nodes`.
    pub fn restart_router(&mut self, node: usize) -> Result<(), FleetError> {
        let node = &self.nodes[node];
        let log = self.folder.join(format!("{}.log", node.id));
        self.processes.start("jujube-router", node, &log)
    }

    /// Writes all addresses and process ids to `fleet.ini`.
    pub fn write_addresses(&self) -> Result<PathBuf, FleetError> {
        let mut text = String::new();
        let _ = writeln!(text, "[platform]\naddress = {}", self.standins.platform);
        let _ = writeln!(text, "\n[admin]\naddress = {}", self.standins.admin);
        for node in &self.nodes {
            let _ = writeln!(text, "\n[router {}]", node.id);
            let _ = writeln!(
                text,
                "zone = {}\nhttp = {}\npeer = {}",
                node.zone, node.http, node.peer
            );
        }
        for (name, id) in self.processes.ids() {
            let _ = writeln!(text, "\n[process {name}]\nid = {id}");
        }
        let path = self.folder.join("fleet.ini");
        std::fs::write(&path, text).map_err(FleetError::io("writing fleet.ini"))?;
        Ok(path)
    }

    /// Returns the HTTP addresses of the routers.
    pub fn router_addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.http).collect()
    }

    async fn wait_for_routers(&self, count: usize) -> Result<(), FleetError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            let list = self.store.routers().await?;
            if list.routers.len() >= count {
                return Ok(());
            }
            if Instant::now() >= deadline {
                let missing = self
                    .nodes
                    .iter()
                    .filter(|node| !list.routers.contains_key(&node.id));
                let logs: Vec<String> = missing.map(|node| self.log_tail(node)).collect();
                let detail = format!(
                    "routers have not registered in the store:\n{}",
                    logs.join("\n")
                );
                return Err(FleetError::NotReady(detail));
            }
            smol::Timer::after(READY_POLL_INTERVAL).await;
        }
    }

    /// Returns the last lines of the log of an entry VM.
    fn log_tail(&self, node: &NodeAddresses) -> String {
        let path = self.folder.join(format!("{}.log", node.id));
        let log = std::fs::read_to_string(path).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        let tail = &lines[lines.len().saturating_sub(LOG_TAIL_LINES)..];
        format!("{} at {}:\n{}", node.id, node.http, tail.join("\n"))
    }
}

fn write_settings(
    folder: &Path,
    index: usize,
    zone: SmolStr,
    platform: SocketAddr,
) -> Result<NodeAddresses, FleetError> {
    let id = format_smolstr!("router-{}", index + 1);
    let http = PortProbe::free_address()?;
    let peer = PortProbe::free_address()?;
    let settings = folder.join(format!("{id}.ini"));
    let text = format!(
        "[process]\nid = {id}\nzone = {zone}\n\n[listen]\nhttp = {http}\npeer = {peer}\n\n\
         [platform]\naddress = {platform}\n"
    );
    std::fs::write(&settings, text).map_err(FleetError::io("writing the settings of a router"))?;
    Ok(NodeAddresses {
        id,
        zone,
        http,
        peer,
        settings,
    })
}
