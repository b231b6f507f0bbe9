//! Samples the use of each model's slots while this router plans groups.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::fleet::DemandMonitor;
use jujuberoad::fleet::ModelShortage;
use jujuberoad::fleet::PoolKey;
use jujuberoad::fleet::PoolSample;
use jujuberoad::ids::EndpointId;
use jujuberoad::ids::ModelId;
use jujuberoad::ids::ServiceId;
use jujuberoad::serving::ServingConfig;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;

use crate::gateway_core::GatewayCore;

/// Interval between samples; the load that peers report is up to 0.2 s old.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// Measured use of all models, and when it is measured next.
#[derive(Debug, Default)]
pub(crate) struct DemandSampler {
    monitor: DemandMonitor,
    next_at: Option<Instant>,
}

impl DemandSampler {
    /// Takes a sample if one is due; returns the measurements if groups follow demand.
    pub(crate) fn sample(
        &mut self,
        core: &GatewayCore,
        config: &ServingConfig,
        unreachable: &BTreeSet<EndpointId>,
        now: Instant,
    ) -> Option<&DemandMonitor> {
        if !core.follows_demand() {
            self.clear(core);
            return None;
        }
        if self.next_at.is_some_and(|at| now < at) {
            return Some(&self.monitor);
        }
        self.next_at = Some(now + SAMPLE_INTERVAL);
        for (service, profile) in &config.services {
            let Some(engine) = &profile.engine else {
                continue;
            };
            let models = engine.models.iter();
            let samples = models
                .map(|profile| pool_sample(core, service, &profile.model, unreachable, now))
                .collect();
            let shortages = self.monitor.observe(service, samples, now);
            for profile in &engine.models {
                let used = self.monitor.present_use(service, &profile.model, now);
                core.metrics.record_model_use(service, &profile.model, used);
            }
            for shortage in shortages {
                self.report_shortage(core, service, &shortage, now);
            }
        }
        Some(&self.monitor)
    }

    /// Forgets all samples.
    pub(crate) fn clear(&mut self, core: &GatewayCore) {
        if self.next_at.is_none() {
            return;
        }
        *self = Self::default();
        core.metrics.clear_model_use();
    }

    fn report_shortage(
        &self,
        core: &GatewayCore,
        service: &ServiceId,
        shortage: &ModelShortage,
        now: Instant,
    ) {
        let use_of = |model: &str| self.monitor.present_use(service, model, now);
        core.log.write(
            LogKind::Demand,
            json!({
                "step": "short",
                "service": service,
                "to": shortage.short,
                "use": use_of(&shortage.short),
                "from": shortage.donor,
                "from_use": use_of(&shortage.donor),
                "spare_groups": self.monitor.spare_groups(service, &shortage.donor),
            }),
        );
    }
}

/// Measures the requests and slots of one model at the groups that this router reaches.
fn pool_sample(
    core: &GatewayCore,
    service: &ServiceId,
    model: &ModelId,
    unreachable: &BTreeSet<EndpointId>,
    now: Instant,
) -> PoolSample {
    let pool = PoolKey {
        service: service.clone(),
        model: Some(model.clone()),
    };
    let view = core.fleet.view();
    // Callers are spread over the routers, so that the queues of the others are about as long.
    let waiting = core.queue.count_ahead(&pool, u32::MAX) * core.router_count();
    let mut sample = PoolSample {
        model: model.clone(),
        waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
        ..PoolSample::default()
    };
    let loads = core.loads.lock().expect("load lock");
    for target in view.targets.pool(&pool) {
        let mut members = target.members.iter();
        if members.any(|(member, _)| unreachable.contains(member)) {
            continue;
        }
        sample.groups += 1;
        sample.slots += target.slots;
        sample.running += loads
            .total(&target.endpoint, target.prefill_ms_per_token, now)
            .requests;
    }
    sample
}
