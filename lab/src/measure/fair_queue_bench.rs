//! Simulates fair and FIFO queueing while one team floods the service: the effect on the
//! other teams.

use std::fmt::Write;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::admission::FairQueue;
use jujuberoad::admission::FifoQueue;
use jujuberoad::admission::QueueTicket;
use jujuberoad::admission::RequestClass;
use jujuberoad::admission::WaitQueue;
use smol_str::format_smolstr;

use super::next_interval;
use super::quantile_ms;
use super::time_histogram;

const TEAM_COUNT: usize = 10;
/// Capacity of the service, in requests per second.
const SERVICE_RATE_PER_S: f64 = 500.0;
/// Request rate of a team that does not flood, in requests per second.
const TEAM_RATE_PER_S: f64 = 35.0;
const DURATION_S: f64 = 120.0;
/// Share of long requests (`Receipt`) among the requests of each team.
const RECEIPT_SHARE: f64 = 0.3;

/// Compares the queueing delays of nine teams while the tenth sends at its usual rate and
/// at ten times that rate.
pub fn fair_queue_bench(seed: u64) -> String {
    let mut text =
        String::from("queue       flood  others p95 ms  p99 ms  counter p99 ms  turned away\n");
    for flood_factor in [1.0, 10.0] {
        let fair = simulate(&mut FairQueue::default(), flood_factor, seed);
        let fifo = simulate(&mut FifoQueue::default(), flood_factor, seed);
        let _ = writeln!(text, "first-come  {flood_factor:>4}x  {fifo}");
        let _ = writeln!(text, "fair        {flood_factor:>4}x  {fair}");
    }
    text
}

fn simulate(queue: &mut dyn WaitQueue, flood_factor: f64, seed: u64) -> String {
    let origin = Instant::now();
    let at = |seconds: f64| origin + Duration::from_secs_f64(seconds);
    let mut random = fastrand::Rng::with_seed(seed);
    let mut next_arrivals: Vec<f64> = (0..TEAM_COUNT)
        .map(|_| next_interval(&mut random, TEAM_RATE_PER_S))
        .collect();
    let mut arrival_times: Vec<f64> = Vec::new();
    let (mut other_waits, mut counter_waits) = (time_histogram(), time_histogram());
    let mut rejected = 0;
    let mut now_s = 0.0;
    while now_s < DURATION_S {
        now_s += 1.0 / SERVICE_RATE_PER_S;
        for (team, arrives_at) in next_arrivals.iter_mut().enumerate() {
            while *arrives_at <= now_s {
                let rate = if team == 0 {
                    TEAM_RATE_PER_S * flood_factor
                } else {
                    TEAM_RATE_PER_S
                };
                let is_receipt = random.f64() < RECEIPT_SHARE;
                let class = if is_receipt {
                    RequestClass::Receipt
                } else {
                    RequestClass::Counter
                };
                let ticket = QueueTicket {
                    id: arrival_times.len() as u64,
                    team: format_smolstr!("team-{team}"),
                    share: 1,
                    team_limit: 256,
                    class,
                    expires_at: at(*arrives_at + 2.0),
                };
                arrival_times.push(*arrives_at);
                rejected += usize::from(queue.push(ticket, at(*arrives_at)).is_err() && team > 0);
                *arrives_at += next_interval(&mut random, rate);
            }
        }
        let now = at(now_s);
        rejected += queue
            .expire(now)
            .iter()
            .filter(|expired| expired.team != "team-0")
            .count();
        let Some(ticket) = queue.pop(RequestClass::Receipt, now) else {
            continue;
        };
        if ticket.team == "team-0" {
            continue;
        }
        let waited_us = ((now_s - arrival_times[ticket.id as usize]) * 1e6) as u64;
        other_waits.saturating_record(waited_us.max(1));
        if ticket.class == RequestClass::Counter {
            counter_waits.saturating_record(waited_us.max(1));
        }
    }
    format!(
        "{:>13.1}  {:>6.1}  {:>14.1}  {rejected:>11}",
        quantile_ms(&other_waits, 0.95),
        quantile_ms(&other_waits, 0.99),
        quantile_ms(&counter_waits, 0.99)
    )
}
