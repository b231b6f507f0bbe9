//! Runs a request to a plain service: claim, attempts, retries and the response.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use jujuberoad::claims::ClaimAnswer;
use jujuberoad::claims::ClaimKey;
use jujuberoad::claims::ClaimReply;
use jujuberoad::claims::MAX_STORED_ANSWER_BYTES;
use jujuberoad::config::ServiceSpec;
use jujuberoad::ids::Nonce;
use jujuberoad::ids::TargetId;
use jujuberoad::outcome::Outcome;
use jujuberoad::routing::AttemptHistory;
use jujuberoad::routing::ChoiceHint;
use jujuberoad_node::http::ReplyBody;
use jujuberoad_node::http::full_body;
use jujuberoad_node::http::read_whole_body;
use spdlog::info;

use crate::caller_request::CallerRequest;
use crate::caller_request::deadline_after;
use crate::claim_coordinator::ClaimCoordinator;
use crate::held_slot::HeldSlot;
use crate::problem_reply::OUTCOME_HEADER;
use crate::problem_reply::ProblemReply;
use crate::problem_reply::REQUEST_HEADER;
use crate::router_core::RouterCore;
use crate::slot_demand::SlotDemand;
use crate::target_attempt::AttemptError;
use crate::target_attempt::ErrorReply;
use crate::target_attempt::REFUSED_HEADER;
use crate::target_attempt::acquire_valid_slot;
use crate::target_attempt::decide_retry;
use crate::target_attempt::fail_attempt;

/// Request header with the caller's key for a request that must run at most once.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Request headers that are forwarded to the service.
const FORWARDED_HEADERS: [&str; 5] = [
    "accept",
    "accept-language",
    "authorization",
    "content-type",
    IDEMPOTENCY_KEY_HEADER,
];
/// Largest response, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Timeout for claiming an idempotency key.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A request to a plain service.
pub(crate) struct ServiceCall {
    core: Arc<RouterCore>,
    request: CallerRequest,
    service: ServiceSpec,
}

/// A complete response of an endpoint.
struct ServiceResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// An idempotency key that has been claimed for this request.
#[derive(Clone, Copy)]
struct HeldClaim {
    key: ClaimKey,
    nonce: Nonce,
}

impl ServiceCall {
    pub(crate) fn new(core: Arc<RouterCore>, request: CallerRequest, service: ServiceSpec) -> Self {
        Self {
            core,
            request,
            service,
        }
    }

    /// Runs the request and returns its response.
    pub(crate) async fn run(&self) -> Response<ReplyBody> {
        self.core.scheduler.earn_retry();
        let claim = match self.claim_key().await {
            Ok(claim) => claim,
            Err(response) => return response,
        };
        // A disconnect of the caller must not cancel a request that may not be repeated,
        // so `CallerApi` runs this in a separate task.
        let result = self.run_attempts().await;
        if let Some(claim) = claim {
            let answer = claim_answer(&result);
            ClaimCoordinator::complete_claim(&self.core, claim.key, claim.nonce, answer).await;
        }
        match result {
            Ok(response) => self.success_response(response),
            Err(problem) => self.error_response(problem),
        }
    }

    fn is_repeatable(&self) -> bool {
        let is_safe = matches!(
            self.request.method,
            Method::GET | Method::HEAD | Method::OPTIONS
        );
        is_safe || self.service.repeatable
    }

    /// Claims the idempotency key, if the request needs and has one. The error is the
    /// response to send instead of running the request.
    async fn claim_key(&self) -> Result<Option<HeldClaim>, Response<ReplyBody>> {
        if self.is_repeatable() {
            return Ok(None);
        }
        let Some(key) = self.request.headers.get(IDEMPOTENCY_KEY_HEADER) else {
            return Ok(None);
        };
        let key = key
            .to_str()
            .ok()
            .filter(|key| !key.is_empty() && key.len() <= MAX_KEY_BYTES);
        let Some(key) = key else {
            let detail = format!(
                "header {IDEMPOTENCY_KEY_HEADER:?}: expected 1 to {MAX_KEY_BYTES} characters"
            );
            return Err(self.error_response(ProblemReply::not_run(StatusCode::BAD_REQUEST, detail)));
        };
        let key = ClaimKey::from_parts(&self.request.team.team, &self.service.service, key);
        let nonce = fastrand::u64(..);
        let deadline = self.request.deadline.min(Instant::now() + CLAIM_TIMEOUT);
        match self
            .core
            .claims
            .claim(&self.core, key, nonce, deadline)
            .await
        {
            Some(ClaimReply::Granted) => Ok(Some(HeldClaim { key, nonce })),
            Some(ClaimReply::AlreadyClaimed(answer)) => Err(self.repeated_response(answer)),
            Some(ClaimReply::NotHome) | None => {
                let detail = "the idempotency key could not be claimed in time";
                let problem = ProblemReply::not_run(StatusCode::SERVICE_UNAVAILABLE, detail);
                let not_run = ClaimAnswer {
                    outcome: Outcome::NotRun,
                    status: problem.status.as_u16(),
                    body: Vec::new(),
                    is_truncated: false,
                };
                ClaimCoordinator::complete_claim(&self.core, key, nonce, not_run).await;
                let retry_at = deadline_after(Instant::now(), 1_000);
                Err(self.error_response(problem.with_retry_at(retry_at)))
            }
        }
    }

    async fn run_attempts(&self) -> Result<ServiceResponse, ProblemReply> {
        let mut history = AttemptHistory::new(self.is_repeatable(), self.request.deadline);
        let mut avoid = None;
        loop {
            let error = match self.attempt(avoid.as_ref()).await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            match decide_retry(&self.core.scheduler, &self.request.id, &mut history, error) {
                Ok(target) => avoid = Some(target),
                Err(ErrorReply::Problem(problem)) => return Err(problem),
                // Not reached: error statuses of the service are complete responses.
                Err(ErrorReply::Answered(_)) => {
                    let detail = "the endpoint refused the request";
                    return Err(ProblemReply::not_run(StatusCode::BAD_GATEWAY, detail));
                }
            }
        }
    }

    async fn attempt(&self, avoid: Option<&TargetId>) -> Result<ServiceResponse, AttemptError> {
        let slot = self.acquire_slot(avoid).await?;
        let request = self.target_request(&slot);
        let request =
            request.map_err(|error| fail_attempt(&slot, false, false, error.to_string()))?;
        let address = slot.target().address;
        let deadline = self.request.deadline;
        let sent = self
            .core
            .data_path
            .send(address, request, avoid.is_some(), deadline)
            .await;
        let response =
            sent.map_err(|error| fail_attempt(&slot, error.was_sent, false, error.to_string()))?;
        if let Some(refused) = response.headers().get(REFUSED_HEADER) {
            let message = format!("the endpoint refused the request: {refused:?}");
            return Err(fail_attempt(&slot, true, true, message));
        }
        let (head, body) = response.into_parts();
        let is_own = head
            .headers
            .get(REQUEST_HEADER)
            .is_none_or(|id| *id == *self.request.id);
        if !is_own {
            let message = "the response belongs to another request".to_owned();
            return Err(fail_attempt(&slot, true, false, message));
        }
        let timer = async {
            smol::Timer::at(deadline).await;
            Err("the deadline passed before the response was complete".to_owned())
        };
        let read = async {
            let read = read_whole_body(body, MAX_RESPONSE_BYTES);
            read.await.map_err(|error| error.to_string())
        };
        let body = read
            .or(timer)
            .await
            .map_err(|message| fail_attempt(&slot, true, false, message))?;
        let target = &slot.target().target;
        info!(
            "end: request={} target={target} outcome=answered",
            self.request.id
        );
        Ok(ServiceResponse {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    async fn acquire_slot(&self, avoid: Option<&TargetId>) -> Result<HeldSlot, AttemptError> {
        let demand = SlotDemand::Service(self.service.service.clone());
        let hint = ChoiceHint::default();
        acquire_valid_slot(&self.core.scheduler, &self.request, &demand, hint, avoid).await
    }

    fn target_request(&self, slot: &HeldSlot) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let remaining = self
            .request
            .deadline
            .saturating_duration_since(Instant::now());
        let mut request = Request::builder()
            .method(self.request.method.clone())
            .uri(&self.request.path)
            .header("host", slot.target().address.to_string())
            .header(REQUEST_HEADER, self.request.id.as_str())
            .header("jujube-team", self.request.team.team.as_str())
            .header("jujube-deadline-ms", remaining.as_millis().to_string());
        for name in FORWARDED_HEADERS {
            if let Some(value) = self.request.headers.get(name) {
                request = request.header(name, value);
            }
        }
        request.body(Full::new(self.request.body.clone()))
    }

    fn success_response(&self, response: ServiceResponse) -> Response<ReplyBody> {
        self.core.metrics.count("requests.answered");
        let content_type = response.headers.get("content-type").cloned();
        let mut builder = self.response_builder(response.status, Outcome::Answered);
        if let Some(content_type) = content_type {
            builder = builder.header("content-type", content_type);
        }
        builder
            .body(full_body(response.body))
            .unwrap_or_else(|_| Response::new(full_body("")))
    }

    /// Responds to a repeated request with the recorded result of the first one, if any.
    fn repeated_response(&self, answer: Option<ClaimAnswer>) -> Response<ReplyBody> {
        let Some(answer) = answer else {
            let problem = ProblemReply {
                status: StatusCode::CONFLICT,
                outcome: Outcome::Unknown,
                detail: "a request with this idempotency key was accepted before; \
                         its result is not known"
                    .to_owned(),
                retry_at: Some(deadline_after(Instant::now(), 1_000)),
            };
            return self.error_response(problem);
        };
        let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::CONFLICT);
        if answer.outcome == Outcome::Answered && !answer.is_truncated {
            let response = self
                .response_builder(status, answer.outcome)
                .header("jujube-repeated", "yes");
            let body = full_body(answer.body);
            return response
                .body(body)
                .unwrap_or_else(|_| Response::new(full_body("")));
        }
        let detail = "an earlier request with this idempotency key has ended".to_owned();
        self.error_response(ProblemReply {
            status,
            outcome: answer.outcome,
            detail,
            retry_at: None,
        })
    }

    fn response_builder(
        &self,
        status: StatusCode,
        outcome: Outcome,
    ) -> hyper::http::response::Builder {
        Response::builder()
            .status(status)
            .header(OUTCOME_HEADER, <&str>::from(outcome))
            .header(REQUEST_HEADER, self.request.id.as_str())
    }

    fn error_response(&self, problem: ProblemReply) -> Response<ReplyBody> {
        let request = &self.request.id;
        info!(
            "end: request={request} outcome={} reason={:?}",
            problem.outcome, problem.detail
        );
        self.core.metrics.count("requests.failed");
        problem.into_response(request)
    }
}

/// Returns the result to record for a claimed key. The body is omitted when it exceeds
/// `MAX_STORED_ANSWER_BYTES`.
fn claim_answer(result: &Result<ServiceResponse, ProblemReply>) -> ClaimAnswer {
    match result {
        Ok(response) => {
            let is_truncated = response.body.len() > MAX_STORED_ANSWER_BYTES;
            let body = if is_truncated {
                Vec::new()
            } else {
                response.body.to_vec()
            };
            let status = response.status.as_u16();
            ClaimAnswer {
                outcome: Outcome::Answered,
                status,
                body,
                is_truncated,
            }
        }
        Err(problem) => ClaimAnswer {
            outcome: problem.outcome,
            status: problem.status.as_u16(),
            body: Vec::new(),
            is_truncated: false,
        },
    }
}
