//! The way in for tests: faults, and what the stand-ins have seen.

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

use super::EngineWorld;
use super::FaultKind;
use super::FaultOrder;
use super::KvState;
use super::ServiceLog;
use super::http_text::body_bytes;
use super::http_text::json as json_answer;
use super::http_text::text;

/// Takes faults and shows counters.
pub struct AdminHandler {
    kv: Arc<Mutex<KvState>>,
    world: Arc<EngineWorld>,
    services: Arc<Mutex<ServiceLog>>,
}

impl AdminHandler {
    /// Acts on the given stand-ins.
    pub fn new(
        kv: Arc<Mutex<KvState>>,
        world: Arc<EngineWorld>,
        services: Arc<Mutex<ServiceLog>>,
    ) -> Arc<Self> {
        Arc::new(Self {
            kv,
            world,
            services,
        })
    }

    async fn strike(&self, fault: &FaultOrder) -> Option<()> {
        let now = Instant::now();
        match fault.kind {
            FaultKind::StoreOut => {
                let until = now + Duration::from_millis(fault.amount);
                self.kv.lock().expect("kv lock").out_until = Some(until);
            }
            FaultKind::StoreSlow => self.kv.lock().expect("kv lock").delay_ms = fault.amount,
            FaultKind::StoreLoses => self.kv.lock().expect("kv lock").lost_answers = fault.amount,
            FaultKind::ServiceLoses => {
                self.services.lock().expect("log lock").lost_answers = fault.amount;
            }
            FaultKind::ServiceSlow => {
                self.services.lock().expect("log lock").run_ms = fault.amount;
            }
            _ => self.strike_vm(fault, now).await?,
        }
        Some(())
    }

    async fn strike_vm(&self, fault: &FaultOrder, now: Instant) -> Option<()> {
        let engine = self.world.engine(&fault.vm)?;
        let server = self.world.server(&fault.vm)?;
        match fault.kind {
            FaultKind::Kill => {
                engine.lock().expect("engine lock").is_alive = false;
                server.go_down();
            }
            FaultKind::Revive => {
                engine.lock().expect("engine lock").restart();
                server.come_back().await.ok()?;
            }
            FaultKind::Freeze => engine.lock().expect("engine lock").is_frozen = true,
            FaultKind::Thaw => engine.lock().expect("engine lock").is_frozen = false,
            FaultKind::Cold => engine.lock().expect("engine lock").turn_cold(now),
            FaultKind::Leave => engine.lock().expect("engine lock").is_leaving = true,
            _ => return None,
        }
        Some(())
    }

    fn state(&self) -> serde_json::Value {
        let now = Instant::now();
        let mut engines = BTreeMap::new();
        for engine in self.world.engines() {
            let engine = engine.lock().expect("engine lock");
            let report = engine.report(now);
            engines.insert(
                engine.vm.to_string(),
                json!({ "alive": engine.is_alive, "report": report, "counts": engine.counts }),
            );
        }
        let calls = self.kv.lock().expect("kv lock").calls.clone();
        let runs = self.services.lock().expect("log lock").runs.clone();
        json!({ "engines": engines, "store_calls": calls, "runs": runs })
    }
}

#[async_trait]
impl HttpHandler for AdminHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        if request.uri().path() == "/state" {
            return json_answer(&self.state());
        }
        let body = body_bytes(request.into_body()).await;
        let Ok(fault) = serde_json::from_slice::<FaultOrder>(&body) else {
            return text(StatusCode::BAD_REQUEST, "expected a fault\n");
        };
        match self.strike(&fault).await {
            Some(()) => text(StatusCode::OK, ""),
            None => text(StatusCode::NOT_FOUND, "no such VM\n"),
        }
    }
}
