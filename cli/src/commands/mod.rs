//! The commands, one per file.

mod add;
mod apply;
mod check;
mod diff;
mod drain;
mod edit_report;
mod explain;
mod group_status;
mod remove;
mod router_status;
mod show;
mod status;

pub use add::add;
pub use apply::apply;
pub use check::CheckReport;
pub use check::check;
pub use diff::DiffReport;
pub use diff::diff;
pub use drain::drain;
pub use edit_report::EditReport;
pub use explain::ExplainReport;
pub use explain::explain;
pub use group_status::GroupStatus;
pub use remove::remove;
pub use router_status::RouterStatus;
pub use show::ShowReport;
pub use show::show;
pub use status::StatusReport;
pub(crate) use status::router_statuses;
pub use status::status;
