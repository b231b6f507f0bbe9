//! Simulates slots granted by a slot home and fixed shares per router: peak use and
//! stranded slots.

use std::fmt::Write;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::health::TargetHealth;
use jujuberoad::slots::SlotHome;
use jujuberoad::slots::SlotLease;
use smol_str::format_smolstr;

const STEP_MS: u64 = 10;
/// Minimum time between two slot requests of a router, in milliseconds.
const MIN_REQUEST_INTERVAL_MS: u64 = 20;
/// Offered load as a fraction of the slot limit.
const OFFERED_LOAD: f64 = 0.9;
const DURATION_MS: u64 = 60_000;
/// Mean service time of a request, in milliseconds.
const MEAN_REQUEST_MS: f64 = 600.0;
/// Time after which free slots count as stranded while a request is queued, in
/// milliseconds.
const STRANDED_AFTER_MS: u64 = 1_000;

#[derive(Default)]
struct SlotFigures {
    peak_in_use: u32,
    mean_utilization: f64,
    longest_stranded_ms: u64,
    stranded_share: f64,
}

/// Compares both policies at 4, 40 and 380 routers; the offered load is 90% of the limit,
/// and a tenth of the routers receive most of it.
pub fn slot_bench(seed: u64) -> String {
    let mut text = String::from(
        "routers  limit  policy  peak  in use  longest stranded ms  slots free while one waits\n",
    );
    for (routers, limit) in [(4, 32), (40, 32), (380, 32), (380, 640)] {
        for (name, figures) in [
            ("fixed", simulate(routers, limit, false, seed)),
            ("home", simulate(routers, limit, true, seed)),
        ] {
            let _ = writeln!(
                text,
                "{routers:>7}  {limit:>5}  {name:<6}  {:>4}  {:>5.1}%  {:>19}  {:>25.1}%",
                figures.peak_in_use,
                figures.mean_utilization * 100.0,
                figures.longest_stranded_ms,
                figures.stranded_share * 100.0
            );
        }
    }
    text
}

fn simulate(routers: usize, limit: u32, uses_home: bool, seed: u64) -> SlotFigures {
    let origin = Instant::now();
    let at = |ms: u64| origin + Duration::from_millis(ms);
    let mut random = fastrand::Rng::with_seed(seed);
    let mut home = SlotHome::new("g".into(), 1, false, origin);
    home.set_limits(limit, 1, 1);
    home.set_health(TargetHealth::Warm {
        until: at(2 * DURATION_MS),
    });
    let mut slot_leases: Vec<SlotLease> = (0..routers)
        .map(|index| SlotLease::new("g".into(), format_smolstr!("r{index}"), 1))
        .collect();
    let fixed_share = (limit / routers as u32).max(u32::from(routers <= limit as usize));
    let busy_routers = (routers / 10).max(1);
    let mut completions_ms: Vec<Vec<u64>> = vec![Vec::new(); routers];
    let mut queued = vec![0_u32; routers];
    let mut next_request_ms = vec![0_u64; routers];
    let mut figures = SlotFigures::default();
    let (mut in_use_sum, mut stranded_sum, mut steps, mut stranded_since) = (0, 0, 0_u64, None);
    let rate = OFFERED_LOAD * f64::from(limit) / MEAN_REQUEST_MS * STEP_MS as f64;
    for now_ms in (0..DURATION_MS).step_by(STEP_MS as usize) {
        let now = at(now_ms);
        let mut arrivals = rate.floor() as u64 + u64::from(random.f64() < rate.fract());
        while arrivals > 0 {
            arrivals -= 1;
            let is_busy_router = random.f64() < 0.8;
            let router = if is_busy_router {
                random.usize(0..busy_routers)
            } else {
                random.usize(0..routers)
            };
            queued[router] += 1;
        }
        for router in 0..routers {
            completions_ms[router].retain(|end_ms| *end_ms > now_ms);
            let lease = &mut slot_leases[router];
            while lease.in_use() as usize > completions_ms[router].len() {
                lease.release();
            }
            let needs_slots = queued[router] > 0 && lease.may_request(now);
            if uses_home
                && (needs_slots || lease.is_renewal_due(now))
                && now_ms >= next_request_ms[router]
            {
                let request = lease.next_request(1, queued[router], now);
                if let Some(grant) = home.handle_request(&request, now) {
                    lease.apply(&grant);
                }
                next_request_ms[router] = now_ms + MIN_REQUEST_INTERVAL_MS;
            }
            while queued[router] > 0 {
                let may_start = if uses_home {
                    lease.acquire(1, now).is_some()
                } else {
                    (completions_ms[router].len() as u32) < fixed_share
                };
                if !may_start {
                    break;
                }
                let request_ms = -(1.0 - random.f64()).ln() * MEAN_REQUEST_MS;
                completions_ms[router].push(now_ms + request_ms as u64 + 1);
                queued[router] -= 1;
            }
        }
        let in_use: u32 = completions_ms
            .iter()
            .map(|completions| completions.len() as u32)
            .sum();
        let has_queued = queued.iter().any(|count| *count > 0);
        figures.peak_in_use = figures.peak_in_use.max(in_use);
        steps += 1;
        in_use_sum += u64::from(in_use);
        if has_queued && in_use < limit {
            let since = *stranded_since.get_or_insert(now_ms);
            let stranded_ms = now_ms - since;
            figures.longest_stranded_ms = figures.longest_stranded_ms.max(stranded_ms);
            stranded_sum += u64::from(stranded_ms > STRANDED_AFTER_MS);
        } else {
            stranded_since = None;
        }
    }
    figures.mean_utilization = in_use_sum as f64 / (steps * u64::from(limit)) as f64;
    figures.stranded_share = stranded_sum as f64 / steps as f64;
    figures
}
