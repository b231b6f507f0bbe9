//! Helpers for tests with real router and placer processes.
#![allow(dead_code, missing_docs)]

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use jujube_lab::fleet::LabFleet;
use jujube_lab::load::CallRecord;
use jujube_lab::load::LoadPlan;
use jujube_lab::load::LoadRunner;
use jujube_lab::standins::EngineTiming;
use jujube_lab::standins::FaultKind;
use jujube_lab::standins::FaultRequest;
use jujuberoad_node::http::HttpPool;
use jujuberoad_node::runtime;
use serde_json::Value;
use smol::channel;
use smol::channel::Receiver;

/// Short engine latencies for tests.
pub const TIMING: EngineTiming = EngineTiming {
    load_ms: 300,
    warm_ms: 500,
    prefill_ms: 10,
    token_ms: 5,
};

/// Timeout of calls and awaited conditions.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(60);

/// Limit of concurrent fleets, so that their processes do not starve each other of CPU time.
const MAX_FLEETS: usize = 4;

static ACTIVE_FLEETS: Mutex<usize> = Mutex::new(0);
static FLEET_STOPPED: Condvar = Condvar::new();

/// Permit to run one fleet; dropping it frees the permit.
struct FleetPermit;

impl FleetPermit {
    fn acquire() -> Self {
        let fleets = ACTIVE_FLEETS.lock().unwrap_or_else(PoisonError::into_inner);
        let free = FLEET_STOPPED.wait_while(fleets, |fleets| *fleets >= MAX_FLEETS);
        *free.unwrap_or_else(PoisonError::into_inner) += 1;
        Self
    }
}

impl Drop for FleetPermit {
    fn drop(&mut self) {
        *ACTIVE_FLEETS.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        FLEET_STOPPED.notify_one();
    }
}

/// Starts the fleet of `examples/small` with `routers` entry VMs, runs `session` on it and
/// stops it.
pub fn with_fleet(routers: usize, session: impl AsyncFnOnce(&mut LabFleet)) {
    let _permit = FleetPermit::acquire();
    runtime::run(3, async {
        let folder = tempfile::tempdir().expect("a folder");
        let files = jujube::read_folder(Path::new("../examples/small")).expect("the example");
        let fleet = LabFleet::start(files, routers, TIMING, folder.path()).await;
        let mut fleet = fleet.expect("the fleet comes up");
        fleet.wait_ready().await.expect("all groups are warm");
        session(&mut fleet).await;
    });
}

/// A response as a caller receives it.
pub struct ReceivedAnswer {
    pub status: u16,
    pub outcome: String,
    pub retry_after: String,
    pub repeated: bool,
    pub body: String,
}

/// Sends one request and reads the complete response.
pub async fn call(
    router: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> ReceivedAnswer {
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "router");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("a request");
    let deadline = Instant::now() + EVENT_TIMEOUT;
    let response = HttpPool::new()
        .send(router, request, true, deadline)
        .await
        .expect("an answer");
    let header = |name: &str| {
        let value = response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (outcome, retry_after) = (header("jujube-outcome"), header("retry-after"));
    let repeated = !header("jujube-repeated").is_empty();
    let status = response.status().as_u16();
    let body = response
        .into_body()
        .collect()
        .await
        .expect("a complete body")
        .to_bytes();
    let body = String::from_utf8_lossy(&body).into_owned();
    ReceivedAnswer {
        status,
        outcome,
        retry_after,
        repeated,
        body,
    }
}

/// Injects a fault into the stand-ins.
pub async fn inject_fault(fleet: &LabFleet, kind: FaultKind, vm: &str, amount: u64) {
    let fault = FaultRequest {
        kind,
        vm: vm.to_owned(),
        amount,
    };
    let body = serde_json::to_string(&fault).expect("a fault");
    let answer = call(fleet.standins.admin, "POST", "/fault", &[], &body).await;
    assert_eq!(answer.status, 200, "{fault:?}: {}", answer.body);
}

/// Returns the state and the counters of the stand-ins.
pub async fn lab_state(fleet: &LabFleet) -> Value {
    let answer = call(fleet.standins.admin, "GET", "/state", &[], "").await;
    serde_json::from_str(&answer.body).expect("a state")
}

/// Returns the number of requests that the VMs of a zone have begun, by their own counters.
pub async fn requests_begun_in_zone(fleet: &LabFleet, zone: &str) -> u64 {
    let state = lab_state(fleet).await;
    let engines = state["engines"].as_object().expect("engines");
    let in_zone = engines.iter().filter(|(vm, _)| vm.starts_with(zone));
    in_zone
        .map(|(_, engine)| engine["counts"]["begun"].as_u64().unwrap_or(0))
        .sum()
}

/// Runs a load in the background; the receiver gets its history at the end.
pub fn start_load(plan: LoadPlan) -> Receiver<Vec<CallRecord>> {
    let (sender, receiver) = channel::bounded(1);
    runtime::spawn(async move {
        let _ = sender.send(LoadRunner::new(plan).run().await).await;
    });
    receiver
}

/// Polls `condition` until it holds; panics after a timeout, with `event` as its description.
pub async fn wait_until<F: Future<Output = bool>>(event: &str, mut condition: impl FnMut() -> F) {
    let deadline = Instant::now() + EVENT_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < deadline, "timed out waiting until {event}");
        smol::Timer::after(Duration::from_millis(50)).await;
    }
}

/// Returns the records of calls without a complete answer.
pub fn failed_calls(records: &[CallRecord]) -> Vec<&CallRecord> {
    records
        .iter()
        .filter(|record| !record.is_whole || record.outcome != "answered")
        .collect()
}
