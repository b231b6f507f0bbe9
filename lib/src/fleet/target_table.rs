//! All routing targets.

use std::collections::BTreeSet;
use std::collections::HashMap;

use super::EndpointRecord;
use super::EndpointState;
use super::EndpointTable;
use super::GroupIndex;
use super::GroupSummary;
use super::ServingTarget;
use crate::ids::ModelId;
use crate::ids::ServiceId;
use crate::ids::ZoneId;
use crate::serving::EngineProfile;
use crate::serving::ServingConfig;

/// Identifies the pool of targets that can serve a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolKey {
    /// Service that the request is for.
    pub service: ServiceId,
    /// Requested model, for services that serve models in groups.
    pub model: Option<ModelId>,
}

/// Targets by pool, without those in evacuated zones.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    pools: HashMap<PoolKey, Vec<ServingTarget>>,
}

impl TargetTable {
    /// Builds the table from the registry and the groups.
    pub fn build(
        table: &EndpointTable,
        groups: &GroupIndex,
        config: &ServingConfig,
        evacuated: &BTreeSet<ZoneId>,
    ) -> Self {
        let mut targets = Self::default();
        for summary in groups.groups.values() {
            if summary.is_serving() && !evacuated.contains(&summary.zone) {
                targets.add_group(summary, table, config);
            }
        }
        for record in table.iter() {
            if record.state != EndpointState::Ready || evacuated.contains(&record.zone) {
                continue;
            }
            let Some(service) = config.services.get(&record.service) else {
                continue;
            };
            if service.engine.is_none() {
                let target = target_from_record(record, service.cold_requests_per_second);
                targets.push(&record.service, None, target);
            }
        }
        targets
    }

    /// Returns the targets of a pool.
    pub fn pool(&self, key: &PoolKey) -> &[ServingTarget] {
        self.pools.get(key).map_or(&[], Vec::as_slice)
    }

    /// Returns all pools with their targets.
    pub fn pools(&self) -> impl Iterator<Item = (&PoolKey, &[ServingTarget])> {
        let pools = self.pools.iter();
        pools.map(|(pool, targets)| (pool, targets.as_slice()))
    }

    /// Returns all targets.
    pub fn iter(&self) -> impl Iterator<Item = &ServingTarget> {
        self.pools.values().flatten()
    }

    /// Returns whether there is no target in any pool.
    pub fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }

    fn add_group(&mut self, summary: &GroupSummary, table: &EndpointTable, config: &ServingConfig) {
        let Some(service) = config.services.get(&summary.service) else {
            return;
        };
        let Some(engine) = &service.engine else {
            return;
        };
        let Some(head) = summary.head().and_then(|id| table.get(id)) else {
            return;
        };
        let mut target = target_from_record(head, service.cold_requests_per_second);
        for (_, id, _) in &summary.members {
            if let Some(record) = table.get(id) {
                target.members.push((id.clone(), record.address));
            }
        }
        let time_factor = time_factor_of(engine, &summary.model);
        let steps_per_event = f64::from(engine.steps_per_event.max(1));
        target.group = Some(summary.key.clone());
        target.slots = engine.slots.max(1);
        target.prefill_ms_per_token =
            time_factor * 1_000.0 / engine.prefill_tokens_per_second.max(1.0);
        target.event_interval_ms = time_factor * steps_per_event * engine.step_ms;
        target.event_interval_ms_per_request =
            time_factor * steps_per_event * engine.step_ms_per_request;
        self.push(&summary.service, Some(summary.model.clone()), target);
    }

    fn push(&mut self, service: &ServiceId, model: Option<ModelId>, target: ServingTarget) {
        let service = service.clone();
        let key = PoolKey { service, model };
        self.pools.entry(key).or_default().push(target);
    }
}

fn time_factor_of(engine: &EngineProfile, model: &str) -> f64 {
    let mut models = engine.models.iter();
    let profile = models.find(|profile| profile.model == model);
    profile.map_or(1.0, |profile| profile.time_factor)
}

fn target_from_record(record: &EndpointRecord, cold_requests_per_second: f64) -> ServingTarget {
    ServingTarget {
        endpoint: record.id.clone(),
        address: record.address,
        zone: record.zone.clone(),
        group: None,
        members: Vec::new(),
        slots: record.slots.max(1),
        cold_until: record.cold_until,
        cold_requests_per_second,
        prefill_ms_per_token: 0.0,
        event_interval_ms: 0.0,
        // A request to an endpoint without groups occupies a slot for about 10 ms.
        event_interval_ms_per_request: 10.0,
    }
}
