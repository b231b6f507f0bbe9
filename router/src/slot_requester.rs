//! Requests slots from the targets' homes and applies the grants.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_lite::FutureExt;
use jujuberoad::membership::ViewKey;
use jujuberoad::peer::PeerMessage;
use jujuberoad::slots::SlotGrant;
use jujuberoad::slots::SlotRequest;
use jujuberoad_node::runtime;
use smol::channel::Receiver;

use crate::home_registry::stale_refusal;
use crate::router_core::RouterCore;

/// Maximum interval between checks for due slot requests while callers wait for slots.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum interval between checks for due slot requests while no caller waits.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(60);
/// Timeout for the response of a home.
const GRANT_TIMEOUT: Duration = Duration::from_millis(100);

/// Starts the request loop. A signal on `shortage`, sent when a request starts to wait for
/// a slot, triggers a check immediately.
pub(crate) fn start(core: Arc<RouterCore>, shortage: Receiver<()>) {
    runtime::spawn(request_loop(core, shortage));
}

async fn request_loop(core: Arc<RouterCore>, shortage: Receiver<()>) {
    loop {
        let poll_interval = if core.scheduler.waiting_count() > 0 {
            BUSY_POLL_INTERVAL
        } else {
            IDLE_POLL_INTERVAL
        };
        let timer = async {
            smol::Timer::after(poll_interval).await;
        };
        let signal = async {
            let _ = shortage.recv().await;
        };
        timer.or(signal).await;
        for request in core.scheduler.due_requests(Instant::now()) {
            let view = core.view_cache.view();
            let home = if request.is_to_standby {
                view.standby(&request.target)
            } else {
                view.home(&request.target)
            };
            let Some(home) = home else { continue };
            if home.router == core.settings.id {
                if let Some(grant) = answer_slot_request(&core, &request) {
                    core.scheduler.apply_grant(&grant);
                }
                continue;
            }
            runtime::spawn(request_slots(Arc::clone(&core), home.peer, request));
        }
    }
}

async fn request_slots(core: Arc<RouterCore>, home: std::net::SocketAddr, request: SlotRequest) {
    let deadline = Instant::now() + GRANT_TIMEOUT;
    let answer = core
        .peers
        .send_request(home, PeerMessage::SlotRequest(request), deadline)
        .await;
    if let Some(PeerMessage::SlotGrant(grant)) = answer {
        core.scheduler.apply_grant(&grant);
    }
}

/// Responds to a slot request as the home or standby of its target; `None` if a newer
/// request has superseded it.
pub(crate) fn answer_slot_request(core: &RouterCore, request: &SlotRequest) -> Option<SlotGrant> {
    let now = Instant::now();
    let view = core.view_cache.view();
    let Some(target) = view.table.get(&request.target) else {
        return Some(stale_refusal(request, &view));
    };
    let mut keys = vec![ViewKey::Config, ViewKey::Routers];
    if target.group.is_some() {
        keys.push(ViewKey::Placement(target.zone.clone()));
    }
    if !core.view_cache.is_fresh(&keys, now) {
        return Some(stale_refusal(request, &view));
    }
    core.homes.request(request, &view, &core.settings.id, now)
}
