//! Room for groups in a fabric domain.

use crate::ids::DomainId;
use crate::ids::ZoneId;

/// Number of VMs of a fabric domain that groups may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainRoom {
    /// Name of the domain.
    pub domain: DomainId,
    /// Availability zone of its VMs.
    pub zone: ZoneId,
    /// Number of VMs.
    pub vm_count: usize,
}
