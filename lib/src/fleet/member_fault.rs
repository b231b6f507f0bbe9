//! Why a member of a group does not do its part.

use std::fmt;

use super::EngineReport;
use super::GroupKey;

/// What a probe has found wrong with a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberFault {
    /// It did not answer.
    Silent {
        /// The error of the call.
        reason: String,
    },
    /// It answers, and has left the group.
    Moved {
        /// Group that it is in instead.
        found: Option<GroupKey>,
    },
    /// It answers, and holds up the whole group.
    Slow {
        /// Time that its work takes, against what is usual, in percent.
        step_time_percent: u32,
    },
}

impl MemberFault {
    /// Judges what a member of `group` reports of itself.
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
            Self::Silent { .. } => "lost",
            Self::Moved { .. } => "moved",
            Self::Slow { .. } => "slow",
        }
    }

    /// Returns the order in which faults count: what says most of the group first.
    pub fn precedence(&self) -> u8 {
        match self {
            Self::Silent { .. } => 0,
            Self::Moved { .. } => 1,
            Self::Slow { .. } => 2,
        }
    }
}

impl fmt::Display for MemberFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Silent { reason } => f.write_str(reason),
            Self::Moved { found: None } => f.write_str("it is in no group"),
            Self::Moved { found: Some(key) } => write!(f, "it is in {key}"),
            Self::Slow { step_time_percent } => {
                write!(f, "it takes {step_time_percent}% of its time")
            }
        }
    }
}
