//! Options that several commands share.

use std::path::PathBuf;

use crate::standins::EngineTiming;

/// Which fleet to bring up, and how fast its engines are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LabOptions {
    /// Folder of configuration files.
    pub config: PathBuf,
    /// Folder for settings, logs and `fleet.ini`.
    pub dir: PathBuf,
    /// Number of entry VMs.
    pub routers: usize,
    /// Speed of the engines.
    pub timing: EngineTiming,
}
