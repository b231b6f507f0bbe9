//! Settings of a process: one INI file, validated at start.

mod node_settings;
mod settings_error;

pub use node_settings::NodeSettings;
pub use settings_error::SettingsError;
