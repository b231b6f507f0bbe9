//! What operators say about a VM that carries a model engine.

use std::net::SocketAddr;

use crate::ids::DomainId;
use crate::ids::VmId;
use crate::ids::ZoneId;

/// A `[vm NAME]` section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmSpec {
    /// Name of the VM.
    pub vm: VmId,
    /// Fabric domain in which the VM stands.
    pub domain: DomainId,
    /// Availability zone of that domain.
    pub zone: ZoneId,
    /// Where its engine takes requests and orders.
    pub address: SocketAddr,
    /// Number of accelerators.
    pub accelerators: u64,
    /// Whether its engine refuses orders with an old fence.
    pub checks_fence: bool,
    /// Whether operators want it emptied.
    pub leaving: bool,
}
