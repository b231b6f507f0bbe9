//! Newest report of each engine.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use super::MemberReport;
use super::REPORT_VALID_MS;
use crate::ids::VmId;

/// Keeps the newest report of each engine and the deadline until which it counts.
#[derive(Clone, Debug, Default)]
pub struct ReportTable {
    rows: BTreeMap<VmId, ReportRow>,
}

#[derive(Clone, Debug)]
struct ReportRow {
    report: MemberReport,
    sampled_at: Instant,
}

impl ReportTable {
    /// Takes the answer to a poll that was sent at `polled_at`.
    ///
    /// The report counts from when its values were sampled, which is no later
    /// than its age before the poll. An answer with older values than the one on
    /// record is ignored, so that late answers never replace newer ones.
    pub fn record(&mut self, report: MemberReport, polled_at: Instant) {
        let age = Duration::from_millis(report.age_ms);
        let Some(sampled_at) = polled_at.checked_sub(age) else {
            return;
        };
        let row = self.rows.get(&report.vm);
        if row.is_some_and(|row| row.sampled_at > sampled_at) {
            return;
        }
        self.rows
            .insert(report.vm.clone(), ReportRow { report, sampled_at });
    }

    /// Returns the report of `vm` if it still counts at `now`.
    pub fn fresh(&self, vm: &str, now: Instant) -> Option<&MemberReport> {
        let row = self.rows.get(vm)?;
        (now < row.fresh_until()).then_some(&row.report)
    }

    /// Returns the deadline until which the report of `vm` counts.
    pub fn fresh_until(&self, vm: &str) -> Option<Instant> {
        self.rows.get(vm).map(ReportRow::fresh_until)
    }

    /// Returns when the values in the report of `vm` were sampled at the latest.
    pub fn sampled_at(&self, vm: &str) -> Option<Instant> {
        self.rows.get(vm).map(|row| row.sampled_at)
    }

    /// Forgets the engines that `keep` does not want.
    pub fn retain(&mut self, keep: impl Fn(&VmId) -> bool) {
        self.rows.retain(|vm, _| keep(vm));
    }
}

impl ReportRow {
    fn fresh_until(&self) -> Instant {
        self.sampled_at + Duration::from_millis(REPORT_VALID_MS)
    }
}
