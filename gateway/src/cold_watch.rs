//! Records when endpoints become cold, and the requests that go to them.

use std::time::Instant;

use jujuberoad::fleet::EndpointRecord;
use jujuberoad::ids::StoreVersion;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;

use crate::caller_request::CallerRequest;
use crate::gateway_core::GatewayCore;
use crate::reserved_target::ReservedTarget;

/// Logs that an endpoint has become cold, with the requests that this router has sent to it since
/// the registry was last confirmed.
pub(crate) fn observe_entry(
    core: &GatewayCore,
    old: Option<&EndpointRecord>,
    record: &EndpointRecord,
    version: StoreVersion,
) {
    let now = Instant::now();
    let Some(cold_until) = record.cold_until.filter(|until| now < *until) else {
        return;
    };
    if old.is_some_and(|old| old.incarnation == record.incarnation && old.is_cold(now)) {
        return;
    }
    let view = core.fleet.view();
    let service = view
        .config
        .as_ref()
        .and_then(|config| config.services.get(&record.service));
    let Some(rate) = service.map(|service| service.cold_requests_per_second) else {
        return;
    };
    if rate <= 0.0 {
        return;
    }
    let share = {
        let divider = core.quota_divider.lock().expect("quota divider lock");
        divider.share_of(&record.id, rate, now)
    };
    let confirmed_at = view.registry_confirmed_at.unwrap_or(now);
    let unheard = {
        let pacer = core.pacer.lock().expect("pacer lock");
        pacer.sends_since(&record.id, confirmed_at)
    };
    core.metrics.unheard_cold_sends.inc_by(unheard as u64);
    let group = record.membership.as_ref();
    core.log.write(
        LogKind::Cold,
        json!({
            "endpoint": record.id,
            "state": "cold",
            "incarnation": record.incarnation,
            "was_incarnation": old.map(|old| old.incarnation),
            "zone": record.zone,
            "group": group.map(|group| group.key.to_string()),
            "member": group.map(|group| group.state.to_string()),
            "cold_ms": cold_until.saturating_duration_since(now).as_millis() as u64,
            "version": version,
            "share": share,
            "unheard_sends": unheard,
            "registry_age_ms": now.saturating_duration_since(confirmed_at).as_millis() as u64,
            "zone_back_ms": core.fleet.zone_back_age(&record.zone).map(|age| age.as_millis() as u64),
        }),
    );
}

/// Records that a request is about to be sent to a target that was cold when it was reserved.
pub(crate) fn observe_send(
    core: &GatewayCore,
    request: &CallerRequest,
    reserved: &ReservedTarget,
    now: Instant,
) {
    let Some(share) = reserved.cold_share else {
        return;
    };
    core.metrics.cold_sends.inc();
    let held = now.saturating_duration_since(reserved.reserved_at);
    core.log.write(
        LogKind::Cold,
        json!({
            "endpoint": reserved.target.endpoint,
            "state": "sent",
            "request": request.id,
            "share": share,
            "held_ms": held.as_millis() as u64,
        }),
    );
}
