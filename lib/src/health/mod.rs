//! Health of engines and of the groups that they form.
//!
//! A group is open only while the newest report of every member is fresh and
//! agrees with the placement record. A report older than its deadline counts
//! as no report.

mod engine_phase;
mod group_check;
mod member_report;
mod report_table;
mod target_health;

pub use engine_phase::EnginePhase;
pub use group_check::GroupCheck;
pub use group_check::endpoint_health;
pub use member_report::MemberReport;
pub use report_table::ReportTable;
pub use target_health::TargetHealth;

use crate::ids::Milliseconds;

/// Time after the start of a poll for which its report counts.
pub const REPORT_VALID_MS: Milliseconds = 1_500;
/// Time between two polls of one engine by the home router of its group.
pub const REPORT_POLL_MS: Milliseconds = 500;
