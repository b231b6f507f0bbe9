//! A request of a caller, as all parts of the gateway see it.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use hyper::Uri;
use jujuberoad::fleet::PoolKey;
use jujuberoad::ids::Milliseconds;
use jujuberoad::ids::Revision;
use jujuberoad::ids::TeamId;
use jujuberoad::serving::RouteSpec;
use jujuberoad::serving::ServingConfig;
use jujuberoad_node::backends::CallError;
use jujuberoad_node::backends::CallerHead;
use smol_str::SmolStr;

use crate::gateway_core::GatewayCore;
use crate::own_answer::OwnAnswer;
use crate::taken_target::NoTarget;
use crate::taken_target::TargetNeed;

/// Wait for a slot of a request that is late already; nobody on time waits behind it.
const LATE_WAIT: Duration = Duration::from_millis(0);
/// Part of the time that is left after which callers still come back.
const RETURN_SHARE: f64 = 0.3;
/// Shortest and longest time after which a refused caller is asked back.
const RETURN_AFTER: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(1_500));

/// One request with all that was found out about it at the door.
pub(crate) struct CallerRequest {
    pub(crate) id: SmolStr,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) head: CallerHead,
    pub(crate) route: RouteSpec,
    pub(crate) team: Option<TeamId>,
    pub(crate) priority: u32,
    pub(crate) pool: PoolKey,
    pub(crate) config_version: Revision,
    pub(crate) received_at: Instant,
    /// Time since the caller first asked, where it has been refused before.
    pub(crate) age_before_ms: Milliseconds,
    /// Moment at which the caller or the operator no longer wants an answer.
    pub(crate) deadline: Instant,
}

impl CallerRequest {
    /// Returns what the request needs to be sent.
    pub(crate) fn need(&self, core: &GatewayCore) -> TargetNeed {
        let objective_ms = self.route.objective_ms;
        let is_late = self.age_before_ms >= objective_ms.max(1);
        let wait = if is_late {
            LATE_WAIT
        } else {
            let latency = core.first_events.lock().expect("first event lock");
            let longest = latency.max_wait(&self.pool, objective_ms);
            longest.saturating_sub(Duration::from_millis(self.age_before_ms))
        };
        TargetNeed {
            pool: self.pool.clone(),
            // Those that can still be on time go before those that cannot.
            priority: 2 * self.priority + u32::from(is_late),
            prompt_tokens: self.head.prompt_tokens,
            give_up_at: self.deadline.min(self.received_at + wait),
            tried: Vec::new(),
            is_resumed: false,
        }
    }

    /// Returns how long the request has been here, in milliseconds.
    pub(crate) fn age_ms(&self) -> u64 {
        self.received_at.elapsed().as_millis() as u64
    }

    /// Returns when a caller that is refused now should come back: within the
    /// time for which it still waits, and not all at the same moment.
    pub(crate) fn return_at(&self) -> Instant {
        let now = Instant::now();
        let left = self.deadline.saturating_duration_since(now);
        let longest = left.mul_f64(RETURN_SHARE).min(RETURN_AFTER.1);
        let shortest = RETURN_AFTER.0.min(longest);
        now + shortest + (longest - shortest).mul_f64(fastrand::f64())
    }

    /// Returns the answer to a request whose last send did not run, after `runs`
    /// sends that may have.
    pub(crate) fn unrun_answer(&self, runs: u32, error: &CallError) -> OwnAnswer {
        if runs > 0 {
            return OwnAnswer::unknown(StatusCode::BAD_GATEWAY, error.to_string());
        }
        OwnAnswer::not_run(StatusCode::SERVICE_UNAVAILABLE, error.to_string())
            .with_retry_at(self.return_at())
    }

    /// Returns the answer to a request for which no target could be taken.
    pub(crate) fn refusal(&self, reason: NoTarget) -> OwnAnswer {
        let pool = &self.pool;
        let reason = format!("no endpoint of service {:?}: {reason}", pool.service);
        OwnAnswer::not_run(StatusCode::SERVICE_UNAVAILABLE, reason).with_retry_at(self.return_at())
    }
}

/// Returns when a caller of a router that has no configuration should come back:
/// late within its patience, since a store that is away stays so for seconds.
pub(crate) fn return_after_start(patience: Duration) -> Instant {
    let spread = 0.6 + 0.4 * fastrand::f64();
    Instant::now() + patience.mul_f64(RETURN_SHARE * spread)
}

/// A request that was refused at the door.
pub(crate) struct DoorRefusal {
    pub(crate) answer: OwnAnswer,
}

/// Finds the route and the team of a request.
pub(crate) fn admit(
    config: &ServingConfig,
    head: &CallerHead,
    host: &str,
    path: &str,
) -> Result<(RouteSpec, Option<TeamId>, u32), DoorRefusal> {
    let Some(route) = config.find_route(host, path) else {
        let reason = format!("no route for path {path:?} of host {host:?}");
        return Err(refuse(StatusCode::NOT_FOUND, reason));
    };
    let team = head.key.as_ref().and_then(|key| config.team_of(key));
    if team.is_none() && config.has_teams && !route.is_public {
        let reason = format!("route {:?} needs a key that a team holds", route.name);
        return Err(refuse(StatusCode::UNAUTHORIZED, reason));
    }
    let priority = team.and_then(|team| team.priority);
    let priority = priority.unwrap_or(route.priority);
    Ok((route.clone(), team.map(|team| team.team.clone()), priority))
}

fn refuse(status: StatusCode, reason: String) -> DoorRefusal {
    let answer = OwnAnswer::not_run(status, reason);
    DoorRefusal { answer }
}
