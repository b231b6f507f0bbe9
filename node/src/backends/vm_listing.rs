//! An entry of the platform's list of VMs.

use jujuberoad::ids::VmId;
use serde::Deserialize;
use serde::Serialize;

/// State of a VM as the platform reports it, with a delay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListing {
    /// Name of the VM.
    pub vm: VmId,
    /// Whether the platform is about to remove the VM.
    pub leaving: bool,
}
