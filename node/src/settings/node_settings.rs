//! Settings of routers and placers.

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

/// Identity of a process, its listening addresses and the services that it uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// Id of the process, unique in the fleet.
    pub id: RouterId,
    /// Availability zone in which it runs.
    pub zone: ZoneId,
    /// Number of executor threads.
    pub threads: u64,
    /// TCP address of the HTTP server.
    pub http: SocketAddr,
    /// UDP address of the peer protocol.
    pub peer: SocketAddr,
    /// Address of the platform's services.
    pub platform: SocketAddr,
    /// Minimum severity of log lines.
    pub log_level: SmolStr,
    /// Address of the statsd collector; without one, metrics are discarded.
    pub statsd: Option<SocketAddr>,
}

impl NodeSettings {
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

/// Sections that a settings file may contain.
const SECTIONS: [&str; 5] = ["listen", "log", "metrics", "platform", "process"];
/// Valid values of the key `level`.
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
