//! Options shared by several commands.

use std::path::PathBuf;

use crate::standins::EngineTiming;

/// Which fleet to start, and the timing of its engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LabOptions {
    /// Folder of configuration files.
    pub config: PathBuf,
    /// Folder for settings, logs and `fleet.ini`.
    pub dir: PathBuf,
    /// Number of entry VMs, each with a router and a placer.
    pub routers: usize,
    /// Simulated delays of the engines.
    pub timing: EngineTiming,
}
