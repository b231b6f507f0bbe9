//! `jujube check`: validates a folder without changing anything.

use std::fmt;
use std::path::Path;

use jujuberoad::config::FleetConfig;
use serde::Serialize;

use crate::CommandError;
use crate::read_folder;

/// Number of items that a valid folder declares.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CheckReport {
    /// Number of files.
    pub files: usize,
    /// Number of availability zones.
    pub zones: usize,
    /// Number of VMs.
    pub vms: usize,
    /// Number of models.
    pub models: usize,
    /// Number of plain services.
    pub services: usize,
    /// Number of teams.
    pub teams: usize,
}

/// Validates the files in `folder`.
pub fn check(folder: &Path) -> Result<CheckReport, CommandError> {
    let files = read_folder(folder)?;
    let config = FleetConfig::parse(&files).map_err(CommandError::Invalid)?;
    Ok(CheckReport {
        files: files.len(),
        zones: config.zones.len(),
        vms: config.vms.len(),
        models: config.models.len(),
        services: config.services.len(),
        teams: config.teams.len(),
    })
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "ok: {} files, {} zones, {} VMs, {} models, {} services, {} teams",
            self.files, self.zones, self.vms, self.models, self.services, self.teams
        )
    }
}
