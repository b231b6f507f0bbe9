//! Groups that have been moved from one model to another since the packing was planned.

use std::collections::BTreeMap;
use std::time::Instant;

use super::super::GroupKey;
use crate::ids::DomainId;
use crate::ids::EndpointId;
use crate::ids::ModelId;

/// Deviations of the planned groups of a service from its packing, because of measured demand.
#[derive(Clone, Debug, Default)]
pub(super) struct GroupMoves {
    /// Number of groups that a model has more, or fewer, than packed in a domain.
    moved: BTreeMap<(ModelId, DomainId), i64>,
    /// Former members of converted groups that are to form groups of the short model.
    pub(super) converted: Vec<ConvertedMembers>,
    /// Time before which no further group is converted, so that the effect of the last one is
    /// measured first.
    pub(super) next_start_at: Option<Instant>,
    /// Time until which a model that has gained a group gives up none without need.
    pub(super) held_until: BTreeMap<ModelId, Instant>,
    /// Time until which moves of an earlier planner are inferred from the groups.
    pub(super) inferred_until: Option<Instant>,
}

/// Members of a group that was dissolved for another model.
#[derive(Clone, Debug)]
pub(super) struct ConvertedMembers {
    /// Dissolved group.
    pub(super) key: GroupKey,
    /// Model that the group served.
    pub(super) donor: ModelId,
    /// Model that the members are to serve.
    pub(super) short: ModelId,
    /// Fabric domain of the members.
    pub(super) domain: DomainId,
    /// Members that have not joined a new group.
    pub(super) members: Vec<EndpointId>,
    /// Whether a group of them has been formed.
    pub(super) has_formed: bool,
    /// Time at which the remaining ones are free for any group.
    pub(super) expires_at: Instant,
}

impl GroupMoves {
    /// Returns whether the packing is in force unchanged.
    pub(super) fn is_empty(&self) -> bool {
        self.moved.is_empty()
    }

    /// Returns how many groups a model has more than packed.
    pub(super) fn total(&self, model: &str) -> i64 {
        let moved = self.moved.iter();
        let own = moved.filter(|((known, _), _)| known == model);
        own.map(|(_, count)| count).sum()
    }

    /// Returns how many groups a model has more than packed in a domain.
    pub(super) fn in_domain(&self, model: &str, domain: &str) -> i64 {
        let key = (ModelId::from(model), DomainId::from(domain));
        self.moved.get(&key).copied().unwrap_or(0)
    }

    /// Adds groups of a model in a domain; a negative number removes them.
    pub(super) fn add(&mut self, model: &ModelId, domain: &DomainId, count: i64) {
        let key = (model.clone(), domain.clone());
        *self.moved.entry(key).or_insert(0) += count;
    }

    /// Forgets all deviations from the packing.
    pub(super) fn clear(&mut self) {
        self.moved.clear();
    }
}

/// Returns a planned number of groups with the moved ones; a model that has groups in the
/// packing keeps at least `least`.
pub(super) fn with_moved(packed: usize, moved: i64, least: usize) -> usize {
    let count = i64::try_from(packed)
        .unwrap_or(i64::MAX)
        .saturating_add(moved);
    usize::try_from(count).unwrap_or(0).max(least.min(packed))
}
