//! Faults of group members.

use std::fmt;

use super::EngineReport;
use super::GroupKey;
use super::SilenceKind;

/// Fault of a member found by a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberFault {
    /// It did not respond.
    Unresponsive {
        /// Error of the probe call.
        reason: String,
        /// What the call shows of the member.
        kind: SilenceKind,
    },
    /// It responds but is not in the expected group.
    Moved {
        /// Group that it is in instead, if any.
        found: Option<GroupKey>,
    },
    /// It responds but slows down the whole group.
    Slow {
        /// Time of a step relative to the nominal step time, in percent.
        step_time_percent: u32,
    },
}

impl MemberFault {
    /// Returns the fault that the report of an expected member of `group` shows, if any.
    pub fn from_report(report: &EngineReport, group: Option<&GroupKey>) -> Option<Self> {
        let joined = report.membership.as_ref();
        let found = joined.map(|membership| membership.key.clone());
        if found.as_ref() != group {
            return Some(Self::Moved { found });
        }
        let step_time_percent = report.step_time_percent;
        report.is_slow().then_some(Self::Slow { step_time_percent })
    }

    /// Returns the name of the fault for logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Unresponsive { .. } => "lost",
            Self::Moved { .. } => "moved",
            Self::Slow { .. } => "slow",
        }
    }

    /// Returns the precedence of the fault when several members have one; lower comes first.
    /// Faults that are more conclusive about the whole group come first.
    pub fn precedence(&self) -> u8 {
        match self {
            Self::Unresponsive { .. } => 0,
            Self::Moved { .. } => 1,
            Self::Slow { .. } => 2,
        }
    }
}

impl fmt::Display for MemberFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unresponsive { reason, .. } => f.write_str(reason),
            Self::Moved { found: None } => f.write_str("is in no group"),
            Self::Moved { found: Some(key) } => write!(f, "is in group {key}"),
            Self::Slow { step_time_percent } => {
                write!(f, "step time is {step_time_percent}% of nominal")
            }
        }
    }
}
