//! A quarantine in force.

use std::collections::BTreeSet;
use std::time::Instant;

use super::QUARANTINE_TIME;
use super::QuarantineNotice;
use super::crash_explainer::CrashExplanation;
use crate::ids::PromptPartId;

/// Requests that a router rejects since their parts crash engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartQuarantine {
    /// A request that holds all of these parts is rejected.
    pub parts: BTreeSet<PromptPartId>,
    /// Number of crashes that the parts explain.
    pub crashes: u32,
    /// Time of the decision or of its adoption.
    pub decided_at: Instant,
    /// End of the quarantine.
    pub until: Instant,
    /// First of the crashes; `None` if a peer decided.
    pub(super) first_crash: Option<Instant>,
}

impl PartQuarantine {
    /// Creates the quarantine of parts that explain crashes.
    pub(super) fn new(explanation: CrashExplanation, now: Instant) -> Self {
        Self {
            parts: explanation.parts,
            crashes: explanation.crashes,
            decided_at: now,
            until: explanation.last_crash + QUARANTINE_TIME,
            first_crash: Some(explanation.first_crash),
        }
    }

    /// Extends the quarantine by later crashes.
    pub(super) fn renew(&mut self, explanation: &CrashExplanation) {
        self.crashes = self.crashes.max(explanation.crashes);
        self.until = self.until.max(explanation.last_crash + QUARANTINE_TIME);
        let first_crash = self.first_crash.get_or_insert(explanation.first_crash);
        *first_crash = (*first_crash).min(explanation.first_crash);
    }

    /// Returns whether it rejects a request with `parts`.
    pub fn rejects(&self, parts: &[PromptPartId]) -> bool {
        self.parts.iter().all(|part| parts.contains(part))
    }

    /// Returns the announcement of the quarantine.
    pub fn notice(&self, now: Instant) -> QuarantineNotice {
        let left = self.until.saturating_duration_since(now);
        QuarantineNotice {
            parts: self.parts.clone(),
            crashes: self.crashes,
            valid_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        }
    }
}
