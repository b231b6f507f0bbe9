//! An admitted request from a caller.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use hyper::Uri;
use jujuberoad::admission::overload;
use jujuberoad::admission::overload::WaitingRequest;
use jujuberoad::fleet::PoolKey;
use jujuberoad::ids::Fingerprint;
use jujuberoad::ids::Milliseconds;
use jujuberoad::ids::PromptPartId;
use jujuberoad::ids::Revision;
use jujuberoad::ids::TeamId;
use jujuberoad::peer::RelayHead;
use jujuberoad::serving::RouteSpec;
use jujuberoad::serving::ServingConfig;
use jujuberoad_node::backends::CallError;
use jujuberoad_node::backends::CallStep;
use jujuberoad_node::backends::CallerHead;
use jujuberoad_node::backends::ResponseHead;
use smol_str::SmolStr;

use crate::gateway_core::GatewayCore;
use crate::local_reply::LocalReply;
use crate::reserved_target::ReserveError;
use crate::reserved_target::TargetQuery;

/// Time that a request which already missed its objective may wait for a slot: none,
/// so that it never delays requests that can still meet theirs.
const LATE_QUEUE_WAIT: Duration = Duration::from_millis(0);
/// Longest retry delay as a share of the caller's remaining time, so that the retry can
/// still succeed.
const RETRY_AFTER_SHARE: f64 = 0.3;
/// Shortest and longest delay that a refused caller is asked to wait before a retry.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(1_500));

/// Statuses that callers take for "not run", now and later.
const PROMISE_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// A request with its route, team, priority and deadline as determined by admission.
pub(crate) struct CallerRequest {
    pub(crate) id: SmolStr,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) head: CallerHead,
    pub(crate) fingerprint: Fingerprint,
    /// The fingerprint and the shared parts of the prompt, which crashes are charged to.
    pub(crate) crash_parts: Arc<[PromptPartId]>,
    pub(crate) route: RouteSpec,
    pub(crate) team: Option<TeamId>,
    pub(crate) priority: u32,
    pub(crate) pool: PoolKey,
    pub(crate) config_version: Revision,
    pub(crate) received_at: Instant,
    /// Estimated time since the caller's first attempt; 0 if this is the first one.
    pub(crate) age_at_arrival_ms: Milliseconds,
    /// When the timeout of the caller or of the route expires.
    pub(crate) deadline: Instant,
    /// State at the router that relayed the request, if one did.
    pub(crate) relay_head: Option<RelayHead>,
    /// Whether this router or the one that relayed the request has counted it for the retry
    /// budget.
    pub(crate) is_counted: bool,
}

impl CallerRequest {
    /// Returns the criteria by which a target is selected.
    pub(crate) fn target_query(&self, core: &GatewayCore) -> TargetQuery {
        let objective_ms = self.route.objective_ms;
        let is_late = self.age_at_arrival_ms >= objective_ms.max(1);
        let wait = if is_late {
            LATE_QUEUE_WAIT
        } else {
            let latency = core.first_events.lock().expect("first event lock");
            let longest = latency.max_wait(&self.pool, objective_ms);
            longest.saturating_sub(Duration::from_millis(self.age_at_arrival_ms))
        };
        // Requests that can still meet their objective precede late ones.
        let priority = 2 * self.priority + u32::from(is_late);
        let queue_deadline = self.deadline.min(self.received_at + wait);
        let prompt_tokens = self.head.prompt_tokens;
        let pool = self.pool.clone();
        if !core.orders_waiting() {
            return TargetQuery::new(pool, priority, prompt_tokens, queue_deadline);
        }
        // Endpoints that rest or limit their rate for longer have no room to wait for; a late
        // request waits only for slots.
        let waiting = self.waiting_request(core);
        let queue_deadline = self.deadline.min(waiting.late_at);
        TargetQuery::new(pool, priority, prompt_tokens, queue_deadline).with_order(waiting)
    }

    /// Returns the place of the request in the order for overloaded fleets.
    fn waiting_request(&self, core: &GatewayCore) -> WaitingRequest {
        let objective_ms = self.route.objective_ms;
        let latency = core.first_events.lock().expect("first event lock");
        let latency = latency.usual_latency(&self.pool, objective_ms);
        let left_ms = objective_ms.saturating_sub(self.age_at_arrival_ms);
        let on_time_by = self.received_at + Duration::from_millis(left_ms);
        let before = |end: Instant| end.checked_sub(latency).unwrap_or(end);
        WaitingRequest {
            priority: self.priority,
            team: self.team.clone(),
            late_at: before(on_time_by).max(self.received_at),
            give_up_at: before(self.deadline),
            is_returning: self.age_at_arrival_ms > 0,
        }
    }

    /// Returns the number of attempts that the route allows after `runs` ones that may have
    /// executed the request.
    pub(crate) fn attempts_left(&self, runs: u32) -> u32 {
        if self.route.is_repeatable() {
            self.route.max_attempts.saturating_sub(runs)
        } else {
            u32::from(runs == 0)
        }
    }

    /// Returns the number of attempts at another router that may have executed the request.
    pub(crate) fn earlier_runs(&self) -> u32 {
        self.relay_head.as_ref().map_or(0, |head| head.runs)
    }

    /// Returns whether the request may go through a peer; it is relayed only once.
    pub(crate) fn may_be_relayed(&self) -> bool {
        self.relay_head.is_none()
    }

    /// Returns an error for a response of `peer` that the caller would take for "not run"
    /// although its endpoint does not say so. An endpoint may answer with such a status after it
    /// has run the request.
    pub(crate) fn check_refusal(
        &self,
        status: StatusCode,
        head: &ResponseHead,
        peer: SocketAddr,
    ) -> Result<(), CallError> {
        let is_unproven = PROMISE_STATUSES.contains(&status) && !head.was_not_run;
        if !is_unproven || self.route.is_repeatable() {
            return Ok(());
        }
        let message = format!("status {status} without the statement that the request was not run");
        Err(CallError::sent(CallStep::Decode, peer, message))
    }

    /// Returns the time since the request arrived, in milliseconds.
    pub(crate) fn age_ms(&self) -> u64 {
        self.received_at.elapsed().as_millis() as u64
    }

    /// Returns when a caller that is refused now should retry.
    pub(crate) fn pick_retry_at(&self) -> Instant {
        pick_retry_at(self.deadline)
    }

    /// Returns the reply to a request whose last attempt was not executed, after `runs`
    /// attempts that may have been.
    pub(crate) fn not_run_reply(&self, runs: u32, error: &CallError) -> LocalReply {
        if runs > 0 {
            return LocalReply::unknown(StatusCode::BAD_GATEWAY, error.to_string());
        }
        LocalReply::not_run(StatusCode::SERVICE_UNAVAILABLE, error.to_string())
            .with_retry_at(self.pick_retry_at())
    }

    /// Returns the reply to a request that may have been executed by an attempt that failed.
    pub(crate) fn unknown_reply(&self, error: &CallError) -> LocalReply {
        let status = if Instant::now() >= self.deadline {
            StatusCode::GATEWAY_TIMEOUT
        } else {
            StatusCode::BAD_GATEWAY
        };
        LocalReply::unknown(status, error.to_string())
    }

    /// Returns the reply to a request that may not be sent once more, after `runs` attempts that
    /// may have executed it.
    pub(crate) fn retry_refusal(&self, runs: u32, reason: &str) -> LocalReply {
        if runs > 0 {
            return LocalReply::unknown(StatusCode::BAD_GATEWAY, reason);
        }
        LocalReply::not_run(StatusCode::SERVICE_UNAVAILABLE, reason)
            .with_retry_at(self.pick_retry_at())
    }

    /// Returns the reply to a request that is quarantined, itself or by its prompt, or `None` if
    /// it is not; `runs` attempts may have been executed.
    pub(crate) fn quarantine_reply(&self, core: &GatewayCore, runs: u32) -> Option<LocalReply> {
        let quarantine = core.poison.find_quarantine(&self.crash_parts)?;
        let crashes = quarantine.crashes;
        let reason = if quarantine.parts.contains(&self.fingerprint) {
            format!("{crashes} endpoints crashed on this request")
        } else {
            let parts: Vec<&str> = quarantine.parts.iter().map(|part| part.as_str()).collect();
            let parts = parts.join(", ");
            format!(
                "{crashes} endpoints crashed on requests with these parts of their prompts: {parts}"
            )
        };
        if runs > 0 {
            return Some(LocalReply::unknown(StatusCode::BAD_GATEWAY, reason));
        }
        let reply = LocalReply::not_run(StatusCode::SERVICE_UNAVAILABLE, reason);
        Some(reply.with_retry_at(quarantine.until))
    }

    /// Returns the reply to a request for which no target could be reserved.
    pub(crate) fn refusal(&self, core: &GatewayCore, reason: ReserveError) -> LocalReply {
        let pool = &self.pool;
        let retry_at = match reason {
            ReserveError::Resting(until) => until,
            ReserveError::Overloaded(estimate) => {
                overload::retry_at(estimate, self.deadline, fastrand::f64(), Instant::now())
            }
            _ => self.pick_retry_at(),
        };
        let message = format!("no endpoint of service {:?}: {reason}", pool.service);
        let mut reply =
            LocalReply::not_run(StatusCode::SERVICE_UNAVAILABLE, message).with_retry_at(retry_at);
        if let ReserveError::Overloaded(estimate) = reason {
            reply.expected_wait = estimate;
        }
        if self.relay_head.is_some() && core.misses_most(pool) {
            return reply.for_other_router();
        }
        reply
    }
}

/// Returns when a caller that is refused now should retry: early enough for its `deadline`,
/// with jitter so that callers do not retry at the same moment.
pub(crate) fn pick_retry_at(deadline: Instant) -> Instant {
    let now = Instant::now();
    let left = deadline.saturating_duration_since(now);
    let longest = left.mul_f64(RETRY_AFTER_SHARE).min(RETRY_AFTER_RANGE.1);
    let shortest = RETRY_AFTER_RANGE.0.min(longest);
    now + shortest + (longest - shortest).mul_f64(fastrand::f64())
}

/// Returns when a caller should retry while this router has no configuration. The delay
/// is not capped by [`RETRY_AFTER_RANGE`], because a store outage lasts for seconds.
pub(crate) fn retry_at_unconfigured(caller_timeout: Duration) -> Instant {
    let spread = 0.6 + 0.4 * fastrand::f64();
    Instant::now() + caller_timeout.mul_f64(RETRY_AFTER_SHARE * spread)
}

/// The reply to a request that failed admission.
pub(crate) struct AdmissionRefusal {
    pub(crate) answer: LocalReply,
}

/// Returns the route, the team and the priority of a request.
pub(crate) fn admit(
    config: &ServingConfig,
    head: &CallerHead,
    host: &str,
    path: &str,
) -> Result<(RouteSpec, Option<TeamId>, u32), AdmissionRefusal> {
    let Some(route) = config.find_route(host, path) else {
        let reason = format!("no route for path {path:?} of host {host:?}");
        return Err(refuse(StatusCode::NOT_FOUND, reason));
    };
    let team = head.api_key.as_ref().and_then(|key| config.team_of(key));
    if team.is_none() && config.has_teams && !route.is_public {
        let reason = format!("route {:?} needs a key that a team holds", route.name);
        return Err(refuse(StatusCode::UNAUTHORIZED, reason));
    }
    let priority = team.and_then(|team| team.priority);
    let priority = priority.unwrap_or(route.priority);
    Ok((route.clone(), team.map(|team| team.team.clone()), priority))
}

fn refuse(status: StatusCode, reason: String) -> AdmissionRefusal {
    let answer = LocalReply::not_run(status, reason);
    AdmissionRefusal { answer }
}
