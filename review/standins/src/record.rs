//! The record of a run.

use std::fmt::Display;
use std::path::Path;
use std::path::PathBuf;
use std::time::Instant;

/// Lines with the time since the start; written to a file at the end.
pub struct Record {
    started_at: Instant,
    lines: Vec<(f64, String)>,
}

impl Record {
    pub fn new(started_at: Instant) -> Record {
        Record {
            started_at,
            lines: Vec::new(),
        }
    }

    /// Returns the seconds from the start until `at`.
    pub fn seconds(&self, at: Instant) -> f64 {
        match at.checked_duration_since(self.started_at) {
            Some(since) => since.as_secs_f64(),
            None => -self.started_at.duration_since(at).as_secs_f64(),
        }
    }

    pub fn note(&mut self, at: Instant, text: impl Display) {
        let seconds = self.seconds(at);
        self.lines.push((seconds, text.to_string()));
    }

    /// Writes the lines in order of time, and `verdict` last.
    pub fn write(mut self, folder: &str, verdict: &str) -> Result<(), String> {
        self.lines.sort_by(|left, right| left.0.total_cmp(&right.0));
        let mut text = String::new();
        for (seconds, line) in &self.lines {
            text.push_str(&format!("{seconds:8.3} s  {line}\n"));
        }
        text.push_str(verdict);
        text.push('\n');
        print!("{verdict}\n");
        let path = Path::new(folder).join("record.txt");
        std::fs::write(&path, text).map_err(|error| format!("{path:?}: {error}"))
    }
}

/// A temporary folder for settings and logs, removed in the end.
pub struct WorkFolder(pub PathBuf);

impl WorkFolder {
    pub fn new() -> Result<WorkFolder, String> {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(|error| format!("{path:?}: {error}"))?;
        Ok(WorkFolder(path))
    }
}

impl Drop for WorkFolder {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}
