//! Measured use of the models of all services.

use std::collections::BTreeMap;
use std::time::Instant;

use super::ModelShortage;
use super::PoolSample;
use super::service_demand::ServiceDemand;
use crate::ids::ServiceId;

/// Use of the slots of all models, by service.
///
/// The state is soft: a router that begins to plan groups starts with an empty monitor, and a
/// gap between samples empties the part of the service.
#[derive(Clone, Debug, Default)]
pub struct DemandMonitor {
    services: BTreeMap<ServiceId, ServiceDemand>,
}

impl DemandMonitor {
    /// Adds samples of all models of a service taken at `now`; returns the shortages that have
    /// begun with them.
    pub fn observe(
        &mut self,
        service: &ServiceId,
        samples: Vec<PoolSample>,
        now: Instant,
    ) -> Vec<ModelShortage> {
        let demand = self.services.entry(service.clone()).or_default();
        demand.observe(samples, now)
    }

    /// Returns the shortages of a service, the shortest model first.
    pub fn shortages(&self, service: &str, now: Instant) -> &[ModelShortage] {
        let demand = self.services.get(service);
        demand.map_or(&[], |demand| demand.shortages(now))
    }

    /// Returns the present use of a model's slots, where 1.0 is all of them.
    pub fn present_use(&self, service: &str, model: &str, now: Instant) -> f64 {
        let demand = self.services.get(service);
        demand.map_or(0.0, |demand| demand.present_use(model, now))
    }

    /// Returns how many groups a model can give up and keep room for twice its highest use in
    /// the last 30 s.
    pub fn spare_groups(&self, service: &str, model: &str) -> usize {
        let demand = self.services.get(service);
        demand.map_or(0, |demand| demand.spare_groups(model))
    }

    /// Returns whether a model still needs the group that is being converted for it.
    pub fn still_needs(&self, service: &str, model: &str, now: Instant) -> bool {
        let demand = self.services.get(service);
        demand.is_some_and(|demand| demand.still_needs(model, now))
    }
}
