//! CPU time and memory of a process.

use std::fs;

/// Clock ticks per second in `/proc/<pid>/stat` (`USER_HZ` on Linux).
const TICKS_PER_SECOND: f64 = 100.0;

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessUsage {
    /// User and system CPU time since the start of the process, in seconds.
    pub cpu_seconds: f64,
    /// Resident set size, in bytes.
    pub resident_bytes: u64,
}

impl ProcessUsage {
    /// Reads the usage of process `id` from `/proc`; returns zeros if there is no such
    /// process.
    pub fn of(id: u32) -> Self {
        let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        // The command name, which is in parentheses, may contain spaces, so fields are
        // counted from after it.
        let fields = stat
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split_whitespace();
        let fields: Vec<&str> = fields.collect();
        let field_value =
            |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
        let ticks = field_value(11).unwrap_or(0.0) + field_value(12).unwrap_or(0.0);
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes =
            resident.and_then(|text| text.split_whitespace().next()?.parse::<u64>().ok());
        Self {
            cpu_seconds: ticks / TICKS_PER_SECOND,
            resident_bytes: kilobytes.unwrap_or(0) * 1_024,
        }
    }
}
