//! Structured, rate-limited log of decisions.

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

/// Length of the window of the rate limit.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Writes one JSON object per line, with a rate limit for each kind of line.
///
/// The next line of a kind after a suppression has the number of suppressed lines in
/// `left_out`. Lines go to the default logger; with that of `set_up_decision_log`, a full
/// queue drops them instead of blocking the caller.
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
    /// Creates the log of `process`; every line contains this name.
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

    /// Writes a line with `fields`, a JSON object, unless the rate limit is exceeded.
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

    /// Counts a line. Returns the number of lines suppressed before it, or `None` if the
    /// line itself exceeds the limit.
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
