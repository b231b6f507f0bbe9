//! Settings of the gateway, read from one INI file and validated at startup.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use jujuberoad::config::ConfigProblem;
use jujuberoad::config::IniDocument;
use jujuberoad::config::SectionReader;
use jujuberoad::ids::Milliseconds;
use jujuberoad::ids::RouterId;
use jujuberoad::ids::ZoneId;
use jujuberoad_node::settings::SettingsError;
use smol_str::SmolStr;

use crate::overload_mode::OverloadMode;

/// Memory assumed for a VM whose settings do not name it.
const DEFAULT_MEMORY_BYTES: u64 = 512_000_000;
/// Part of the memory that bodies of requests and answers may take by default.
const DEFAULT_BODY_MEMORY_PART: u64 = 4;
/// Memory of the VM for each open connection of a caller by default: the buffers of its socket
/// and of the HTTP library.
const DEFAULT_MEMORY_PER_CONNECTION: u64 = 128 << 10;
/// Bits in a megabit.
const BITS_PER_MEGABIT: f64 = 1e6;
/// Thousandths of a core in one core.
const MILLICORES: f64 = 1_000.0;

/// Identity, addresses and limits of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Process name, unique in the fleet.
    pub id: RouterId,
    /// Availability zone of the process.
    pub zone: ZoneId,
    /// Share of a processor core that the process has, in thousandths.
    pub cpu_millicores: u32,
    /// Contracts that the platform names; the gateway itself does not read them.
    pub contracts: Vec<SmolStr>,
    /// Whether this is the first start of the fleet, which has served no request yet.
    pub is_first_start: bool,
    /// TCP address for callers.
    pub callers: SocketAddr,
    /// TCP address for the readiness checks of the load balancer.
    pub readiness: SocketAddr,
    /// TCP address of the metrics page.
    pub metrics: SocketAddr,
    /// UDP address for messages of peers, and TCP address for requests that they relay.
    pub peers: SocketAddr,
    /// TCP address of the platform's store.
    pub store: SocketAddr,
    /// Shortest lease TTL that the store accepts.
    pub shortest_lease_ms: Milliseconds,
    /// Time from the end of a disturbance of the store until changes must be followed in time
    /// again.
    pub store_settle_ms: Milliseconds,
    /// Time within which an endpoint writes a change of its state to its entry.
    pub heartbeat_ms: Milliseconds,
    /// Grace period for a shutdown.
    pub grace_ms: Milliseconds,
    /// Time after which a leaving endpoint must receive no more requests.
    pub leaving_ms: Milliseconds,
    /// Sliding window of the retry budget.
    pub retry_window_ms: Milliseconds,
    /// Retries allowed per request in a window.
    pub retry_ratio: f64,
    /// Additional retries allowed per window, shared by all routers.
    pub retry_fixed: f64,
    /// Bandwidth of the VM's link.
    pub link_bits_per_second: u64,
    /// Memory of the VM.
    pub memory_bytes: u64,
    /// Memory that bodies of requests and answers may take together.
    pub body_memory_bytes: u64,
    /// Number of connections that callers may have open.
    pub max_connections: u64,
    /// When the decisions for overloaded fleets are in force.
    pub overload_mode: OverloadMode,
    /// Whether requests are admitted by the fleet's load while these decisions are in force.
    pub orders_waiting: bool,
    /// Whether targets are paced while these decisions are in force.
    pub paces_targets: bool,
    /// Whether groups follow demand while these decisions are in force.
    pub follows_demand: bool,
    /// Routers with a smaller processor share exchange load with one peer only.
    pub member_below_millicores: u32,
}

const SECTIONS: [&str; 5] = ["limits", "listen", "overload", "process", "store"];

impl GatewaySettings {
    /// Returns a hash of the id, which distinguishes the processes of a fleet in most cases.
    pub(crate) fn id_hash(&self) -> u64 {
        self.id.bytes().fold(0, |sum, byte| {
            sum.wrapping_mul(31).wrapping_add(byte.into())
        })
    }

    /// Reads and validates the file at `path`.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
            path: path.to_owned(),
            source,
        })?;
        let file = path.file_name().unwrap_or_default().to_string_lossy();
        Self::parse(&file, &text).map_err(SettingsError::Invalid)
    }

    /// Parses and validates `text`; problems refer to it as `file`.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<ConfigProblem>> {
        let file = SmolStr::from(file);
        let files = BTreeMap::from([(file.clone(), text.to_owned())]);
        let document = IniDocument::merge(&files)?;
        let mut problems = Vec::new();
        reject_unknown_sections(&document, &mut problems);
        let section = |kind: &str| document.section_or_empty(kind, &file);

        let process = section("process");
        let mut reader = SectionReader::new(&process, &mut problems);
        let id = reader.text("id");
        let zone = reader.text("zone");
        let is_first_start = reader.flag("first_start", false);
        let cpu_millicores = millicores(&mut reader, "cpu", 1.0);
        let contracts = reader.list("contracts");
        reader.finish();

        let listen = section("listen");
        let mut reader = SectionReader::new(&listen, &mut problems);
        let callers = reader.address("callers");
        let readiness = reader.address("readiness");
        let metrics = reader.address("metrics");
        let peers = reader.address("peers");
        reader.finish();

        let store = section("store");
        let mut reader = SectionReader::new(&store, &mut problems);
        let store = reader.address("address");
        let shortest_lease_ms = reader.duration_ms("shortest_lease", 1_000);
        let store_settle_ms = reader.duration_ms("settle", 3_000);
        let heartbeat_ms = reader.duration_ms("heartbeat", 1_200);
        reader.finish();

        let limits = section("limits");
        let mut reader = SectionReader::new(&limits, &mut problems);
        let grace_ms = reader.duration_ms("grace", 8_000);
        let leaving_ms = reader.duration_ms("leaving", 2_000);
        let retry_window_ms = reader.duration_ms("retry_window", 10_000);
        let retry_ratio = non_negative_number(&mut reader, "retry_ratio", 0.1);
        let retry_fixed = non_negative_number(&mut reader, "retry_fixed", 20.0);
        let link_bits_per_second = link_bits(&mut reader, "bandwidth_mbps", 100.0);
        let memory_bytes = reader.size("memory", DEFAULT_MEMORY_BYTES);
        let body_memory_bytes = reader.size("body_memory", memory_bytes / DEFAULT_BODY_MEMORY_PART);
        let default_connections = (memory_bytes / DEFAULT_MEMORY_PER_CONNECTION).max(1);
        let max_connections = reader.count("connections", default_connections, 1);
        reader.finish();

        let overload = section("overload");
        let mut reader = SectionReader::new(&overload, &mut problems);
        let overload_mode = overload_mode(&mut reader);
        let orders_waiting = reader.flag("admission", false);
        let paces_targets = reader.flag("pace", false);
        let follows_demand = reader.flag("demand", false);
        let member_below_millicores = millicores(&mut reader, "member_below_cpu", 0.25);
        reader.finish();

        if !problems.is_empty() {
            problems.sort();
            return Err(problems);
        }
        Ok(Self {
            id,
            zone,
            is_first_start,
            callers,
            readiness,
            metrics,
            peers,
            store,
            shortest_lease_ms,
            store_settle_ms,
            heartbeat_ms,
            grace_ms,
            leaving_ms,
            retry_window_ms,
            retry_ratio,
            retry_fixed,
            cpu_millicores,
            contracts,
            link_bits_per_second,
            memory_bytes,
            body_memory_bytes,
            max_connections,
            overload_mode,
            orders_waiting,
            paces_targets,
            follows_demand,
            member_below_millicores,
        })
    }
}

fn non_negative_number(reader: &mut SectionReader<'_>, key: &'static str, default: f64) -> f64 {
    let text = reader.text_or(key, "");
    if text.is_empty() {
        return default;
    }
    match text.parse::<f64>() {
        Ok(value) if value.is_finite() && value >= 0.0 => value,
        _ => {
            reader.report_value(key, "a number of at least 0, such as 0.2");
            default
        }
    }
}

fn millicores(reader: &mut SectionReader<'_>, key: &'static str, default: f64) -> u32 {
    (non_negative_number(reader, key, default) * MILLICORES).round() as u32
}

fn link_bits(reader: &mut SectionReader<'_>, key: &'static str, default: f64) -> u64 {
    (non_negative_number(reader, key, default) * BITS_PER_MEGABIT) as u64
}

fn overload_mode(reader: &mut SectionReader<'_>) -> OverloadMode {
    let text = reader.text_or("mode", "no");
    text.parse().unwrap_or_else(|_| {
        reader.report_value("mode", "no, yes or uneven");
        OverloadMode::default()
    })
}

fn reject_unknown_sections(document: &IniDocument, problems: &mut Vec<ConfigProblem>) {
    for section in document.sections.values() {
        if SECTIONS.contains(&section.kind.as_str()) && section.name.is_empty() {
            continue;
        }
        let expected = SECTIONS.join(", ");
        let header = section.header();
        let message = format!("section {header} is not known; expected one of {expected}");
        problems.push(ConfigProblem {
            file: section.file.clone(),
            line: section.line,
            message,
        });
    }
}
