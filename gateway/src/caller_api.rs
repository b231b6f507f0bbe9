//! HTTP handler for requests from callers.

use std::iter;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use jujuberoad::fleet::PoolKey;
use jujuberoad::peer::RelayHead;
use jujuberoad::poison::fingerprint;
use jujuberoad::serving::RouteKind;
use jujuberoad::serving::ServingConfig;
use jujuberoad_node::backends::CallerHead;
use jujuberoad_node::http::ConnectionMark;
use jujuberoad_node::http::HttpHandler;
use jujuberoad_node::http::ReplyBody;
use jujuberoad_node::http::full_body;
use jujuberoad_node::http::remove_connection_headers;
use jujuberoad_node::runtime;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;
use smol_str::SmolStr;

use crate::buffered_call::BufferedCall;
use crate::caller_request;
use crate::caller_request::CallerRequest;
use crate::gateway_core::GatewayCore;
use crate::local_reply::LocalReply;
use crate::relay_call;
use crate::request_body::RequestBody;
use crate::stream_call::StreamCall;

/// Bytes of a header line besides name and value: colon, space and CRLF.
const HEADER_LINE_OVERHEAD_BYTES: usize = 4;
/// Timeout assumed for callers that do not send one.
const DEFAULT_CALLER_TIMEOUT_MS: u64 = 30_000;

/// Admits requests from callers and dispatches them by the kind of their route.
pub(crate) struct CallerApi {
    core: Arc<GatewayCore>,
}

impl CallerApi {
    pub(crate) fn new(core: Arc<GatewayCore>) -> Arc<Self> {
        Arc::new(Self { core })
    }

    async fn admit(
        &self,
        mut parts: Parts,
        body: &mut RequestBody,
        head: CallerHead,
        id: SmolStr,
        relay_head: Option<RelayHead>,
    ) -> Result<CallerRequest, LocalReply> {
        let received_at = Instant::now();
        let view = self.core.fleet.view();
        let Some(config) = view.config else {
            let reason = "this router has no configuration yet";
            let answer = LocalReply::not_run(StatusCode::SERVICE_UNAVAILABLE, reason);
            let caller_timeout_ms = head.timeout_ms.unwrap_or(DEFAULT_CALLER_TIMEOUT_MS);
            let caller_timeout = Duration::from_millis(caller_timeout_ms);
            return Err(answer.with_retry_at(caller_request::retry_at_unconfigured(caller_timeout)));
        };
        check_head_size(&parts.headers, &config)?;
        let path = parts.uri.path().to_owned();
        let host = request_host(&parts);
        let (route, team, priority) = caller_request::admit(&config, &head, &host, &path)
            .map_err(|refusal| refusal.answer)?;
        let service = route.pick_service(fastrand::f64());
        let Some(service) = service.map(|share| share.service.clone()) else {
            let reason = format!(
                "route {:?} has no service with a positive weight",
                route.name
            );
            return Err(LocalReply::not_run(StatusCode::SERVICE_UNAVAILABLE, reason));
        };
        let caller_timeout_ms = head.timeout_ms.unwrap_or(DEFAULT_CALLER_TIMEOUT_MS);
        let limit_ms = caller_timeout_ms.min(route.timeout_ms.max(1));
        let deadline = received_at + Duration::from_millis(limit_ms);
        let age_at_arrival_ms = match head.timeout_ms {
            Some(timeout_ms) => {
                let mut caller_retries = self
                    .core
                    .caller_retries
                    .lock()
                    .expect("caller retries lock");
                caller_retries.observe(&route.name, timeout_ms)
            }
            None => 0,
        };
        let memory = &self.core.caller_memory;
        let body = body.read(memory, &config.limits, deadline).await;
        let body = body.map_err(|reply| match (reply.status, &relay_head) {
            // Another router may have room for the body.
            (StatusCode::SERVICE_UNAVAILABLE, Some(_)) => reply.for_other_router(),
            _ => reply,
        })?;
        if !self.core.may_begin(deadline) {
            let reason = "this router is stopping and exits before the request's deadline";
            let reply = LocalReply::not_run(StatusCode::SERVICE_UNAVAILABLE, reason);
            return Err(match relay_head {
                Some(_) => reply.for_other_router(),
                None => reply,
            });
        }
        remove_connection_headers(&mut parts.headers);
        let has_groups = config
            .services
            .get(&service)
            .is_some_and(|profile| profile.engine.is_some());
        let model = head.model.clone().filter(|_| has_groups);
        let target = parts
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str());
        let caller = team.as_deref().unwrap_or_default();
        let fingerprint = fingerprint(parts.method.as_str(), &host, target, caller, &body);
        let shared_parts = head.shared_prompt_parts.iter().cloned();
        let crash_parts = iter::once(fingerprint.clone())
            .chain(shared_parts)
            .collect();
        Ok(CallerRequest {
            id,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            head,
            fingerprint,
            crash_parts,
            route,
            team,
            priority,
            pool: PoolKey { service, model },
            config_version: config.version,
            received_at,
            age_at_arrival_ms,
            deadline,
            is_counted: relay_head.as_ref().is_some_and(|head| head.is_counted),
            relay_head,
        })
    }

    async fn serve(&self, mut request: CallerRequest) -> Response<ReplyBody> {
        let core = Arc::clone(&self.core);
        core.has_traffic.store(true, Ordering::Relaxed);
        let is_severed = core.is_severed(&request.pool.service);
        if is_severed && !request.may_be_relayed() {
            let reason = "this router has lost its path to the service, too";
            let reply = LocalReply::not_run(StatusCode::SERVICE_UNAVAILABLE, reason);
            return self.refuse(reply.for_other_router(), &request.id, request.uri.path());
        }
        if request.attempts_left(request.earlier_runs()) == 0 {
            let reason = "the relayed request has used up its attempts";
            let reply = LocalReply::not_run(StatusCode::BAD_REQUEST, reason);
            return self.refuse(reply, &request.id, request.uri.path());
        }
        // A request that goes through a peer is counted there, where it may be retried.
        let is_relayed = is_severed && relay_call::has_peer(&core, &request.pool.service);
        if !request.is_counted && !is_relayed {
            let mut retry_budget = core.retry_budget.lock().expect("retry budget lock");
            retry_budget.observe_request(Instant::now());
            request.is_counted = true;
        }
        match request.route.kind {
            RouteKind::Streaming => StreamCall::new(core, request).run().await,
            RouteKind::Idempotent => BufferedCall::new(core, request).run().await,
            // Not idempotent: cancelling it midway would leave its effect unknown, so it
            // runs to completion even if the caller disconnects.
            RouteKind::NonIdempotent => {
                run_to_completion(BufferedCall::new(core, request).run()).await
            }
        }
    }
}

impl CallerApi {
    /// Serves a request of a caller, or one that a peer relays.
    pub(crate) async fn respond(
        &self,
        request: Request<Incoming>,
        relay_head: Option<RelayHead>,
    ) -> Response<ReplyBody> {
        let dialect = &self.core.backends.dialect;
        let head = dialect.read_caller_head(request.headers());
        let id = head.request_id.clone().unwrap_or_else(new_request_id);
        let path = SmolStr::from(request.uri().path());
        let (parts, body) = request.into_parts();
        let mark = parts.extensions.get::<Arc<ConnectionMark>>().cloned();
        let mut body = RequestBody::new(body, &parts.headers);
        let mut is_reusable = true;
        let mut response = match self
            .admit(parts, &mut body, head, id.clone(), relay_head)
            .await
        {
            Ok(request) if mark.is_none_or(|mark| mark.record_forwarded()) => {
                self.serve(request).await
            }
            Ok(request) => {
                is_reusable = false;
                let reason = "too many connections are open";
                let reply = LocalReply::not_run(StatusCode::SERVICE_UNAVAILABLE, reason);
                self.refuse(reply, &request.id, &path)
            }
            Err(answer) => {
                is_reusable = body.discard(&self.core.caller_memory);
                self.refuse(answer, &id, &path)
            }
        };
        if self.core.is_stopping() || !is_reusable {
            let close = hyper::header::HeaderValue::from_static("close");
            response.headers_mut().insert("connection", close);
        }
        response
    }

    /// Refuses a request that was not admitted.
    pub(crate) fn refuse(
        &self,
        answer: LocalReply,
        id: &SmolStr,
        path: &str,
    ) -> Response<ReplyBody> {
        self.core.metrics.refusals.inc();
        self.core.log.write(
            LogKind::Refused,
            json!({
                "request": id,
                "path": path,
                "status": answer.status.as_u16(),
                "outcome": answer.outcome.to_string(),
                "reason": answer.reason,
                "at": "door",
            }),
        );
        answer.into_response(&self.core, id)
    }
}

#[async_trait]
impl HttpHandler for CallerApi {
    async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        self.respond(request, None).await
    }
}

/// Refuses a request whose headers exceed the configured limit.
fn check_head_size(headers: &HeaderMap, config: &ServingConfig) -> Result<(), LocalReply> {
    let limit = config.limits.head_bytes;
    let bytes: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_OVERHEAD_BYTES)
        .sum();
    if bytes <= limit {
        return Ok(());
    }
    let reason = format!("the head is longer than {limit} bytes");
    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    Err(LocalReply::not_run(status, reason))
}

fn request_host(parts: &Parts) -> String {
    if let Some(host) = parts.uri.host() {
        return host.to_owned();
    }
    let host = parts.headers.get("host");
    let host = host.and_then(|host| host.to_str().ok());
    host.unwrap_or_default().to_owned()
}

/// Returns the id of a request, or a new one if it has none.
pub(crate) fn request_id(core: &GatewayCore, headers: &HeaderMap) -> SmolStr {
    let head = core.backends.dialect.read_caller_head(headers);
    head.request_id.unwrap_or_else(new_request_id)
}

fn new_request_id() -> SmolStr {
    format!("{:016x}", fastrand::u64(..)).into()
}

/// Runs `call` to completion even if the caller disconnects.
async fn run_to_completion(
    call: impl Future<Output = Response<ReplyBody>> + Send + 'static,
) -> Response<ReplyBody> {
    let (sender, receiver) = smol::channel::bounded(1);
    runtime::spawn(async move {
        // The receiver is dropped when the caller disconnects.
        let _ = sender.send(call.await).await;
    });
    let answer = receiver.recv().await;
    answer.unwrap_or_else(|_| Response::new(full_body("")))
}
