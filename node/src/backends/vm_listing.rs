//! A row of the platform's list of VMs.

use jujuberoad::ids::VmId;
use serde::Deserialize;
use serde::Serialize;

/// What the platform says about a VM, with a lag.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListing {
    /// Name of the VM.
    pub vm: VmId,
    /// Whether the platform is about to take it away.
    pub leaving: bool,
}
