//! The commands, one a file.

mod add;
mod apply;
mod check;
mod diff;
mod drain;
mod edit_report;
mod remove;
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
pub use remove::remove;
pub use show::ShowReport;
pub use show::show;
pub use status::GroupStatus;
pub use status::RouterStatus;
pub use status::StatusReport;
pub(crate) use status::router_statuses;
pub use status::status;
