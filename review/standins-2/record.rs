//! The record of a case: what was sent, answered and run.

use std::io::Write;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

pub struct Record {
    started_at: Instant,
    lines: Mutex<Vec<(u64, String)>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started_at: Instant::now(), lines: Mutex::default() }
    }

    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub fn add(&self, text: impl Into<String>) -> u64 {
        let now_ms = self.now_ms();
        self.add_at(now_ms, text);
        now_ms
    }

    pub fn add_at(&self, at_ms: u64, text: impl Into<String>) {
        self.lines.lock().expect("record lock").push((at_ms, text.into()));
    }

    /// Writes the lines in the order of their times.
    pub fn write(&self, path: &str) {
        let mut lines = self.lines.lock().expect("record lock");
        lines.sort_by_key(|(at_ms, _)| *at_ms);
        let mut text = String::new();
        for (at_ms, line) in lines.iter() {
            text.push_str(&format!("{:>9.3} s  {line}\n", *at_ms as f64 / 1_000.0));
        }
        let written = std::fs::File::create(path).and_then(|mut file| file.write_all(text.as_bytes()));
        if let Err(error) = written {
            eprintln!("{path}: {error}");
        }
    }
}

pub fn sleep_ms(milliseconds: u64) {
    std::thread::sleep(Duration::from_millis(milliseconds));
}
