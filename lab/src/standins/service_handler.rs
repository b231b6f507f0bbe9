//! Stand-in for a plain service: a ledger that counts the runs of each idempotency key.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use jujuberoad::health::EnginePhase;
use jujuberoad::health::MemberReport;
use jujuberoad::ids::EndpointId;
use jujuberoad_node::http::HttpHandler;
use jujuberoad_node::http::ReplyBody;
use serde_json::json;

use super::http_utils::json_response;
use super::http_utils::read_body;
use super::http_utils::text_response;

/// State shared by all endpoints of the plain services.
#[derive(Debug, Default)]
pub struct ServiceState {
    /// Number of runs by idempotency key.
    pub runs: BTreeMap<String, u64>,
    /// Number of next runs whose responses are not sent.
    pub responses_to_drop: u64,
    /// Duration of a run, in milliseconds.
    pub run_ms: u64,
}

/// Serves the requests of one endpoint.
pub struct ServiceHandler {
    endpoint: EndpointId,
    state: Arc<Mutex<ServiceState>>,
    incarnation: u64,
    in_flight: Mutex<u64>,
}

impl ServiceHandler {
    /// Serves requests for `endpoint` and counts its runs in `state`.
    pub fn new(endpoint: EndpointId, state: Arc<Mutex<ServiceState>>) -> Arc<Self> {
        let incarnation = fastrand::u64(1..);
        Arc::new(Self {
            endpoint,
            state,
            incarnation,
            in_flight: Mutex::new(0),
        })
    }

    fn report(&self) -> MemberReport {
        MemberReport {
            vm: self.endpoint.clone(),
            incarnation: self.incarnation,
            group: "".into(),
            generation: 0,
            model: "".into(),
            version: "".into(),
            phase: EnginePhase::Warm,
            in_flight: *self.in_flight.lock().expect("count lock"),
            age_ms: 0,
            fence: 0,
        }
    }

    async fn run(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let (head, body) = request.into_parts();
        let key = head
            .headers
            .get("idempotency-key")
            .and_then(|value| value.to_str().ok());
        let key = key.unwrap_or_default().to_owned();
        let id = head.headers.get("jujube-request-id").cloned();
        let body = read_body(body).await;
        if head.method == Method::GET {
            let state = self.state.lock().expect("service lock");
            return json_response(&json!({ "keys": state.runs.len() }));
        }
        let (run, run_ms, is_dropped) = {
            let mut state = self.state.lock().expect("service lock");
            let count = state.runs.entry(key.clone()).or_default();
            *count += 1;
            let run = *count;
            let is_dropped = state.responses_to_drop > 0;
            state.responses_to_drop = state.responses_to_drop.saturating_sub(1);
            (run, state.run_ms, is_dropped)
        };
        smol::Timer::after(Duration::from_millis(run_ms)).await;
        if is_dropped {
            std::future::pending::<()>().await;
        }
        let answer = json!({ "key": key, "run": run, "bytes": body.len() });
        let mut response = json_response(&answer);
        *response.status_mut() = StatusCode::CREATED;
        if let Some(id) = id {
            response.headers_mut().insert("jujube-request-id", id);
        }
        response
    }
}

#[async_trait]
impl HttpHandler for ServiceHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        match request.uri().path() {
            "/control/report" => json_response(&self.report()),
            "/control/order" => text_response(StatusCode::NOT_FOUND, ""),
            _ => {
                *self.in_flight.lock().expect("count lock") += 1;
                let response = self.run(request).await;
                *self.in_flight.lock().expect("count lock") -= 1;
                response
            }
        }
    }
}
