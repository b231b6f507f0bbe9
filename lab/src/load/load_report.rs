//! Summary of a load.

use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::CallKind;
use super::CallRecord;

/// Significant decimal digits that the histograms keep.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Longest time that the histograms hold, in microseconds; longer ones count as this.
const MAX_TIME_US: u64 = 120_000_000;

/// Counts and latency quantiles of a load, as callers saw it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadReport {
    /// Number of calls.
    pub calls: u64,
    /// Number of calls by outcome; `no-answer` where the router reported none.
    pub outcomes: BTreeMap<String, u64>,
    /// Calls reported as answered whose answer was incomplete or not the expected one.
    pub broken: u64,
    /// Time to the first token in milliseconds: p50, p95 and p99.
    pub first_token_ms: [f64; 3],
    /// Time between tokens in milliseconds: p50, p95 and p99.
    pub token_gap_ms: [f64; 3],
    /// Duration of complete calls other than streams, in milliseconds: p50, p95 and p99.
    pub answer_ms: [f64; 3],
    /// Number of calls without a complete answer, by description of the failure.
    pub reasons: BTreeMap<String, u64>,
}

impl LoadReport {
    /// Summarizes a history.
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

    /// Returns the number of calls that ended with `outcome`.
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
