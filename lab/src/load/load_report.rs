//! Figures of a load.

use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::CallKind;
use super::CallRecord;

/// Digits that the histograms keep.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Longest time that the histograms keep, in microseconds.
const MAX_TIME_US: u64 = 120_000_000;

/// What callers saw, in numbers. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadReport {
    /// Calls made.
    pub calls: u64,
    /// Calls by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Calls said to be answered whose answer was not whole or not their own.
    pub broken: u64,
    /// First-token times at 50, 95 and 99 in 100.
    pub first_token_ms: [f64; 3],
    /// Times between tokens at 50, 95 and 99 in 100.
    pub token_gap_ms: [f64; 3],
    /// Times of whole answers and entries at 50, 95 and 99 in 100.
    pub answer_ms: [f64; 3],
    /// Most frequent reasons of calls that were not answered.
    pub reasons: BTreeMap<String, u64>,
}

impl LoadReport {
    /// Sums up a history.
    pub fn of(records: &[CallRecord]) -> Self {
        let mut outcomes: BTreeMap<String, u64> = BTreeMap::new();
        let mut reasons: BTreeMap<String, u64> = BTreeMap::new();
        let mut first_tokens = new_histogram();
        let mut gaps = new_histogram();
        let mut answers = new_histogram();
        let mut broken = 0;
        for record in records {
            let outcome = if record.outcome.is_empty() {
                "no-answer"
            } else {
                &record.outcome
            };
            *outcomes.entry(outcome.to_owned()).or_default() += 1;
            if !record.is_whole {
                *reasons.entry(record.detail.clone()).or_default() += 1;
            }
            if outcome == "answered" && !record.is_whole {
                broken += 1;
            }
            if record.first_token_us > 0 {
                first_tokens.saturating_record(record.first_token_us);
            }
            for gap in &record.gaps_us {
                gaps.saturating_record((*gap).max(1));
            }
            if record.kind != CallKind::Stream && record.is_whole {
                answers.saturating_record(record.ended_us - record.started_us);
            }
        }
        Self {
            calls: records.len() as u64,
            outcomes,
            broken,
            first_token_ms: quantiles_ms(&first_tokens),
            token_gap_ms: quantiles_ms(&gaps),
            answer_ms: quantiles_ms(&answers),
            reasons,
        }
    }

    /// Returns the calls that ended with `outcome`.
    pub fn count(&self, outcome: &str) -> u64 {
        self.outcomes.get(outcome).copied().unwrap_or(0)
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_TIME_US, SIGNIFICANT_DIGITS).expect("the bounds are valid")
}

fn quantiles_ms(histogram: &Histogram<u64>) -> [f64; 3] {
    [0.50, 0.95, 0.99].map(|quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0)
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "calls {}", self.calls)?;
        for (outcome, count) in &self.outcomes {
            writeln!(f, "  {outcome} {count}")?;
        }
        writeln!(f, "  broken {}", self.broken)?;
        for (name, [p50, p95, p99]) in [
            ("first token", self.first_token_ms),
            ("between tokens", self.token_gap_ms),
            ("whole answers", self.answer_ms),
        ] {
            writeln!(f, "{name} ms: p50 {p50:.2} p95 {p95:.2} p99 {p99:.2}")?;
        }
        for (reason, count) in &self.reasons {
            writeln!(f, "  {count} x {reason}")?;
        }
        Ok(())
    }
}
