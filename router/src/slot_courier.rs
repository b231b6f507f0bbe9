//! Carries requests for slots to homes and grants back.

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

/// Longest time between two looks at which requests are due, while callers wait.
const BUSY_TICK: Duration = Duration::from_millis(20);
/// The same while none waits.
const IDLE_TICK: Duration = Duration::from_millis(60);
/// Time within which a home must answer.
const GRANT_LIMIT: Duration = Duration::from_millis(100);

/// Starts to carry; `shortage` is signalled when a request waits for a slot.
pub(crate) fn start(core: Arc<RouterCore>, shortage: Receiver<()>) {
    runtime::spawn(carry_for_ever(core, shortage));
}

async fn carry_for_ever(core: Arc<RouterCore>, shortage: Receiver<()>) {
    loop {
        let period = if core.slots.waiting() > 0 {
            BUSY_TICK
        } else {
            IDLE_TICK
        };
        let tick = async {
            smol::Timer::after(period).await;
        };
        let signal = async {
            let _ = shortage.recv().await;
        };
        tick.or(signal).await;
        for request in core.slots.due_requests(Instant::now()) {
            let view = core.view_cache.view();
            let home = if request.is_to_standby {
                view.standby(&request.target)
            } else {
                view.home(&request.target)
            };
            let Some(home) = home else { continue };
            if home.router == core.settings.id {
                if let Some(grant) = answer_request(&core, &request) {
                    core.slots.apply_grant(&grant);
                }
                continue;
            }
            runtime::spawn(carry(Arc::clone(&core), home.peer, request));
        }
    }
}

async fn carry(core: Arc<RouterCore>, home: std::net::SocketAddr, request: SlotRequest) {
    let deadline = Instant::now() + GRANT_LIMIT;
    let answer = core
        .peers
        .ask(home, PeerMessage::SlotRequest(request), deadline)
        .await;
    if let Some(PeerMessage::SlotGrant(grant)) = answer {
        core.slots.apply_grant(&grant);
    }
}

/// Answers a request as the home or standby of its target.
pub(crate) fn answer_request(core: &RouterCore, request: &SlotRequest) -> Option<SlotGrant> {
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
