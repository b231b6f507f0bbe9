//! `jujube explain`: collects the log lines of all processes that relate to a request.

use std::collections::BTreeSet;
use std::fmt;
use std::io::Read;
use std::path::Path;
use std::path::PathBuf;

use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use crate::CommandError;

/// Time before the start of a request from which lines about its endpoints and processes
/// are included.
const WINDOW_BEFORE_MS: u64 = 5_000;
/// Time after the end of a request until which they are included, because a cause may be
/// detected late.
const WINDOW_AFTER_MS: u64 = 1_000;
/// Fields common to all lines, which `LogLine::fields` leaves out.
const COMMON_FIELDS: [&str; 5] = ["kind", "process", "request", "unix_ms", "up_ms"];
/// Kinds of lines that concern a whole process rather than one endpoint.
const PROCESS_KINDS: [&str; 7] = [
    "config",
    "dependency",
    "evacuation",
    "lease",
    "reload",
    "start",
    "stop",
];

/// Kind of the lines that say whether a part of a prompt is refused.
const QUARANTINE_KIND: &str = "quarantine";

/// A parsed log line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LogLine {
    /// Unix time in milliseconds, by the clock of the process.
    pub unix_ms: u64,
    /// Process that wrote the line.
    pub process: String,
    /// Kind of the line.
    pub kind: String,
    /// Whether the line names the request.
    pub is_own: bool,
    /// All fields that are not in `COMMON_FIELDS` and not null.
    pub fields: Map<String, Value>,
}

/// All lines that relate to a request, in order of time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ExplainReport {
    /// Id of the request.
    pub request: String,
    /// Lines that name the request, and lines that may explain what happened to it.
    pub lines: Vec<LogLine>,
}

/// Collects the lines related to `request` from `files`, or from standard input if there are none.
pub fn explain(request: &str, files: &[PathBuf]) -> Result<ExplainReport, CommandError> {
    let mut text = String::new();
    if files.is_empty() {
        std::io::stdin()
            .read_to_string(&mut text)
            .map_err(|source| read_error(Path::new("standard input"), source))?;
    }
    for file in files {
        let bytes = std::fs::read(file).map_err(|source| read_error(file, source))?;
        text.push_str(&String::from_utf8_lossy(&bytes));
        text.push('\n');
    }
    Ok(collect(request, &text))
}

fn read_error(path: &Path, source: std::io::Error) -> CommandError {
    CommandError::Read {
        path: path.to_owned(),
        source,
    }
}

fn collect(request: &str, text: &str) -> ExplainReport {
    let lines: Vec<LogLine> = text
        .lines()
        .filter_map(|line| parse(request, line))
        .collect();
    let own_lines = || lines.iter().filter(|line| line.is_own);
    let started = own_lines().map(LogLine::started_ms).min().unwrap_or(0);
    let ended = own_lines().map(|line| line.unix_ms).max().unwrap_or(0);
    let processes: BTreeSet<&str> = own_lines().map(|line| line.process.as_str()).collect();
    let endpoints: BTreeSet<&str> = own_lines().flat_map(LogLine::endpoints).collect();
    let parts: BTreeSet<&str> = own_lines().flat_map(LogLine::crash_parts).collect();
    let concerns_part = |line: &LogLine| {
        let mut quarantined = line.quarantined_parts().peekable();
        quarantined.peek().is_some() && quarantined.all(|part| parts.contains(part))
    };
    // A quarantine that holds when the request starts may have been imposed long before.
    let quarantined_since = lines
        .iter()
        .filter(|line| concerns_part(line) && line.in_force_until_ms() >= started)
        .map(|line| line.unix_ms)
        .min()
        .unwrap_or(started)
        .min(started.saturating_sub(WINDOW_BEFORE_MS));
    let mut related: Vec<LogLine> = Vec::new();
    for line in &lines {
        let is_in_window =
            line.unix_ms + WINDOW_BEFORE_MS >= started && line.unix_ms <= ended + WINDOW_AFTER_MS;
        let concerns_process = processes.contains(line.process.as_str())
            && PROCESS_KINDS.contains(&line.kind.as_str());
        let concerns_endpoint = !line.fields.contains_key("runs")
            && line
                .endpoints()
                .any(|endpoint| endpoints.contains(endpoint));
        let is_quarantine = concerns_part(line)
            && line.unix_ms >= quarantined_since
            && line.unix_ms <= ended + WINDOW_AFTER_MS;
        if line.is_own
            || is_quarantine
            || (is_in_window
                && !names_other_request(line)
                && (concerns_process || concerns_endpoint))
        {
            related.push(line.clone());
        }
    }
    related.sort_by_key(|line| line.unix_ms);
    ExplainReport {
        request: request.to_owned(),
        lines: related,
    }
}

/// Tells whether a line names another request.
fn names_other_request(line: &LogLine) -> bool {
    !line.is_own && line.fields.contains_key("request")
}

/// Parses a line; skips any prefix that a log collector has added before the JSON object.
fn parse(request: &str, line: &str) -> Option<LogLine> {
    let start = line.find('{')?;
    let value: Value = serde_json::from_str(&line[start..]).ok()?;
    let Value::Object(mut fields) = value else {
        return None;
    };
    let text_field = |fields: &Map<String, Value>, key: &str| {
        let value = fields.get(key).and_then(Value::as_str);
        value.unwrap_or_default().to_owned()
    };
    let is_own = fields.get("request").and_then(Value::as_str) == Some(request);
    let parsed = LogLine {
        unix_ms: fields.get("unix_ms")?.as_u64()?,
        process: text_field(&fields, "process"),
        kind: text_field(&fields, "kind"),
        is_own,
        fields: Map::new(),
    };
    for key in COMMON_FIELDS {
        if key == "request" && !is_own {
            continue;
        }
        fields.remove(key);
    }
    fields.retain(|_, value| !value.is_null());
    Some(LogLine { fields, ..parsed })
}

impl LogLine {
    /// Returns when the request of this line started, or the time of a line without `total_ms`.
    fn started_ms(&self) -> u64 {
        let total = self.fields.get("total_ms").and_then(Value::as_u64);
        self.unix_ms.saturating_sub(total.unwrap_or(0))
    }

    /// Returns until when the quarantine that this line reports holds unless it is lifted.
    fn in_force_until_ms(&self) -> u64 {
        let remaining = self.fields.get("remaining_ms").and_then(Value::as_u64);
        self.unix_ms.saturating_add(remaining.unwrap_or(0))
    }

    /// Returns the fingerprint and the parts of a prompt that a `quarantine` line names.
    fn quarantined_parts(&self) -> impl Iterator<Item = &str> {
        let is_quarantine = self.kind == QUARANTINE_KIND;
        self.texts("parts").filter(move |_| is_quarantine)
    }

    /// Returns the fingerprint and the parts of the prompt named by the line.
    fn crash_parts(&self) -> impl Iterator<Item = &str> {
        let fingerprint = self.fields.get("fingerprint").and_then(Value::as_str);
        self.texts("prompt_parts").chain(fingerprint)
    }

    /// Returns the texts of a field that holds a list.
    fn texts(&self, field: &str) -> impl Iterator<Item = &str> {
        let texts = self.fields.get(field).and_then(Value::as_array);
        texts.into_iter().flatten().filter_map(Value::as_str)
    }

    /// Returns the endpoints named by the line.
    fn endpoints(&self) -> impl Iterator<Item = &str> {
        let keys = ["endpoint", "from", "to", "lost"];
        keys.into_iter()
            .filter_map(|key| self.fields.get(key)?.as_str())
    }
}

impl fmt::Display for ExplainReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.lines.iter().all(|line| !line.is_own) {
            let id = &self.request;
            return writeln!(
                formatter,
                "no log line names request {id}; it may be rate-limited or in another file"
            );
        }
        let first = self.lines.first().map_or(0, |line| line.unix_ms);
        for line in &self.lines {
            let mark = if line.is_own { '*' } else { ' ' };
            let after = line.unix_ms - first;
            write!(
                formatter,
                "{mark} +{after:>5} ms  {:<14} {:<10}",
                line.process, line.kind
            )?;
            for (key, value) in &line.fields {
                match value.as_str() {
                    Some(text) => write!(formatter, " {key}={text:?}")?,
                    None => write!(formatter, " {key}={value}")?,
                }
            }
            writeln!(formatter)?;
        }
        Ok(())
    }
}
