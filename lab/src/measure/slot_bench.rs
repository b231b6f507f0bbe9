//! Slots from a home against fixed shares: exact limits and stranded slots.

use std::fmt::Write;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::health::TargetHealth;
use jujuberoad::slots::SlotHome;
use jujuberoad::slots::SlotLease;
use smol_str::format_smolstr;

const STEP_MS: u64 = 10;
/// Least time between two requests of a router, in milliseconds.
const ASK_PAUSE_MS: u64 = 20;
/// Offered load as a share of the limit.
const LOAD: f64 = 0.9;
const LENGTH_MS: u64 = 60_000;
/// Mean length of a request, in milliseconds.
const REQUEST_MS: f64 = 600.0;
/// Time after which a free slot counts as stranded while someone waits.
const STRANDED_MS: u64 = 1_000;

#[derive(Default)]
struct SlotFigures {
    peak: u32,
    used_share: f64,
    longest_stranded_ms: u64,
    stranded_share: f64,
}

/// Compares both ways at 4, 40 and 380 routers; offered load is nine tenths of the limit,
/// and a tenth of the routers get most of it.
pub fn slot_bench(seed: u64) -> String {
    let mut text = String::from(
        "routers  limit  policy  peak  in use  longest stranded ms  slots free while one waits\n",
    );
    for (routers, limit) in [(4, 32), (40, 32), (380, 32), (380, 640)] {
        for (name, figures) in [
            ("fixed", run(routers, limit, false, seed)),
            ("home", run(routers, limit, true, seed)),
        ] {
            let _ = writeln!(
                text,
                "{routers:>7}  {limit:>5}  {name:<6}  {:>4}  {:>5.1}%  {:>19}  {:>25.1}%",
                figures.peak,
                figures.used_share * 100.0,
                figures.longest_stranded_ms,
                figures.stranded_share * 100.0
            );
        }
    }
    text
}

fn run(routers: usize, limit: u32, uses_home: bool, seed: u64) -> SlotFigures {
    let origin = Instant::now();
    let at = |ms: u64| origin + Duration::from_millis(ms);
    let mut random = fastrand::Rng::with_seed(seed);
    let mut home = SlotHome::new("g".into(), 1, false, origin);
    home.set_limits(limit, 1, 1);
    home.set_health(TargetHealth::Warm {
        until: at(2 * LENGTH_MS),
    });
    let mut slot_leases: Vec<SlotLease> = (0..routers)
        .map(|index| SlotLease::new("g".into(), format_smolstr!("r{index}"), 1))
        .collect();
    let fixed = (limit / routers as u32).max(u32::from(routers <= limit as usize));
    let busy = (routers / 10).max(1);
    let mut running: Vec<Vec<u64>> = vec![Vec::new(); routers];
    let mut queued = vec![0_u32; routers];
    let mut next_ask = vec![0_u64; routers];
    let mut figures = SlotFigures::default();
    let (mut in_use_sum, mut stranded_sum, mut steps, mut stranded_since) = (0, 0, 0_u64, None);
    let rate = LOAD * f64::from(limit) / REQUEST_MS * STEP_MS as f64;
    for now_ms in (0..LENGTH_MS).step_by(STEP_MS as usize) {
        let now = at(now_ms);
        let mut arrivals = rate.floor() as u64 + u64::from(random.f64() < rate.fract());
        while arrivals > 0 {
            arrivals -= 1;
            let is_busy = random.f64() < 0.8;
            let router = if is_busy {
                random.usize(0..busy)
            } else {
                random.usize(0..routers)
            };
            queued[router] += 1;
        }
        for router in 0..routers {
            running[router].retain(|end_ms| *end_ms > now_ms);
            let lease = &mut slot_leases[router];
            while lease.in_use() as usize > running[router].len() {
                lease.release();
            }
            let asks = queued[router] > 0 && lease.may_request(now);
            if uses_home && (asks || lease.is_renewal_due(now)) && now_ms >= next_ask[router] {
                let request = lease.next_request(1, queued[router], now);
                if let Some(grant) = home.handle_request(&request, now) {
                    lease.apply(&grant);
                }
                next_ask[router] = now_ms + ASK_PAUSE_MS;
            }
            while queued[router] > 0 {
                let may_start = if uses_home {
                    lease.acquire(1, now).is_some()
                } else {
                    (running[router].len() as u32) < fixed
                };
                if !may_start {
                    break;
                }
                let length = -(1.0 - random.f64()).ln() * REQUEST_MS;
                running[router].push(now_ms + length as u64 + 1);
                queued[router] -= 1;
            }
        }
        let in_use: u32 = running.iter().map(|runs| runs.len() as u32).sum();
        let waits = queued.iter().any(|count| *count > 0);
        figures.peak = figures.peak.max(in_use);
        steps += 1;
        in_use_sum += u64::from(in_use);
        if waits && in_use < limit {
            let since = *stranded_since.get_or_insert(now_ms);
            let stranded_ms = now_ms - since;
            figures.longest_stranded_ms = figures.longest_stranded_ms.max(stranded_ms);
            stranded_sum += u64::from(stranded_ms > STRANDED_MS);
        } else {
            stranded_since = None;
        }
    }
    figures.used_share = in_use_sum as f64 / (steps * u64::from(limit)) as f64;
    figures.stranded_share = stranded_sum as f64 / steps as f64;
    figures
}
