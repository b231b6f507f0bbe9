//! The groups that registry entries describe.

use std::collections::BTreeMap;
use std::time::Instant;

use super::EndpointState;
use super::EndpointTable;
use super::GroupKey;
use super::GroupSummary;
use crate::serving::ServingConfig;

/// All groups of all services, by key.
#[derive(Clone, Debug, Default)]
pub struct GroupIndex {
    /// Summaries by group key.
    pub groups: BTreeMap<GroupKey, GroupSummary>,
}

impl GroupIndex {
    /// Builds the groups from the memberships in `table` at `now`; `config` gives their sizes.
    pub fn build(table: &EndpointTable, config: &ServingConfig, now: Instant) -> Self {
        let may_lack_entries = !table.is_settled(now);
        let mut groups: BTreeMap<GroupKey, GroupSummary> = BTreeMap::new();
        for record in table.iter() {
            let Some(membership) = &record.membership else {
                continue;
            };
            let Some(model) = &record.model else {
                continue;
            };
            let engine = config
                .services
                .get(&record.service)
                .and_then(|service| service.engine.as_ref());
            let profile = engine.and_then(|engine| {
                let mut models = engine.models.iter();
                models.find(|profile| profile.model == *model)
            });
            let Some(profile) = profile else {
                continue;
            };
            let summary = groups
                .entry(membership.key.clone())
                .or_insert_with(|| GroupSummary {
                    key: membership.key.clone(),
                    service: record.service.clone(),
                    model: model.clone(),
                    zone: record.zone.clone(),
                    domain: record.domain.clone(),
                    members: Vec::new(),
                    size: profile.vms_per_group,
                    is_draining: false,
                    may_lack_entries,
                });
            let member = (membership.rank, record.id.clone(), membership.state);
            summary.members.push(member);
            summary.is_draining |= record.state == EndpointState::Draining;
            if membership.rank == 0 {
                summary.zone = record.zone.clone();
            }
        }
        for summary in groups.values_mut() {
            summary.members.sort_by_key(|(rank, _, _)| *rank);
        }
        Self { groups }
    }
}
