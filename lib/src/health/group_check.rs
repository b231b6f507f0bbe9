//! Health check of a group: whether all of its members are ready.

use std::time::Instant;

use super::EnginePhase;
use super::MemberReport;
use super::ReportTable;
use super::TargetHealth;
use crate::placement::GroupRecord;
use crate::placement::MemberRecord;

/// Compares the reports of a group's members with its placement record.
pub struct GroupCheck<'a> {
    group: &'a GroupRecord,
    reports: &'a ReportTable,
}

impl<'a> GroupCheck<'a> {
    /// Creates a check of `group` against `reports`.
    pub fn new(group: &'a GroupRecord, reports: &'a ReportTable) -> Self {
        Self { group, reports }
    }

    /// Returns the health of the group at `now`.
    pub fn check(&self, now: Instant) -> TargetHealth {
        let mut until: Option<Instant> = None;
        let mut is_cold = false;
        for member in &self.group.members {
            let Some(report) = self.reports.fresh(&member.vm, now) else {
                return TargetHealth::Closed {
                    reason: format!("{} has no fresh report", member.vm),
                };
            };
            if let Some(reason) = self.mismatch(member, report) {
                return TargetHealth::Closed { reason };
            }
            is_cold |= report.phase == EnginePhase::Cold;
            let member_until = self.reports.fresh_until(&member.vm);
            until = until.into_iter().chain(member_until).min();
        }
        match until {
            None => TargetHealth::Closed {
                reason: "the group has no members".to_owned(),
            },
            Some(until) if is_cold => TargetHealth::Cold { until },
            Some(until) => TargetHealth::Warm { until },
        }
    }

    fn mismatch(&self, member: &MemberRecord, report: &MemberReport) -> Option<String> {
        let vm = &member.vm;
        if report.incarnation != member.incarnation {
            return Some(format!("{vm} has restarted since the group was formed"));
        }
        if report.group != self.group.group || report.generation != self.group.generation {
            let (group, generation) = (&report.group, report.generation);
            return Some(format!(
                "{vm} belongs to group {group:?} generation {generation}"
            ));
        }
        if report.model != self.group.model || report.version != self.group.version {
            return Some(format!(
                "{vm} has loaded model {} version {}",
                report.model, report.version
            ));
        }
        match report.phase {
            EnginePhase::Cold | EnginePhase::Warm => None,
            phase => Some(format!("{vm} is {phase}")),
        }
    }
}

/// Returns the health of a plain endpoint, which is not part of a group.
pub fn endpoint_health(endpoint: &str, reports: &ReportTable, now: Instant) -> TargetHealth {
    let report = reports.fresh(endpoint, now);
    let until = reports.fresh_until(endpoint);
    let (Some(report), Some(until)) = (report, until) else {
        return TargetHealth::Closed {
            reason: format!("{endpoint} has no fresh report"),
        };
    };
    match report.phase {
        EnginePhase::Cold => TargetHealth::Cold { until },
        EnginePhase::Warm => TargetHealth::Warm { until },
        phase => TargetHealth::Closed {
            reason: format!("{endpoint} is {phase}"),
        },
    }
}
