//! Configuration of a VM that runs a model engine.

use std::net::SocketAddr;

use crate::ids::DomainId;
use crate::ids::VmId;
use crate::ids::ZoneId;

/// A `[vm NAME]` section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmSpec {
    /// Name of the VM.
    pub vm: VmId,
    /// Fabric domain of the VM.
    pub domain: DomainId,
    /// Availability zone of that domain.
    pub zone: ZoneId,
    /// Address at which its engine accepts requests and orders.
    pub address: SocketAddr,
    /// Number of accelerators.
    pub accelerators: u64,
    /// Whether its engine rejects orders with an outdated fencing token.
    pub checks_fence: bool,
    /// Whether the VM is being drained.
    pub leaving: bool,
}
