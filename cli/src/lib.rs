//! Library of the operator's command-line tool.
//!
//! Each command is a function that returns a report; the binary prints the
//! report as text or JSON.

mod command_error;
mod commands;
mod config_folder;
mod config_store;
mod rollout_report;

pub use command_error::CommandError;
pub use commands::CheckReport;
pub use commands::DiffReport;
pub use commands::EditReport;
pub use commands::ExplainReport;
pub use commands::GroupStatus;
pub use commands::RouterStatus;
pub use commands::ShowReport;
pub use commands::StatusReport;
pub use commands::add;
pub use commands::apply;
pub use commands::check;
pub use commands::diff;
pub use commands::drain;
pub use commands::explain;
pub use commands::remove;
pub use commands::show;
pub use commands::status;
pub use config_folder::read_file;
pub use config_folder::read_folder;
pub use config_store::ConfigStore;
pub use rollout_report::RolloutReport;
