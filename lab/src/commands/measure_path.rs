//! `jujube-lab measure-path`: what a router adds to a request.

use super::LabOptions;
use crate::fleet::FleetError;
use crate::fleet::LabFleet;
use crate::measure::PathBench;
use crate::measure::PathFigures;

/// Length of each run, in milliseconds.
const LENGTH_MS: u64 = 5_000;
/// Callers at full load.
const CALLERS: usize = 48;
/// Tokens of a stream.
const STREAM_TOKENS: u64 = 400;
/// Streams at a time.
const STREAMS: usize = 16;

/// Measures small requests and streams, straight and through one router, and
/// prints a line for each.
pub async fn measure_path(options: &LabOptions) -> Result<(), FleetError> {
    let files = jujube::read_folder(&options.config)?;
    let fleet = LabFleet::start(files, options.routers, options.timing, &options.dir).await?;
    fleet.wait_ready().await?;
    let small = PathBench {
        callers: CALLERS,
        duration_ms: LENGTH_MS,
        tokens: 1,
        stream: false,
        rate: 0,
    };
    let _warm_up = small.through_router(&fleet).await;
    let straight = small.straight_to_engine(&fleet).await?;
    println!("small, full load, straight: {straight}");
    let routed = small.through_router(&fleet).await;
    println!("small, full load, router:   {routed}");
    let rate = (routed.answers_per_second / 2.0) as u64;
    let half = PathBench { rate, ..small };
    let straight = half.straight_to_engine(&fleet).await?;
    println!("small, half load, straight: {straight}");
    let routed = half.through_router(&fleet).await;
    println!("small, half load, router:   {routed}");
    print_added(&straight, &routed);
    let streams = PathBench {
        callers: STREAMS,
        duration_ms: LENGTH_MS,
        tokens: STREAM_TOKENS,
        stream: true,
        rate: 0,
    };
    let straight = streams.straight_to_engine(&fleet).await?;
    println!("streams, straight:          {straight}");
    let routed = streams.through_router(&fleet).await;
    println!("streams, router:            {routed}");
    let cores = routed.router_cores * 10_000.0 / routed.tokens_per_second.max(1.0);
    println!("router cores for 10000 tokens/s: {cores:.3}");
    Ok(())
}

fn print_added(straight: &PathFigures, routed: &PathFigures) {
    let added = |index: usize| routed.answer_us[index].saturating_sub(straight.answer_us[index]);
    println!(
        "added at half load: p50 {} us p99 {} us",
        added(0),
        added(2)
    );
}
