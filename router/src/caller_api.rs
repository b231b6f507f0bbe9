//! HTTP handler for requests from callers, health checks and the status command.

use std::sync::Arc;
use std::time::Instant;

use async_trait::async_trait;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use jujuberoad::config::FleetConfig;
use jujuberoad::config::ServiceSpec;
use jujuberoad::membership::ViewKey;
use jujuberoad_node::http::HttpHandler;
use jujuberoad_node::http::ReplyBody;
use jujuberoad_node::http::full_body;
use serde_json::json;
use smol_str::SmolStr;
use spdlog::info;

use crate::body_reader::read_body;
use crate::caller_request::CallerRequest;
use crate::caller_request::class_from_headers;
use crate::caller_request::deadline_after;
use crate::caller_request::new_request_id;
use crate::caller_request::team_from_headers;
use crate::model_call::ModelCall;
use crate::problem_reply::ProblemReply;
use crate::router_core::RouterCore;
use crate::service_call::ServiceCall;
use crate::status_page::StatusPage;

/// Serves callers, the health checks of the platform's load balancer and the operator's
/// status command.
pub(crate) struct CallerApi {
    core: Arc<RouterCore>,
}

impl CallerApi {
    pub(crate) fn new(core: Arc<RouterCore>) -> Arc<Self> {
        Arc::new(Self { core })
    }

    async fn serve(
        &self,
        id: &SmolStr,
        request: Request<Incoming>,
    ) -> Result<Response<ReplyBody>, ProblemReply> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/healthz") => return Ok(text_response(StatusCode::OK, "ok\n")),
            (&Method::GET, "/readyz") => return Ok(self.readiness()),
            (&Method::GET, "/status") => {
                return Ok(json_response(&json!(StatusPage::collect(&self.core))));
            }
            _ => {}
        }
        let view = self.core.view_cache.view();
        let Some(config) = &view.config else {
            let detail = "this router has no configuration yet";
            let problem = ProblemReply::not_run(StatusCode::SERVICE_UNAVAILABLE, detail);
            return Err(problem.with_retry_at(deadline_after(Instant::now(), 1_000)));
        };
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/v1/models") => Ok(model_list(config)),
            (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
                self.serve_model(id, request, config).await
            }
            (method, path) => {
                let Some(service) = service_for_path(config, path) else {
                    let detail = format!("nothing is served at {method} {path}");
                    return Err(ProblemReply::not_run(StatusCode::NOT_FOUND, detail));
                };
                let service = service.clone();
                let request = self.read_request(id, request, config).await?;
                let call = ServiceCall::new(Arc::clone(&self.core), request, service);
                Ok(run_detached(async move { call.run().await }).await)
            }
        }
    }

    async fn serve_model(
        &self,
        id: &SmolStr,
        request: Request<Incoming>,
        config: &FleetConfig,
    ) -> Result<Response<ReplyBody>, ProblemReply> {
        let request = self.read_request(id, request, config).await?;
        let call = ModelCall::parse(Arc::clone(&self.core), request, &config.limits)?;
        let name = call.name();
        let Some(model) = config.models.get(&name.model) else {
            let detail = format!("model {:?} is not part of the configuration", name.model);
            return Err(ProblemReply::not_run(StatusCode::NOT_FOUND, detail));
        };
        if let Some(adapter) = name
            .adapter
            .as_ref()
            .filter(|name| !model.adapters.contains(name))
        {
            let detail = format!("model {:?} has no adapter {adapter:?}", name.model);
            return Err(ProblemReply::not_run(StatusCode::NOT_FOUND, detail));
        }
        Ok(call.run().await)
    }

    async fn read_request(
        &self,
        id: &SmolStr,
        request: Request<Incoming>,
        config: &FleetConfig,
    ) -> Result<CallerRequest, ProblemReply> {
        let now = Instant::now();
        let team = team_from_headers(request.headers(), config)?;
        let class = class_from_headers(request.headers())?;
        let (head, body) = request.into_parts();
        let body = read_body(body, config.limits.max_body_bytes).await?;
        let path = head
            .uri
            .path_and_query()
            .map_or("/", |path| path.as_str())
            .to_owned();
        Ok(CallerRequest {
            id: id.clone(),
            method: head.method,
            path,
            headers: head.headers,
            team,
            class,
            body,
            deadline: deadline_after(now, config.limits.request_timeout_ms),
            queue_timeout_ms: config.limits.queue_timeout_ms,
        })
    }

    fn readiness(&self) -> Response<ReplyBody> {
        let now = Instant::now();
        if self.core.is_stopping() {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "stopping\n");
        }
        if !self
            .core
            .view_cache
            .is_fresh(&[ViewKey::Config, ViewKey::Routers], now)
        {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "no recent view\n");
        }
        text_response(StatusCode::OK, "ready\n")
    }
}

#[async_trait]
impl HttpHandler for CallerApi {
    async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let id = new_request_id();
        match self.serve(&id, request).await {
            Ok(response) => response,
            Err(problem) => {
                info!(
                    "end: request={id} outcome={} reason={:?}",
                    problem.outcome, problem.detail
                );
                problem.into_response(&id)
            }
        }
    }
}

/// Runs `call` in a task of its own, so that it completes even if the caller disconnects.
async fn run_detached(
    call: impl Future<Output = Response<ReplyBody>> + Send + 'static,
) -> Response<ReplyBody> {
    let (sender, receiver) = smol::channel::bounded(1);
    jujuberoad_node::runtime::spawn(async move {
        let _ = sender.send(call.await).await;
    });
    receiver
        .recv()
        .await
        .unwrap_or_else(|_| Response::new(full_body("")))
}

/// Returns the service whose prefix is the longest match for `path`.
fn service_for_path<'a>(config: &'a FleetConfig, path: &str) -> Option<&'a ServiceSpec> {
    let mut best: Option<&ServiceSpec> = None;
    for service in config.services.values() {
        let rest = path.strip_prefix(service.prefix.as_str());
        let is_match = rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'));
        if is_match && best.is_none_or(|best| best.prefix.len() < service.prefix.len()) {
            best = Some(service);
        }
    }
    best
}

fn model_list(config: &FleetConfig) -> Response<ReplyBody> {
    let mut models = Vec::new();
    for model in config.models.values() {
        models.push(json!({ "id": model.model, "object": "model", "owned_by": "jujuberoad" }));
        for adapter in &model.adapters {
            let id = format!("{}:{adapter}", model.model);
            models.push(json!({ "id": id, "object": "model", "owned_by": "jujuberoad" }));
        }
    }
    json_response(&json!({ "object": "list", "data": models }))
}

fn json_response(value: &serde_json::Value) -> Response<ReplyBody> {
    let mut response = text_response(StatusCode::OK, &format!("{value}\n"));
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert("content-type", json);
    response
}

fn text_response(status: StatusCode, text: &str) -> Response<ReplyBody> {
    let mut response = Response::new(full_body(text.to_owned()));
    *response.status_mut() = status;
    response
}
