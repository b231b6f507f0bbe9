//! The configuration: INI files merged in the order of their names.
//!
//! A configuration is accepted as a whole or not at all. Every problem names
//! the file, the line and the key that caused it.

mod config_diff;
mod config_edit;
mod config_problem;
mod config_record;
mod endpoint_spec;
mod fleet_config;
mod ini_document;
mod ini_section;
mod limit_spec;
mod model_spec;
mod section_reader;
mod service_spec;
mod spec_readers;
mod team_spec;
mod vm_spec;
mod zone_spec;

pub use config_diff::ConfigDiff;
pub use config_edit::ConfigEdit;
pub use config_edit::EditError;
pub use config_problem::ConfigProblem;
pub use config_record::ConfigRecord;
pub use endpoint_spec::EndpointSpec;
pub use fleet_config::FleetConfig;
pub use ini_document::IniDocument;
pub use ini_section::IniSection;
pub use ini_section::IniValue;
pub use limit_spec::LimitSpec;
pub use model_spec::ModelSpec;
pub use section_reader::SectionReader;
pub use service_spec::ServiceSpec;
pub use team_spec::TeamSpec;
pub use vm_spec::VmSpec;
pub use zone_spec::ZoneSpec;

/// Size limit of a value in the platform's store, in bytes.
pub const MAX_STORE_VALUE_BYTES: usize = 1_000_000;
