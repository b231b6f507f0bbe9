//! `jujube-lab measure-control`: resource use of idle routers.

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

/// Time between the two samples that are compared.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(10);
/// Timeout of a status request to a router.
const STATUS_TIMEOUT: Duration = Duration::from_secs(5);

/// Counters of a fleet at one point in time.
struct ControlSample {
    cpu_seconds: Vec<f64>,
    resident_bytes: Vec<u64>,
    peer_bytes: u64,
    store_calls: BTreeMap<&'static str, u64>,
}

/// Starts a fleet, leaves it idle and prints the CPU time, memory, peer traffic and store calls
/// of its routers.
pub async fn measure_control(options: &LabOptions) -> Result<(), FleetError> {
    let files = jujube::read_folder(&options.config)?;
    let fleet = LabFleet::start(files, options.routers, options.timing, &options.dir).await?;
    fleet.wait_ready().await?;
    let before = take_sample(&fleet).await;
    smol::Timer::after(SAMPLE_INTERVAL).await;
    let after = take_sample(&fleet).await;
    let seconds = SAMPLE_INTERVAL.as_secs_f64();
    let mut cpu_percents = Vec::new();
    for (end, start) in after.cpu_seconds.iter().zip(&before.cpu_seconds) {
        cpu_percents.push((end - start) / seconds * 100.0);
    }
    let routers = fleet.nodes.len() as f64;
    let mean = cpu_percents.iter().sum::<f64>() / routers;
    let max = cpu_percents.iter().copied().fold(0.0, f64::max);
    let memory_mb = after.resident_bytes.iter().max().copied().unwrap_or(0) as f64 / 1e6;
    let peer_bytes_per_s = (after.peer_bytes - before.peer_bytes) as f64 / seconds / routers;
    let mut call_rates = String::new();
    for (kind, count) in &after.store_calls {
        let earlier_count = before.store_calls.get(kind).copied().unwrap_or(0);
        let _ = write!(
            call_rates,
            " {kind} {:.1}",
            (count - earlier_count) as f64 / seconds
        );
    }
    println!(
        "routers {} VMs {}: core {mean:.2}% mean {max:.2}% most, memory {memory_mb:.1} MB most, \
         peers {peer_bytes_per_s:.0} B/s a router, store calls/s:{call_rates}",
        fleet.nodes.len(),
        fleet.standins.config.vms.len()
    );
    Ok(())
}

async fn take_sample(fleet: &LabFleet) -> ControlSample {
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
        let deadline = Instant::now() + STATUS_TIMEOUT;
        let request = pool.exchange(node.http, Method::GET, "/status", Bytes::new(), deadline);
        if let Ok(reply) = request.await {
            let status: Value = reply.decode_json().unwrap_or_default();
            sample.peer_bytes += status["peer_traffic_bytes"].as_u64().unwrap_or(0);
        }
    }
    let kv = fleet.standins.kv.lock().expect("kv lock");
    sample.store_calls = kv.calls.clone();
    sample
}
