//! Structured log lines, one for each decision.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::Value;
use smol_str::SmolStr;
use spdlog::info;
use strum::EnumCount;

use super::LogKind;

/// Window in which lines of a kind are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Writes one JSON object a line, a bounded number of each kind in a second.
///
/// The next line of a kind tells how many were left out. Lines go through the
/// logger's queue, which drops them rather than let the caller wait.
pub struct DecisionLog {
    process: SmolStr,
    started: Instant,
    rates: Mutex<Vec<LineRate>>,
}

#[derive(Clone, Debug)]
struct LineRate {
    window_ends_at: Instant,
    written: u32,
    suppressed: u64,
}

impl DecisionLog {
    /// Opens the log of `process`, whose name every line bears.
    pub fn new(process: SmolStr) -> Self {
        let now = Instant::now();
        let rate = LineRate {
            window_ends_at: now,
            written: 0,
            suppressed: 0,
        };
        Self {
            process,
            started: now,
            rates: Mutex::new(vec![rate; LogKind::COUNT]),
        }
    }

    /// Writes a line with `fields`, a JSON object.
    pub fn write(&self, kind: LogKind, mut fields: Value) {
        let Some(suppressed) = self.check_rate_limit(kind) else {
            return;
        };
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        let unix_ms = unix.map_or(0, |since| since.as_millis() as u64);
        if let Value::Object(map) = &mut fields {
            if suppressed > 0 {
                map.insert("left_out".to_owned(), suppressed.into());
            }
            map.insert(
                "up_ms".to_owned(),
                (self.started.elapsed().as_millis() as u64).into(),
            );
            map.insert("unix_ms".to_owned(), unix_ms.into());
            map.insert("process".to_owned(), self.process.as_str().into());
            map.insert("kind".to_owned(), kind.to_string().into());
        }
        info!("{fields}");
    }

    /// Returns the number of lines left out before this one, or nothing when it is too many.
    fn check_rate_limit(&self, kind: LogKind) -> Option<u64> {
        let now = Instant::now();
        let mut rates = self.rates.lock().expect("log rates lock");
        let rate = rates.get_mut(kind as usize)?;
        if now >= rate.window_ends_at {
            rate.window_ends_at = now + RATE_WINDOW;
            rate.written = 0;
        }
        if rate.written >= kind.max_lines_per_second() {
            rate.suppressed += 1;
            return None;
        }
        rate.written += 1;
        Some(std::mem::take(&mut rate.suppressed))
    }
}
