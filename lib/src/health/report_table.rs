//! Table of the newest report of each engine.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use super::MemberReport;
use super::REPORT_VALID_MS;
use crate::ids::VmId;

/// Newest report of each engine with the earliest time at which its values can have been
/// sampled.
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
    /// Stores the response to a poll that was sent at `polled_at`.
    ///
    /// The sampling time is taken to be `polled_at` minus the age of the report,
    /// which is never later than the actual sampling time. A report with an earlier
    /// sampling time than the stored one is ignored, so a delayed response never
    /// replaces newer values.
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

    /// Returns the report of `vm` if it is still fresh at `now`.
    pub fn fresh(&self, vm: &str, now: Instant) -> Option<&MemberReport> {
        let row = self.rows.get(vm)?;
        (now < row.fresh_until()).then_some(&row.report)
    }

    /// Returns the time at which the report of `vm` expires.
    pub fn fresh_until(&self, vm: &str) -> Option<Instant> {
        self.rows.get(vm).map(ReportRow::fresh_until)
    }

    /// Returns the earliest possible sampling time of the report of `vm`.
    pub fn sampled_at(&self, vm: &str) -> Option<Instant> {
        self.rows.get(vm).map(|row| row.sampled_at)
    }

    /// Removes the reports of engines for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&VmId) -> bool) {
        self.rows.retain(|vm, _| keep(vm));
    }
}

impl ReportRow {
    fn fresh_until(&self) -> Instant {
        self.sampled_at + Duration::from_millis(REPORT_VALID_MS)
    }
}
