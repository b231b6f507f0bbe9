//! HTTP interface for tests: injects faults and returns the counters of the stand-ins.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use jujuberoad_node::http::HttpHandler;
use jujuberoad_node::http::ReplyBody;
use serde_json::json;

use super::EngineRegistry;
use super::FaultKind;
use super::FaultRequest;
use super::KvState;
use super::ServiceState;
use super::http_utils::json_response;
use super::http_utils::read_body;
use super::http_utils::text_response;

/// Injects faults and returns counters.
pub struct AdminHandler {
    kv: Arc<Mutex<KvState>>,
    registry: Arc<EngineRegistry>,
    services: Arc<Mutex<ServiceState>>,
}

impl AdminHandler {
    /// Returns a handler that controls the given stand-ins.
    pub fn new(
        kv: Arc<Mutex<KvState>>,
        registry: Arc<EngineRegistry>,
        services: Arc<Mutex<ServiceState>>,
    ) -> Arc<Self> {
        Arc::new(Self {
            kv,
            registry,
            services,
        })
    }

    async fn inject_fault(&self, fault: &FaultRequest) -> Option<()> {
        let now = Instant::now();
        match fault.kind {
            FaultKind::StoreOut => {
                let until = now + Duration::from_millis(fault.amount);
                self.kv.lock().expect("kv lock").unavailable_until = Some(until);
            }
            FaultKind::StoreSlow => self.kv.lock().expect("kv lock").delay_ms = fault.amount,
            FaultKind::StoreLoses => {
                self.kv.lock().expect("kv lock").responses_to_drop = fault.amount
            }
            FaultKind::ServiceLoses => {
                self.services
                    .lock()
                    .expect("service lock")
                    .responses_to_drop = fault.amount;
            }
            FaultKind::ServiceSlow => {
                self.services.lock().expect("service lock").run_ms = fault.amount;
            }
            _ => self.inject_vm_fault(fault, now).await?,
        }
        Some(())
    }

    async fn inject_vm_fault(&self, fault: &FaultRequest, now: Instant) -> Option<()> {
        let engine = self.registry.engine(&fault.vm)?;
        let server = self.registry.server(&fault.vm)?;
        match fault.kind {
            FaultKind::Kill => {
                engine.lock().expect("engine lock").is_alive = false;
                server.stop_listening();
            }
            FaultKind::Revive => {
                engine.lock().expect("engine lock").restart();
                server.resume_listening().await.ok()?;
            }
            FaultKind::Freeze => engine.lock().expect("engine lock").is_frozen = true,
            FaultKind::Thaw => engine.lock().expect("engine lock").is_frozen = false,
            FaultKind::Cold => engine.lock().expect("engine lock").reset_to_cold(now),
            FaultKind::Leave => engine.lock().expect("engine lock").is_leaving = true,
            FaultKind::Endless => {
                engine.lock().expect("engine lock").endless_bytes = fault.amount as usize;
            }
            _ => return None,
        }
        Some(())
    }

    fn state(&self) -> serde_json::Value {
        let now = Instant::now();
        let mut engines = BTreeMap::new();
        for engine in self.registry.engines() {
            let engine = engine.lock().expect("engine lock");
            let report = engine.report(now);
            engines.insert(
                engine.vm.to_string(),
                json!({ "alive": engine.is_alive, "report": report, "counts": engine.counts }),
            );
        }
        let calls = self.kv.lock().expect("kv lock").calls.clone();
        let runs = self.services.lock().expect("service lock").runs.clone();
        json!({ "engines": engines, "store_calls": calls, "runs": runs })
    }
}

#[async_trait]
impl HttpHandler for AdminHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        if request.uri().path() == "/state" {
            return json_response(&self.state());
        }
        let body = read_body(request.into_body()).await;
        let Ok(fault) = serde_json::from_slice::<FaultRequest>(&body) else {
            return text_response(StatusCode::BAD_REQUEST, "expected a fault\n");
        };
        match self.inject_fault(&fault).await {
            Some(()) => text_response(StatusCode::OK, ""),
            None => text_response(StatusCode::NOT_FOUND, "no such VM\n"),
        }
    }
}
