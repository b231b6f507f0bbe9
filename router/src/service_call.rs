//! A request to a plain service.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
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
use crate::target_attempt::AttemptEnd;
use crate::target_attempt::FinalEnd;
use crate::target_attempt::REFUSED_HEADER;
use crate::target_attempt::after_attempt;
use crate::target_attempt::failed;
use crate::target_attempt::take_slot;

/// Header of a request that must run at most once.
const KEY_HEADER: &str = "idempotency-key";
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Headers that are passed on to the service.
const FORWARDED_HEADERS: [&str; 5] = [
    "accept",
    "accept-language",
    "authorization",
    "content-type",
    KEY_HEADER,
];
/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Time within which a key must have been claimed.
const CLAIM_LIMIT: Duration = Duration::from_millis(1_000);

/// A request to a plain service.
pub(crate) struct ServiceCall {
    core: Arc<RouterCore>,
    request: CallerRequest,
    service: ServiceSpec,
}

/// A whole answer of an endpoint.
struct ServiceAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// A key that has been claimed for this request.
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

    /// Runs the request and returns its answer.
    pub(crate) async fn run(&self) -> Response<ReplyBody> {
        self.core.slots.earn_retry();
        let claim = match self.claim().await {
            Ok(claim) => claim,
            Err(response) => return response,
        };
        // A caller that leaves must not stop a request that may not be repeated.
        let result = self.attempts().await;
        if let Some(claim) = claim {
            let answer = claim_answer(&result);
            ClaimCoordinator::complete_claim(&self.core, claim.key, claim.nonce, answer).await;
        }
        match result {
            Ok(answer) => self.answer(answer),
            Err(problem) => self.refuse(problem),
        }
    }

    fn is_repeatable(&self) -> bool {
        let is_safe = matches!(
            self.request.method,
            Method::GET | Method::HEAD | Method::OPTIONS
        );
        is_safe || self.service.repeatable
    }

    /// Claims the caller's key; an error is the answer to be given instead.
    async fn claim(&self) -> Result<Option<HeldClaim>, Response<ReplyBody>> {
        if self.is_repeatable() {
            return Ok(None);
        }
        let Some(key) = self.request.headers.get(KEY_HEADER) else {
            return Ok(None);
        };
        let key = key
            .to_str()
            .ok()
            .filter(|key| !key.is_empty() && key.len() <= MAX_KEY_BYTES);
        let Some(key) = key else {
            let detail = format!("header {KEY_HEADER:?}: expected 1 to {MAX_KEY_BYTES} characters");
            return Err(self.refuse(ProblemReply::not_run(StatusCode::BAD_REQUEST, detail)));
        };
        let key = ClaimKey::from_parts(&self.request.team.team, &self.service.service, key);
        let nonce = fastrand::u64(..);
        let deadline = self.request.deadline.min(Instant::now() + CLAIM_LIMIT);
        match self
            .core
            .claims
            .claim(&self.core, key, nonce, deadline)
            .await
        {
            Some(ClaimReply::Granted) => Ok(Some(HeldClaim { key, nonce })),
            Some(ClaimReply::AlreadyClaimed(answer)) => Err(self.repeat_answer(answer)),
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
                Err(self.refuse(problem.with_retry_at(retry_at)))
            }
        }
    }

    async fn attempts(&self) -> Result<ServiceAnswer, ProblemReply> {
        let mut history = AttemptHistory::new(self.is_repeatable(), self.request.deadline);
        let mut avoid = None;
        loop {
            let end = match self.attempt(avoid.as_ref()).await {
                Ok(answer) => return Ok(answer),
                Err(end) => end,
            };
            match after_attempt(&self.core.slots, &self.request.id, &mut history, end) {
                Ok(target) => avoid = Some(target),
                Err(FinalEnd::Problem(problem)) => return Err(problem),
                // Errors of the service itself are whole answers and do not come here.
                Err(FinalEnd::Answered(_)) => {
                    let detail = "the endpoint refused the request";
                    return Err(ProblemReply::not_run(StatusCode::BAD_GATEWAY, detail));
                }
            }
        }
    }

    async fn attempt(&self, avoid: Option<&TargetId>) -> Result<ServiceAnswer, AttemptEnd> {
        let held = self.slot(avoid).await?;
        let request = self.target_request(&held);
        let request = request.map_err(|error| failed(&held, false, false, error.to_string()))?;
        let address = held.target().address;
        let deadline = self.request.deadline;
        let sent = self
            .core
            .data
            .send(address, request, avoid.is_some(), deadline)
            .await;
        let response =
            sent.map_err(|error| failed(&held, error.was_sent, false, error.to_string()))?;
        if let Some(refused) = response.headers().get(REFUSED_HEADER) {
            let message = format!("the endpoint refused the request: {refused:?}");
            return Err(failed(&held, true, true, message));
        }
        let (head, body) = response.into_parts();
        let is_own = head
            .headers
            .get(REQUEST_HEADER)
            .is_none_or(|id| *id == *self.request.id);
        if !is_own {
            let message = "the answer belongs to another request".to_owned();
            return Err(failed(&held, true, false, message));
        }
        let timer = async {
            smol::Timer::at(deadline).await;
            Err("the answer was not complete in time".to_owned())
        };
        let read = async {
            let collected = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
            collected
                .map(|body| body.to_bytes())
                .map_err(|error| error.to_string())
        };
        let body = read
            .or(timer)
            .await
            .map_err(|message| failed(&held, true, false, message))?;
        let target = &held.target().target;
        info!(
            "end: request={} target={target} outcome=answered",
            self.request.id
        );
        Ok(ServiceAnswer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    async fn slot(&self, avoid: Option<&TargetId>) -> Result<HeldSlot, AttemptEnd> {
        let demand = SlotDemand::Service(self.service.service.clone());
        let hint = ChoiceHint::default();
        take_slot(&self.core.slots, &self.request, &demand, hint, avoid).await
    }

    fn target_request(&self, held: &HeldSlot) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let left = self
            .request
            .deadline
            .saturating_duration_since(Instant::now());
        let mut request = Request::builder()
            .method(self.request.method.clone())
            .uri(&self.request.path)
            .header("host", held.target().address.to_string())
            .header(REQUEST_HEADER, self.request.id.as_str())
            .header("jujube-team", self.request.team.team.as_str())
            .header("jujube-deadline-ms", left.as_millis().to_string());
        for name in FORWARDED_HEADERS {
            if let Some(value) = self.request.headers.get(name) {
                request = request.header(name, value);
            }
        }
        request.body(Full::new(self.request.body.clone()))
    }

    fn answer(&self, answer: ServiceAnswer) -> Response<ReplyBody> {
        self.core.metrics.count("requests.answered");
        let content_type = answer.headers.get("content-type").cloned();
        let mut response = self.head(answer.status, Outcome::Answered);
        if let Some(content_type) = content_type {
            response = response.header("content-type", content_type);
        }
        response
            .body(full_body(answer.body))
            .unwrap_or_else(|_| Response::new(full_body("")))
    }

    /// Answers a repeated request with what became of the first one.
    fn repeat_answer(&self, answer: Option<ClaimAnswer>) -> Response<ReplyBody> {
        let Some(answer) = answer else {
            let problem = ProblemReply {
                status: StatusCode::CONFLICT,
                outcome: Outcome::Unknown,
                detail: "a request with this idempotency key has been accepted; \
                         its end is not known"
                    .to_owned(),
                retry_at: Some(deadline_after(Instant::now(), 1_000)),
            };
            return self.refuse(problem);
        };
        let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::CONFLICT);
        if answer.outcome == Outcome::Answered && !answer.is_truncated {
            let response = self
                .head(status, answer.outcome)
                .header("jujube-repeated", "yes");
            let body = full_body(answer.body);
            return response
                .body(body)
                .unwrap_or_else(|_| Response::new(full_body("")));
        }
        let detail = "a request with this idempotency key has ended before".to_owned();
        self.refuse(ProblemReply {
            status,
            outcome: answer.outcome,
            detail,
            retry_at: None,
        })
    }

    fn head(&self, status: StatusCode, outcome: Outcome) -> hyper::http::response::Builder {
        Response::builder()
            .status(status)
            .header(OUTCOME_HEADER, <&str>::from(outcome))
            .header(REQUEST_HEADER, self.request.id.as_str())
    }

    fn refuse(&self, problem: ProblemReply) -> Response<ReplyBody> {
        let request = &self.request.id;
        info!(
            "end: request={request} outcome={} reason={:?}",
            problem.outcome, problem.detail
        );
        self.core.metrics.count("requests.failed");
        problem.into_response(request)
    }
}

fn claim_answer(result: &Result<ServiceAnswer, ProblemReply>) -> ClaimAnswer {
    match result {
        Ok(answer) => {
            let is_truncated = answer.body.len() > MAX_STORED_ANSWER_BYTES;
            let body = if is_truncated {
                Vec::new()
            } else {
                answer.body.to_vec()
            };
            let status = answer.status.as_u16();
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
