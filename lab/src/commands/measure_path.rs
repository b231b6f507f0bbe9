//! `jujube-lab measure-path`: overhead that a router adds to a request.

use super::LabOptions;
use crate::fleet::FleetError;
use crate::fleet::LabFleet;
use crate::measure::PathBench;
use crate::measure::PathFigures;

/// Duration of each run, in milliseconds.
const RUN_DURATION_MS: u64 = 5_000;
/// Number of concurrent callers at full load.
const FULL_LOAD_CALLERS: usize = 48;
/// Number of tokens in a stream.
const STREAM_TOKENS: u64 = 400;
/// Number of concurrent streams.
const CONCURRENT_STREAMS: usize = 16;

/// Measures small requests and streams, each sent directly to an engine and through one router,
/// and prints one line per run.
pub async fn measure_path(options: &LabOptions) -> Result<(), FleetError> {
    let files = jujube::read_folder(&options.config)?;
    let fleet = LabFleet::start(files, options.routers, options.timing, &options.dir).await?;
    fleet.wait_ready().await?;
    let small_bench = PathBench {
        callers: FULL_LOAD_CALLERS,
        duration_ms: RUN_DURATION_MS,
        tokens: 1,
        stream: false,
        rate: 0,
    };
    let _warm_up = small_bench.through_router(&fleet).await;
    let direct = small_bench.straight_to_engine(&fleet).await?;
    println!("small, full load, straight: {direct}");
    let routed = small_bench.through_router(&fleet).await;
    println!("small, full load, router:   {routed}");
    let rate = (routed.answers_per_second / 2.0) as u64;
    let half_bench = PathBench {
        rate,
        ..small_bench
    };
    let direct = half_bench.straight_to_engine(&fleet).await?;
    println!("small, half load, straight: {direct}");
    let routed = half_bench.through_router(&fleet).await;
    println!("small, half load, router:   {routed}");
    print_added_latency(&direct, &routed);
    let stream_bench = PathBench {
        callers: CONCURRENT_STREAMS,
        duration_ms: RUN_DURATION_MS,
        tokens: STREAM_TOKENS,
        stream: true,
        rate: 0,
    };
    let direct = stream_bench.straight_to_engine(&fleet).await?;
    println!("streams, straight:          {direct}");
    let routed = stream_bench.through_router(&fleet).await;
    println!("streams, router:            {routed}");
    let cores_per_10k_tokens = routed.router_cores * 10_000.0 / routed.tokens_per_second.max(1.0);
    println!("router cores for 10000 tokens/s: {cores_per_10k_tokens:.3}");
    Ok(())
}

fn print_added_latency(direct: &PathFigures, routed: &PathFigures) {
    let added_us = |index: usize| routed.answer_us[index].saturating_sub(direct.answer_us[index]);
    println!(
        "added at half load: p50 {} us p99 {} us",
        added_us(0),
        added_us(2)
    );
}
