//! Proxies a request whose response is buffered before it is forwarded.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hyper::Response;
use hyper::StatusCode;
use jujuberoad_node::backends::CallError;
use jujuberoad_node::backends::CallStep;
use jujuberoad_node::http::ReplyBody;
use jujuberoad_node::http::full_body;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;

use crate::bounded_body::read_whole;
use crate::caller_request::CallerRequest;
use crate::endpoint_call;
use crate::gateway_core::GatewayCore;
use crate::local_reply::LocalReply;
use crate::relay_call;
use crate::relay_call::RelayEnd;
use crate::reserved_target::ReservedTarget;
use crate::run_watch::RunWatch;
use crate::target_paces;

/// Largest response that is buffered; the store's largest values are 1 MB.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Maximum attempts per request that are known not to have executed it.
const MAX_UNEXECUTED_ATTEMPTS: u32 = 3;
/// Time for which an endpoint that is unreachable for a buffered request is avoided. It
/// is short because the services of such requests have few endpoints.
const BUFFERED_UNREACHABLE_COOLDOWN: Duration = Duration::from_millis(1_000);

/// One proxied request with its attempts.
pub(crate) struct BufferedCall {
    core: Arc<GatewayCore>,
    request: Arc<CallerRequest>,
    /// Attempts in which the request may have been executed.
    runs: u32,
    unexecuted_attempts: u32,
    waited_ms: u64,
}

enum AttemptEnd {
    Answer(Box<Response<ReplyBody>>),
    NotRun(CallError),
    MayHaveRun(CallError),
}

impl BufferedCall {
    pub(crate) fn new(core: Arc<GatewayCore>, request: CallerRequest) -> Self {
        Self {
            runs: request.earlier_runs(),
            core,
            request: Arc::new(request),
            unexecuted_attempts: 0,
            waited_ms: 0,
        }
    }

    /// Returns the response of an endpoint, or a local reply.
    pub(crate) async fn run(mut self) -> Response<ReplyBody> {
        let mut query = self.request.target_query(&self.core);
        let mut failure: Option<Response<ReplyBody>> = None;
        loop {
            if let Some(answer) = self.request.quarantine_reply(&self.core, self.own_runs()) {
                return self.fail(answer);
            }
            if self.core.is_severed(&query.pool.service)
                && let Some(response) = self.relay().await
            {
                return response;
            }
            let reserved = match ReservedTarget::reserve(&self.core, &query).await {
                Ok(reserved) => reserved,
                Err(_)
                    if self.core.misses_most(&query.pool)
                        && let Some(response) = self.relay().await =>
                {
                    return response;
                }
                Err(reason) if failure.is_some() => {
                    let response = failure.take().expect("a stored failure response");
                    return self
                        .end_answered(response, &format!("no other endpoint available: {reason}"));
                }
                Err(reason) if self.own_runs() == 0 => {
                    return self.fail(self.request.refusal(&self.core, reason));
                }
                Err(reason) => {
                    let reason = format!("no other endpoint available: {reason}");
                    let answer = LocalReply::unknown(StatusCode::BAD_GATEWAY, reason);
                    return self.fail(answer);
                }
            };
            // The request may have waited for its slot.
            if let Some(answer) = self.request.quarantine_reply(&self.core, self.own_runs()) {
                return self.fail(answer);
            }
            self.waited_ms = self.request.age_ms();
            query.record_try(&reserved.target);
            let end = self.attempt(&reserved).await;
            let endpoint = reserved.target.endpoint.clone();
            drop(reserved);
            match end {
                AttemptEnd::Answer(response) => {
                    self.runs += 1;
                    let is_failure = response.status().is_server_error();
                    if !(is_failure
                        && self.try_acquire_retry("endpoint returned a server error", &endpoint))
                    {
                        return self.end_answered(*response, &endpoint);
                    }
                    failure = Some(*response);
                }
                AttemptEnd::NotRun(error) => {
                    self.unexecuted_attempts += 1;
                    let is_allowed = !error.was_sent || self.core.try_take_retry();
                    if self.unexecuted_attempts >= MAX_UNEXECUTED_ATTEMPTS || !is_allowed {
                        if !error.was_sent
                            && let Some(response) = self.relay().await
                        {
                            return response;
                        }
                        let answer = self.request.not_run_reply(self.own_runs(), &error);
                        return self.fail(answer);
                    }
                    self.record_retry("not run", &endpoint, &error.to_string());
                }
                AttemptEnd::MayHaveRun(error) => {
                    self.runs += 1;
                    if !self.try_acquire_retry(&error.to_string(), &endpoint) {
                        if let Some(failure) = failure.take() {
                            return self.end_answered(failure, &endpoint);
                        }
                        return self.fail(self.request.unknown_reply(&error));
                    }
                }
            }
        }
    }

    /// Returns the number of attempts of this router that may have executed the request.
    fn own_runs(&self) -> u32 {
        self.runs - self.request.earlier_runs()
    }

    /// Sends the request through a peer; returns `None` if it may not be or none took it.
    async fn relay(&mut self) -> Option<Response<ReplyBody>> {
        let attempts = self.request.attempts_left(self.runs);
        if attempts == 0 || !self.request.may_be_relayed() {
            return None;
        }
        let relayed = relay_call::relay(&self.core, &self.request, self.runs, None);
        let error = match relayed.await {
            RelayEnd::NoPeer => return None,
            RelayEnd::Lost(error) => error,
            RelayEnd::Answered(relayed) => {
                let (parts, body) = relayed.response.into_parts();
                let deadline = self.request.deadline;
                let memory = &self.core.caller_memory.bodies;
                match read_whole(memory, body, MAX_ANSWER_BYTES, relayed.address, deadline).await {
                    Ok(body) => {
                        self.runs += attempts;
                        let response = Response::from_parts(parts, full_body(body));
                        return Some(self.end_answered(response, &relayed.permit.peer));
                    }
                    Err(error) => error,
                }
            }
        };
        // The peer may have made all attempts.
        self.runs += attempts;
        Some(self.fail(self.request.unknown_reply(&error)))
    }

    async fn attempt(&self, reserved: &ReservedTarget) -> AttemptEnd {
        let address = reserved.target.address;
        let sent_at = Instant::now();
        let mut run = RunWatch::new(&self.core, &self.request, &reserved.target.endpoint);
        let answer = match endpoint_call::send(&self.core, &self.request, reserved, None).await {
            Ok(answer) => answer,
            Err(error) if !error.was_sent => {
                self.core
                    .observe_failure(&self.request.pool.service, &reserved.target.endpoint);
                self.core
                    .mark_unreachable_for(&reserved.target.endpoint, BUFFERED_UNREACHABLE_COOLDOWN);
                return AttemptEnd::NotRun(error);
            }
            Err(error) => {
                run.record_error(&error);
                self.avoid_if_flooding(reserved, &error);
                return AttemptEnd::MayHaveRun(error);
            }
        };
        run.record_contact(Instant::now());
        let service = &self.request.pool.service;
        self.core
            .observe_contact(service, &reserved.target.endpoint, address);
        let status = answer.response.status();
        if status == StatusCode::MISDIRECTED_REQUEST {
            self.core.handle_misdirected(&reserved.target);
        }
        if answer.head.was_not_run {
            let message = format!("status {status}, not run");
            let error = CallError::sent(CallStep::Decode, address, message);
            return AttemptEnd::NotRun(error);
        }
        let (parts, body) = answer.response.into_parts();
        let memory = &self.core.caller_memory.bodies;
        let read = read_whole(
            memory,
            body,
            MAX_ANSWER_BYTES,
            address,
            self.request.deadline,
        );
        let body = match read.await {
            Ok(body) => body,
            Err(error) => {
                run.record_error(&error);
                self.avoid_if_flooding(reserved, &error);
                return AttemptEnd::MayHaveRun(error);
            }
        };
        run.record_complete();
        if !status.is_server_error() {
            let target = &reserved.target;
            target_paces::observe_answer(&self.core, &self.request, target, sent_at);
        }
        let response = Response::from_parts(parts, full_body(body));
        AttemptEnd::Answer(Box::new(response))
    }

    /// Avoids an endpoint for a while that sent bytes without end in place of a response.
    fn avoid_if_flooding(&self, reserved: &ReservedTarget, error: &CallError) {
        if error.step == CallStep::Limit {
            self.core
                .mark_unreachable_for(&reserved.target.endpoint, BUFFERED_UNREACHABLE_COOLDOWN);
        }
    }

    /// Takes a retry from the budget if the request may be sent to another endpoint;
    /// returns whether it was taken.
    fn try_acquire_retry(&self, reason: &str, endpoint: &str) -> bool {
        let is_allowed = self.request.route.is_repeatable()
            && self.runs < self.request.route.max_attempts
            && Instant::now() < self.request.deadline
            && self.core.try_take_retry();
        if is_allowed {
            self.record_retry("repeatable", endpoint, reason);
        }
        is_allowed
    }

    fn record_retry(&self, why: &str, endpoint: &str, reason: &str) {
        self.core.metrics.retries.inc();
        self.core.log.write(
            LogKind::Retry,
            json!({
                "request": self.request.id,
                "route": self.request.route.name,
                "from": endpoint,
                "because": why,
                "reason": reason,
                "runs": self.runs,
                "fingerprint": self.request.fingerprint,
            }),
        );
    }

    fn end_answered(&self, response: Response<ReplyBody>, endpoint: &str) -> Response<ReplyBody> {
        let request = &self.request;
        self.core
            .metrics
            .record_end(&request.route, "answered", request.age_ms());
        self.core.log.write(
            LogKind::Answered,
            json!({
                "request": request.id,
                "route": request.route.name,
                "team": request.team,
                "endpoint": endpoint,
                "status": response.status().as_u16(),
                "runs": self.runs,
                "waited_ms": self.waited_ms,
                "total_ms": request.age_ms(),
                "config": request.config_version,
            }),
        );
        response
    }

    fn fail(&self, answer: LocalReply) -> Response<ReplyBody> {
        let request = &self.request;
        record_local_end(&self.core, request, &answer, self.runs);
        answer.into_response(&self.core, &request.id)
    }
}

/// Logs and counts a request that ends with a local reply.
pub(crate) fn record_local_end(
    core: &GatewayCore,
    request: &CallerRequest,
    answer: &LocalReply,
    runs: u32,
) {
    let view = core.fleet.view();
    let kind = if runs == 0 {
        LogKind::Refused
    } else {
        LogKind::Failed
    };
    let outcome = answer.outcome.to_string();
    core.metrics
        .record_end(&request.route, &outcome, request.age_ms());
    let registry_age = view
        .registry_confirmed_at
        .map(|at| at.elapsed().as_millis() as u64);
    let targets = view.targets.pool(&request.pool);
    let avoided = core.count_avoided(targets);
    let mut line = json!({
        "request": request.id,
        "route": request.route.name,
        "team": request.team,
        "status": answer.status.as_u16(),
        "outcome": outcome,
        "reason": answer.reason,
        "runs": runs,
        "total_ms": request.age_ms(),
        "fingerprint": request.fingerprint,
        "prompt_parts": request.head.shared_prompt_parts[..],
        "config": request.config_version,
        "registry": view.registry_version,
        "registry_age_ms": registry_age,
        "targets": targets.len(),
        "avoided": avoided,
        "waiting": core.queue.len(),
    });
    if let Some(wait) = answer.expected_wait {
        let until_room = wait.room_at.saturating_duration_since(Instant::now());
        line["expected_wait_ms"] = json!(until_room.as_millis() as u64);
        line["ahead"] = json!(wait.ahead);
        line["finished_per_s"] = json!(wait.finished_per_second);
    }
    core.log.write(kind, line);
}
