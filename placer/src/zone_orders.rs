//! Orders that bring engines into the state of the placement record.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::config::FleetConfig;
use jujuberoad::health::MemberReport;
use jujuberoad::ids::ModelId;
use jujuberoad::ids::VmId;
use jujuberoad::placement::EngineOrder;
use jujuberoad::placement::ORDER_TIMEOUT_MS;
use jujuberoad::placement::PlacementRecord;
use jujuberoad_node::runtime;
use spdlog::info;
use spdlog::warn;

use crate::placer_core::PlacerCore;
use crate::zone_lease::ZoneLease;

/// Sends an order to every engine whose report differs from the record.
///
/// The lease is checked again right before each order is sent, because not all
/// engines reject orders with an old fence.
pub(crate) fn send_orders(
    core: &Arc<PlacerCore>,
    lease: &ZoneLease,
    config: &FleetConfig,
    record: &PlacementRecord,
    preloads: &BTreeMap<VmId, ModelId>,
    reports: &[MemberReport],
) {
    for report in reports {
        let Some(spec) = config.vms.get(&report.vm) else {
            continue;
        };
        let preload = preloads
            .get(&report.vm)
            .and_then(|model| config.models.get(model));
        let order = match (record.group_of(&report.vm), preload) {
            (Some(group), _) => EngineOrder::join(&report.vm, group, record.fence),
            (None, Some(model)) => EngineOrder::preload(&report.vm, model, record.fence),
            (None, None) => EngineOrder::unload(&report.vm, record.fence),
        };
        if order.is_met_by(report) {
            continue;
        }
        let core = Arc::clone(core);
        let lease = *lease;
        let address = spec.address;
        runtime::spawn(async move {
            let now = Instant::now();
            if !lease.is_held(now) {
                return;
            }
            info!(
                "order: vm={} group={:?} generation={} model={:?} version={:?} fence={}",
                order.vm, order.group, order.generation, order.model, order.version, order.fence
            );
            if let Err(problem) = core
                .control
                .order(
                    address,
                    &order,
                    now + Duration::from_millis(ORDER_TIMEOUT_MS),
                )
                .await
            {
                warn!("order: sending to vm={} failed: {problem}", order.vm);
            }
        });
    }
}
