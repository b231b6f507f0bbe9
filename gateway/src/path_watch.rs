//! Follows this router's own paths to the endpoints of each service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::fleet::EndpointRecord;
use jujuberoad::fleet::EndpointState;
use jujuberoad::fleet::SilenceKind;
use jujuberoad::ids::EndpointId;
use jujuberoad::ids::RouterId;
use jujuberoad::ids::ServiceId;
use jujuberoad::peer::PeerMessage;
use jujuberoad_node::runtime;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;
use smol::Timer;

use crate::gateway_core::GatewayCore;
use crate::peer_exchange;
use crate::store_session;

/// Interval between reviews, announcements and trials.
const REVIEW_INTERVAL: Duration = Duration::from_millis(150);
/// Endpoints of a service that are tried at each review while its path is lost.
const TRIAL_ENDPOINTS: usize = 4;
/// Timeout of a trial; a round trip takes a few milliseconds.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(100);
/// Announcements after the last path is back, because datagrams may be lost.
const FINAL_ANNOUNCEMENTS: u32 = 3;
/// Time without a path to engines after which the placer gives its lock up.
const PLACER_PATIENCE: Duration = Duration::from_millis(500);

/// Starts the loop that tries lost paths and tells peers of them.
pub(crate) fn start(core: Arc<GatewayCore>) {
    runtime::spawn(async move {
        let mut severed_since: BTreeMap<ServiceId, Instant> = BTreeMap::new();
        let mut announcements = 0;
        loop {
            Timer::after(REVIEW_INTERVAL).await;
            let severed = core.severed_services();
            log_changes(&core, &severed, &mut severed_since);
            if !severed.is_empty() {
                announcements = FINAL_ANNOUNCEMENTS;
                try_paths(&core, &severed);
                release_lock(&core, &severed_since).await;
            }
            if announcements > 0 {
                announcements -= 1;
                peer_exchange::broadcast(&core, PeerMessage::LostPaths(severed)).await;
            }
        }
    });
}

/// Records to which services a peer has lost its path.
pub(crate) fn observe_peer(core: &GatewayCore, peer: &RouterId, services: BTreeSet<ServiceId>) {
    let mut relays = core.relays.lock().expect("relay lock");
    relays.observe_lost_paths(peer, services, Instant::now());
}

fn log_changes(
    core: &GatewayCore,
    severed: &BTreeSet<ServiceId>,
    severed_since: &mut BTreeMap<ServiceId, Instant>,
) {
    let now = Instant::now();
    let regained: Vec<ServiceId> = severed_since
        .keys()
        .filter(|service| !severed.contains(*service))
        .cloned()
        .collect();
    for service in regained {
        let lost_ms = severed_since
            .remove(&service)
            .map(|since| now.duration_since(since).as_millis() as u64);
        core.log.write(
            LogKind::Dependency,
            json!({"on": "path to endpoints", "service": service, "state": "regained", "lost_ms": lost_ms}),
        );
        forget_failures(core, &service);
    }
    for service in severed {
        if severed_since.contains_key(service) {
            continue;
        }
        severed_since.insert(service.clone(), now);
        core.metrics.lost_paths.inc();
        core.log.write(
            LogKind::Dependency,
            json!({"on": "path to endpoints", "service": service, "state": "lost", "avoided": core.avoided_endpoints().len()}),
        );
    }
}

/// Returns endpoints to use that were held for unreachable while the path to them was lost.
fn forget_failures(core: &GatewayCore, service: &ServiceId) {
    let table = core.fleet.table();
    let mut avoided = core.avoided();
    for record in table.iter().filter(|record| record.service == *service) {
        avoided.clear_unreachable(&record.id);
    }
    drop(avoided);
    core.queue.wake_all();
}

/// Opens a connection to some endpoints of each severed service.
fn try_paths(core: &Arc<GatewayCore>, severed: &BTreeSet<ServiceId>) {
    let table = core.fleet.table();
    for service in severed {
        let mut records: Vec<&EndpointRecord> = table
            .iter()
            .filter(|record| record.service == *service && record.state == EndpointState::Ready)
            .collect();
        fastrand::shuffle(&mut records);
        for record in records.into_iter().take(TRIAL_ENDPOINTS) {
            let (core, record) = (Arc::clone(core), record.clone());
            runtime::spawn(async move { try_endpoint(&core, &record).await });
        }
    }
}

async fn try_endpoint(core: &GatewayCore, record: &EndpointRecord) {
    core.metrics.path_trials.inc();
    let deadline = Instant::now() + TRIAL_TIMEOUT;
    match core.pool.try_connect(record.address, deadline).await {
        Ok(()) => core.observe_contact(&record.service, &record.id, record.address),
        // The verdict of the review is logged; single trials are only counted.
        Err(_) => core.observe_failure(&record.service, &record.id),
    }
}

/// Gives the placer's lock up if this router can give no orders, so that a peer takes over.
async fn release_lock(core: &GatewayCore, severed_since: &BTreeMap<ServiceId, Instant>) {
    let now = Instant::now();
    let is_over = |since: &Instant| now >= *since + PLACER_PATIENCE;
    let mut severed = severed_since.iter();
    let has_lost_engines =
        severed.any(|(service, since)| core.has_engines(service) && is_over(since));
    if has_lost_engines && core.order_fence().is_some() {
        store_session::release_placer_lock(core).await;
    }
}

/// Records what a probe of an endpoint shows of the path to it; `silence` is how it failed to
/// respond, if it did.
pub(crate) fn observe_probe(
    core: &GatewayCore,
    endpoint: &EndpointId,
    silence: Option<SilenceKind>,
) {
    let Some(record) = core.fleet.endpoint(endpoint) else {
        return;
    };
    match silence {
        None => core.observe_contact(&record.service, endpoint, record.address),
        // Its VM accepts connections, so there is a path: the endpoint pauses.
        Some(SilenceKind::Unanswered) => {}
        Some(SilenceKind::Refused | SilenceKind::NotAccepted) => {
            core.observe_failure(&record.service, endpoint);
        }
    }
}

/// Returns whether the path to the service of an endpoint may be lost.
pub(crate) fn is_doubtful(core: &GatewayCore, endpoint: &EndpointId) -> bool {
    let record = core.fleet.endpoint(endpoint);
    record.is_some_and(|record| core.paths().is_doubtful(&record.service, Instant::now()))
}
