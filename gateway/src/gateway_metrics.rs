//! Metrics of the gateway and the HTTP handler that exposes them.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use async_trait::async_trait;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use jujuberoad::serving::RouteSpec;
use jujuberoad_node::http::HttpHandler;
use jujuberoad_node::http::ReplyBody;
use jujuberoad_node::http::full_body;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::gateway_core::GatewayCore;

/// Bucket bounds of the latency histograms in milliseconds, around the latency
/// objectives of 120 to 500 ms.
const LATENCY_BOUNDS: [f64; 12] = [
    10.0, 25.0, 50.0, 100.0, 150.0, 200.0, 300.0, 400.0, 500.0, 1_000.0, 2_000.0, 8_000.0,
];

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    kind: String,
    outcome: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    call: String,
    result: String,
}

/// All metrics of the process.
pub(crate) struct GatewayMetrics {
    registry: Registry,
    ended_requests: Family<RequestLabels, Counter>,
    calls: Family<CallLabels, Counter>,
    pub(crate) refusals: Counter,
    pub(crate) retries: Counter,
    pub(crate) resumes: Counter,
    pub(crate) probes: Counter,
    pub(crate) store_eras: Counter,
    pub(crate) stalls: Counter,
    pub(crate) crashes: Counter,
    pub(crate) relays: Counter,
    pub(crate) rests: Counter,
    pub(crate) lost_paths: Counter,
    pub(crate) path_trials: Counter,
    pub(crate) quarantines: Gauge<i64, std::sync::atomic::AtomicI64>,
    pub(crate) limited_sends: Counter,
    pub(crate) limited_endpoints: Gauge<i64, std::sync::atomic::AtomicI64>,
    pub(crate) first_event_ms: Histogram,
    total_ms: Histogram,
    pub(crate) models_without_room: Gauge<i64, std::sync::atomic::AtomicI64>,
    waiting: Gauge<i64, std::sync::atomic::AtomicI64>,
    serving_targets: Gauge<i64, std::sync::atomic::AtomicI64>,
    registry_age_ms: Gauge<i64, std::sync::atomic::AtomicI64>,
    paced_targets: Gauge<i64, std::sync::atomic::AtomicI64>,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("jujube");
        let metrics = Self {
            ended_requests: Family::default(),
            calls: Family::default(),
            refusals: Counter::<u64, AtomicU64>::default(),
            retries: Counter::default(),
            resumes: Counter::default(),
            probes: Counter::default(),
            store_eras: Counter::default(),
            stalls: Counter::default(),
            crashes: Counter::default(),
            relays: Counter::default(),
            rests: Counter::default(),
            lost_paths: Counter::default(),
            path_trials: Counter::default(),
            quarantines: Gauge::default(),
            limited_sends: Counter::default(),
            limited_endpoints: Gauge::default(),
            first_event_ms: Histogram::new(LATENCY_BOUNDS),
            total_ms: Histogram::new(LATENCY_BOUNDS),
            models_without_room: Gauge::default(),
            waiting: Gauge::default(),
            serving_targets: Gauge::default(),
            registry_age_ms: Gauge::default(),
            paced_targets: Gauge::default(),
            registry: Registry::default(),
        };
        registry.register(
            "requests",
            "Requests by kind and outcome",
            metrics.ended_requests.clone(),
        );
        registry.register(
            "calls",
            "Calls to the platform by kind and result",
            metrics.calls.clone(),
        );
        registry.register(
            "door_refusals",
            "Requests refused at the door",
            metrics.refusals.clone(),
        );
        registry.register(
            "retries",
            "Requests sent once more",
            metrics.retries.clone(),
        );
        registry.register(
            "resumes",
            "Streams resumed elsewhere",
            metrics.resumes.clone(),
        );
        registry.register(
            "models_without_room",
            "Models whose groups are larger than every fabric domain",
            metrics.models_without_room.clone(),
        );
        registry.register(
            "store_eras",
            "Restores of the store seen by this process",
            metrics.store_eras.clone(),
        );
        registry.register("probes", "Probes of silent groups", metrics.probes.clone());
        registry.register("stalls", "Groups confirmed as lost", metrics.stalls.clone());
        registry.register(
            "crashes",
            "Runs whose endpoint seems to have crashed on them",
            metrics.crashes.clone(),
        );
        registry.register(
            "rests",
            "Refusals that asked for a rest",
            metrics.rests.clone(),
        );
        registry.register(
            "relays",
            "Attempts to send a request through a peer",
            metrics.relays.clone(),
        );
        registry.register(
            "lost_paths",
            "Services to which the path of this router was lost, each time",
            metrics.lost_paths.clone(),
        );
        registry.register(
            "path_trials",
            "Connections opened to find out whether a path is back",
            metrics.path_trials.clone(),
        );
        registry.register(
            "quarantines",
            "Sets of prompt parts that are rejected",
            metrics.quarantines.clone(),
        );
        registry.register(
            "limited_sends",
            "Requests sent to endpoints that name a limit on their rate",
            metrics.limited_sends.clone(),
        );
        registry.register(
            "limited_endpoints",
            "Endpoints that name a limit on the rate of requests",
            metrics.limited_endpoints.clone(),
        );
        let first = metrics.first_event_ms.clone();
        registry.register("first_event_ms", "Time to the first event", first);
        registry.register(
            "total_ms",
            "Time to the end of a request",
            metrics.total_ms.clone(),
        );
        registry.register(
            "waiting",
            "Requests that wait for a slot",
            metrics.waiting.clone(),
        );
        let targets = metrics.serving_targets.clone();
        registry.register("serving_targets", "Targets that take requests", targets);
        let age = metrics.registry_age_ms.clone();
        registry.register(
            "registry_age_ms",
            "Time since the registry was confirmed",
            age,
        );
        registry.register(
            "paced_targets",
            "Targets that may take fewer requests than they have slots",
            metrics.paced_targets.clone(),
        );
        Self {
            registry,
            ..metrics
        }
    }
}

impl GatewayMetrics {
    /// Counts a completed request and observes its total time.
    pub(crate) fn record_end(&self, route: &RouteSpec, outcome: &str, total_ms: u64) {
        let labels = RequestLabels {
            kind: route.kind.to_string(),
            outcome: outcome.to_owned(),
        };
        self.ended_requests.get_or_create(&labels).inc();
        self.total_ms.observe(total_ms as f64);
    }

    /// Counts a call to the platform or to an engine.
    pub(crate) fn record_call(&self, call: &str, result: &str) {
        let labels = CallLabels {
            call: call.to_owned(),
            result: result.to_owned(),
        };
        self.calls.get_or_create(&labels).inc();
    }
}

/// Serves the metrics in the OpenMetrics text format.
pub(crate) struct MetricsApi {
    core: Arc<GatewayCore>,
}

impl MetricsApi {
    pub(crate) fn new(core: Arc<GatewayCore>) -> Arc<Self> {
        Arc::new(Self { core })
    }
}

#[async_trait]
impl HttpHandler for MetricsApi {
    async fn handle(&self, _request: Request<Incoming>) -> Response<ReplyBody> {
        let metrics = &self.core.metrics;
        let view = self.core.fleet.view();
        metrics.waiting.set(self.core.queue.len() as i64);
        metrics
            .serving_targets
            .set(view.targets.iter().count() as i64);
        let age = view
            .registry_confirmed_at
            .map(|at| at.elapsed().as_millis() as i64);
        metrics.registry_age_ms.set(age.unwrap_or(-1));
        let paced = self.core.paces.lock().expect("pace lock").reduced_count();
        metrics.paced_targets.set(paced as i64);
        let mut text = String::new();
        let mut response = match encode(&mut text, &metrics.registry) {
            Ok(()) => Response::new(full_body(text)),
            Err(error) => {
                let mut response = Response::new(full_body(format!("{error}\n")));
                *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
                response
            }
        };
        let kind = hyper::header::HeaderValue::from_static("text/plain; version=1.0.0");
        response.headers_mut().insert("content-type", kind);
        response
    }
}
