//! Follows the limits on the rate of requests that endpoints name in their responses.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::fleet::LimitNotice;
use jujuberoad::fleet::LimitStatement;
use jujuberoad::ids::EndpointId;
use jujuberoad::ids::RouterId;
use jujuberoad::peer::PeerMessage;
use jujuberoad_node::backends::ResponseHead;
use jujuberoad_node::backends::StatedLimit;
use jujuberoad_node::runtime;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;
use smol::Timer;

use crate::gateway_core::GatewayCore;
use crate::peer_exchange;

/// Interval at which limits in force are repeated and the state of endpoints that are gone is
/// removed.
const REVIEW_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which peers are told of changes.
const NOTICE_INTERVAL: Duration = Duration::from_millis(50);
/// Number of routers that repeat a limit to all peers. Routers that have just started, or that
/// missed the first notices, learn of it so.
const ANNOUNCERS: usize = 3;
/// Maximum notices per message, so that it fits in a datagram.
const NOTICES_PER_MESSAGE: usize = 20;

/// Starts the loops that tell peers of limits and remove the state of endpoints that are gone.
pub(crate) fn start(core: Arc<GatewayCore>) {
    start_notices(Arc::clone(&core));
    runtime::spawn(async move {
        loop {
            Timer::after(REVIEW_INTERVAL).await;
            send_notices(&core, announcements(&core)).await;
            let table = core.fleet.table();
            let registered: BTreeSet<&EndpointId> = table.iter().map(|record| &record.id).collect();
            let now = Instant::now();
            {
                let mut limits = core.limits.lock().expect("limit lock");
                limits.prune(now, |endpoint| registered.contains(endpoint));
                core.metrics.limited_endpoints.set(limits.len() as i64);
            }
            core.pacer.lock().expect("pacer lock").prune(now);
        }
    });
}

fn start_notices(core: Arc<GatewayCore>) {
    runtime::spawn(async move {
        loop {
            Timer::after(NOTICE_INTERVAL).await;
            let notices = {
                let mut outbox = core.limit_outbox.lock().expect("limit outbox lock");
                outbox.take(Instant::now())
            };
            send_notices(&core, notices).await;
        }
    });
}

async fn send_notices(core: &GatewayCore, notices: Vec<LimitNotice>) {
    for notices in notices.chunks(NOTICES_PER_MESSAGE) {
        let message = PeerMessage::RequestLimits(notices.to_vec());
        peer_exchange::broadcast(core, message).await;
    }
}

/// Returns the limits in force that this router is one of [`ANNOUNCERS`] to repeat.
fn announcements(core: &GatewayCore) -> Vec<LimitNotice> {
    let now = Instant::now();
    let limits = core.limits.lock().expect("limit lock");
    let divider = core.quota_divider.lock().expect("quota divider lock");
    let named = limits.named();
    let own = named.filter(|(endpoint, _)| divider.rank_for(endpoint, now) < ANNOUNCERS);
    own.map(|(endpoint, statement)| LimitNotice::new(endpoint.clone(), statement, now))
        .collect()
}

/// Records what a response that has just arrived says of the rate of requests that `endpoint`
/// takes; the request was sent at `asked_at`.
pub(crate) fn observe_response(
    core: &GatewayCore,
    endpoint: &EndpointId,
    head: &ResponseHead,
    asked_at: Instant,
) {
    let limit = match head.request_limit {
        StatedLimit::None => None,
        StatedLimit::Rate(rate) => Some(rate),
        StatedLimit::Invalid => {
            core.log.write(
                LogKind::Damaged,
                json!({"what": "request limit", "endpoint": endpoint, "request": head.request_id}),
            );
            return;
        }
    };
    let statement = LimitStatement {
        limit,
        asked_at,
        answered_at: Instant::now(),
    };
    if observe(core, endpoint, statement, None) {
        let mut outbox = core.limit_outbox.lock().expect("limit outbox lock");
        outbox.push(endpoint.clone(), statement);
    }
}

/// Applies limits that a peer tells of.
pub(crate) fn adopt(core: &GatewayCore, notices: &[LimitNotice], from: &RouterId) {
    let now = Instant::now();
    for notice in notices {
        let Some(statement) = notice.statement(now) else {
            continue;
        };
        observe(core, &notice.endpoint, statement, Some(from));
    }
}

/// Returns whether the statement has changed the limit of the endpoint.
fn observe(
    core: &GatewayCore,
    endpoint: &EndpointId,
    statement: LimitStatement,
    from: Option<&RouterId>,
) -> bool {
    let mut limits = core.limits.lock().expect("limit lock");
    let has_changed = limits.observe(endpoint, statement, Instant::now());
    drop(limits);
    if has_changed {
        let is_named = statement.limit.is_some();
        core.log.write(
            LogKind::Limit,
            json!({
                "endpoint": endpoint,
                "per_1000_s": statement.limit,
                "state": if is_named { "named" } else { "lifted" },
                "from": from,
            }),
        );
    }
    has_changed
}
