//! Metrics of the gateway and the HTTP handler that exposes them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

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

use crate::caller_memory::CallerMemory;
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
struct PriorityLabels {
    priority: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    call: String,
    result: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ModelLabels {
    service: String,
    model: String,
}

/// All metrics of the process.
pub(crate) struct GatewayMetrics {
    registry: Registry,
    ended_requests: Family<RequestLabels, Counter>,
    calls: Family<CallLabels, Counter>,
    pub(crate) refusals: Counter,
    pub(crate) overload_refusals: Counter,
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
    pub(crate) cold_sends: Counter,
    pub(crate) unheard_cold_sends: Counter,
    pub(crate) registry_gaps: Counter,
    pub(crate) first_event_ms: Histogram,
    total_ms: Histogram,
    pub(crate) models_without_room: Gauge<i64, std::sync::atomic::AtomicI64>,
    model_use: Family<ModelLabels, Gauge<f64, AtomicU64>>,
    waiting: Gauge<i64, std::sync::atomic::AtomicI64>,
    waiting_on_time: Family<PriorityLabels, Gauge<i64, std::sync::atomic::AtomicI64>>,
    serving_targets: Gauge<i64, std::sync::atomic::AtomicI64>,
    registry_age_ms: Gauge<i64, std::sync::atomic::AtomicI64>,
    digest_age_ms: Gauge<i64, std::sync::atomic::AtomicI64>,
    hub_members: Gauge<i64, std::sync::atomic::AtomicI64>,
    body_bytes: Gauge<i64, std::sync::atomic::AtomicI64>,
    body_evictions: Counter,
    connections_closed: Counter,
    open_connections: Gauge<i64, std::sync::atomic::AtomicI64>,
    paced_targets: Gauge<i64, std::sync::atomic::AtomicI64>,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("jujube");
        let metrics = Self {
            ended_requests: Family::default(),
            calls: Family::default(),
            refusals: Counter::<u64, AtomicU64>::default(),
            overload_refusals: Counter::default(),
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
            cold_sends: Counter::default(),
            unheard_cold_sends: Counter::default(),
            registry_gaps: Counter::default(),
            first_event_ms: Histogram::new(LATENCY_BOUNDS),
            total_ms: Histogram::new(LATENCY_BOUNDS),
            models_without_room: Gauge::default(),
            model_use: Family::default(),
            waiting: Gauge::default(),
            waiting_on_time: Family::default(),
            serving_targets: Gauge::default(),
            registry_age_ms: Gauge::default(),
            digest_age_ms: Gauge::default(),
            hub_members: Gauge::default(),
            body_bytes: Gauge::default(),
            body_evictions: Counter::default(),
            connections_closed: Counter::default(),
            open_connections: Gauge::default(),
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
        registry.register(
            "cold_sends",
            "Requests sent to endpoints that were known to be cold",
            metrics.cold_sends.clone(),
        );
        registry.register(
            "unheard_cold_sends",
            "Requests sent to endpoints after the last confirmation that they were not cold, when \
             the next one said that they were",
            metrics.unheard_cold_sends.clone(),
        );
        registry.register(
            "registry_gaps",
            "Changes of the registry that were relayed after some that did not arrive",
            metrics.registry_gaps.clone(),
        );
        let first = metrics.first_event_ms.clone();
        registry.register("first_event_ms", "Time to the first event", first);
        registry.register(
            "total_ms",
            "Time to the end of a request",
            metrics.total_ms.clone(),
        );
        registry.register(
            "model_use",
            "Requests of all routers relative to the slots, by model, as the placer sees them",
            metrics.model_use.clone(),
        );
        registry.register(
            "waiting",
            "Requests that wait for a slot",
            metrics.waiting.clone(),
        );
        registry.register(
            "waiting_on_time",
            "Requests that wait for a slot and can still be on time, by priority",
            metrics.waiting_on_time.clone(),
        );
        registry.register(
            "overload_refusals",
            "Requests refused because of their expected wait",
            metrics.overload_refusals.clone(),
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
            "digest_age_ms",
            "Age of the oldest load report of a peer that counts",
            metrics.digest_age_ms.clone(),
        );
        registry.register(
            "hub_members",
            "Routers that have this one as their hub",
            metrics.hub_members.clone(),
        );
        metrics.register_caller_memory(&mut registry);
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
    fn register_caller_memory(&self, registry: &mut Registry) {
        registry.register(
            "body_bytes",
            "Memory that bodies of requests and answers have reserved",
            self.body_bytes.clone(),
        );
        registry.register(
            "body_evictions",
            "Request bodies that lost their memory to others",
            self.body_evictions.clone(),
        );
        registry.register(
            "connections_closed",
            "Connections of callers closed because too many were open",
            self.connections_closed.clone(),
        );
        let open = self.open_connections.clone();
        registry.register("open_connections", "Open connections of callers", open);
    }

    fn observe_caller_memory(&self, memory: &CallerMemory) {
        self.body_bytes.set(memory.bodies.used_bytes() as i64);
        let evictions = memory.bodies.eviction_count();
        self.body_evictions
            .inner()
            .store(evictions, Ordering::Relaxed);
        let closed = memory.connections.closed_count();
        self.connections_closed
            .inner()
            .store(closed, Ordering::Relaxed);
        self.open_connections
            .set(memory.connections.open_count() as i64);
    }

    /// Counts a completed request and observes its total time.
    pub(crate) fn record_end(&self, route: &RouteSpec, outcome: &str, total_ms: u64) {
        let labels = RequestLabels {
            kind: route.kind.to_string(),
            outcome: outcome.to_owned(),
        };
        self.ended_requests.get_or_create(&labels).inc();
        self.total_ms.observe(total_ms as f64);
    }

    /// Replaces the numbers of waiting requests that can still be on time.
    fn record_waiting(&self, by_priority: BTreeMap<u32, u32>) {
        self.waiting_on_time.clear();
        for (priority, waiting) in by_priority {
            let labels = PriorityLabels { priority };
            let gauge = self.waiting_on_time.get_or_create(&labels);
            gauge.set(i64::from(waiting));
        }
    }

    /// Sets the use of a model's slots.
    pub(crate) fn record_model_use(&self, service: &str, model: &str, used: f64) {
        let labels = ModelLabels {
            service: service.to_owned(),
            model: model.to_owned(),
        };
        self.model_use.get_or_create(&labels).set(used);
    }

    /// Removes the use of all models, which only the placer measures.
    pub(crate) fn clear_model_use(&self) {
        self.model_use.clear();
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
        metrics.observe_caller_memory(&self.core.caller_memory);
        metrics.waiting.set(self.core.queue.len() as i64);
        metrics.record_waiting(self.core.pool_activity.waiting_by_priority(Instant::now()));
        metrics
            .serving_targets
            .set(view.targets.iter().count() as i64);
        let age = view
            .registry_confirmed_at
            .map(|at| at.elapsed().as_millis() as i64);
        metrics.registry_age_ms.set(age.unwrap_or(-1));
        let members = self.core.digests.member_count();
        metrics.hub_members.set(members as i64);
        let age = {
            let loads = self.core.loads.lock().expect("load lock");
            loads.oldest_report(Instant::now())
        };
        let age = age.map(|age| age.as_millis() as i64);
        metrics.digest_age_ms.set(age.unwrap_or(-1));
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
