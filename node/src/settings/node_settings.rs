//! Settings that routers and placers share.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use jujuberoad::config::ConfigProblem;
use jujuberoad::config::IniDocument;
use jujuberoad::config::SectionReader;
use jujuberoad::ids::RouterId;
use jujuberoad::ids::ZoneId;
use smol_str::SmolStr;

use super::SettingsError;

/// Who a process is and whom it talks to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// Name of the process, unique in the fleet.
    pub id: RouterId,
    /// Availability zone in which it stands.
    pub zone: ZoneId,
    /// Threads that it uses.
    pub threads: u64,
    /// TCP address on which it serves HTTP.
    pub http: SocketAddr,
    /// UDP address on which it talks to its peers.
    pub peer: SocketAddr,
    /// Address of the platform's services.
    pub platform: SocketAddr,
    /// Least severe log lines that are written.
    pub log_level: SmolStr,
    /// Collector of metrics.
    pub statsd: Option<SocketAddr>,
}

impl NodeSettings {
    /// Reads and checks the file at `path`.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
            path: path.to_owned(),
            source,
        })?;
        let file = path.file_name().unwrap_or_default().to_string_lossy();
        Self::parse(&file, &text).map_err(SettingsError::Invalid)
    }

    /// Checks `text`; problems name it as `file`.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<ConfigProblem>> {
        let file = SmolStr::from(file);
        let files = BTreeMap::from([(file.clone(), text.to_owned())]);
        let document = IniDocument::merge(&files)?;
        let mut problems = Vec::new();
        refuse_unknown_sections(&document, &mut problems);
        let section = |kind: &str| document.section_or_empty(kind, &file);

        let process = section("process");
        let mut reader = SectionReader::new(&process, &mut problems);
        let id = reader.text("id");
        let zone = reader.text("zone");
        let threads = reader.count("threads", 2, 1);
        reader.finish();

        let listen = section("listen");
        let mut reader = SectionReader::new(&listen, &mut problems);
        let http = reader.address("http");
        let peer = reader.address("peer");
        reader.finish();

        let platform = section("platform");
        let mut reader = SectionReader::new(&platform, &mut problems);
        let platform = reader.address("address");
        reader.finish();

        let log = section("log");
        let mut reader = SectionReader::new(&log, &mut problems);
        let log_level = reader.text_or("level", "info");
        if !LOG_LEVELS.contains(&log_level.as_str()) {
            reader.report_value("level", &format!("one of {}", LOG_LEVELS.join(", ")));
        }
        reader.finish();

        let metrics = section("metrics");
        let mut reader = SectionReader::new(&metrics, &mut problems);
        let has_statsd = !reader.text_or("statsd", "").is_empty();
        let statsd = has_statsd.then(|| reader.address("statsd"));
        reader.finish();

        if problems.is_empty() {
            return Ok(Self {
                id,
                zone,
                threads,
                http,
                peer,
                platform,
                log_level,
                statsd,
            });
        }
        problems.sort();
        Err(problems)
    }
}

/// Sections that a settings file may hold.
const SECTIONS: [&str; 5] = ["listen", "log", "metrics", "platform", "process"];
/// Log levels by their names in a settings file.
const LOG_LEVELS: [&str; 7] = ["critical", "error", "warn", "info", "debug", "trace", "off"];

fn refuse_unknown_sections(document: &IniDocument, problems: &mut Vec<ConfigProblem>) {
    for section in document.sections.values() {
        if SECTIONS.contains(&section.kind.as_str()) && section.name.is_empty() {
            continue;
        }
        let expected = SECTIONS.join(", ");
        let message = format!(
            "section {} is not known; expected one of {expected}",
            section.header()
        );
        let file = section.file.clone();
        problems.push(ConfigProblem {
            file,
            line: section.line,
            message,
        });
    }
}
