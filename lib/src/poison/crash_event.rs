//! One crash of one endpoint, as told by all routers.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use super::CrashReport;
use crate::ids::EndpointId;
use crate::ids::PromptPartId;

/// Time for which reports of one endpoint belong to the same crash, unless the endpoint was
/// reached in between.
const CRASH_SPAN: Duration = Duration::from_secs(1);
/// Maximum number of parts of a crash; an engine runs fewer prompts at a time.
const MAX_EVENT_PARTS: usize = 256;

/// A crash and the parts of all runs that it ended.
#[derive(Clone, Debug)]
pub(super) struct CrashEvent {
    pub(super) endpoint: EndpointId,
    pub(super) happened_at: Instant,
    pub(super) parts: HashSet<PromptPartId>,
}

impl CrashEvent {
    /// Creates the event that the first report of a crash shows.
    pub(super) fn new(report: &CrashReport, now: Instant) -> Self {
        let mut event = Self {
            endpoint: report.endpoint.clone(),
            happened_at: now,
            parts: HashSet::new(),
        };
        event.merge(report);
        event
    }

    /// Returns whether a report that arrives now belongs to this crash.
    pub(super) fn includes(&self, report: &CrashReport, now: Instant) -> bool {
        let was_up_since = report
            .reached_at
            .is_some_and(|reached_at| self.happened_at < reached_at);
        self.endpoint == report.endpoint && !was_up_since && now < self.happened_at + CRASH_SPAN
    }

    /// Adds the parts of another report.
    pub(super) fn merge(&mut self, report: &CrashReport) {
        for part in report.usable_parts() {
            if self.parts.len() < MAX_EVENT_PARTS {
                self.parts.insert(part.clone());
            }
        }
    }
}
