//! Size of a model's groups and its share of the work.

use crate::serving::ModelProfile;

/// Smallest share that is taken into account; avoids a division by zero.
const MIN_SHARE: f64 = 0.01;
/// Number of members for which a domain keeps one spare VM.
const MEMBERS_PER_SPARE: usize = 4;

/// What a model asks of the packing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelDemand {
    /// Number of VMs that hold one replica.
    pub vms_per_group: usize,
    /// Share of the VMs that its work needs, relative to the other models.
    pub share: f64,
}

impl ModelDemand {
    /// Returns the demand that a model profile states.
    pub fn of(profile: &ModelProfile) -> Self {
        Self {
            vms_per_group: profile.vms_per_group.max(1),
            share: profile.share.max(MIN_SHARE),
        }
    }

    /// Returns the number of VMs in `group_count` groups, relative to the share.
    pub fn coverage(&self, group_count: usize) -> f64 {
        (group_count * self.vms_per_group) as f64 / self.share.max(MIN_SHARE)
    }

    /// Returns the number of spare VMs that a domain with such a group keeps.
    ///
    /// The loss of one member takes the whole group out of service, so large groups need a
    /// spare nearby; survivors of small groups soon find a partner among each other.
    pub fn spare_count(&self) -> usize {
        self.vms_per_group / MEMBERS_PER_SPARE
    }
}
