//! Health of engines and of the groups that they form.
//!
//! A group accepts requests only while the newest report of every member is
//! fresh and matches the placement record. An expired report counts as no
//! report.

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

/// Validity of a report, counted from when its values were sampled.
pub const REPORT_VALID_MS: Milliseconds = 1_500;
/// Interval at which the home router of a group polls each engine.
pub const REPORT_POLL_MS: Milliseconds = 500;
