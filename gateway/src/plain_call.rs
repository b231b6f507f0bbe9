//! A request whose answer is read as a whole before it is passed on.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Response;
use hyper::StatusCode;
use jujuberoad_node::backends::CallError;
use jujuberoad_node::backends::CallStep;
use jujuberoad_node::http::ReplyBody;
use jujuberoad_node::http::full_body;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;

use crate::call_deadline::by_deadline;
use crate::caller_request::CallerRequest;
use crate::endpoint_call;
use crate::gateway_core::GatewayCore;
use crate::own_answer::OwnAnswer;
use crate::taken_target::TakenTarget;

/// Largest answer that is held, in bytes; the store's largest values are 1 MB.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Times that a request which certainly has not run is sent elsewhere.
const MAX_UNRUN_SENDS: u32 = 3;
/// Time for which a plain endpoint that could not be reached is left alone; a
/// few endpoints carry a service, so each is tried again soon.
const PLAIN_LOST_FOR: Duration = Duration::from_millis(1_000);

/// Carries one request to its answer.
pub(crate) struct PlainCall {
    core: Arc<GatewayCore>,
    request: CallerRequest,
    /// Sends after which the request may have run.
    runs: u32,
    unrun_sends: u32,
    waited_ms: u64,
}

enum AttemptEnd {
    Answer(Box<Response<ReplyBody>>),
    NotRun(CallError),
    MayHaveRun(CallError),
}

impl PlainCall {
    pub(crate) fn new(core: Arc<GatewayCore>, request: CallerRequest) -> Self {
        Self {
            core,
            request,
            runs: 0,
            unrun_sends: 0,
            waited_ms: 0,
        }
    }

    /// Returns the answer of an endpoint, or ours.
    pub(crate) async fn run(mut self) -> Response<ReplyBody> {
        let mut need = self.request.need(&self.core);
        let mut failure: Option<Response<ReplyBody>> = None;
        loop {
            let taken = match TakenTarget::take(&self.core, &need).await {
                Ok(taken) => taken,
                Err(reason) if failure.is_some() => {
                    let response = failure.take().expect("a failure that was kept");
                    return self.end_answered(response, &format!("none other: {reason}"));
                }
                Err(reason) if self.runs == 0 => return self.end_own(self.request.refusal(reason)),
                Err(reason) => {
                    let reason = format!("no second endpoint: {reason}");
                    let answer = OwnAnswer::unknown(StatusCode::BAD_GATEWAY, reason);
                    return self.end_own(answer);
                }
            };
            self.waited_ms = self.request.age_ms();
            need.tried.push(taken.target.endpoint.clone());
            let end = self.attempt(&taken).await;
            let endpoint = taken.target.endpoint.clone();
            drop(taken);
            match end {
                AttemptEnd::Answer(response) => {
                    self.runs += 1;
                    let is_failure = response.status().is_server_error();
                    if !(is_failure && self.may_run_again("endpoint failed", &endpoint)) {
                        return self.end_answered(*response, &endpoint);
                    }
                    failure = Some(*response);
                }
                AttemptEnd::NotRun(error) => {
                    self.unrun_sends += 1;
                    let is_allowed = !error.was_sent || self.core.try_retry();
                    if self.unrun_sends >= MAX_UNRUN_SENDS || !is_allowed {
                        let answer = self.request.unrun_answer(self.runs, &error);
                        return self.end_own(answer);
                    }
                    self.note_retry("not run", &endpoint, &error.to_string());
                }
                AttemptEnd::MayHaveRun(error) => {
                    self.runs += 1;
                    if !self.may_run_again(&error.to_string(), &endpoint) {
                        if let Some(failure) = failure.take() {
                            return self.end_answered(failure, &endpoint);
                        }
                        let status = if Instant::now() >= self.request.deadline {
                            StatusCode::GATEWAY_TIMEOUT
                        } else {
                            StatusCode::BAD_GATEWAY
                        };
                        let answer = OwnAnswer::unknown(status, error.to_string());
                        return self.end_own(answer);
                    }
                }
            }
        }
    }

    async fn attempt(&self, taken: &TakenTarget) -> AttemptEnd {
        let address = taken.target.address;
        let answer = match endpoint_call::send(&self.core, &self.request, taken, None).await {
            Ok(answer) => answer,
            Err(error) if !error.was_sent => {
                self.core
                    .mark_lost_for(&taken.target.endpoint, PLAIN_LOST_FOR);
                return AttemptEnd::NotRun(error);
            }
            Err(error) => return AttemptEnd::MayHaveRun(error),
        };
        let status = answer.response.status();
        if status == StatusCode::MISDIRECTED_REQUEST {
            self.core.note_misdirected(&taken.target);
        }
        if answer.head.was_not_run {
            let message = format!("status {status}, not run");
            let error = CallError::sent(CallStep::Decode, address, message);
            return AttemptEnd::NotRun(error);
        }
        let (parts, body) = answer.response.into_parts();
        let read = Limited::new(body, MAX_ANSWER_BYTES).collect();
        let body = match by_deadline(self.request.deadline, read).await {
            Some(Ok(body)) => body.to_bytes(),
            Some(Err(error)) => {
                return AttemptEnd::MayHaveRun(CallError::sent(CallStep::Read, address, error));
            }
            None => {
                let error = CallError::sent(CallStep::Read, address, "deadline passed");
                return AttemptEnd::MayHaveRun(error);
            }
        };
        let response = Response::from_parts(parts, full_body(body));
        AttemptEnd::Answer(Box::new(response))
    }

    /// Tells whether the request may run at one more endpoint, and pays for that.
    fn may_run_again(&self, reason: &str, endpoint: &str) -> bool {
        let is_allowed = self.request.route.is_repeatable()
            && self.runs < self.request.route.max_attempts
            && Instant::now() < self.request.deadline
            && self.core.try_retry();
        if is_allowed {
            self.note_retry("repeatable", endpoint, reason);
        }
        is_allowed
    }

    fn note_retry(&self, why: &str, endpoint: &str, reason: &str) {
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
            }),
        );
    }

    fn end_answered(&self, response: Response<ReplyBody>, endpoint: &str) -> Response<ReplyBody> {
        let request = &self.request;
        self.core
            .metrics
            .note_end(&request.route, "answered", request.age_ms());
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

    fn end_own(&self, answer: OwnAnswer) -> Response<ReplyBody> {
        let request = &self.request;
        note_own_end(&self.core, request, &answer, self.runs);
        answer.into_response(&self.core, &request.id)
    }
}

/// Logs and counts a request that ends with an answer of the gateway's own.
pub(crate) fn note_own_end(
    core: &GatewayCore,
    request: &CallerRequest,
    answer: &OwnAnswer,
    runs: u32,
) {
    let view = core.board.view();
    let kind = if runs == 0 {
        LogKind::Refused
    } else {
        LogKind::Failed
    };
    let outcome = answer.outcome.to_string();
    core.metrics
        .note_end(&request.route, &outcome, request.age_ms());
    let registry_age = view
        .registry_seen_at
        .map(|at| at.elapsed().as_millis() as u64);
    core.log.write(
        kind,
        json!({
            "request": request.id,
            "route": request.route.name,
            "team": request.team,
            "status": answer.status.as_u16(),
            "outcome": outcome,
            "reason": answer.reason,
            "runs": runs,
            "total_ms": request.age_ms(),
            "config": request.config_version,
            "registry": view.registry_version,
            "registry_age_ms": registry_age,
            "targets": view.targets.pool(&request.pool).len(),
            "waiting": core.queue.len(),
        }),
    );
}
