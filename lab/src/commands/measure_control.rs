//! `jujube-lab measure-control`: what routers spend while nobody calls.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::Method;
use jujuberoad_node::http::HttpPool;
use serde_json::Value;

use super::LabOptions;
use crate::fleet::FleetError;
use crate::fleet::LabFleet;
use crate::measure::ProcessUsage;

/// Length of the measurement.
const LENGTH: Duration = Duration::from_secs(10);
/// Time within which a router must answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(5);

/// Counters of a fleet at one moment.
struct ControlSample {
    cpu_seconds: Vec<f64>,
    resident_bytes: Vec<u64>,
    peer_bytes: u64,
    store_calls: BTreeMap<&'static str, u64>,
}

/// Brings up a fleet, leaves it alone and prints what its routers spend.
pub async fn measure_control(options: &LabOptions) -> Result<(), FleetError> {
    let files = jujube::read_folder(&options.config)?;
    let fleet = LabFleet::start(files, options.routers, options.timing, &options.dir).await?;
    fleet.wait_ready().await?;
    let before = sample(&fleet).await;
    smol::Timer::after(LENGTH).await;
    let after = sample(&fleet).await;
    let seconds = LENGTH.as_secs_f64();
    let mut shares = Vec::new();
    for (end, start) in after.cpu_seconds.iter().zip(&before.cpu_seconds) {
        shares.push((end - start) / seconds * 100.0);
    }
    let routers = fleet.nodes.len() as f64;
    let mean = shares.iter().sum::<f64>() / routers;
    let most = shares.iter().copied().fold(0.0, f64::max);
    let memory = after.resident_bytes.iter().max().copied().unwrap_or(0) as f64 / 1e6;
    let peer = (after.peer_bytes - before.peer_bytes) as f64 / seconds / routers;
    let mut calls = String::new();
    for (kind, count) in &after.store_calls {
        let earlier = before.store_calls.get(kind).copied().unwrap_or(0);
        let _ = write!(calls, " {kind} {:.1}", (count - earlier) as f64 / seconds);
    }
    println!(
        "routers {} VMs {}: core {mean:.2}% mean {most:.2}% most, memory {memory:.1} MB most, \
         peers {peer:.0} B/s a router, store calls/s:{calls}",
        fleet.nodes.len(),
        fleet.standins.config.vms.len()
    );
    Ok(())
}

async fn sample(fleet: &LabFleet) -> ControlSample {
    let pool = HttpPool::new();
    let mut sample = ControlSample {
        cpu_seconds: Vec::new(),
        resident_bytes: Vec::new(),
        peer_bytes: 0,
        store_calls: BTreeMap::new(),
    };
    for node in &fleet.nodes {
        let id = fleet
            .processes
            .id(&format!("jujube-router/{}", node.id))
            .unwrap_or(0);
        let usage = ProcessUsage::of(id);
        sample.cpu_seconds.push(usage.cpu_seconds);
        sample.resident_bytes.push(usage.resident_bytes);
        let deadline = Instant::now() + ANSWER_LIMIT;
        let asked = pool.exchange(node.http, Method::GET, "/status", Bytes::new(), deadline);
        if let Ok(reply) = asked.await {
            let page: Value = reply.decode_json().unwrap_or_default();
            sample.peer_bytes += page["peer_traffic_bytes"].as_u64().unwrap_or(0);
        }
    }
    let kv = fleet.standins.kv.lock().expect("kv lock");
    sample.store_calls = kv.calls.clone();
    sample
}
